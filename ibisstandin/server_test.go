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

const start = 5_000 // reading of the server's clock at the beginning of each test

// bench is a server on a manual clock, claimed with epoch 3, and a client of it.
type bench struct {
	*ManualClock
	s *Server
	c *ibisserver.Client
}

func newBench(t *testing.T) bench {
	clk := &ManualClock{}
	s, stop := NewServer(ServerConfig{
		Name: "server-1", ClockStartMS: start, UsageLagMS: 400, RetainRecords: 3,
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
	return bench{clk, s, c}
}

func (b bench) advanceMS(ms int64) { b.Advance(time.Duration(ms) * time.Millisecond) }

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

func request(task ibisserver.Task) ibisserver.StartRequest {
	return ibisserver.StartRequest{Epoch: 3, Task: task, StartBy: start + 1000, LeaseEnd: start + 2000}
}

// only is the one record of a reply.
func only(t *testing.T, r ibisserver.Reply, err error) ibisserver.Record {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, len(r.Records), 1)
	return r.Records[0]
}

// renewed is the task's record as a renewal that extends nothing shows it.
func (b bench) renewed(t *testing.T, id ibisserver.TaskID) ibisserver.Record {
	t.Helper()
	r, err := b.c.Renew(t.Context(), ibisserver.RenewRequest{Epoch: 3, Leases: []ibisserver.Lease{{ID: id}}})
	return only(t, r, err)
}

func (b bench) control(t *testing.T, a ibisserver.Action, id ibisserver.TaskID) ibisserver.Reply {
	t.Helper()
	r, err := b.c.Control(t.Context(), ibisserver.ControlRequest{Epoch: 3, Action: a, Tasks: []ibisserver.TaskID{id}})
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
		{name: "at the last moment", change: func(r *ibisserver.StartRequest) { r.StartBy = start }},
		{name: "too late", change: func(r *ibisserver.StartRequest) { r.StartBy = start - 1 }, reason: ibisserver.StartByPassed},
		{name: "lease over", change: func(r *ibisserver.StartRequest) { r.LeaseEnd = start }, reason: ibisserver.LeaseEnded},
		{name: "not claimed", change: func(r *ibisserver.StartRequest) { r.Epoch = 4 }, reason: ibisserver.NotClaimed},
		{name: "no attempt", change: func(r *ibisserver.StartRequest) { r.Task.ID.Attempt = 0 }, reason: ibisserver.BadRequest},
		{name: "former owner", change: func(r *ibisserver.StartRequest) { r.Epoch = 2 }, fenced: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			r := request(newTask(""))
			tc.change(&r)
			reply, err := b.c.Start(t.Context(), r)
			assert.Equal(t, reply.Clock, int64(start))
			if tc.reason == "" && !tc.fenced {
				rec := only(t, reply, err)
				assert.Equal(t, rec.State, ibisserver.Running)
				assert.Equal(t, string(rec.Task.Note), "note")
				assert.Equal(t, len(rec.Task.Payload), 0)
				return
			}
			assert.Equal(t, ibisserver.Fenced.Has(err), tc.fenced, "%v", err)
			assert.Equal(t, ibisserver.Rejected.Has(err), !tc.fenced, "%v", err)
			assert.Equal(t, ibisserver.ReasonOf(err), tc.reason)
			assert.Equal(t, b.s.Stats().Starts, int64(0))
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
			b := newBench(t)
			_, err := b.c.Start(t.Context(), request(newTask("")))
			assert.NilError(t, err)
			reply, err := b.c.Claim(t.Context(), tc.claim)
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

func TestFormerOwnerIsFencedInEveryCall(t *testing.T) {
	b := newBench(t)
	task := newTask(`{"RunMS":10000}`)
	_, err := b.c.Start(t.Context(), request(task))
	assert.NilError(t, err)
	polled := make(chan error)
	go func() {
		for {
			r, err := b.c.Poll(t.Context(), ibisserver.PollRequest{Epoch: 3, After: 1, WaitMS: 1000})
			if err != nil || len(r.Records) > 0 {
				polled <- err
				return
			}
		}
	}()
	await(t, func() bool { return b.Timers() == 2 }) // the task's and the poll's
	_, err = b.c.Claim(t.Context(), ibisserver.ClaimRequest{Epoch: 8, Owner: "i-8"})
	assert.NilError(t, err)
	assert.Assert(t, ibisserver.Fenced.Has(<-polled))
	_, err = b.c.Renew(t.Context(), ibisserver.RenewRequest{Epoch: 3, Leases: []ibisserver.Lease{{ID: task.ID, End: start + 9000}}})
	assert.Assert(t, ibisserver.Fenced.Has(err))
	_, err = b.c.Control(t.Context(), ibisserver.ControlRequest{Epoch: 3, Action: ibisserver.Stop, Tasks: []ibisserver.TaskID{task.ID}})
	assert.Assert(t, ibisserver.Fenced.Has(err))
	highest, _ := ibisserver.HighestEpoch(err)
	assert.Equal(t, highest, int64(8))
	assert.Equal(t, b.s.Stats().Running, 1)
}

func TestRunToEnd(t *testing.T) {
	for _, tc := range []struct {
		name    string
		payload string
		class   ibiswork.Class
		runMS   int64 // declared
		endsMS  int64 // zero: still running at the end of the lease
		state   ibisserver.State
		cpu     int64 // usage
	}{
		{"payload", `{"RunMS":50,"ResultBytes":100,"UseMilliCPU":900}`, ibiswork.Batch, 70, 50, ibisserver.Done, 900},
		{"declared", `not JSON`, ibiswork.Batch, 70, 70, ibisserver.Done, 600},
		{"default", `[1]`, ibiswork.Interactive, 0, 10, ibisserver.Done, 600},
		{"fails", `{"RunMS":50,"Fail":true}`, ibiswork.Batch, 0, 50, ibisserver.Failed, 600},
		{"fails once", `{"RunMS":50,"FailAttempts":1}`, ibiswork.Batch, 0, 50, ibisserver.Failed, 600},
		{"service for ever", `{"RunMS":0}`, ibiswork.Service, 70, 0, ibisserver.Expired, 600},
		{"lease lapses first", `{"RunMS":5000}`, ibiswork.Batch, 0, 0, ibisserver.Expired, 600},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			task := newTask(tc.payload)
			task.Class, task.RunTimeMS = tc.class, tc.runMS
			_, err := b.c.Start(t.Context(), request(task))
			assert.NilError(t, err)
			end := tc.endsMS
			if end == 0 {
				end = 2000
			}
			b.advanceMS(end - 1)
			assert.Equal(t, b.s.Stats().Running, 1)
			b.advanceMS(500)
			rec := b.renewed(t, task.ID)
			assert.Equal(t, rec.State, tc.state)
			assert.Equal(t, rec.EndedAt, start+end)
			assert.Equal(t, rec.Usage.MilliCPU, tc.cpu)
			if tc.state == ibisserver.Done {
				_, err = CheckResult(rec.Result, task.ID.Request, task.Payload)
				assert.NilError(t, err)
				_, err = CheckResult(rec.Result, ibiswork.NewID(), task.Payload)
				assert.ErrorContains(t, err, "result of request")
				_, err = CheckResult(rec.Result, task.ID.Request, []byte("other"))
				assert.ErrorContains(t, err, "another payload")
			}
			h := b.s.History(0).Entries
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
	b := newBench(t)
	task := newTask(`{"RunMS":100000}`)
	_, err := b.c.Start(t.Context(), request(task))
	assert.NilError(t, err)
	renew := func(end int64) ibisserver.Record {
		r, err := b.c.Renew(t.Context(), ibisserver.RenewRequest{Epoch: 3, Leases: []ibisserver.Lease{{ID: task.ID, End: end}}})
		return only(t, r, err)
	}
	assert.Equal(t, renew(start+3000).LeaseEnd, int64(start+3000))
	assert.Equal(t, renew(start+100).LeaseEnd, int64(start+3000))
	b.advanceMS(2999)
	assert.Equal(t, b.s.Stats().Running, 1)
	b.advanceMS(1)
	assert.Equal(t, renew(start+9000).State, ibisserver.Expired)
	assert.Equal(t, b.s.Stats().Lapses, int64(1))
}

func TestDuplicateStart(t *testing.T) {
	b := newBench(t)
	task := newTask(`{"RunMS":50}`)
	_, err := b.c.Start(t.Context(), request(task))
	assert.NilError(t, err)
	r, err := b.c.Start(t.Context(), request(task))
	assert.Equal(t, only(t, r, err).State, ibisserver.Running)
	b.advanceMS(1500) // past the end and the start-by time
	r, err = b.c.Start(t.Context(), request(task))
	assert.Equal(t, only(t, r, err).State, ibisserver.Done)
	st := b.s.Stats()
	assert.Equal(t, st.Starts, int64(1))
	assert.Equal(t, st.DuplicateStarts, int64(2))
	next := task
	next.ID.Attempt = 2
	again := request(next)
	again.StartBy, again.LeaseEnd = start+5000, start+5000
	r, err = b.c.Start(t.Context(), again)
	assert.Equal(t, only(t, r, err).State, ibisserver.Running)
}

func TestControl(t *testing.T) {
	b := newBench(t)
	task := newTask(`{"RunMS":1000,"UseMilliCPU":900}`)
	_, err := b.c.Start(t.Context(), request(task))
	assert.NilError(t, err)
	b.advanceMS(100)
	rec := only(t, b.control(t, ibisserver.Checkpoint, task.ID), nil)
	var p Progress
	assert.NilError(t, json.Unmarshal(rec.Checkpoint, &p))
	assert.Equal(t, p.RanMS, int64(100))
	assert.Assert(t, only(t, b.control(t, ibisserver.Throttle, task.ID), nil).Throttled)
	assert.Equal(t, len(b.control(t, ibisserver.Forget, task.ID).Records), 1, "a running task is not forgotten")
	rec = only(t, b.control(t, ibisserver.Stop, task.ID), nil)
	assert.Equal(t, rec.State, ibisserver.Stopped)
	assert.Equal(t, rec.Usage.MilliCPU, int64(600), "throttled to its declared size")
	assert.Equal(t, only(t, b.control(t, ibisserver.Stop, task.ID), nil).EndedAt, rec.EndedAt)
	assert.Equal(t, len(b.control(t, ibisserver.Forget, task.ID).Records), 0)
	assert.Equal(t, len(b.control(t, ibisserver.Checkpoint, task.ID).Records), 0)
	assert.Equal(t, b.s.Stats().Records, 0)
	_, err = b.c.Control(t.Context(), ibisserver.ControlRequest{Epoch: 3, Action: "Restart"})
	assert.Equal(t, ibisserver.ReasonOf(err), ibisserver.BadRequest)
}

func TestStopOfUnknownTaskBarsItsStart(t *testing.T) {
	b := newBench(t)
	task := newTask("")
	assert.Equal(t, only(t, b.control(t, ibisserver.Stop, task.ID), nil).State, ibisserver.Stopped)
	r, err := b.c.Start(t.Context(), request(task))
	assert.Equal(t, only(t, r, err).State, ibisserver.Stopped)
	assert.Equal(t, b.s.Stats().Starts, int64(0))
	assert.Equal(t, len(b.s.History(0).Entries), 0)
}

func TestOvercommitmentIsRecordedNotRefused(t *testing.T) {
	b := newBench(t)
	for range 2 {
		_, err := b.c.Start(t.Context(), request(newTask(`{"RunMS":50}`)))
		assert.NilError(t, err)
	}
	b.advanceMS(50)
	st := b.s.Stats()
	assert.Equal(t, st.Overcommitments, int64(1))
	assert.Equal(t, st.Peak.MilliCPU, int64(1200))
	assert.Assert(t, st.Used.IsZero())
}

func TestRecordsAreKeptForATimeAndUpToANumber(t *testing.T) {
	b := newBench(t)
	var ids []ibisserver.TaskID
	for range 5 {
		task := newTask(`{"RunMS":1}`)
		r := request(task)
		r.StartBy, r.LeaseEnd = b.s.Clock(), b.s.Clock()+100
		_, err := b.c.Start(t.Context(), r)
		assert.NilError(t, err)
		ids = append(ids, task.ID)
		b.advanceMS(1)
	}
	reply, err := b.c.Claim(t.Context(), ibisserver.ClaimRequest{Epoch: 3, Owner: "i-3"})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Records), 3)
	assert.Equal(t, reply.Records[2].Task.ID, ids[4])
	b.advanceMS(ibisserver.RecordRetentionMS - 10)
	assert.Equal(t, b.s.Stats().Records, 3)
	b.advanceMS(100)
	assert.Equal(t, b.s.Stats().Records, 0)
}

func TestPollWaitsForChanges(t *testing.T) {
	b := newBench(t)
	r, err := b.c.Poll(t.Context(), ibisserver.PollRequest{Epoch: 3})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Records), 0)
	task := newTask(`{"RunMS":1000}`)
	_, err = b.c.Start(t.Context(), request(task))
	assert.NilError(t, err)
	for _, want := range []struct {
		advanceMS int64
		state     ibisserver.State
		cpu       int64
	}{
		{0, ibisserver.Running, 0},
		{400, ibisserver.Running, 600}, // its usage came with a lag
		{600, ibisserver.Done, 600},
	} {
		got := make(chan ibisserver.Reply)
		timers := b.Timers()
		go func() {
			reply, err := b.c.Poll(t.Context(), ibisserver.PollRequest{Epoch: 3, After: r.Seq, WaitMS: 20_000})
			assert.Check(t, err)
			got <- reply
		}()
		if want.advanceMS > 0 {
			await(t, func() bool { return b.Timers() > timers })
			b.advanceMS(want.advanceMS)
		}
		r = <-got
		rec := only(t, r, nil)
		assert.Equal(t, rec.State, want.state)
		assert.Equal(t, rec.Usage.MilliCPU, want.cpu)
		await(t, func() bool { return b.Timers() <= 1 }) // the poll has put its timer back
	}
}

func TestPollEndsAfterItsWait(t *testing.T) {
	b := newBench(t)
	got := make(chan ibisserver.Reply)
	go func() {
		reply, err := b.c.Poll(t.Context(), ibisserver.PollRequest{Epoch: 3, WaitMS: 500})
		assert.Check(t, err)
		got <- reply
	}()
	await(t, func() bool { return b.Timers() == 1 })
	b.advanceMS(500)
	assert.Equal(t, (<-got).Clock, int64(start+500))
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

func TestATaskGoesOnFromItsCheckpoint(t *testing.T) {
	b := newBench(t)
	payload := []byte(`{"RunMS":1000,"ResultBytes":50}`)
	task := newTask(string(payload))
	for attempt, ran := range []int64{400, 350} {
		task.ID.Attempt = attempt + 1
		_, err := b.c.Start(t.Context(), request(task))
		assert.NilError(t, err)
		b.advanceMS(ran)
		task.Payload = only(t, b.control(t, ibisserver.Checkpoint, task.ID), nil).Checkpoint
		assert.Equal(t, only(t, b.control(t, ibisserver.Stop, task.ID), nil).State, ibisserver.Stopped)
	}
	var p Progress
	assert.NilError(t, json.Unmarshal(task.Payload, &p))
	assert.Equal(t, p.RanMS, int64(750), "over all attempts")
	task.ID.Attempt++
	_, err := b.c.Start(t.Context(), request(task))
	assert.NilError(t, err)
	b.advanceMS(249)
	assert.Equal(t, b.renewed(t, task.ID).State, ibisserver.Running)
	b.advanceMS(1)
	rec := b.renewed(t, task.ID)
	assert.Equal(t, rec.State, ibisserver.Done)
	_, err = CheckResult(rec.Result, task.ID.Request, payload)
	assert.NilError(t, err)
}
