package ibisowner

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

const (
	testShards = 4
	testServer = "server-1"
	testTeam   = "tuul"
)

var (
	testSize = ibiswork.Resources{MilliCPU: 1000, MemoryMB: 100, Slots: 1}
	testVM   = ibisserver.VM{Name: testServer, Address: "127.0.0.1:1", FailureDomain: "a", Rack: "a-1"}
)

// ledgerFake accepts every use and keeps the balance. Its fields are owned by the owner's loop.
type ledgerFake struct{ used, lost map[string]ibiswork.Resources }

func newLedgerFake() *ledgerFake {
	return &ledgerFake{used: map[string]ibiswork.Resources{}, lost: map[string]ibiswork.Resources{}}
}

func (l *ledgerFake) TryUse(team string, r ibiswork.Resources) bool { l.Use(team, r); return true }
func (l *ledgerFake) Use(team string, r ibiswork.Resources)         { l.used[team] = l.used[team].Add(r) }
func (l *ledgerFake) Free(team string, r ibiswork.Resources)        { l.used[team] = l.used[team].Sub(r) }
func (l *ledgerFake) RecordDemand(string, ibiswork.Resources)       {}

func (l *ledgerFake) ReleaseClaimed(team string, r ibiswork.Resources) {
	l.Free(team, r)
	l.lost[team] = l.lost[team].Add(r)
}

// noHolder is a Directory without holders, so that reports stay in the outbox.
type noHolder struct{}

func (noHolder) Holder(int) (ibiswire.Holder, string, bool) { return ibiswire.Holder{}, "", false }

// serverFake is a backend server with calls given as functions; a call that is not set blocks until its context
// is done.
type serverFake struct {
	start   func(ibisserver.StartRequest) (ibisserver.Reply, error)
	control func(ibisserver.ControlRequest) (ibisserver.Reply, error)
}

func (s *serverFake) Claim(ctx context.Context, _ ibisserver.ClaimRequest) (ibisserver.ClaimReply, error) {
	<-ctx.Done()
	return ibisserver.ClaimReply{}, ibisserver.Unknown.Wrap(ctx.Err())
}

func (s *serverFake) Start(ctx context.Context, r ibisserver.StartRequest) (ibisserver.Reply, error) {
	if s.start == nil {
		<-ctx.Done()
		return ibisserver.Reply{}, ibisserver.Unknown.Wrap(ctx.Err())
	}
	return s.start(r)
}

func (s *serverFake) Renew(ctx context.Context, _ ibisserver.RenewRequest) (ibisserver.Reply, error) {
	<-ctx.Done()
	return ibisserver.Reply{}, ibisserver.Unknown.Wrap(ctx.Err())
}

func (s *serverFake) Control(ctx context.Context, r ibisserver.ControlRequest) (ibisserver.Reply, error) {
	if s.control == nil {
		<-ctx.Done()
		return ibisserver.Reply{}, ibisserver.Unknown.Wrap(ctx.Err())
	}
	return s.control(r)
}

func (s *serverFake) Poll(ctx context.Context, _ ibisserver.PollRequest) (ibisserver.Reply, error) {
	<-ctx.Done()
	return ibisserver.Reply{}, ibisserver.Unknown.Wrap(ctx.Err())
}

// testLease is the length of a lease; leaseMargin is more than the drift of a server's clock over it.
const (
	testLease   = time.Hour
	leaseMargin = testLease/500 + time.Second
)

// newTestOwner returns an owner that claims no server by itself, since it has no contact with peers; tests
// pass it the server's replies.
func newTestOwner(t *testing.T, srv *serverFake) (*Owner, *ledgerFake) {
	t.Helper()
	ledger := newLedgerFake()
	o, stop := New(Config{
		Self: "owner-a", Lease: testLease, Shards: testShards, Ledger: ledger, Directory: noHolder{},
		Dial:       func(string) (ibisserver.Server, func()) { return srv, func() {} },
		Snapshot:   func() *ibisconfig.Snapshot { return &ibisconfig.Snapshot{} },
		HasContact: func(time.Time) bool { return false },
	})
	t.Cleanup(stop)
	return o, ledger
}

func do(t *testing.T, o *Owner, fn func()) {
	t.Helper()
	assert.NilError(t, o.loop.Do(context.Background(), fn))
}

// claimServer makes o the owner of testServer, whose claim reply has these records. It runs on the loop.
func claimServer(o *Owner, epoch int64, records ...ibisserver.Record) *server {
	if o.servers[testServer] == nil {
		o.setServers([]ibisserver.VM{testVM}, nil)
	}
	s := o.servers[testServer]
	s.requestedEpoch = epoch
	o.handleClaimed(s, ibisserver.ClaimReply{
		Clock: 1000, Epoch: epoch, Server: testServer, Capacity: ibiswork.Resources{MilliCPU: 16000, MemoryMB: 64000, Slots: 8}, Records: records,
	}, epoch, time.Now())
	return s
}

func testID(i int) ibiswork.ID {
	return ibiswork.ID("019a0000-0000-7000-8000-00000000000" + string(rune('0'+i)))
}

func testRecord(id ibiswork.ID, state ibisserver.State) ibisserver.Record {
	meta := ibiswire.Meta{Shard: id.Shard(testShards), Team: testTeam, Class: ibiswork.Batch, Idempotent: true, Tasks: 1}
	b, err := cbor.Marshal(meta)
	if err != nil {
		panic(err)
	}
	return ibisserver.Record{
		Task:  ibisserver.Task{ID: ibisserver.TaskID{Request: id, Attempt: 1}, Team: testTeam, Class: ibiswork.Batch, Resources: testSize, Note: b},
		State: state, StartedAt: 500, LeaseEnd: 1000 + testLease.Milliseconds(),
	}
}

func reported(o *Owner, r ibisserver.Record) ibiswire.EventState {
	if out := o.outbox[r.Task.ID]; out != nil {
		return out.event.State
	}
	return ""
}

func TestTaskStartedByPreviousOwnerIsReportedLost(t *testing.T) {
	for name, lose := range map[string]func(o *Owner, s *server){
		"VMGone":        func(o *Owner, _ *server) { o.setServers(nil, map[string]bool{testServer: true}) },
		"LeasesExpired": func(o *Owner, s *server) { o.expireLeases(s) },
		"RecordsLost":   func(o *Owner, _ *server) { claimServer(o, 2) },
		"ServerSilent": func(o *Owner, s *server) {
			o.checkLeaseExpiry(s, s.lastContact.Add(o.cfg.Lease))
			assert.Assert(t, !s.leasesExpired) // its clock may be slower than the local one
			o.checkLeaseExpiry(s, s.lastContact.Add(o.cfg.Lease+leaseMargin))
		},
		"LeasesExpiredThenVMGone": func(o *Owner, s *server) { o.expireLeases(s); o.setServers(nil, map[string]bool{testServer: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			o, ledger := newTestOwner(t, &serverFake{})
			r := testRecord(testID(1), ibisserver.Running)
			do(t, o, func() {
				s := claimServer(o, 1, r)
				assert.Equal(t, ledger.used[testTeam], testSize)
				lose(o, s)
				assert.Equal(t, reported(o, r), ibiswire.TaskLost)
				assert.Assert(t, o.outbox[r.Task.ID].event.Ran)
				assert.Equal(t, len(o.tasks), 0)
				assert.Assert(t, ledger.used[testTeam].IsZero())
			})
		})
	}
}

func TestReleaseStopsTaskStartedByPreviousOwner(t *testing.T) {
	r := testRecord(testID(1), ibisserver.Running)
	stops := make(chan ibisserver.ControlRequest, 1)
	o, _ := newTestOwner(t, &serverFake{control: func(c ibisserver.ControlRequest) (ibisserver.Reply, error) {
		stops <- c
		ended := r
		ended.State, ended.EndedAt = ibisserver.Stopped, 2000
		return ibisserver.Reply{Clock: 2000, Records: []ibisserver.Record{ended}}, nil
	}})
	do(t, o, func() { claimServer(o, 1, r) })
	from := ibiswire.Holder{Shard: testID(1).Shard(testShards), Epoch: 1}
	reply, err := o.Release(context.Background(), &ibiswire.ReleaseRequest{From: from, ID: testID(1), Attempt: 1})
	assert.NilError(t, err)
	assert.Assert(t, reply.Stopping)
	c := <-stops
	assert.Equal(t, c.Action, ibisserver.Stop)
	assert.DeepEqual(t, c.Tasks, []ibisserver.TaskID{r.Task.ID})
}

func TestLateRunningRecordDoesNotOverrideEnd(t *testing.T) {
	o, ledger := newTestOwner(t, &serverFake{})
	r := testRecord(testID(1), ibisserver.Running)
	ended := testRecord(testID(1), ibisserver.Done)
	do(t, o, func() {
		s := claimServer(o, 1, r)
		o.applyRecords(s, []ibisserver.Record{ended}, time.Now())
		o.applyRecords(s, []ibisserver.Record{r}, time.Now()) // a reply that was delayed
		assert.Equal(t, reported(o, r), ibiswire.TaskDone)
		assert.Equal(t, len(o.tasks), 0)
		assert.Assert(t, ledger.used[testTeam].IsZero())
	})
}

func TestStaleOwnerReportsNoTaskLost(t *testing.T) {
	o, ledger := newTestOwner(t, &serverFake{})
	r := testRecord(testID(1), ibisserver.Running)
	do(t, o, func() {
		s := claimServer(o, 1, r)
		o.setServers(nil, nil) // assigned to another daemon, which may have claimed it
		delete(o.outbox, r.Task.ID)
		o.checkLeaseExpiry(s, s.lastContact.Add(o.cfg.Lease+leaseMargin))
		assert.Equal(t, reported(o, r), ibiswire.TaskRunning)
		assert.Equal(t, o.outbox[r.Task.ID].event.Owner, "") // makes the holder locate the task
		assert.Assert(t, o.servers[testServer] == nil)
		assert.Assert(t, ledger.used[testTeam].IsZero())
		assert.Equal(t, ledger.lost[testTeam], testSize)
	})
}

func TestStopIsRetriedUnderNewEpoch(t *testing.T) {
	r := testRecord(testID(1), ibisserver.Running)
	calls := make(chan ibisserver.ControlRequest)
	answers := make(chan error)
	o, _ := newTestOwner(t, &serverFake{control: func(c ibisserver.ControlRequest) (ibisserver.Reply, error) {
		calls <- c
		return ibisserver.Reply{Clock: 2000}, <-answers
	}})
	var s *server
	do(t, o, func() {
		s = claimServer(o, 1, r)
		o.stopTasks([]*task{o.tasks[r.Task.ID]})
	})
	assert.Equal(t, (<-calls).Epoch, int64(1))
	do(t, o, func() { claimServer(o, 2, r) }) // this daemon claimed the server again
	answers <- ibisserver.Fenced.Wrap(&ibisserver.EpochError{Highest: 2})
	assert.Equal(t, (<-calls).Epoch, int64(2))
	answers <- nil
	do(t, o, func() { assert.Assert(t, o.servers[testServer] == s, "the daemon was fenced by its own claim") })
}

func TestStartWithUnknownOutcomeIsResolvedByNextClaim(t *testing.T) {
	o, ledger := newTestOwner(t, &serverFake{start: func(ibisserver.StartRequest) (ibisserver.Reply, error) {
		return ibisserver.Reply{}, ibisserver.Unknown.New("no reply")
	}})
	resynced := make(chan struct{})
	do(t, o, func() {
		s := claimServer(o, 1)
		s.cancelPoll = func() {
			// The claim may be answered before the other starts of the placement have ended.
			claimServer(o, 2)
			close(resynced)
		}
	})
	req := &ibiswire.PlaceRequest{
		From:    ibiswire.Holder{Shard: testID(1).Shard(testShards), Epoch: 1},
		Request: ibiswork.Request{ID: testID(1), Team: testTeam, Class: ibiswork.Interactive, Idempotent: true, Resources: testSize}, Attempt: 1, WaitMS: 5000,
	}
	reply, err := o.Place(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, reply.State, ibiswire.Started)
	<-resynced
	do(t, o, func() {
		assert.Equal(t, len(o.tasks), 0)
		assert.Assert(t, ledger.used[testTeam].IsZero())
		id := ibisserver.TaskID{Request: testID(1), Attempt: 1}
		assert.Equal(t, o.outbox[id].event.State, ibiswire.TaskLost)
		assert.Assert(t, !o.outbox[id].event.Ran)
	})
}

func TestLocateOmitsServersNeverClaimed(t *testing.T) {
	o, _ := newTestOwner(t, &serverFake{})
	req := &ibiswire.LocateRequest{From: ibiswire.Holder{Shard: 0, Epoch: 1}}
	do(t, o, func() { o.setServers([]ibisserver.VM{testVM}, nil) })
	reply, err := o.Locate(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Covers), 0)
	do(t, o, func() { claimServer(o, 1) })
	reply, err = o.Locate(context.Background(), req)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply.Covers, []ibiswire.Cover{{Server: testServer, State: ibiswire.Claimed}})
	do(t, o, func() { o.expireLeases(o.servers[testServer]) })
	reply, err = o.Locate(context.Background(), req)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply.Covers, []ibiswire.Cover{{Server: testServer, State: ibiswire.LeasesExpired}})
}

func TestServerIsClaimedAgainAfterLeasesExpire(t *testing.T) {
	o, _ := newTestOwner(t, &serverFake{})
	do(t, o, func() {
		s := claimServer(o, 1)
		pollCancelled := false
		s.cancelPoll = func() { pollCancelled = true }
		o.expireLeases(s)
		assert.Assert(t, pollCancelled, "polling continues and the server is never claimed")
		claimServer(o, 2)
		assert.Assert(t, !s.leasesExpired)
		f, ok := o.fleet.Server(testServer)
		assert.Assert(t, ok && !f.Closed)
	})
}

// On a server that could not be claimed here, another daemon may have renewed leases until it was revoked and
// for MaxRenewalWithoutContact longer.
func TestRevokedDaemonMayStillRenewLeases(t *testing.T) {
	o, _ := newTestOwner(t, &serverFake{})
	assert.NilError(t, o.SetServers(t.Context(), []ibisserver.VM{testVM}, nil))
	var claimingSince time.Time
	do(t, o, func() {
		s := o.servers[testServer]
		claimingSince = s.claimingSince
		o.checkLeaseExpiry(s, claimingSince.Add(MaxRenewalWithoutContact+3*o.cfg.Lease))
		assert.Assert(t, s.leasesExpired)
	})
	assert.NilError(t, o.DaemonRevoked(t.Context()))
	do(t, o, func() {
		s := o.servers[testServer]
		assert.Assert(t, !s.leasesExpired, "the revoked daemon may renew leases there")
		assert.Assert(t, s.claimingSince.After(claimingSince))
	})
}

func TestStartSendsDeclaredSize(t *testing.T) {
	sent := make(chan ibiswork.Resources, 1)
	o, _ := newTestOwner(t, &serverFake{start: func(r ibisserver.StartRequest) (ibisserver.Reply, error) {
		sent <- r.Task.Resources
		return ibisserver.Reply{Clock: 1000}, nil
	}})
	do(t, o, func() {
		claimServer(o, 1)
		for range 100 { // tasks of this kind used more than declared
			o.estimator.Observe(testTeam, "", testSize, testSize.Times(3), 1000)
		}
	})
	_, err := o.Place(context.Background(), &ibiswire.PlaceRequest{
		From:    ibiswire.Holder{Shard: testID(1).Shard(testShards), Epoch: 1},
		Request: ibiswork.Request{ID: testID(1), Team: testTeam, Class: ibiswork.Interactive, Idempotent: true, Resources: testSize}, Attempt: 1, WaitMS: 5000,
	})
	assert.NilError(t, err)
	assert.Equal(t, <-sent, testSize)
	do(t, o, func() {
		f, _ := o.fleet.Server(testServer)
		assert.Assert(t, f.Used.MilliCPU > testSize.MilliCPU, "the server's load must count the estimated size")
	})
}
