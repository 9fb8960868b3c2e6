// Package ibisholder implements the holder of request shards. Every request ID belongs to one shard, and each
// shard is held by at most one daemon at a time, under an epoch that each new holder raises. All submissions
// of a request reach the holder of its shard, whichever daemon received them, and the holder carries the
// request through to its outcome. Package ibisdaemon runs one holder in every daemon.
//
// The shard rows in the table say which daemon incarnation holds which shard. A holder journals accepted
// durable work, asks the owners of backend servers for places, starts the tasks there and collects their
// outcomes. One control goroutine acquires and releases shards; every accepted request has a driver
// goroutine of its own.
//
// A place is room for one task on a backend server. An attempt is one try at a request, with a place for
// each of its tasks. A backend server is covered when its owner has listed its tasks, or when every lease
// that was granted there has expired: a task that is not found on a covered server does not run there.
//
// Usage:
//
//	h, stop := ibisholder.New(cfg)
//	defer stop()
//	status, err := h.Submit(ctx, &ibiswire.SubmitRequest{Request: r, WaitMS: 5000})
package ibisholder

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisjournal"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisretry"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibisserver"
	"ibiscrank/ibisshard"
	"ibiscrank/ibistable"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// Error is the class of errors of this package.
var Error = errs.Class("holder")

// Journal stores the records of requests that must outlive this daemon.
type Journal interface {
	Append(ctx context.Context, recs ...ibisjournal.Record) error
	Healthy() bool
}

// Config holds the settings and dependencies of a Holder. Metrics, RequestEnded and ShardAcquired may be nil.
type Config struct {
	Self            string // incarnation of this daemon
	Shards          int    // total number of request shards
	Table           ibistable.Table
	Fence           ibistable.Write // makes a transaction fail once Self is no longer live
	Journal         Journal
	Objects         ibistable.Objects
	Pool            *ibisrpc.Pool
	View            func() *ibispeer.View
	Snapshot        func() *ibisconfig.Snapshot
	VMs             func() []ibisserver.VM // returns nil until the platform's list has been read
	DuplicateWindow time.Duration          // for which ended requests are remembered
	MaxInProgress   int                    // requests in progress at which new ones are refused
	Metrics         metrics.Registry
	// RequestEnded is called for every request that ends, and for refusals that count against the team's
	// service-level objectives.
	RequestEnded func(r ibiswork.Request, waited time.Duration, ok bool)
	// ShardAcquired is called for every shard that has a new holder or epoch.
	ShardAcquired func(shard int, epoch int64)
}

// Holder serves the request shards that this daemon holds. Its methods are safe for concurrent use.
type Holder struct {
	cfg           Config
	rowsMu        sync.Mutex // serializes changes of rows
	ctx           context.Context
	wg            sync.WaitGroup
	shards        []*shard
	rows          atomic.Pointer[[]ibisshard.Row]
	holderHints   []atomic.Pointer[ibiswire.Holder] // by shard; reported by other daemons, may be newer than rows
	inProgress    atomic.Int64
	wake          chan struct{}
	draining      atomic.Bool
	sources       *sourceCache
	startTracker  startTracker
	retryBudgetMu sync.Mutex
	retryBudget   ibisretry.Budget
	searchSlots   chan struct{}

	refused          metrics.Counter
	ended            metrics.Counter
	refusedEvacuated metrics.Counter
	evacuatedLogged  atomic.Int64 // Unix nanoseconds of the last log line about such a refusal
}

// New starts a holder that holds no shards yet. The second result stops its goroutines and waits for them.
func New(cfg Config) (*Holder, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	h := &Holder{
		cfg: cfg, ctx: ctx, wake: make(chan struct{}, 1), searchSlots: make(chan struct{}, maxConcurrentSearches), sources: newSourceCache(cfg.Table),
		refused:          metrics.NewRegisteredCounter("RequestsRefused", cfg.Metrics),
		ended:            metrics.NewRegisteredCounter("RequestsEnded", cfg.Metrics),
		refusedEvacuated: metrics.NewRegisteredCounter("RequestsRefusedEvacuated", cfg.Metrics),
	}
	h.holderHints = make([]atomic.Pointer[ibiswire.Holder], cfg.Shards)
	for i := range cfg.Shards {
		h.shards = append(h.shards, newShard(i))
	}
	empty := make([]ibisshard.Row, cfg.Shards)
	h.rows.Store(&empty)
	h.wg.Add(1)
	go h.control()
	return h, func() {
		cancel()
		for _, sh := range h.shards {
			sh.stop()
		}
		h.wg.Wait()
	}
}

// Holder returns the holder of shard s and the address of its daemon, or false if that daemon is not in the
// view of live daemons.
func (h *Holder) Holder(s int) (ibiswire.Holder, string, bool) {
	row := (*h.rows.Load())[s]
	holder := ibiswire.Holder{Shard: s, Epoch: row.Epoch, Incarnation: row.Holder}
	if hint := h.holderHints[s].Load(); hint != nil && hint.Epoch > row.Epoch {
		holder = *hint
	}
	m, ok := h.cfg.View().Find(holder.Incarnation)
	if !ok {
		return ibiswire.Holder{}, "", false
	}
	return holder, m.Digest.Row.Address, true
}

// Held returns the number of shards that this daemon serves.
func (h *Holder) Held() int {
	n := 0
	for _, sh := range h.shards {
		if sh.serving() {
			n++
		}
	}
	return n
}

// refuseRecovering returns the refusal of a request whose shard has no ready holder at this moment.
func refuseRecovering(format string, args ...any) *ibiswork.Refusal {
	return ibiswork.Refuse(ibiswork.CodeRecovering, format, args...).WithMaybeRun().WithRetryAfter(recoveringRetryAfter)
}

const recoveringRetryAfter = 500 * time.Millisecond

// Submit accepts a request of a shard held here, or finds it if it was submitted before, and waits up to
// req.WaitMS milliseconds for its outcome. Errors are refusals of type *ibiswork.Refusal.
func (h *Holder) Submit(ctx context.Context, req *ibiswire.SubmitRequest) (*ibiswork.Status, error) {
	r := req.Request
	sh := h.shards[r.ID.Shard(h.cfg.Shards)]
	e, err := h.findOrAccept(ctx, sh, req)
	if err != nil {
		h.refused.Inc(1)
		h.countRefusal(r, err)
		return nil, sh.correctNotRun(err, req)
	}
	return h.await(ctx, e, time.Duration(req.WaitMS)*time.Millisecond)
}

// countsAgainstObjective lists the refusals that count against a team's service-level objectives.
var countsAgainstObjective = map[ibiswork.Code]bool{ibiswork.CodeOverloaded: true, ibiswork.CodeStoreUnavailable: true}

// countRefusal reports r as ended without success if its refusal counts against the objectives.
func (h *Holder) countRefusal(r ibiswork.Request, err error) {
	if refusal, ok := errors.AsType[*ibiswork.Refusal](err); ok && countsAgainstObjective[refusal.Code] && h.cfg.RequestEnded != nil {
		h.cfg.RequestEnded(r, 0, false)
	}
}

// findOrAccept returns the entry of a request that was submitted before, or accepts the request.
func (h *Holder) findOrAccept(ctx context.Context, sh *shard, req *ibiswire.SubmitRequest) (*entry, error) {
	r := req.Request
	if e, err := sh.find(r); e != nil || err != nil {
		if e != nil {
			h.startDriver(e)
		}
		return e, err
	}
	if err := h.admit(r); err != nil {
		return nil, err
	}
	e, added, err := sh.add(r, req.Fresh)
	if err != nil {
		return nil, err
	}
	if !added {
		return e, nil
	}
	h.retryBudgetMu.Lock()
	h.retryBudget.Deposit(r.Team)
	h.retryBudgetMu.Unlock()
	h.addInProgress(e)
	if r.Class.Durable() {
		if err := h.acceptDurable(ctx, sh, e); err != nil {
			return nil, err
		}
	}
	e.mu.Lock()
	e.fire("Commit")
	e.mu.Unlock()
	h.startDriver(e)
	return e, nil
}

// acceptDurable journals a request before it is acknowledged. If that fails, the request is refused.
func (h *Holder) acceptDurable(ctx context.Context, sh *shard, e *entry) error {
	err := h.save(context.WithoutCancel(ctx), e)
	if err == nil {
		return nil
	}
	refusal := storeRefusal(err)
	e.mu.Lock()
	e.durable = false
	e.finish("Refuse", nil, refusal, time.Now())
	e.mu.Unlock()
	h.removeInProgress(e)
	sh.remove(e)
	return refusal
}

// storeRefusal turns a failed journal write into the refusal of a request that was not started.
func storeRefusal(err error) *ibiswork.Refusal {
	switch {
	case ibisjournal.Unavailable.Has(err):
		return ibiswork.Refuse(ibiswork.CodeStoreUnavailable, "the table service is unavailable; nothing was recorded").WithRetryAfter(storeRetryAfter)
	case ibisjournal.Fenced.Has(err):
		return refuseRecovering("this daemon has been replaced; its journal no longer accepts writes")
	}
	return ibiswork.Refuse(ibiswork.CodeStoreUnavailable, "the outcome of the write to the table service is unknown").WithMaybeRun().WithRetryAfter(storeRetryAfter)
}

const storeRetryAfter = 1 * time.Second

// admit refuses a request that can never run or cannot be accepted now.
func (h *Holder) admit(r ibiswork.Request) error {
	if h.draining.Load() {
		return ibiswork.Refuse(ibiswork.CodeDraining, "this daemon is draining").WithRetryAfter(recoveringRetryAfter)
	}
	if h.inProgress.Load() >= int64(h.cfg.MaxInProgress) {
		return ibiswork.Refuse(ibiswork.CodeOverloaded, "this daemon has reached its limit of %d requests in progress", h.cfg.MaxInProgress).WithRetryAfter(overloadRetryAfter)
	}
	if r.Durable() && !h.cfg.Journal.Healthy() {
		return ibiswork.Refuse(ibiswork.CodeStoreUnavailable, "the table service is unavailable; nothing was recorded").WithRetryAfter(storeRetryAfter)
	}
	team, ok := h.cfg.Snapshot().Teams[r.Team]
	if !ok {
		return ibiswork.Refuse(ibiswork.CodeForbidden, "team %q does not exist", r.Team)
	}
	total := r.Total()
	total.Slots = max(total.Slots, int64(r.TaskCount()))
	if !total.FitsIn(team.UpperLimit) {
		return ibiswork.Refuse(ibiswork.CodeNeverFits, "the request needs %+v in total, more than the upper limit of team %s", total, r.Team)
	}
	if err := h.checkNotEvacuated(r); err != nil {
		return err
	}
	if !r.Class.Durable() {
		if refusal := h.startTracker.admitInteractive(r, time.Now()); refusal != nil {
			return refusal
		}
	}
	return h.checkFitsAnyServer(r)
}

const overloadRetryAfter = 1 * time.Second

// checkFitsAnyServer refuses a request whose tasks are larger than the capacity of every known backend server.
func (h *Holder) checkFitsAnyServer(r ibiswork.Request) error {
	var largest ibiswork.Resources
	for _, m := range h.cfg.View().Members {
		largest = largest.Max(m.Digest.Load.LargestCapacity)
	}
	if !largest.IsZero() && !r.Resources.FitsIn(largest) {
		return ibiswork.Refuse(ibiswork.CodeNeverFits, "one task needs %+v, more than any known backend server has", r.Resources)
	}
	return nil
}

// await waits until e has ended, at most for wait once e was accepted, and returns its status.
func (h *Holder) await(ctx context.Context, e *entry, wait time.Duration) (*ibiswork.Status, error) {
	select {
	case <-e.acceptanceDecided:
	case <-ctx.Done():
		return nil, refuseRecovering("the request is still being written to the journal")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-e.done:
	case <-timer.C:
	case <-ctx.Done():
	case <-e.shardCtx.Done():
		if st, err := e.status(); err != nil || st.Stage == ibiswork.Ended {
			return &st, err
		}
		return nil, refuseRecovering("shard %d is moving to another daemon", e.shard.id)
	}
	if err := h.loadResult(ctx, e); err != nil {
		return nil, err
	}
	st, err := e.status()
	if err != nil {
		return nil, err
	}
	return &st, nil
}

// Status returns the status of a request of a shard held here. It waits up to req.WaitMS milliseconds for
// its outcome.
func (h *Holder) Status(ctx context.Context, req *ibiswire.StatusRequest) (*ibiswork.Status, error) {
	e, err := h.lookup(req)
	if err != nil {
		return nil, err
	}
	return h.await(ctx, e, time.Duration(req.WaitMS)*time.Millisecond)
}

func (h *Holder) lookup(req *ibiswire.StatusRequest) (*entry, error) {
	sh := h.shards[req.ID.Shard(h.cfg.Shards)]
	e, ready := sh.get(req.ID)
	switch {
	case e == nil && !ready:
		return nil, refuseRecovering("this daemon is not a ready holder of shard %d", sh.id)
	case e == nil:
		return nil, ibiswork.Refuse(ibiswork.CodeNotFound, "request %s is unknown", req.ID).WithMaybeRun()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.saved.Request.Team != req.Team {
		return nil, ibiswork.Refuse(ibiswork.CodeNotFound, "request %s is unknown", req.ID).WithMaybeRun()
	}
	return e, nil
}

// Cancel cancels a request: at once if it has not been started, else by stopping its tasks. It waits for the
// outcome for req.WaitMS milliseconds, and at least for minCancelWait.
func (h *Holder) Cancel(ctx context.Context, req *ibiswire.StatusRequest) (*ibiswork.Status, error) {
	e, err := h.lookup(req)
	if err != nil {
		return nil, err
	}
	h.requestCancellation(e)
	if err := h.saveCancellation(ctx, e); err != nil {
		return nil, err
	}
	return h.await(ctx, e, max(time.Duration(req.WaitMS)*time.Millisecond, minCancelWait))
}

// saveCancellation journals the cancellation of a durable request for the next holder. If that fails, the
// refusal does not promise that the request was not run: the cancellation may still take effect.
func (h *Holder) saveCancellation(ctx context.Context, e *entry) error {
	e.mu.Lock()
	needed := e.saved.Request.Class.Durable() && e.state() != stateEnded && e.state() != stateAccepted
	e.mu.Unlock()
	if !needed {
		return nil
	}
	if err := h.save(ctx, e); err != nil {
		return storeRefusal(err).WithMaybeRun()
	}
	return nil
}

const minCancelWait = 1 * time.Second

func (h *Holder) requestCancellation(e *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelRequested, e.saved.Cancelled = true, true
	e.notify()
}

// CancelQueue cancels every request of a team that has not been started, in the shards held here.
func (h *Holder) CancelQueue(_ context.Context, req *ibiswire.CancelQueueRequest) (*ibiswire.CancelQueueReply, error) {
	reply := &ibiswire.CancelQueueReply{}
	for _, sh := range h.shards {
		for _, e := range sh.all() {
			e.mu.Lock()
			if e.saved.Request.Team == req.Team && (e.state() == stateQueued || e.state() == stateReserved) {
				e.cancelRequested, e.saved.Cancelled = true, true
				e.notify()
				reply.Cancelled++
			}
			e.mu.Unlock()
		}
	}
	return reply, nil
}

// Report handles task events from an owner and returns one verdict for each.
func (h *Holder) Report(_ context.Context, req *ibiswire.ReportRequest) (*ibiswire.ReportReply, error) {
	reply := &ibiswire.ReportReply{}
	for _, ev := range req.Events {
		reply.Verdicts = append(reply.Verdicts, h.deliverEvent(ev))
	}
	return reply, nil
}

func (h *Holder) deliverEvent(ev ibiswire.TaskEvent) ibiswire.Verdict {
	sh := h.shards[ev.Task.Request.Shard(h.cfg.Shards)]
	e, ready := sh.get(ev.Task.Request)
	if e != nil {
		return e.deliverEvent(ev)
	}
	if !ready {
		return ibiswire.NotHolder
	}
	if !ev.Ran {
		return ibiswire.Recorded
	}
	e = sh.adopt(ev)
	if e == nil {
		return ibiswire.NotHolder
	}
	h.startDriver(e)
	return e.deliverEvent(ev)
}

// save journals the current state of e. It writes nothing for work that is not durable.
func (h *Holder) save(ctx context.Context, e *entry) error {
	if !e.isDurable() {
		return nil
	}
	if err := h.storeLarge(ctx, e); err != nil {
		return err
	}
	rec, err := h.newRecord(e)
	if err != nil {
		return err
	}
	return h.cfg.Journal.Append(ctx, rec)
}

// jitter returns a random duration from d/2 up to d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }
