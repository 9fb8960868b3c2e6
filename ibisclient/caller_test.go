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

	"ibiscrank/ibiswork"
)

// script is a daemon that answers each request by the next function; the last one goes on.
type script struct {
	mu    sync.Mutex
	steps []http.HandlerFunc
	ids   []ibiswork.ID
	calls int
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

func ofAnother(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(ibiswork.Status{ID: ibiswork.NewID(), Stage: ibiswork.Queued})
}

func refusing(code ibiswork.Code, notRun bool, retryAfterMS int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(ibiswork.Refusal{Code: code, NotRun: notRun, RetryAfterMS: retryAfterMS})
	}
}

func cutShort(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "1000")
	w.Write([]byte("{"))
	panic(http.ErrAbortHandler)
}

func notADaemon(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "bad gateway", http.StatusBadGateway)
}

// newCaller makes a caller that records its pauses instead of sleeping.
func newCaller(t *testing.T, daemons []string, opts ...CallerOption) (*Caller, *[]time.Duration) {
	t.Helper()
	var pauses []time.Duration
	c := NewCaller(daemons, "key", opts...)
	c.jitter = func() float64 { return 1 }
	c.sleep = func(ctx context.Context, d time.Duration) error {
		pauses = append(pauses, d)
		return ctx.Err()
	}
	return c, &pauses
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
		{"AtOnce", steps(ended), 1, "", false},
		{"Overloaded", steps(refusing(ibiswork.CodeOverloaded, true, 10), ended), 2, "", false},
		{"ConnectionLost", steps(cutShort, ended), 2, "", false},
		{"Balancer", steps(notADaemon, ended), 2, "", false},
		{"NoRetryHelps", steps(refusing(ibiswork.CodeNeverFits, true, 0)), 1, ibiswork.CodeNeverFits, true},
		{"DeadlineStays", steps(refusing(ibiswork.CodeDeadline, true, 1000)), 1, ibiswork.CodeDeadline, true},
		{"AttemptsUsedUp", steps(refusing(ibiswork.CodeOverloaded, true, 10)), 4, ibiswork.CodeOverloaded, true},
		{"NotRunOfTheLastOnly", steps(cutShort, refusing(ibiswork.CodeNeverFits, true, 0)), 2, ibiswork.CodeNeverFits, false},
		{"NotRunNeverPromised", steps(refusing(ibiswork.CodeOutcomeUnknown, false, 0)), 1, ibiswork.CodeOutcomeUnknown, false},
		{"AnswerOfAnother", steps(ofAnother), 1, ibiswork.CodeInternal, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			daemon := &script{steps: tc.steps}
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

func TestPausesHonourRetryAfter(t *testing.T) {
	daemon := &script{steps: []http.HandlerFunc{refusing(ibiswork.CodeOverLimit, true, 8000), ended}}
	srv := httptest.NewServer(daemon)
	defer srv.Close()
	c, pauses := newCaller(t, []string{srv.URL})
	_, err := c.Submit(t.Context(), ibiswork.Request{Class: ibiswork.Batch}, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, *pauses, []time.Duration{12 * time.Second})
}

// TestDeadlineCountsFromTheFirstAttempt has a pause take as long as it says by the clock of the test.
func TestDeadlineCountsFromTheFirstAttempt(t *testing.T) {
	var deadlines []int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req ibiswork.Request
		assert.Check(t, json.NewDecoder(r.Body).Decode(&req))
		deadlines = append(deadlines, req.DeadlineMS)
		refusing(ibiswork.CodeStoreUnavailable, true, 1000)(w, r)
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
	assert.DeepEqual(t, deadlines, []int64{4000, 2500, 1000}) // the fourth would come 4.5 s after the first
}

// TestBackoff checks that only refusals for overload make the caller stay away longer and longer.
func TestBackoff(t *testing.T) {
	for _, tc := range []struct {
		code    ibiswork.Code
		longest time.Duration // without the random part
	}{
		{ibiswork.CodeRecovering, quickBackoff},
		{ibiswork.CodeUnreachable, quickBackoff},
		{ibiswork.CodeStoreUnavailable, quickBackoff},
		{ibiswork.CodeOverloaded, maxBackoff},
		{ibiswork.CodeOverLimit, maxBackoff},
	} {
		t.Run(string(tc.code), func(t *testing.T) {
			srv := httptest.NewServer(refusing(tc.code, true, 100))
			defer srv.Close()
			c, pauses := newCaller(t, []string{srv.URL})
			_, err := c.Submit(t.Context(), ibiswork.Request{Class: ibiswork.Batch}, 0)
			assert.Equal(t, ibiswork.AsRefusal(err).Code, tc.code)
			assert.Equal(t, len(*pauses), DefaultAttempts-1)
			longest := time.Duration(0)
			for _, p := range *pauses {
				assert.Assert(t, p >= 100*time.Millisecond)
				longest = max(longest, p)
			}
			// The jitter of a test adds half; the backoff of the library has a random half of its own.
			assert.Assert(t, longest >= tc.longest/2 && longest <= tc.longest*9/4, "%v", longest)
		})
	}
}

func TestMovesBetweenDaemons(t *testing.T) {
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	draining := httptest.NewServer(refusing(ibiswork.CodeDraining, true, 100))
	defer draining.Close()
	live := httptest.NewServer(&script{steps: []http.HandlerFunc{ended}})
	defer live.Close()
	var attempts []Attempt
	c, pauses := newCaller(t, []string{dead.URL, draining.URL, live.URL}, WithObserver(func(a Attempt) { attempts = append(attempts, a) }))
	for range 2 {
		_, err := c.Submit(t.Context(), ibiswork.Request{Class: ibiswork.Batch}, 0)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(*pauses), 0)
	assert.Equal(t, len(attempts), 4) // the second call goes straight to the live daemon
	assert.Equal(t, attempts[0].Refusal.Code, ibiswork.CodeUnreachable)
	assert.Assert(t, attempts[0].Refusal.NotRun)
}

func TestSilentDaemonIsLeft(t *testing.T) {
	release := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer silent.Close()
	defer close(release)
	live := httptest.NewServer(&script{steps: []http.HandlerFunc{ended}})
	defer live.Close()
	c, _ := newCaller(t, []string{silent.URL, live.URL}, WithAnswerGrace(50*time.Millisecond))
	_, err := c.Submit(t.Context(), ibiswork.Request{Class: ibiswork.Batch}, 0)
	assert.NilError(t, err)
}

func TestRunAsksUntilTheEnd(t *testing.T) {
	daemon := &script{steps: []http.HandlerFunc{queued, cutShort, ended}}
	srv := httptest.NewServer(daemon)
	defer srv.Close()
	c, _ := newCaller(t, []string{srv.URL})
	answer, err := c.Run(t.Context(), ibiswork.Request{Class: ibiswork.Batch})
	assert.NilError(t, err)
	assert.Equal(t, answer.ID, daemon.ids[0])
}

func TestEndOfContextEndsTheCall(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c, _ := newCaller(t, []string{"127.0.0.1:1"})
	_, err := c.Submit(ctx, ibiswork.Request{Class: ibiswork.Batch}, 0)
	assert.Assert(t, err != nil)
}
