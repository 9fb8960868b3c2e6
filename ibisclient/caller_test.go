package ibisclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibishttp"
	"ibiscrank/ibiswork"
)

// scriptedDaemon answers each request with the next handler; the last handler answers all further requests.
type scriptedDaemon struct {
	mu    sync.Mutex
	steps []http.HandlerFunc
	ids   []ibiswork.ID
	calls int
}

func (s *scriptedDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	step := s.steps[min(s.calls, len(s.steps)-1)]
	s.calls++
	if r.Method == http.MethodPost {
		var req struct{ ID ibiswork.ID }
		if json.NewDecoder(r.Body).Decode(&req) == nil {
			s.ids = append(s.ids, req.ID)
			r.Header.Set("Test-ID", string(req.ID))
		}
	}
	s.mu.Unlock()
	step(w, r)
}

func ended(w http.ResponseWriter, r *http.Request) {
	id := ibiswork.ID(r.Header.Get("Test-ID"))
	if id == "" {
		id = ibiswork.ID(r.URL.Path[len("/v1/requests/"):])
	}
	json.NewEncoder(w).Encode(ibiswork.Status{ID: id, Stage: ibiswork.Ended, Answer: &ibiswork.Answer{ID: id, Outcome: ibiswork.Done}})
}

func queued(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusAccepted)
	json.NewEncoder(w).Encode(ibiswork.Status{ID: ibiswork.ID(r.Header.Get("Test-ID")), Stage: ibiswork.Queued})
}

func statusOfOtherRequest(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(ibiswork.Status{ID: ibiswork.NewID(), Stage: ibiswork.Queued})
}

func refuse(code ibiswork.Code, notRun bool, retryAfterMS int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(ibiswork.Refusal{Code: code, NotRun: notRun, RetryAfterMS: retryAfterMS})
	}
}

// notRead replies like a daemon that closes a connection whose request it has not read.
func notRead(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(ibishttp.StatusNotRead)
	json.NewEncoder(w).Encode(ibiswork.Refusal{Code: ibiswork.CodeDraining, RetryAfterMS: 100})
}

func truncatedReply(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "1000")
	w.Write([]byte("{"))
	panic(http.ErrAbortHandler)
}

func badGateway(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "bad gateway", http.StatusBadGateway)
}

// newCaller returns a Caller with the maximum jitter that records its delays instead of sleeping.
func newCaller(t *testing.T, daemons []string, opts ...CallerOption) (*Caller, *[]time.Duration) {
	t.Helper()
	var delays []time.Duration
	c := NewCaller(daemons, "key", opts...)
	c.jitter = func() float64 { return 1 }
	c.sleep = func(ctx context.Context, d time.Duration) error {
		delays = append(delays, d)
		return ctx.Err()
	}
	return c, &delays
}

func TestRetries(t *testing.T) {
	steps := func(s ...http.HandlerFunc) []http.HandlerFunc { return s }
	for _, tc := range []struct {
		name   string
		steps  []http.HandlerFunc
		calls  int
		code   ibiswork.Code // empty on success
		notRun bool
	}{
		{"FirstAttempt", steps(ended), 1, "", false},
		{"Overloaded", steps(refuse(ibiswork.CodeOverloaded, true, 10), ended), 2, "", false},
		{"ConnectionLost", steps(truncatedReply, ended), 2, "", false},
		{"NoRefusalCode", steps(badGateway, ended), 2, "", false},
		{"NotRetryable", steps(refuse(ibiswork.CodeNeverFits, true, 0)), 1, ibiswork.CodeNeverFits, true},
		{"DeadlineIsFinal", steps(refuse(ibiswork.CodeDeadline, true, 1000)), 1, ibiswork.CodeDeadline, true},
		{"AttemptsUsedUp", steps(refuse(ibiswork.CodeOverloaded, true, 10)), 4, ibiswork.CodeOverloaded, true},
		{"EarlierAttemptMayHaveRun", steps(truncatedReply, refuse(ibiswork.CodeNeverFits, true, 0)), 2, ibiswork.CodeNeverFits, false},
		{"OutcomeUnknown", steps(refuse(ibiswork.CodeOutcomeUnknown, false, 0)), 1, ibiswork.CodeOutcomeUnknown, false},
		{"NotRead", steps(notRead), 4, ibiswork.CodeDraining, true},
		{"NotReadAfterLostConnection", steps(truncatedReply, notRead), 4, ibiswork.CodeDraining, false},
		{"StatusOfAnotherRequest", steps(statusOfOtherRequest), 1, ibiswork.CodeInternal, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			daemon := &scriptedDaemon{steps: tc.steps}
			srv := httptest.NewServer(daemon)
			defer srv.Close()
			c, _ := newCaller(t, []string{srv.URL}, WithAttempts(4))
			st, err := c.Submit(t.Context(), ibiswork.Request{Class: ibiswork.Batch}, 0)
			assert.Equal(t, daemon.calls, tc.calls)
			for _, id := range daemon.ids {
				assert.Equal(t, id, daemon.ids[0]) // every attempt carries the same ID
				assert.NilError(t, id.Check())
			}
			if tc.code == "" {
				assert.NilError(t, err)
				assert.Equal(t, st.ID, daemon.ids[0])
				return
			}
			assert.Equal(t, ibiswork.AsRefusal(err).Code, tc.code)
			assert.Equal(t, ibiswork.AsRefusal(err).NotRun, tc.notRun)
		})
	}
}

// TestStatusRequestNotRead guards against taking a status request that was not read for a request that did not run.
func TestStatusRequestNotRead(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(notRead))
	defer srv.Close()
	c, _ := newCaller(t, []string{srv.URL}, WithAttempts(1))
	_, err := c.Status(t.Context(), ibiswork.NewID(), 0)
	assert.Equal(t, ibiswork.AsRefusal(err).Code, ibiswork.CodeDraining)
	assert.Assert(t, !ibiswork.AsRefusal(err).NotRun)
}

func TestDelaysHonourRetryAfter(t *testing.T) {
	daemon := &scriptedDaemon{steps: []http.HandlerFunc{refuse(ibiswork.CodeOverLimit, true, 8000), ended}}
	srv := httptest.NewServer(daemon)
	defer srv.Close()
	c, delays := newCaller(t, []string{srv.URL})
	_, err := c.Submit(t.Context(), ibiswork.Request{Class: ibiswork.Batch}, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, *delays, []time.Duration{12 * time.Second})
}

// TestDeadlineCountsFromTheFirstAttempt guards against sending the full deadline again with each retry. Each
// delay advances a fake clock.
func TestDeadlineCountsFromTheFirstAttempt(t *testing.T) {
	var deadlines []int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req ibiswork.Request
		assert.Check(t, json.NewDecoder(r.Body).Decode(&req))
		deadlines = append(deadlines, req.DeadlineMS)
		refuse(ibiswork.CodeStoreUnavailable, true, 1000)(w, r)
	}))
	defer srv.Close()
	c, _ := newCaller(t, []string{srv.URL})
	now := time.Unix(0, 0)
	c.now = func() time.Time { return now }
	c.sleep = func(_ context.Context, d time.Duration) error {
		now = now.Add(d)
		return nil
	}
	_, err := c.Submit(t.Context(), ibiswork.Request{Class: ibiswork.Interactive, DeadlineMS: 4000}, 0)
	assert.Equal(t, ibiswork.AsRefusal(err).Code, ibiswork.CodeStoreUnavailable)
	assert.DeepEqual(t, deadlines, []int64{4000, 2500, 1000}) // the fourth would start 4.5 s after the first
}

// TestBackoff checks that only refusals for overload let the backoff grow to its full maximum.
func TestBackoff(t *testing.T) {
	for _, tc := range []struct {
		code    ibiswork.Code
		longest time.Duration // without jitter
	}{
		{ibiswork.CodeRecovering, maxTransientBackoff},
		{ibiswork.CodeUnreachable, maxTransientBackoff},
		{ibiswork.CodeStoreUnavailable, maxTransientBackoff},
		{ibiswork.CodeOverloaded, maxBackoff},
		{ibiswork.CodeOverLimit, maxBackoff},
	} {
		t.Run(string(tc.code), func(t *testing.T) {
			srv := httptest.NewServer(refuse(tc.code, true, 100))
			defer srv.Close()
			c, delays := newCaller(t, []string{srv.URL})
			_, err := c.Submit(t.Context(), ibiswork.Request{Class: ibiswork.Batch}, 0)
			assert.Equal(t, ibiswork.AsRefusal(err).Code, tc.code)
			assert.Equal(t, len(*delays), DefaultAttempts-1)
			longest := time.Duration(0)
			for _, p := range *delays {
				assert.Assert(t, p >= 100*time.Millisecond)
				longest = max(longest, p)
			}
			// newCaller's jitter adds half of the delay; the backoff library randomizes by up to half as well.
			assert.Assert(t, longest >= tc.longest/2 && longest <= tc.longest*9/4, "%v", longest)
		})
	}
}

func TestFailsOverToLiveDaemon(t *testing.T) {
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	draining := httptest.NewServer(refuse(ibiswork.CodeDraining, true, 100))
	defer draining.Close()
	live := httptest.NewServer(&scriptedDaemon{steps: []http.HandlerFunc{ended}})
	defer live.Close()
	var attempts []Attempt
	c, delays := newCaller(t, []string{dead.URL, draining.URL, live.URL}, WithObserver(func(a Attempt) { attempts = append(attempts, a) }))
	for range 2 {
		_, err := c.Submit(t.Context(), ibiswork.Request{Class: ibiswork.Batch}, 0)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(*delays), 0)
	assert.Equal(t, len(attempts), 4) // the second call goes straight to the live daemon
	assert.Equal(t, attempts[0].Refusal.Code, ibiswork.CodeUnreachable)
	assert.Assert(t, attempts[0].Refusal.NotRun)
}

func TestSilentDaemonTimesOut(t *testing.T) {
	release := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer silent.Close()
	defer close(release)
	live := httptest.NewServer(&scriptedDaemon{steps: []http.HandlerFunc{ended}})
	defer live.Close()
	c, _ := newCaller(t, []string{silent.URL, live.URL}, WithAnswerGrace(50*time.Millisecond))
	_, err := c.Submit(t.Context(), ibiswork.Request{Class: ibiswork.Batch}, 0)
	assert.NilError(t, err)
}

func TestRunPollsUntilOutcome(t *testing.T) {
	daemon := &scriptedDaemon{steps: []http.HandlerFunc{queued, truncatedReply, ended}}
	srv := httptest.NewServer(daemon)
	defer srv.Close()
	c, _ := newCaller(t, []string{srv.URL})
	answer, err := c.Run(t.Context(), ibiswork.Request{Class: ibiswork.Batch})
	assert.NilError(t, err)
	assert.Equal(t, answer.ID, daemon.ids[0])
}

func TestCallEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c, _ := newCaller(t, []string{"127.0.0.1:1"})
	_, err := c.Submit(ctx, ibiswork.Request{Class: ibiswork.Batch}, 0)
	assert.Assert(t, err != nil)
}
