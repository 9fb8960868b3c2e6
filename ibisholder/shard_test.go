package ibisholder

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisjournal"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisserver"
	"ibiscrank/ibisshard"
	"ibiscrank/ibistablefake"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// journalFake blocks every Append until its result is sent to results.
type journalFake struct {
	started  chan struct{}
	results  chan error
	appended atomic.Int64
}

func newJournalFake() *journalFake {
	return &journalFake{started: make(chan struct{}, 16), results: make(chan error, 16)}
}

func (j *journalFake) Append(ctx context.Context, _ ...ibisjournal.Record) error {
	j.started <- struct{}{}
	select {
	case err := <-j.results:
		j.appended.Add(1)
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (j *journalFake) Healthy() bool { return true }

// newTestHolder makes a holder of one shard that serves at epoch 1.
func newTestHolder(t *testing.T, j Journal) *Holder {
	t.Helper()
	table := ibistablefake.New()
	table.SetDown(true) // keeps the control goroutine from changing the shard
	h, stop := New(Config{
		Self: "self", Shards: 1, Table: table, Journal: j, MaxInProgress: 100, DuplicateWindow: time.Hour,
		View: func() *ibispeer.View { return viewOf() },
		Snapshot: func() *ibisconfig.Snapshot {
			limit := ibiswork.Resources{MilliCPU: 1e6, MemoryMB: 1e6, Slots: 1e6}
			return &ibisconfig.Snapshot{Teams: map[string]ibisconfig.Team{testTeam: {UpperLimit: limit}}}
		},
		VMs: func() []ibisserver.VM { return nil },
	})
	t.Cleanup(stop)
	h.setRow(ibisshard.Row{Shard: 0, Epoch: 1, Holder: "self"})
	h.shards[0].stopAndReset(shardServing, 1)
	return h
}

func TestHandoffWaitsForAcceptance(t *testing.T) {
	j := newJournalFake()
	h := newTestHolder(t, j)
	sh := h.shards[0]
	e, added, err := sh.add(testRequest(ibiswork.Batch, true), true)
	assert.NilError(t, err)
	assert.Assert(t, added)
	accepted := make(chan error, 1)
	go func() { accepted <- h.acceptDurable(context.Background(), sh, e) }()
	<-j.started

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, !sh.waitUntilIdle(ctx, time.Hour), "the shard would be released before the acceptance is in its journal")
	j.results <- nil
	assert.NilError(t, <-accepted)
	e.mu.Lock()
	e.fire("Commit")
	e.mu.Unlock()
	assert.Assert(t, sh.waitUntilIdle(context.Background(), time.Hour))
}

func TestNoDriverAfterShardIsReleased(t *testing.T) {
	h := newTestHolder(t, newJournalFake())
	sh := h.shards[0]
	e, _, err := sh.add(testRequest(ibiswork.Batch, true), true)
	assert.NilError(t, err)
	e.fire("Commit")
	sh.stopAndReset(shardNotHeld, 1)
	h.startDriver(e)
	assert.Assert(t, !e.hasDriver, "an entry of a released shard got a driver")
	_, err = h.await(context.Background(), e, time.Hour)
	assert.Equal(t, ibiswork.AsRefusal(err).Code, ibiswork.CodeRecovering)
}

func TestInProgressCountsOnlyHeldShards(t *testing.T) {
	h := newTestHolder(t, newJournalFake())
	sh := h.shards[0]
	r := testRequest(ibiswork.Interactive, true)
	_, err := h.findOrAccept(context.Background(), sh, &ibiswire.SubmitRequest{Request: r, Fresh: true})
	assert.NilError(t, err)
	assert.Equal(t, h.inProgress.Load(), int64(1))
	sh.stopAndReset(shardNotHeld, 1)
	assert.Equal(t, h.inProgress.Load(), int64(0))
}

func TestRefusedFreshRequestIsMarkedNotRun(t *testing.T) {
	h := newTestHolder(t, newJournalFake())
	h.shards[0].stopAndReset(shardRecovering, 2)
	for _, fresh := range []bool{true, false} {
		_, err := h.Submit(context.Background(), &ibiswire.SubmitRequest{Request: testRequest(ibiswork.Interactive, true), Fresh: fresh})
		assert.Equal(t, ibiswork.AsRefusal(err).Code, ibiswork.CodeRecovering)
		assert.Equal(t, ibiswork.AsRefusal(err).NotRun, fresh)
	}
}

func TestCancelIsJournalledBeforeReply(t *testing.T) {
	j := newJournalFake()
	h := newTestHolder(t, j)
	r := testRequest(ibiswork.Batch, true)
	e, _, err := h.shards[0].add(r, true)
	assert.NilError(t, err)
	e.fire("Commit")
	j.results <- ibisjournal.Unavailable.New("the table is unavailable")
	_, err = h.Cancel(context.Background(), &ibiswire.StatusRequest{ID: r.ID, Team: r.Team})
	refusal := ibiswork.AsRefusal(err)
	assert.Equal(t, refusal.Code, ibiswork.CodeStoreUnavailable)
	assert.Assert(t, !refusal.NotRun)
	assert.Equal(t, len(j.started), 1)
}
