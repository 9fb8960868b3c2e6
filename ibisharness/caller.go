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
	// callTimeoutMargin is added to the wait time of a call, which gives the timeout of the call.
	callTimeoutMargin = 15 * time.Second
	// maxConnsPerDaemon is the maximum number of connections from one caller to one daemon.
	maxConnsPerDaemon = 64
	// statusWait is how long one status query waits for the request to end.
	statusWait = 2 * time.Second
	// defaultRetryDelay is the delay before a retry if the reply contains none.
	defaultRetryDelay = 50 * time.Millisecond
	// repliesToConfirm is the number of consecutive replies with the code OutcomeUnknown, or with NotFound,
	// after which a caller takes the code as final.
	repliesToConfirm = 3
)

// Submission records one call that submitted a request, and its reply.
type Submission struct {
	Request    ibiswork.Request
	Key        string
	Daemon     int // index of the daemon that was called
	Sent       time.Time
	Received   time.Time
	HTTPStatus int               // zero without a reply
	Status     *ibiswork.Status  // set if the request was accepted
	Refusal    *ibiswork.Refusal // set if the request was refused
	Err        error             // set if there was no reply, or an invalid one
	Dialled    bool              // false if no connection was established, so that nothing was sent
}

// Accepted reports whether the daemon accepted the request.
func (s Submission) Accepted() bool { return s.Status != nil }

// Ended reports whether the reply contained the final status of the request.
func (s Submission) Ended() bool { return s.Status != nil && s.Status.Stage == ibiswork.Ended }

// NotRun reports whether this submission is guaranteed not to run: it was never sent, or its refusal says so.
func (s Submission) NotRun() bool { return !s.Dialled || s.Refusal != nil && s.Refusal.NotRun }

// Trace records all submissions of all callers and the final status of each request, for the checks at the
// end of a test.
type Trace struct {
	mu          sync.Mutex
	submissions []Submission
	final       map[ibiswork.ID]ibiswork.Status
	unknown     map[ibiswork.ID]ibiswork.Refusal
}

func (tr *Trace) addSubmission(s Submission) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.submissions = append(tr.submissions, s)
}

func (tr *Trace) recordFinal(st ibiswork.Status) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.final == nil {
		tr.final = map[ibiswork.ID]ibiswork.Status{}
	}
	tr.final[st.ID] = st
}

func (tr *Trace) recordUnknown(id ibiswork.ID, r ibiswork.Refusal) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.unknown == nil {
		tr.unknown = map[ibiswork.ID]ibiswork.Refusal{}
	}
	tr.unknown[id] = r
}

// UnknownOutcomes returns the refusals of the requests for which the daemons confirmed that the outcome is
// unknown.
func (tr *Trace) UnknownOutcomes() map[ibiswork.ID]ibiswork.Refusal {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return maps.Clone(tr.unknown)
}

// Submissions returns all submissions so far.
func (tr *Trace) Submissions() []Submission {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]Submission(nil), tr.submissions...)
}

// FinalStatuses returns the most recent final status of each request that has ended.
func (tr *Trace) FinalStatuses() map[ibiswork.ID]ibiswork.Status {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return maps.Clone(tr.final)
}

// Caller calls the daemons with one key. It is safe for concurrent use.
type Caller struct {
	cluster *Cluster
	key     string
	http    *http.Client
}

// NewCaller returns a caller with its own connection pool.
func (c *Cluster) NewCaller(key string) *Caller {
	h := &http.Client{Transport: ibishttp.NewTransport(maxConnsPerDaemon)}
	c.t.Cleanup(h.CloseIdleConnections)
	return &Caller{cluster: c, key: key, http: h}
}

// call sends one HTTP request to the daemon with this index.
func (c *Caller) call(ctx context.Context, daemon int, method, path string, body any) (ibishttp.Reply, error) {
	h := &http.Client{Transport: keyTransport{c.http.Transport, c.key}}
	return ibishttp.Call(ctx, h, method, c.cluster.Daemons[daemon].URL()+path, body)
}

// keyTransport adds an authorization header with the key to every request. An empty key adds none.
type keyTransport struct {
	http.RoundTripper
	key string
}

// RoundTrip implements http.RoundTripper.
func (k keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if k.key != "" {
		r.Header.Set("Authorization", "Bearer "+k.key)
	}
	return k.RoundTripper.RoundTrip(r)
}

// Submit submits a request once to the daemon with this index, and records the submission in the trace. The
// daemon holds its reply until the request has ended, for at most wait.
func (c *Caller) Submit(ctx context.Context, r ibiswork.Request, daemon int, wait time.Duration) Submission {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeoutMargin)
	defer cancel()
	s := Submission{Request: r, Key: c.key, Daemon: daemon, Sent: time.Now()}
	path := "/v1/requests?WaitMS=" + strconv.FormatInt(wait.Milliseconds(), 10)
	reply, err := c.call(ctx, daemon, http.MethodPost, path, r)
	s.Received, s.HTTPStatus, s.Dialled, s.Err = time.Now(), reply.Status, reply.Sent, err
	if err == nil {
		s.Status, s.Refusal, s.Err = decodeReply(reply)
	}
	if s.Refusal != nil && s.Refusal.Code == ibiswork.CodeDraining && reply.Status == ibishttp.StatusNotRead {
		s.Refusal.NotRun = true
	}
	c.cluster.Trace.addSubmission(s)
	if s.Ended() {
		c.cluster.Trace.recordFinal(*s.Status)
	}
	return s
}

// decodeReply decodes the reply to a submission, a status query or a cancellation.
func decodeReply(reply ibishttp.Reply) (*ibiswork.Status, *ibiswork.Refusal, error) {
	if reply.Status == http.StatusOK || reply.Status == http.StatusAccepted {
		var st ibiswork.Status
		if err := json.Unmarshal(reply.Body, &st); err != nil {
			return nil, nil, Error.New("decode status: %v, in the reply %q", err, reply.Body)
		}
		return &st, nil, nil
	}
	var problem ibisgate.Problem
	if err := json.Unmarshal(reply.Body, &problem); err != nil {
		return nil, nil, Error.New("decode refusal: %v, in the reply %q", err, reply.Body)
	}
	return nil, &problem.Refusal, nil
}

// Status queries a daemon for the status of a request. The daemon holds its reply until the request has
// ended, for at most wait. Exactly one of the results is not nil.
func (c *Caller) Status(ctx context.Context, id ibiswork.ID, daemon int, wait time.Duration) (*ibiswork.Status, *ibiswork.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeoutMargin)
	defer cancel()
	path := "/v1/requests/" + string(id) + "?WaitMS=" + strconv.FormatInt(wait.Milliseconds(), 10)
	reply, err := c.call(ctx, daemon, http.MethodGet, path, nil)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	st, refusal, err := decodeReply(reply)
	if st != nil && st.Stage == ibiswork.Ended {
		c.cluster.Trace.recordFinal(*st)
	}
	return st, refusal, err
}

// Cancel cancels a request through the daemon with this index. Exactly one of the results is not nil.
func (c *Caller) Cancel(ctx context.Context, id ibiswork.ID, daemon int) (*ibiswork.Status, *ibiswork.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
	defer cancel()
	reply, err := c.call(ctx, daemon, http.MethodDelete, "/v1/requests/"+string(id), nil)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	return decodeReply(reply)
}

// Do submits a request to the daemons in turn, starting with index first and always with the same ID, until
// it is accepted, refused permanently, or ctx is done. It follows an accepted request as Follow does; if no
// daemon knows an interactive request any more, it submits the request again. Do returns the final status, or
// the last refusal or error.
func (c *Caller) Do(ctx context.Context, r ibiswork.Request, first int) (*ibiswork.Status, error) {
	var last error
	for daemon := first % len(c.cluster.Daemons); ; daemon = (daemon + 1) % len(c.cluster.Daemons) {
		s := c.Submit(ctx, r, daemon, statusWait)
		switch {
		case s.Ended():
			return s.Status, nil
		case s.Accepted():
			st, err := c.Follow(ctx, r.ID, daemon)
			if refusal, ok := errors.AsType[*ibiswork.Refusal](err); !ok || refusal.Code != ibiswork.CodeNotFound || r.Class.Durable() {
				return st, err
			}
			last = err
		case s.Refusal != nil && isPermanent(s.Refusal.Code):
			return nil, s.Refusal
		case s.Refusal != nil:
			last = s.Refusal
		default:
			last = s.Err
		}
		if !sleep(ctx, retryAfter(s.Refusal)) {
			return nil, last
		}
	}
}

// Follow queries the daemons in turn for the status of an accepted request until it has ended, its outcome is
// confirmed to be unknown, no daemon knows it, or ctx is done. It returns the final status, or a refusal or
// error.
func (c *Caller) Follow(ctx context.Context, id ibiswork.ID, first int) (*ibiswork.Status, error) {
	unknown, notFound := 0, 0
	for daemon := first; ; daemon = (daemon + 1) % len(c.cluster.Daemons) {
		st, refusal, err := c.Status(ctx, id, daemon, statusWait)
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
		if notFound == repliesToConfirm {
			return nil, refusal
		}
		if unknown == repliesToConfirm {
			c.cluster.Trace.recordUnknown(id, *refusal)
			return nil, refusal
		}
		wait := defaultRetryDelay
		if st == nil {
			wait = retryAfter(refusal)
		}
		if !sleep(ctx, wait) {
			return nil, Error.New("request %s has not ended; last status: %+v, last error: %v", id, st, err)
		}
	}
}

// isPermanent reports whether a refusal with this code is final, so that retrying the same request is
// useless.
func isPermanent(code ibiswork.Code) bool {
	switch code {
	case ibiswork.CodeBadRequest, ibiswork.CodeTooLarge, ibiswork.CodeUnauthorized, ibiswork.CodeForbidden,
		ibiswork.CodeExpiredID, ibiswork.CodeConflict, ibiswork.CodeNeverFits, ibiswork.CodeDeadline:
		return true
	}
	return false
}

func retryAfter(r *ibiswork.Refusal) time.Duration {
	if r == nil || r.RetryAfterMS == 0 {
		return defaultRetryDelay
	}
	return time.Duration(r.RetryAfterMS) * time.Millisecond
}

// probeKey queries a daemon for a request that does not exist. It returns the code of the refusal, or an
// empty code if there is none. It also returns Unauthorized if there was no reply, so that awaitKey continues
// to wait.
func probeKey(d *Daemon, key string) ibiswork.Code {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	h := &http.Client{Transport: keyTransport{d.http.Transport, key}}
	reply, err := ibishttp.Call(ctx, h, http.MethodGet, d.URL()+"/v1/requests/"+string(ibiswork.NewID()), nil)
	if err != nil {
		return ibiswork.CodeUnauthorized
	}
	if _, refusal, _ := decodeReply(reply); refusal != nil {
		return refusal.Code
	}
	return ""
}
