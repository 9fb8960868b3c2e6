package ibisgate

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"ibiscrank/ibiswork"
)

func TestDrain(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	g, srv := newServer(t, &fakeScheduler{submit: func(_ context.Context, r ibiswork.Request, _ time.Duration) (ibiswork.Status, error) {
		close(arrived)
		<-release
		return echo(r), nil
	}}, newDaemon())
	first := make(chan *http.Response)
	go func() {
		resp, b := send(t, http.MethodPost, srv.URL+"/v1/requests", testKey, `{"Class":"Interactive","Payload":"aGVsbG8="}`)
		assert.Check(t, bytes.Contains(b, []byte(`"Result":"aGVsbG8="`)), "%s", b)
		first <- resp
	}()
	<-arrived
	assert.Equal(t, g.InFlight(), int64(1))

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorContains(t, g.Drain(cancelled), "1 requests still in progress")

	resp, b := send(t, http.MethodPost, srv.URL+"/v1/requests", testKey, `{"Class":"Batch"}`)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, problem(t, b).Code, ibiswork.CodeDraining)
	assert.Assert(t, problem(t, b).NotRun && problem(t, b).RetryAfterMS > 0)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
	assert.Assert(t, resp.Close)
	resp, _ = send(t, http.MethodGet, srv.URL+"/v1/ready", "", "")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	resp, _ = send(t, http.MethodGet, srv.URL+"/v1/health", "", "")
	assert.Equal(t, resp.StatusCode, http.StatusOK)

	drained := make(chan error)
	go func() { drained <- g.Drain(t.Context()) }()
	close(release)
	resp = <-first
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close)
	assert.NilError(t, <-drained)
	assert.Equal(t, g.InFlight(), int64(0))
}

// TestDrainInterruptsWaits drains while a submission and a status request are waiting. Both must be answered
// before the deadline of the drain: the status request at once, the submission after three quarters of the
// time.
func TestDrainInterruptsWaits(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		stage      ibiswork.Stage
		answers    bool // whether the scheduler returns the stage when its context ends; if not, it refuses
		status     int
		code       ibiswork.Code
	}{
		{"Durable", `{"Class":"Batch"}`, ibiswork.Queued, false, http.StatusAccepted, ""},
		{"NotIdempotentRunning", `{"Class":"Interactive"}`, ibiswork.Running, true, http.StatusAccepted, ""},
		{"NotIdempotentQueued", `{"Class":"Interactive"}`, ibiswork.Queued, false, http.StatusServiceUnavailable, ibiswork.CodeDraining},
		{"IdempotentUnknown", `{"Class":"Interactive","Idempotent":true}`, ibiswork.Running, false, http.StatusServiceUnavailable, ibiswork.CodeDraining},
		{"Idempotent", `{"Class":"Interactive","Idempotent":true}`, ibiswork.Running, true, http.StatusServiceUnavailable, ibiswork.CodeDraining},
	} {
		t.Run(tc.name, func(t *testing.T) {
			waiting := make(chan struct{}, 2)
			hold := func(ctx context.Context) error {
				waiting <- struct{}{}
				<-ctx.Done()
				if tc.answers {
					return nil
				}
				return ibiswork.Refuse(ibiswork.CodeUnreachable, "%v", ctx.Err()).WithMaybeRun()
			}
			g, srv := newServer(t, &fakeScheduler{
				submit: func(ctx context.Context, r ibiswork.Request, _ time.Duration) (ibiswork.Status, error) {
					return ibiswork.Status{ID: r.ID, Stage: tc.stage}, hold(ctx)
				},
				status: func(ctx context.Context, _ string, id ibiswork.ID, wait time.Duration) (ibiswork.Status, error) {
					if wait > 0 {
						return ibiswork.Status{ID: id, Stage: tc.stage}, hold(ctx)
					}
					return ibiswork.Status{ID: id, Stage: tc.stage}, ctx.Err()
				},
			}, newDaemon())
			var wg sync.WaitGroup
			wg.Go(func() {
				resp, b := send(t, http.MethodPost, srv.URL+"/v1/requests?WaitMS=60000", testKey, tc.body)
				assert.Check(t, resp.StatusCode == tc.status && resp.Close, "%d %s", resp.StatusCode, b)
				assert.Check(t, problem(t, b).Code == tc.code && !problem(t, b).NotRun, "%s", b)
			})
			wg.Go(func() {
				resp, _ := send(t, http.MethodGet, srv.URL+"/v1/requests/"+string(ibiswork.NewID())+"?WaitMS=20000", testKey, "")
				assert.Check(t, resp.StatusCode == http.StatusOK && resp.Close)
			})
			<-waiting
			<-waiting
			// Submissions are interrupted after three quarters of the time, well before the deadline.
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			assert.NilError(t, g.Drain(ctx))
			wg.Wait()
		})
	}
}

func TestOverloaded(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	_, srv := newServer(t, &fakeScheduler{submit: func(_ context.Context, r ibiswork.Request, _ time.Duration) (ibiswork.Status, error) {
		close(arrived)
		<-release
		return echo(r), nil
	}}, newDaemon(), WithMaxInFlight(1))
	done := make(chan struct{})
	go func() {
		defer close(done)
		send(t, http.MethodPost, srv.URL+"/v1/requests", testKey, `{"Class":"Batch"}`)
	}()
	<-arrived
	_, b := send(t, http.MethodPost, srv.URL+"/v1/requests", testKey, `{"Class":"Batch"}`)
	assert.Equal(t, problem(t, b).Code, ibiswork.CodeOverloaded)
	assert.Assert(t, problem(t, b).NotRun)
	close(release)
	<-done
}

// TestCallerDisconnects checks that a durable submission continues after its caller has disconnected, while
// an idempotent interactive one is cancelled at once.
func TestCallerDisconnects(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		continues  bool
	}{
		{"Durable", `{"Class":"Batch"}`, true},
		{"NotIdempotent", `{"Class":"Interactive"}`, true},
		{"Idempotent", `{"Class":"Interactive","Idempotent":true}`, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			arrived, disconnected, running := make(chan struct{}), make(chan struct{}), make(chan bool)
			g := New(&fakeScheduler{submit: func(ctx context.Context, r ibiswork.Request, _ time.Duration) (ibiswork.Status, error) {
				close(arrived)
				<-disconnected
				running <- ctx.Err() == nil
				return echo(r), nil
			}}, newDaemon(), newDaemon())
			router := mux.NewRouter()
			g.Register(router)
			ctx, cancel := context.WithCancel(t.Context())
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/requests", bytes.NewBufferString(tc.body))
			r.Header.Set("Authorization", "bearer "+testKey)
			go router.ServeHTTP(httptest.NewRecorder(), r)
			<-arrived
			cancel()
			close(disconnected)
			assert.Equal(t, <-running, tc.continues)
			assert.NilError(t, g.Drain(t.Context()))
		})
	}
}

func TestCutOff(t *testing.T) {
	d := newDaemon()
	d.refusal = ibiswork.Refuse(ibiswork.CodeCutOff, "no contact")
	_, srv := newServer(t, &fakeScheduler{}, d)
	resp, b := send(t, http.MethodPost, srv.URL+"/v1/requests", testKey, `{"Class":"Batch"}`)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, problem(t, b).Code, ibiswork.CodeCutOff)
	resp, _ = send(t, http.MethodGet, srv.URL+"/v1/ready", "", "")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	resp, _ = send(t, http.MethodPost, srv.URL+"/v1/requests", "", `{"Class":"Batch","Queue":"quotes"}`)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func TestAgeOfIDs(t *testing.T) {
	id := ibiswork.ID(uuid.Must(uuid.NewV7()).String())
	for _, tc := range []struct {
		name string
		now  time.Duration // relative to the time in the ID
		ok   bool
	}{
		{"Fresh", 0, true},
		{"AtTheEndOfTheWindow", time.Minute, true},
		{"PastTheWindow", time.Minute + time.Millisecond, false},
		{"MinuteAhead", -time.Minute, true},
		{"MoreThanAMinuteAhead", -time.Minute - time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := New(nil, nil, nil, WithDuplicateWindow(time.Minute), WithClock(func() time.Time { return id.Time().Add(tc.now) }))
			assert.Equal(t, g.checkIDAge(id) == nil, tc.ok)
		})
	}
}
