package ibisharness

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ibiscrank/ibisgate"
	"ibiscrank/ibishttp"
	"ibiscrank/ibiswork"
)

const (
	// callMargin is how long after its waiting a call may still be answered.
	callMargin = 15 * time.Second
	// callerConns bounds the connections of a caller to one daemon.
	callerConns = 64
	// statusWait is how long one question after a request waits for its end.
	statusWait = 2 * time.Second
	// defaultRetry is the time before another attempt when the answer names none.
	defaultRetry = 50 * time.Millisecond
	// unknownAnswers is how many answers in a row that the outcome is unknown, or that the request is not
	// known, are believed.
	unknownAnswers = 3
)

// Submission is one call that submitted a request, and what came of it.
type Submission struct {
	Request ibiswork.Request
	Key     string
	Daemon  int
	Sent    time.Time
	Got     time.Time
	Code    int               // HTTP status, zero without an answer
	Status  *ibiswork.Status  // of an accepted request
	Refusal *ibiswork.Refusal // of a refused one
	Err     error             // without an answer
	Dialled bool              // false when no connection was got, so that nothing was sent
}

// Accepted reports whether the daemon took the request.
func (s Submission) Accepted() bool { return s.Status != nil }

// Ended reports whether the submission was answered with the end of the request.
func (s Submission) Ended() bool { return s.Status != nil && s.Status.Stage == ibiswork.Ended }

// NotRun reports whether the caller was promised that this submission does not run.
func (s Submission) NotRun() bool { return !s.Dialled || s.Refusal != nil && s.Refusal.NotRun }

// Trace is everything that callers sent and got, for the checks at the end of a test.
type Trace struct {
	mu          sync.Mutex
	submissions []Submission
	ends        map[ibiswork.ID]ibiswork.Status
	unknown     map[ibiswork.ID]ibiswork.Refusal
}

func (j *Trace) add(s Submission) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.submissions = append(j.submissions, s)
}

func (j *Trace) end(st ibiswork.Status) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ends == nil {
		j.ends = map[ibiswork.ID]ibiswork.Status{}
	}
	j.ends[st.ID] = st
}

func (j *Trace) endUnknown(id ibiswork.ID, r ibiswork.Refusal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.unknown == nil {
		j.unknown = map[ibiswork.ID]ibiswork.Refusal{}
	}
	j.unknown[id] = r
}

// Unknown is the requests of which daemons said in the end that their outcome is unknown.
func (j *Trace) Unknown() map[ibiswork.ID]ibiswork.Refusal {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.unknown)
}

// Submissions lists every submission so far.
func (j *Trace) Submissions() []Submission {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Submission(nil), j.submissions...)
}

// Ends is the last known end of each request.
func (j *Trace) Ends() map[ibiswork.ID]ibiswork.Status {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.ends)
}

// Caller calls the daemons with one key. It is safe for use by several goroutines.
type Caller struct {
	c    *Cluster
	key  string
	http *http.Client
}

// Caller makes a caller with connections of its own.
func (c *Cluster) Caller(key string) *Caller {
	h := &http.Client{Transport: ibishttp.NewTransport(callerConns)}
	c.t.Cleanup(h.CloseIdleConnections)
	return &Caller{c: c, key: key, http: h}
}

// call makes one HTTP call to a daemon.
func (k *Caller) call(ctx context.Context, daemon int, method, path string, body any) (ibishttp.Reply, error) {
	h := &http.Client{Transport: keyed{k.http.Transport, k.key}}
	return ibishttp.Call(ctx, h, method, k.c.Daemons[daemon].URL()+path, body)
}

// keyed adds a key to every call.
type keyed struct {
	http.RoundTripper
	key string
}

// RoundTrip adds the key and makes the call.
func (k keyed) RoundTrip(r *http.Request) (*http.Response, error) {
	if k.key != "" {
		r.Header.Set("Authorization", "Bearer "+k.key)
	}
	return k.RoundTripper.RoundTrip(r)
}

// Submit submits a request once to the daemon with this index and notes what came of it.
func (k *Caller) Submit(ctx context.Context, r ibiswork.Request, daemon int, wait time.Duration) Submission {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	s := Submission{Request: r, Key: k.key, Daemon: daemon, Sent: time.Now()}
	path := "/v1/requests?WaitMS=" + strconv.FormatInt(wait.Milliseconds(), 10)
	reply, err := k.call(ctx, daemon, http.MethodPost, path, r)
	s.Got, s.Code, s.Dialled, s.Err = time.Now(), reply.Status, reply.Sent, err
	if err == nil {
		s.Status, s.Refusal, s.Err = decode(reply)
	}
	k.c.Trace.add(s)
	if s.Ended() {
		k.c.Trace.end(*s.Status)
	}
	return s
}

// decode reads the answer to a submission or a question.
func decode(reply ibishttp.Reply) (*ibiswork.Status, *ibiswork.Refusal, error) {
	if reply.Status == http.StatusOK || reply.Status == http.StatusAccepted {
		var st ibiswork.Status
		if err := json.Unmarshal(reply.Body, &st); err != nil {
			return nil, nil, Error.New("%v in the answer %q", err, reply.Body)
		}
		return &st, nil, nil
	}
	var p ibisgate.Problem
	if err := json.Unmarshal(reply.Body, &p); err != nil {
		return nil, nil, Error.New("%v in the answer %q", err, reply.Body)
	}
	return nil, &p.Refusal, nil
}

// Ask asks a daemon after a request, waiting for its end at most wait.
func (k *Caller) Ask(ctx context.Context, id ibiswork.ID, daemon int, wait time.Duration) (*ibiswork.Status, *ibiswork.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	path := "/v1/requests/" + string(id) + "?WaitMS=" + strconv.FormatInt(wait.Milliseconds(), 10)
	reply, err := k.call(ctx, daemon, http.MethodGet, path, nil)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	st, refusal, err := decode(reply)
	if st != nil && st.Stage == ibiswork.Ended {
		k.c.Trace.end(*st)
	}
	return st, refusal, err
}

// Cancel cancels a request through a daemon.
func (k *Caller) Cancel(ctx context.Context, id ibiswork.ID, daemon int) (*ibiswork.Status, *ibiswork.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, callMargin)
	defer cancel()
	reply, err := k.call(ctx, daemon, http.MethodDelete, "/v1/requests/"+string(id), nil)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	return decode(reply)
}

// Do submits a request to the daemons in turn, beginning with first, always with the same ID, until it
// has ended, it was refused for good, or ctx ends. Work that is not durable is submitted again when no
// daemon knows of it any more. It returns the end, or the last refusal or error.
func (k *Caller) Do(ctx context.Context, r ibiswork.Request, first int) (*ibiswork.Status, error) {
	var last error
	for daemon := first % len(k.c.Daemons); ; daemon = (daemon + 1) % len(k.c.Daemons) {
		s := k.Submit(ctx, r, daemon, statusWait)
		switch {
		case s.Ended():
			return s.Status, nil
		case s.Accepted():
			st, err := k.Follow(ctx, r.ID, daemon)
			if refusal, ok := errors.AsType[*ibiswork.Refusal](err); !ok || refusal.Code != ibiswork.CodeNotFound || r.Class.Durable() {
				return st, err
			}
			last = err
		case s.Refusal != nil && final(s.Refusal.Code):
			return nil, s.Refusal
		case s.Refusal != nil:
			last = s.Refusal
		default:
			last = s.Err
		}
		if !pause(ctx, retryAfter(s.Refusal)) {
			return nil, last
		}
	}
}

// Follow asks after an accepted request through the daemons in turn until it has ended, its outcome is
// unknown, no daemon knows of it, or ctx ends.
func (k *Caller) Follow(ctx context.Context, id ibiswork.ID, first int) (*ibiswork.Status, error) {
	unknown, notFound := 0, 0
	for daemon := first; ; daemon = (daemon + 1) % len(k.c.Daemons) {
		st, refusal, err := k.Ask(ctx, id, daemon, statusWait)
		if st != nil && st.Stage == ibiswork.Ended {
			return st, nil
		}
		if err == nil && refusal != nil {
			err = refusal
		}
		if unknown++; refusal == nil || refusal.Code != ibiswork.CodeOutcomeUnknown {
			unknown = 0
		}
		if notFound++; refusal == nil || refusal.Code != ibiswork.CodeNotFound {
			notFound = 0
		}
		if notFound == unknownAnswers {
			return nil, refusal
		}
		if unknown == unknownAnswers {
			k.c.Trace.endUnknown(id, *refusal)
			return nil, refusal
		}
		wait := defaultRetry
		if st == nil {
			wait = retryAfter(refusal)
		}
		if !pause(ctx, wait) {
			return nil, Error.New("%s has not ended; last seen: %+v, %v", id, st, err)
		}
	}
}

// final reports whether another submission of the same request can change nothing.
func final(code ibiswork.Code) bool {
	switch code {
	case ibiswork.CodeBadRequest, ibiswork.CodeTooLarge, ibiswork.CodeUnauthorized, ibiswork.CodeForbidden,
		ibiswork.CodeExpiredID, ibiswork.CodeConflict, ibiswork.CodeNeverFits, ibiswork.CodeDeadline:
		return true
	}
	return false
}

func retryAfter(r *ibiswork.Refusal) time.Duration {
	if r == nil || r.RetryAfterMS == 0 {
		return defaultRetry
	}
	return time.Duration(r.RetryAfterMS) * time.Millisecond
}

// ask is the code of the refusal of a question after a request that was never made, or empty.
func ask(d *Daemon, key string) ibiswork.Code {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	h := &http.Client{Transport: keyed{d.http.Transport, key}}
	reply, err := ibishttp.Call(ctx, h, http.MethodGet, d.URL()+"/v1/requests/"+string(ibiswork.NewID()), nil)
	if err != nil {
		return ibiswork.CodeUnauthorized
	}
	if _, refusal, _ := decode(reply); refusal != nil {
		return refusal.Code
	}
	return ""
}
