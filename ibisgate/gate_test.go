package ibisgate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

const (
	testKey = "key-of-floor"
	oldID   = ibiswork.ID("01890a5d-ac96-774b-bcce-b302099a8057") // generated in 2023
)

// fakeScheduler calls the functions set by a test; without them, it echoes submissions and answers NotFound to
// status requests.
type fakeScheduler struct {
	submit func(ctx context.Context, r ibiswork.Request, wait time.Duration) (ibiswork.Status, error)
	status func(ctx context.Context, team string, id ibiswork.ID, wait time.Duration) (ibiswork.Status, error)
}

func (f *fakeScheduler) Submit(ctx context.Context, r ibiswork.Request, wait time.Duration) (ibiswork.Status, error) {
	if f.submit == nil {
		return echo(r), nil
	}
	return f.submit(ctx, r, wait)
}

func (f *fakeScheduler) Status(ctx context.Context, team string, id ibiswork.ID, wait time.Duration) (ibiswork.Status, error) {
	if f.status == nil {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeNotFound, "unknown")
	}
	return f.status(ctx, team, id, wait)
}

func (f *fakeScheduler) Cancel(_ context.Context, _ string, id ibiswork.ID) (ibiswork.Status, error) {
	return ibiswork.Status{ID: id, Stage: ibiswork.Running}, nil
}

// echo returns the status of a request that is done, with its payload as the result.
func echo(r ibiswork.Request) ibiswork.Status {
	return ibiswork.Status{ID: r.ID, Stage: ibiswork.Ended, Answer: &ibiswork.Answer{ID: r.ID, Outcome: ibiswork.Done, Result: r.Payload, Attempts: 1}}
}

// fakeDaemon implements Config and Admission.
type fakeDaemon struct {
	snap    *ibisconfig.Snapshot
	refusal *ibiswork.Refusal // for requests with a key, if set
}

func (f *fakeDaemon) Snapshot() *ibisconfig.Snapshot { return f.snap }

func (f *fakeDaemon) Accept(keyed bool) error {
	if keyed && f.refusal != nil {
		return f.refusal
	}
	return nil
}

func newDaemon() *fakeDaemon {
	return &fakeDaemon{snap: ibisconfig.Snapshot{Version: 1, Teams: map[string]ibisconfig.Team{
		"floor":  {Name: "floor", Share: 1, Keys: []ibisconfig.Key{{Name: "a", Hash: ibisconfig.HashKey(testKey)}}},
		"quotes": {Name: "quotes", Share: 1, Queue: true},
	}}.Indexed()}
}

func newServer(t testing.TB, s Scheduler, d *fakeDaemon, opts ...Option) (*Gate, *httptest.Server) {
	t.Helper()
	g := New(s, d, d, opts...)
	router := mux.NewRouter()
	g.Register(router)
	srv := httptest.NewServer(router)
	t.Cleanup(srv.Close)
	return g, srv
}

// send sends one request and reads the reply, whose body must have the length in its header.
func send(t testing.TB, method, url, key, body string, header ...string) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.ContentLength, int64(len(b)))
	return resp, b
}

func problem(t testing.TB, b []byte) Problem {
	t.Helper()
	var p Problem
	assert.NilError(t, json.Unmarshal(b, &p), "%s", b)
	return p
}

// TestAnswersMatchedByID blocks 500 concurrent submissions until all have arrived and answers them in random
// order: each caller must get the answer to its own request.
func TestAnswersMatchedByID(t *testing.T) {
	const callers = 500
	type submission struct {
		r       ibiswork.Request
		release chan struct{}
	}
	arrived := make(chan submission, callers)
	_, srv := newServer(t, &fakeScheduler{submit: func(_ context.Context, r ibiswork.Request, _ time.Duration) (ibiswork.Status, error) {
		s := submission{r, make(chan struct{})}
		arrived <- s
		<-s.release
		return echo(r), nil
	}}, newDaemon())

	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 2))
	for range callers {
		id, payload := ibiswork.NewID(), make([]byte, 1+rng.IntN(20_000))
		for i := range payload {
			payload[i] = byte(rng.Uint32())
		}
		body, err := json.Marshal(ibiswork.Request{ID: id, Class: ibiswork.Interactive, Idempotent: true, Payload: payload})
		assert.NilError(t, err)
		wg.Go(func() {
			resp, b := send(t, http.MethodPost, srv.URL+"/v1/requests", testKey, string(body))
			assert.Check(t, resp.StatusCode == http.StatusOK)
			var st ibiswork.Status
			assert.Check(t, json.Unmarshal(b, &st))
			assert.Check(t, st.ID == id && st.Answer != nil && st.Answer.ID == id)
			assert.Check(t, string(st.Answer.Result) == string(payload))
		})
	}
	var blocked []submission
	for range callers {
		blocked = append(blocked, <-arrived)
	}
	rng.Shuffle(callers, func(i, j int) { blocked[i], blocked[j] = blocked[j], blocked[i] })
	for _, s := range blocked {
		close(s.release)
	}
	wg.Wait()
}

func TestAnswerOfAnotherRequestIsRejected(t *testing.T) {
	_, srv := newServer(t, &fakeScheduler{submit: func(context.Context, ibiswork.Request, time.Duration) (ibiswork.Status, error) {
		return echo(ibiswork.Request{ID: ibiswork.NewID(), Payload: []byte("of another")}), nil
	}}, newDaemon())
	resp, b := send(t, http.MethodPost, srv.URL+"/v1/requests", testKey, `{"Class":"Batch"}`)
	assert.Equal(t, resp.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, problem(t, b).Code, ibiswork.CodeInternal)
	assert.Assert(t, !problem(t, b).NotRun)
}

func TestRefusals(t *testing.T) {
	_, srv := newServer(t, &fakeScheduler{}, newDaemon(), WithMaxBodyBytes(2000))
	future := uuid.Must(uuid.NewV7())
	future[0]++ // some months ahead
	id := string(ibiswork.NewID())
	for _, tc := range []struct {
		name, method, path, key, body string
		status                        int
		code                          ibiswork.Code
		notRun                        bool
	}{
		{"NoKey", "POST", "/v1/requests", "", `{"Class":"Batch"}`, 401, ibiswork.CodeUnauthorized, true},
		{"WrongKey", "POST", "/v1/requests", "nope", `{"Class":"Batch"}`, 401, ibiswork.CodeUnauthorized, true},
		{"ClosedQueue", "POST", "/v1/requests", "", `{"Class":"Batch","Queue":"floor"}`, 401, ibiswork.CodeUnauthorized, true},
		{"QueueAndKey", "POST", "/v1/requests", testKey, `{"Class":"Batch","Queue":"quotes"}`, 400, ibiswork.CodeBadRequest, true},
		{"OtherTeam", "POST", "/v1/requests", testKey, `{"Class":"Batch","Team":"quotes"}`, 403, ibiswork.CodeForbidden, true},
		{"TeamInQueue", "POST", "/v1/requests", "", `{"Class":"Batch","Queue":"quotes","Team":"floor"}`, 403, ibiswork.CodeForbidden, true},
		{"NotJSON", "POST", "/v1/requests", testKey, `{`, 400, ibiswork.CodeBadRequest, true},
		{"Empty", "POST", "/v1/requests", testKey, ``, 400, ibiswork.CodeBadRequest, true},
		{"TwoValues", "POST", "/v1/requests", testKey, `{"Class":"Batch"} {}`, 400, ibiswork.CodeBadRequest, true},
		{"UnknownField", "POST", "/v1/requests", testKey, `{"Class":"Batch","Colour":1}`, 400, ibiswork.CodeBadRequest, true},
		{"UnknownClass", "POST", "/v1/requests", testKey, `{"Class":"Urgent"}`, 400, ibiswork.CodeBadRequest, true},
		{"BadID", "POST", "/v1/requests", testKey, `{"Class":"Batch","ID":"7"}`, 400, ibiswork.CodeBadRequest, true},
		{"OldID", "POST", "/v1/requests", testKey, fmt.Sprintf(`{"Class":"Batch","ID":%q}`, oldID), 410, ibiswork.CodeExpiredID, false},
		{"FutureID", "POST", "/v1/requests", testKey, fmt.Sprintf(`{"Class":"Batch","ID":%q}`, future), 410, ibiswork.CodeExpiredID, false},
		{"TooLarge", "POST", "/v1/requests", testKey, `{"Class":"Batch","Payload":"` + strings.Repeat("A", 4000) + `"}`, 413, ibiswork.CodeTooLarge, true},
		{"BadWait", "POST", "/v1/requests?WaitMS=-1", testKey, `{"Class":"Batch"}`, 400, ibiswork.CodeBadRequest, true},
		{"HugeWait", "GET", "/v1/requests/" + id + "?WaitMS=99999999999999999", testKey, "", 400, ibiswork.CodeBadRequest, false},
		{"StatusUnknown", "GET", "/v1/requests/" + id, testKey, "", 404, ibiswork.CodeNotFound, false},
		{"StatusWrongKey", "GET", "/v1/requests/" + id, "nope", "", 401, ibiswork.CodeUnauthorized, false},
		{"StatusBadID", "GET", "/v1/requests/7", testKey, "", 400, ibiswork.CodeBadRequest, false},
		{"CancelWrongKey", "DELETE", "/v1/requests/" + id, "nope", "", 401, ibiswork.CodeUnauthorized, false},
		{"NoRoute", "GET", "/v2/requests", testKey, "", 404, ibiswork.CodeNotFound, false},
		{"NoMethod", "PUT", "/v1/requests", testKey, "{}", 405, ibiswork.CodeBadRequest, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp, b := send(t, tc.method, srv.URL+tc.path, tc.key, tc.body)
			p := problem(t, b)
			assert.Equal(t, resp.StatusCode, tc.status, "%s", b)
			assert.Equal(t, p.Code, tc.code)
			assert.Equal(t, p.NotRun, tc.notRun)
			assert.Equal(t, resp.Header.Get("Content-Type"), "application/json")
		})
	}
}

func TestWaiting(t *testing.T) {
	var got time.Duration
	var team string
	_, srv := newServer(t, &fakeScheduler{submit: func(_ context.Context, r ibiswork.Request, wait time.Duration) (ibiswork.Status, error) {
		got, team = wait, r.Team
		return ibiswork.Status{ID: r.ID, Stage: ibiswork.Queued}, nil
	}}, newDaemon())
	for _, tc := range []struct {
		name, query, prefer, body string
		want                      time.Duration
	}{
		{"Durable", "", "", `{"Class":"Batch"}`, 0},
		{"Deadline", "", "", `{"Class":"Interactive","DeadlineMS":1700}`, 1700 * time.Millisecond},
		{"NoDeadline", "", "", `{"Class":"Interactive"}`, DefaultMaxWait},
		{"Bounded", "", "", `{"Class":"Interactive","DeadlineMS":600000}`, DefaultMaxWait},
		{"Prefer", "", "respond-async, wait=7", `{"Class":"Batch"}`, 7 * time.Second},
		{"WaitMS", "?WaitMS=250", "wait=7", `{"Class":"Batch"}`, 250 * time.Millisecond},
		{"Wait", "?Wait=1.5s", "", `{"Class":"Batch"}`, 1500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp, b := send(t, http.MethodPost, srv.URL+"/v1/requests"+tc.query, testKey, tc.body, "Prefer", tc.prefer)
			var st ibiswork.Status
			assert.NilError(t, json.Unmarshal(b, &st))
			assert.Equal(t, resp.StatusCode, http.StatusAccepted)
			assert.Equal(t, resp.Header.Get("Location"), "/v1/requests/"+string(st.ID))
			assert.NilError(t, st.ID.Check())
			assert.Equal(t, got, tc.want)
			assert.Equal(t, team, "floor")
		})
	}
}

// TestOpenQueueIsATeam checks that a request without a key gets the open queue as its team and can be queried
// without a key, while the requests of a team with keys cannot.
func TestOpenQueueIsATeam(t *testing.T) {
	teamByID := map[ibiswork.ID]string{}
	d := newDaemon()
	d.snap.Teams["another"] = d.snap.Teams["quotes"]
	_, srv := newServer(t, &fakeScheduler{
		submit: func(_ context.Context, r ibiswork.Request, _ time.Duration) (ibiswork.Status, error) {
			teamByID[r.ID] = r.Team
			return ibiswork.Status{ID: r.ID, Stage: ibiswork.Queued}, nil
		},
		status: func(_ context.Context, team string, id ibiswork.ID, _ time.Duration) (ibiswork.Status, error) {
			if teamByID[id] != team {
				return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeNotFound, "unknown")
			}
			return ibiswork.Status{ID: id, Stage: ibiswork.Running}, nil
		},
	}, d)
	for _, tc := range []struct {
		key, body, team  string
		statusWithoutKey int
	}{
		{"", `{"Class":"Batch","Queue":"quotes"}`, "quotes", http.StatusOK},
		{testKey, `{"Class":"Batch"}`, "floor", http.StatusNotFound},
	} {
		resp, _ := send(t, http.MethodPost, srv.URL+"/v1/requests", tc.key, tc.body)
		assert.Equal(t, resp.StatusCode, http.StatusAccepted)
		location := resp.Header.Get("Location")
		assert.Equal(t, teamByID[ibiswork.ID(location[len("/v1/requests/"):])], tc.team)
		resp, _ = send(t, http.MethodGet, srv.URL+location, "", "")
		assert.Equal(t, resp.StatusCode, tc.statusWithoutKey)
		resp, _ = send(t, http.MethodGet, srv.URL+location, testKey, "")
		assert.Equal(t, resp.StatusCode == http.StatusOK, tc.key == testKey)
	}
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	_, srv := newServer(t, &fakeScheduler{submit: func(context.Context, ibiswork.Request, time.Duration) (ibiswork.Status, error) {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeOverLimit, "full").WithRetryAfter(1001 * time.Millisecond)
	}}, newDaemon())
	resp, b := send(t, http.MethodPost, srv.URL+"/v1/requests", testKey, `{"Class":"Batch"}`)
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, resp.Header.Get("Retry-After"), "2")
	assert.Equal(t, problem(t, b).RetryAfterMS, int64(1001))
	assert.NilError(t, problem(t, b).RequestID.Check())
}

func TestPanicBecomesInternal(t *testing.T) {
	g, srv := newServer(t, &fakeScheduler{submit: func(context.Context, ibiswork.Request, time.Duration) (ibiswork.Status, error) {
		panic("fault")
	}}, newDaemon())
	resp, b := send(t, http.MethodPost, srv.URL+"/v1/requests", testKey, `{"Class":"Batch"}`)
	assert.Equal(t, resp.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, problem(t, b).Code, ibiswork.CodeInternal)
	assert.Assert(t, !problem(t, b).NotRun)
	assert.NilError(t, g.Drain(t.Context()))
}
