package ibisstandin

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

const startClockMS = 5_000 // reading of the server's clock at the start of each test

// testServer is a server on a manual clock, claimed with epoch 3, with a client.
type testServer struct {
	*ManualClock
	s *Server
	c *ibisserver.Client
}

func newTestServer(t *testing.T) testServer {
	clk := &ManualClock{}
	s, stop := NewServer(ServerConfig{
		Name: "server-1", ClockStartMS: startClockMS, UsageLagMS: 400, RetainRecords: 3,
		Capacity: ibiswork.Resources{MilliCPU: 1000, MemoryMB: 1000, Slots: 2},
	}, clk)
	srv := httptest.NewServer(s.Handler())
	c, closeClient := ibisserver.NewClient(strings.TrimPrefix(srv.URL, "http://"))
	t.Cleanup(func() {
		stop()
		closeClient()
		srv.Close()
	})
	_, err := c.Claim(t.Context(), ibisserver.ClaimRequest{Epoch: 3, Owner: "i-3"})
	assert.NilError(t, err)
	return testServer{clk, s, c}
}

func (ts testServer) advanceMS(ms int64) { ts.Advance(time.Duration(ms) * time.Millisecond) }

func newTask(payload string) ibisserver.Task {
	return ibisserver.Task{
		ID:        ibisserver.TaskID{Request: ibiswork.NewID(), Attempt: 1},
		Team:      "tuul",
		Class:     ibiswork.Batch,
		Resources: ibiswork.Resources{MilliCPU: 600, MemoryMB: 100, Slots: 1},
		Payload:   []byte(payload),
		Note:      []byte("note"),
	}
}

func newStartRequest(task ibisserver.Task) ibisserver.StartRequest {
	return ibisserver.StartRequest{Epoch: 3, Task: task, StartBy: startClockMS + 1000, LeaseEnd: startClockMS + 2000}
}

// singleRecord checks that a reply holds one record and returns it.
func singleRecord(t *testing.T, r ibisserver.Reply, err error) ibisserver.Record {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, len(r.Records), 1)
	return r.Records[0]
}

// currentRecord returns the task's record, read by a renewal that extends no lease.
func (ts testServer) currentRecord(t *testing.T, id ibisserver.TaskID) ibisserver.Record {
	t.Helper()
	r, err := ts.c.Renew(t.Context(), ibisserver.RenewRequest{Epoch: 3, Leases: []ibisserver.Lease{{ID: id}}})
	return singleRecord(t, r, err)
}

func (ts testServer) control(t *testing.T, a ibisserver.Action, id ibisserver.TaskID) ibisserver.Reply {
	t.Helper()
	r, err := ts.c.Control(t.Context(), ibisserver.ControlRequest{Epoch: 3, Action: a, Tasks: []ibisserver.TaskID{id}})
	assert.NilError(t, err)
	return r
}

func TestStart(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(r *ibisserver.StartRequest)
		reason ibisserver.Reason
		fenced bool
	}{
		{name: "in time", change: func(*ibisserver.StartRequest) {}},
		{name: "at the last moment", change: func(r *ibisserver.StartRequest) { r.StartBy = startClockMS }},
		{name: "too late", change: func(r *ibisserver.StartRequest) { r.StartBy = startClockMS - 1 }, reason: ibisserver.StartByPassed},
		{name: "lease expired", change: func(r *ibisserver.StartRequest) { r.LeaseEnd = startClockMS }, reason: ibisserver.LeaseEnded},
		{name: "not claimed", change: func(r *ibisserver.StartRequest) { r.Epoch = 4 }, reason: ibisserver.NotClaimed},
		{name: "no attempt", change: func(r *ibisserver.StartRequest) { r.Task.ID.Attempt = 0 }, reason: ibisserver.BadRequest},
		{name: "previous owner", change: func(r *ibisserver.StartRequest) { r.Epoch = 2 }, fenced: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ts := newTestServer(t)
			r := newStartRequest(newTask(""))
			tc.change(&r)
			reply, err := ts.c.Start(t.Context(), r)
			assert.Equal(t, reply.Clock, int64(startClockMS))
			if tc.reason == "" && !tc.fenced {
				rec := singleRecord(t, reply, err)
				assert.Equal(t, rec.State, ibisserver.Running)
				assert.Equal(t, string(rec.Task.Note), "note")
				assert.Equal(t, len(rec.Task.Payload), 0)
				return
			}
			assert.Equal(t, ibisserver.Fenced.Has(err), tc.fenced, "%v", err)
			assert.Equal(t, ibisserver.Rejected.Has(err), !tc.fenced, "%v", err)
			assert.Equal(t, ibisserver.ReasonOf(err), tc.reason)
			assert.Equal(t, ts.s.Stats().Starts, int64(0))
		})
	}
}

func TestClaimEpochs(t *testing.T) {
	for _, tc := range []struct {
		name   string
		claim  ibisserver.ClaimRequest
		fenced bool
		epoch  int64
	}{
		{"higher", ibisserver.ClaimRequest{Epoch: 4, Owner: "i-4"}, false, 4},
		{"again", ibisserver.ClaimRequest{Epoch: 3, Owner: "i-3"}, false, 3},
		{"same epoch, other owner", ibisserver.ClaimRequest{Epoch: 3, Owner: "i-9"}, true, 3},
		{"lower", ibisserver.ClaimRequest{Epoch: 2, Owner: "i-2"}, true, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ts := newTestServer(t)
			_, err := ts.c.Start(t.Context(), newStartRequest(newTask("")))
			assert.NilError(t, err)
			reply, err := ts.c.Claim(t.Context(), tc.claim)
			assert.Equal(t, reply.Epoch, tc.epoch)
			if tc.fenced {
				assert.Assert(t, ibisserver.Fenced.Has(err))
				highest, ok := ibisserver.HighestEpoch(err)
				assert.Assert(t, ok)
				assert.Equal(t, highest, tc.epoch)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(reply.Records), 1)
			assert.Equal(t, reply.Server, "server-1")
			assert.Equal(t, reply.Capacity.MilliCPU, int64(1000))
		})
	}
}

func TestPreviousOwnerIsFencedInEveryCall(t *testing.T) {
	ts := newTestServer(t)
	task := newTask(`{"RunMS":10000}`)
	_, err := ts.c.Start(t.Context(), newStartRequest(task))
	assert.NilError(t, err)
	polled := make(chan error)
	go func() {
		for {
			r, err := ts.c.Poll(t.Context(), ibisserver.PollRequest{Epoch: 3, After: 1, WaitMS: 1000})
			if err != nil || len(r.Records) > 0 {
				polled <- err
				return
			}
		}
	}()
	await(t, func() bool { return ts.PendingTimers() == 2 }) // one of the task and one of the poll
	_, err = ts.c.Claim(t.Context(), ibisserver.ClaimRequest{Epoch: 8, Owner: "i-8"})
	assert.NilError(t, err)
	assert.Assert(t, ibisserver.Fenced.Has(<-polled))
	_, err = ts.c.Renew(t.Context(), ibisserver.RenewRequest{Epoch: 3, Leases: []ibisserver.Lease{{ID: task.ID, End: startClockMS + 9000}}})
	assert.Assert(t, ibisserver.Fenced.Has(err))
	_, err = ts.c.Control(t.Context(), ibisserver.ControlRequest{Epoch: 3, Action: ibisserver.Stop, Tasks: []ibisserver.TaskID{task.ID}})
	assert.Assert(t, ibisserver.Fenced.Has(err))
	highest, _ := ibisserver.HighestEpoch(err)
	assert.Equal(t, highest, int64(8))
	assert.Equal(t, ts.s.Stats().Running, 1)
}

func TestTaskOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		payload string
		class   ibiswork.Class
		runMS   int64 // declared run time
		endsMS  int64 // run time; zero if the task still runs when its lease expires
		state   ibisserver.State
		cpu     int64 // reported usage
	}{
		{"payload", `{"RunMS":50,"ResultBytes":100,"UseMilliCPU":900}`, ibiswork.Batch, 70, 50, ibisserver.Done, 900},
		{"declared", `not JSON`, ibiswork.Batch, 70, 70, ibisserver.Done, 600},
		{"default", `[1]`, ibiswork.Interactive, 0, 10, ibisserver.Done, 600},
		{"fails", `{"RunMS":50,"Fail":true}`, ibiswork.Batch, 0, 50, ibisserver.Failed, 600},
		{"fails once", `{"RunMS":50,"FailAttempts":1}`, ibiswork.Batch, 0, 50, ibisserver.Failed, 600},
		{"service without end", `{"RunMS":0}`, ibiswork.Service, 70, 0, ibisserver.Expired, 600},
		{"lease expires first", `{"RunMS":5000}`, ibiswork.Batch, 0, 0, ibisserver.Expired, 600},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ts := newTestServer(t)
			task := newTask(tc.payload)
			task.Class, task.RunTimeMS = tc.class, tc.runMS
			_, err := ts.c.Start(t.Context(), newStartRequest(task))
			assert.NilError(t, err)
			end := tc.endsMS
			if end == 0 {
				end = 2000
			}
			ts.advanceMS(end - 1)
			assert.Equal(t, ts.s.Stats().Running, 1)
			ts.advanceMS(500)
			rec := ts.currentRecord(t, task.ID)
			assert.Equal(t, rec.State, tc.state)
			assert.Equal(t, rec.EndedAt, startClockMS+end)
			assert.Equal(t, rec.Usage.MilliCPU, tc.cpu)
			if tc.state == ibisserver.Done {
				_, err = CheckResult(rec.Result, task.ID.Request, task.Payload)
				assert.NilError(t, err)
				_, err = CheckResult(rec.Result, ibiswork.NewID(), task.Payload)
				assert.ErrorContains(t, err, "result of request")
				_, err = CheckResult(rec.Result, task.ID.Request, []byte("other"))
				assert.ErrorContains(t, err, "another payload")
			}
			h := ts.s.History(0).Entries
			assert.Equal(t, len(h), 2)
			assert.Equal(t, h[0].Event, Start)
			assert.Equal(t, h[1].Event, End)
			assert.Equal(t, h[1].State, tc.state)
			assert.Equal(t, h[1].Clock-h[0].Clock, end)
			assert.Equal(t, h[1].WallNS-h[0].WallNS, end*nsPerMS)
			assert.Equal(t, h[1].Epoch, int64(3))
		})
	}
}

func TestRenewExtendsButNeverShortens(t *testing.T) {
	ts := newTestServer(t)
	task := newTask(`{"RunMS":100000}`)
	_, err := ts.c.Start(t.Context(), newStartRequest(task))
	assert.NilError(t, err)
	renew := func(end int64) ibisserver.Record {
		r, err := ts.c.Renew(t.Context(), ibisserver.RenewRequest{Epoch: 3, Leases: []ibisserver.Lease{{ID: task.ID, End: end}}})
		return singleRecord(t, r, err)
	}
	assert.Equal(t, renew(startClockMS+3000).LeaseEnd, int64(startClockMS+3000))
	assert.Equal(t, renew(startClockMS+100).LeaseEnd, int64(startClockMS+3000))
	ts.advanceMS(2999)
	assert.Equal(t, ts.s.Stats().Running, 1)
	ts.advanceMS(1)
	assert.Equal(t, renew(startClockMS+9000).State, ibisserver.Expired)
	assert.Equal(t, ts.s.Stats().Expirations, int64(1))
}

func TestDuplicateStart(t *testing.T) {
	ts := newTestServer(t)
	task := newTask(`{"RunMS":50}`)
	_, err := ts.c.Start(t.Context(), newStartRequest(task))
	assert.NilError(t, err)
	r, err := ts.c.Start(t.Context(), newStartRequest(task))
	assert.Equal(t, singleRecord(t, r, err).State, ibisserver.Running)
	ts.advanceMS(1500) // past the end and the start-by time
	r, err = ts.c.Start(t.Context(), newStartRequest(task))
	assert.Equal(t, singleRecord(t, r, err).State, ibisserver.Done)
	st := ts.s.Stats()
	assert.Equal(t, st.Starts, int64(1))
	assert.Equal(t, st.DuplicateStarts, int64(2))
	next := task
	next.ID.Attempt = 2
	again := newStartRequest(next)
	again.StartBy, again.LeaseEnd = startClockMS+5000, startClockMS+5000
	r, err = ts.c.Start(t.Context(), again)
	assert.Equal(t, singleRecord(t, r, err).State, ibisserver.Running)
}

func TestControl(t *testing.T) {
	ts := newTestServer(t)
	task := newTask(`{"RunMS":1000,"UseMilliCPU":900}`)
	_, err := ts.c.Start(t.Context(), newStartRequest(task))
	assert.NilError(t, err)
	ts.advanceMS(100)
	rec := singleRecord(t, ts.control(t, ibisserver.Checkpoint, task.ID), nil)
	var p Progress
	assert.NilError(t, json.Unmarshal(rec.Checkpoint, &p))
	assert.Equal(t, p.RanMS, int64(100))
	assert.Assert(t, singleRecord(t, ts.control(t, ibisserver.Throttle, task.ID), nil).Throttled)
	assert.Equal(t, len(ts.control(t, ibisserver.Forget, task.ID).Records), 1, "a running task is not forgotten")
	rec = singleRecord(t, ts.control(t, ibisserver.Stop, task.ID), nil)
	assert.Equal(t, rec.State, ibisserver.Stopped)
	assert.Equal(t, rec.Usage.MilliCPU, int64(600), "throttled to its declared size")
	assert.Equal(t, singleRecord(t, ts.control(t, ibisserver.Stop, task.ID), nil).EndedAt, rec.EndedAt)
	assert.Equal(t, len(ts.control(t, ibisserver.Forget, task.ID).Records), 0)
	assert.Equal(t, len(ts.control(t, ibisserver.Checkpoint, task.ID).Records), 0)
	assert.Equal(t, ts.s.Stats().Records, 0)
	_, err = ts.c.Control(t.Context(), ibisserver.ControlRequest{Epoch: 3, Action: "Restart"})
	assert.Equal(t, ibisserver.ReasonOf(err), ibisserver.BadRequest)
}

func TestStopOfUnknownTaskPreventsStart(t *testing.T) {
	ts := newTestServer(t)
	task := newTask("")
	assert.Equal(t, singleRecord(t, ts.control(t, ibisserver.Stop, task.ID), nil).State, ibisserver.Stopped)
	r, err := ts.c.Start(t.Context(), newStartRequest(task))
	assert.Equal(t, singleRecord(t, r, err).State, ibisserver.Stopped)
	assert.Equal(t, ts.s.Stats().Starts, int64(0))
	assert.Equal(t, len(ts.s.History(0).Entries), 0)
}

func TestOvercommitmentIsRecordedNotRefused(t *testing.T) {
	ts := newTestServer(t)
	for range 2 {
		_, err := ts.c.Start(t.Context(), newStartRequest(newTask(`{"RunMS":50}`)))
		assert.NilError(t, err)
	}
	ts.advanceMS(50)
	st := ts.s.Stats()
	assert.Equal(t, st.Overcommitments, int64(1))
	assert.Equal(t, st.Peak.MilliCPU, int64(1200))
	assert.Assert(t, st.Used.IsZero())
}

func TestRecordRetentionByAgeAndCount(t *testing.T) {
	ts := newTestServer(t)
	var ids []ibisserver.TaskID
	for range 5 {
		task := newTask(`{"RunMS":1}`)
		r := newStartRequest(task)
		r.StartBy, r.LeaseEnd = ts.s.Clock(), ts.s.Clock()+100
		_, err := ts.c.Start(t.Context(), r)
		assert.NilError(t, err)
		ids = append(ids, task.ID)
		ts.advanceMS(1)
	}
	reply, err := ts.c.Claim(t.Context(), ibisserver.ClaimRequest{Epoch: 3, Owner: "i-3"})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Records), 3)
	assert.Equal(t, reply.Records[2].Task.ID, ids[4])
	ts.advanceMS(ibisserver.RecordRetentionMS - 10)
	assert.Equal(t, ts.s.Stats().Records, 3)
	ts.advanceMS(100)
	assert.Equal(t, ts.s.Stats().Records, 0)
}

func TestPollWaitsForChanges(t *testing.T) {
	ts := newTestServer(t)
	r, err := ts.c.Poll(t.Context(), ibisserver.PollRequest{Epoch: 3})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Records), 0)
	task := newTask(`{"RunMS":1000}`)
	_, err = ts.c.Start(t.Context(), newStartRequest(task))
	assert.NilError(t, err)
	for _, want := range []struct {
		advanceMS int64
		state     ibisserver.State
		cpu       int64
	}{
		{0, ibisserver.Running, 0},
		{400, ibisserver.Running, 600}, // its usage is reported with a lag
		{600, ibisserver.Done, 600},
	} {
		got := make(chan ibisserver.Reply)
		timers := ts.PendingTimers()
		go func() {
			reply, err := ts.c.Poll(t.Context(), ibisserver.PollRequest{Epoch: 3, After: r.Seq, WaitMS: 20_000})
			assert.Check(t, err)
			got <- reply
		}()
		if want.advanceMS > 0 {
			await(t, func() bool { return ts.PendingTimers() > timers })
			ts.advanceMS(want.advanceMS)
		}
		r = <-got
		rec := singleRecord(t, r, nil)
		assert.Equal(t, rec.State, want.state)
		assert.Equal(t, rec.Usage.MilliCPU, want.cpu)
		await(t, func() bool { return ts.PendingTimers() <= 1 }) // the poll has stopped its timer
	}
}

func TestPollEndsAfterItsWait(t *testing.T) {
	ts := newTestServer(t)
	got := make(chan ibisserver.Reply)
	go func() {
		reply, err := ts.c.Poll(t.Context(), ibisserver.PollRequest{Epoch: 3, WaitMS: 500})
		assert.Check(t, err)
		got <- reply
	}()
	await(t, func() bool { return ts.PendingTimers() == 1 })
	ts.advanceMS(500)
	assert.Equal(t, (<-got).Clock, int64(startClockMS+500))
}

func TestPollReturnsEveryRecordInParts(t *testing.T) {
	s, stop := NewServer(ServerConfig{Name: "s"}, &ManualClock{})
	defer stop()
	_, err := s.Claim(t.Context(), ibisserver.ClaimRequest{Epoch: 3, Owner: "i-3"})
	assert.NilError(t, err)
	const n = 2*maxPollRecords + 7
	for range n {
		_, err := s.Start(t.Context(), ibisserver.StartRequest{Epoch: 3, Task: newTask(""), StartBy: 1, LeaseEnd: 10})
		assert.NilError(t, err)
	}
	seen := map[ibisserver.TaskID]bool{}
	for after := int64(0); ; {
		r, err := s.Poll(t.Context(), ibisserver.PollRequest{Epoch: 3, After: after})
		assert.NilError(t, err)
		for _, rec := range r.Records {
			seen[rec.Task.ID] = true
		}
		if after = r.Seq; len(r.Records) == 0 {
			break
		}
	}
	assert.Equal(t, len(seen), n)
}

func TestTaskResumesFromCheckpoint(t *testing.T) {
	ts := newTestServer(t)
	payload := []byte(`{"RunMS":1000,"ResultBytes":50}`)
	task := newTask(string(payload))
	for attempt, ran := range []int64{400, 350} {
		task.ID.Attempt = attempt + 1
		_, err := ts.c.Start(t.Context(), newStartRequest(task))
		assert.NilError(t, err)
		ts.advanceMS(ran)
		task.Payload = singleRecord(t, ts.control(t, ibisserver.Checkpoint, task.ID), nil).Checkpoint
		assert.Equal(t, singleRecord(t, ts.control(t, ibisserver.Stop, task.ID), nil).State, ibisserver.Stopped)
	}
	var p Progress
	assert.NilError(t, json.Unmarshal(task.Payload, &p))
	assert.Equal(t, p.RanMS, int64(750), "total of all attempts")
	task.ID.Attempt++
	_, err := ts.c.Start(t.Context(), newStartRequest(task))
	assert.NilError(t, err)
	ts.advanceMS(249)
	assert.Equal(t, ts.currentRecord(t, task.ID).State, ibisserver.Running)
	ts.advanceMS(1)
	rec := ts.currentRecord(t, task.ID)
	assert.Equal(t, rec.State, ibisserver.Done)
	_, err = CheckResult(rec.Result, task.ID.Request, payload)
	assert.NilError(t, err)
}
