package ibisload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisgate"
	"ibiscrank/ibisserver"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

// fakeDaemon completes every request immediately, unless a test injects a fault.
type fakeDaemon struct {
	mu           sync.Mutex
	answers      map[ibiswork.ID]ibiswork.Answer
	refuse       func(r ibiswork.Request) error
	loseAccepted bool // queries for accepted requests return NotFound
	wrongIDs     bool // results carry the ID of another request
	rerun        bool // each submission of an ID runs the request again
	runs         int
}

func (f *fakeDaemon) Snapshot() *ibisconfig.Snapshot {
	return ibisconfig.Snapshot{Teams: map[string]ibisconfig.Team{
		"a": {Keys: []ibisconfig.Key{{Hash: ibisconfig.HashKey("ka")}}},
		"q": {Queue: true},
	}}.Indexed()
}

func (f *fakeDaemon) Accept(bool) error { return nil }

func (f *fakeDaemon) Submit(_ context.Context, r ibiswork.Request, _ time.Duration) (ibiswork.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse != nil {
		if err := f.refuse(r); err != nil {
			return ibiswork.Status{}, err
		}
	}
	if _, ok := f.answers[r.ID]; !ok || f.rerun {
		f.runs++
		f.answers[r.ID] = f.run(r)
	}
	a := f.answers[r.ID]
	if r.Class.Durable() && !f.rerun {
		return ibiswork.Status{ID: r.ID, Stage: ibiswork.Queued}, nil
	}
	return ibiswork.Status{ID: r.ID, Stage: ibiswork.Ended, Answer: &a}, nil
}

func (f *fakeDaemon) Status(_ context.Context, _ string, id ibiswork.ID, _ time.Duration) (ibiswork.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.answers[id]
	if !ok || f.loseAccepted {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeNotFound, "unknown")
	}
	return ibiswork.Status{ID: id, Stage: ibiswork.Ended, Answer: &a}, nil
}

func (f *fakeDaemon) Cancel(_ context.Context, _ string, id ibiswork.ID) (ibiswork.Status, error) {
	return ibiswork.Status{ID: id, Stage: ibiswork.Running}, nil
}

// run returns the answer that a simulated backend server would give.
func (f *fakeDaemon) run(r ibiswork.Request) ibiswork.Answer {
	var p ibisstandin.Payload
	if json.Unmarshal(r.Payload, &p) != nil {
		return ibiswork.Answer{ID: r.ID, Outcome: ibiswork.Failed}
	}
	id := r.ID
	if f.wrongIDs {
		id = ibiswork.NewID()
	}
	var results []ibisstandin.Result
	filler := strings.Repeat("x", p.ResultBytes)
	for i := range r.TaskCount() {
		results = append(results, ibisstandin.Result{
			Request: id, Index: i, Attempt: f.runs, Filler: filler, FillerSum: hex(filler), PayloadSum: hex(string(r.Payload)),
		})
	}
	var b []byte
	if len(results) == 1 {
		b, _ = json.Marshal(results[0])
	} else {
		b, _ = json.Marshal(results)
	}
	return ibiswork.Answer{ID: r.ID, Outcome: ibiswork.Done, Result: b}
}

func hex(s string) string { return strconv.FormatUint(xxhash.Sum64String(s), 16) }

func newOptions(t *testing.T, f *fakeDaemon) Options {
	t.Helper()
	f.answers = make(map[ibiswork.ID]ibiswork.Answer)
	router := mux.NewRouter()
	ibisgate.New(f, f, f).Register(router)
	srv := httptest.NewServer(router)
	t.Cleanup(srv.Close)
	mix, err := NamedMix("tuul")
	assert.NilError(t, err)
	return Options{
		Daemons:  []string{srv.URL, srv.URL},
		Teams:    []Team{{Name: "a", Key: "ka", Weight: 3}, {Name: "q", Queue: "q"}},
		Mix:      mix,
		Rate:     2000,
		Duration: 200 * time.Millisecond,
		Seed:     7,
		Attempts: 1,
	}
}

func TestRun(t *testing.T) {
	for _, tc := range []struct {
		name   string
		daemon *fakeDaemon
		repeat float64
		err    string
	}{
		{"Good", &fakeDaemon{}, 0.5, ""},
		{"Lost", &fakeDaemon{loseAccepted: true}, 0, "lost"},
		{"MixedUp", &fakeDaemon{wrongIDs: true}, 0, "answered with a wrong result"},
		{"RunTwice", &fakeDaemon{rerun: true}, 1, "answered twice differently"},
		{"Refused", &fakeDaemon{refuse: func(ibiswork.Request) error { return ibiswork.Refuse(ibiswork.CodeNeverFits, "too large") }}, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			opts := newOptions(t, tc.daemon)
			opts.RepeatFraction = tc.repeat
			rep, err := Run(t.Context(), opts)
			assert.NilError(t, err)
			if tc.err == "" {
				assert.NilError(t, rep.Err())
			} else {
				assert.ErrorContains(t, rep.Err(), tc.err)
			}
			checkSums(t, rep.Total)
			for _, l := range append(rep.Classes, rep.Kinds...) {
				checkSums(t, l)
			}
			assert.Equal(t, int64(len(rep.Records)), rep.Total.Offered)
			if tc.daemon.refuse != nil {
				assert.Equal(t, rep.Total.RefusedBy[ibiswork.CodeNeverFits], rep.Total.Offered)
				assert.Equal(t, int64(len(rep.NotRunIDs())), rep.Total.Offered)
			}
		})
	}
}

// checkSums verifies that each request is counted under exactly one final state.
func checkSums(t *testing.T, l Line) {
	t.Helper()
	assert.Equal(t, l.Offered, l.NotSent+l.Refused+l.Accepted)
	assert.Equal(t, l.Accepted, l.Done+l.Failed+l.Cancelled+l.GivenUp+l.Lost+l.Damaged)
}

// TestCombinedOutcome guards against reporting a request as refused, or as not run, because one of two
// submissions was, while the other was accepted or may have run.
func TestCombinedOutcome(t *testing.T) {
	refused := func(notRun bool) outcome {
		return outcome{err: &ibiswork.Refusal{Code: ibiswork.CodeDraining, NotRun: notRun}}
	}
	accepted := outcome{accepted: true}
	assert.Assert(t, refused(true).combine(accepted).accepted)
	assert.Assert(t, accepted.combine(refused(true)).accepted)
	assert.Assert(t, ibiswork.AsRefusal(refused(true).combine(refused(true)).err).NotRun)
	assert.Assert(t, !ibiswork.AsRefusal(refused(true).combine(refused(false)).err).NotRun)
}

// TestRefusalsAfterAcceptance guards against counting accepted work as ended when a refusal only means that
// its outcome could not be queried.
func TestRefusalsAfterAcceptance(t *testing.T) {
	for _, tc := range []struct {
		refusal ibiswork.Refusal
		want    FinalState
	}{
		{ibiswork.Refusal{Code: ibiswork.CodeDeadline, RetryAfterMS: 1000}, GivenUp},
		{ibiswork.Refusal{Code: ibiswork.CodeNeverFits}, GivenUp},
		{ibiswork.Refusal{Code: ibiswork.CodeOutcomeUnknown}, GivenUp},
		{ibiswork.Refusal{Code: ibiswork.CodeOutcomeUnknown, RetryAfterMS: 100}, Lost},
		{ibiswork.Refusal{Code: ibiswork.CodeNotFound}, Lost},
		{ibiswork.Refusal{Code: ibiswork.CodeOverloaded, RetryAfterMS: 100}, Lost},
	} {
		t.Run(string(tc.refusal.Code), func(t *testing.T) {
			var rec Record
			rec.finish(ibiswork.Request{}, outcome{accepted: true, err: &tc.refusal}, time.Time{})
			assert.Equal(t, rec.FinalState, tc.want)
		})
	}
}

func TestLatencyFromScheduledArrival(t *testing.T) {
	now := time.Now()
	rec := Record{}
	req := ibiswork.Request{ID: ibiswork.NewID()}
	answer := &ibiswork.Answer{ID: req.ID, Outcome: ibiswork.Failed, RunMS: 300}
	rec.finish(req, outcome{accepted: true, answer: answer, endedAt: now}, now.Add(-time.Second))
	assert.Equal(t, rec.AnswerMS, 1000.0)
	assert.Equal(t, rec.WaitMS, 700.0)
}

func TestSameSeedSamePlan(t *testing.T) {
	for _, name := range MixNames() {
		t.Run(name, func(t *testing.T) {
			mix, err := NamedMix(name)
			assert.NilError(t, err)
			opts := Options{Daemons: []string{"a", "b"}, Teams: []Team{{}, {Weight: 2}}, Mix: mix, Rate: 500, Duration: 10 * time.Second, Seed: 3}
			arrivals := func() (all []string) {
				plan := newPlanner(opts)
				for a, ok := plan.next(); ok; a, ok = plan.next() {
					a.request.ID = ibiswork.NewID()
					assert.NilError(t, a.request.Check())
					a.request.ID = ""
					body := hex(string(a.request.Payload))
					a.request.Payload = nil
					all = append(all, fmt.Sprintf("%+v %s", a, body))
				}
				return all
			}
			first := arrivals()
			assert.DeepEqual(t, first, arrivals())
			// 5000 arrivals are expected; four standard deviations of a Poisson count are 283.
			assert.Assert(t, len(first) > 5000-283 && len(first) < 5000+283, "%d", len(first))
		})
	}
}

func TestInvalidMixes(t *testing.T) {
	for _, tc := range []struct{ name, mix, err string }{
		{"Empty", `{"Name":"m"}`, "Kinds: is empty"},
		{"NoWeight", `{"Kinds":[{"Name":"k","Class":"Batch","RunMS":1}]}`, "Kinds[0]"},
		{"NoClass", `{"Kinds":[{"Name":"k","Weight":1,"RunMS":1}]}`, "Class"},
		{"Cancel", `{"Kinds":[{"Name":"k","Class":"Batch","Weight":1,"RunMS":1,"CancelFraction":2}]}`, "CancelFraction"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var m Mix
			assert.ErrorContains(t, json.Unmarshal([]byte(tc.mix), &m), tc.err)
		})
	}
	_, err := Run(t.Context(), Options{})
	assert.ErrorContains(t, err, "no daemon is given; no team is given; the rate")
	_, err = NamedMix("nope")
	assert.ErrorContains(t, err, "there are mandacaru, short, tuul")
}

func TestVerify(t *testing.T) {
	entry := func(server string, id ibiswork.ID, attempt int, ev ibisstandin.Event, ns int64) ibisstandin.Entry {
		return ibisstandin.Entry{Server: server, TaskID: ibisserver.TaskID{Request: id, Attempt: attempt}, Event: ev, WallNS: ns}
	}
	const start, end = ibisstandin.Start, ibisstandin.End
	id := ibiswork.NewID()
	for _, tc := range []struct {
		name    string
		rec     Record
		history []ibisstandin.Entry
		want    Verdict
	}{
		{"Once", Record{}, []ibisstandin.Entry{entry("s", id, 1, start, 1), entry("s", id, 1, end, 2)}, Verdict{Runs: 1}},
		{"OtherRequest", Record{}, []ibisstandin.Entry{entry("s", ibiswork.NewID(), 1, start, 1)}, Verdict{}},
		{"IdempotentRetry", Record{Idempotent: true}, []ibisstandin.Entry{entry("s", id, 1, start, 1), entry("s", id, 1, end, 2), entry("u", id, 2, start, 2)}, Verdict{Runs: 2}},
		{"RunTwice", Record{}, []ibisstandin.Entry{entry("s", id, 1, start, 1), entry("s", id, 1, end, 2), entry("u", id, 2, start, 2)}, Verdict{Runs: 2, RunTwice: []ibiswork.ID{id}}},
		{"Overlapping", Record{Idempotent: true}, []ibisstandin.Entry{entry("u", id, 2, start, 2), entry("s", id, 1, start, 1), entry("s", id, 1, end, 3)}, Verdict{Runs: 2, Overlapping: []ibiswork.ID{id}}},
		{"NeverEnded", Record{Idempotent: true}, []ibisstandin.Entry{entry("s", id, 1, start, 1), entry("u", id, 2, start, 2)}, Verdict{Runs: 2, Overlapping: []ibiswork.ID{id}}},
		{"FalseNotRun", Record{NotRun: true}, []ibisstandin.Entry{entry("s", id, 1, start, 1)}, Verdict{Runs: 1, FalseNotRun: []ibiswork.ID{id}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.rec.ID = id
			got := Verify([]Record{tc.rec}, tc.history)
			assert.DeepEqual(t, got, tc.want)
			clean := len(got.RunTwice)+len(got.Overlapping)+len(got.FalseNotRun) == 0
			assert.Equal(t, Report{Verdict: &got}.Err() == nil, clean)
		})
	}
}

func TestTableAndJSON(t *testing.T) {
	opts := newOptions(t, &fakeDaemon{})
	rep, err := Run(t.Context(), opts)
	assert.NilError(t, err)
	var out bytes.Buffer
	rep.WriteTable(&out)
	for _, want := range []string{"Interactive", "gauge-check", "total", "answer p50", "lost"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s", out.String())
	}
	b, err := json.Marshal(rep)
	assert.NilError(t, err)
	var decoded Report
	assert.NilError(t, json.Unmarshal(b, &decoded))
	assert.Equal(t, decoded.Total.Done, rep.Total.Done)
}
