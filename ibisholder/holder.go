// Package ibisholder holds request shards: the place where all submissions of one request meet, whichever
// daemon they came to, and from which the request is driven to its end.
//
// The rows of shards in the store say who holds which shard. A holder journals what must last, asks owners
// of backend servers for places, and collects the ends of tasks. One goroutine controls which shards are
// held; every accepted request has a driver goroutine of its own.
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

// Journal keeps what must last.
type Journal interface {
	Append(ctx context.Context, recs ...ibisjournal.Record) error
	Healthy() bool
}

// Config is what New needs.
type Config struct {
	Self            string
	Shards          int
	Table           ibistable.Table
	Fence           ibistable.Write
	Journal         Journal
	Objects         ibistable.Objects
	Pool            *ibisrpc.Pool
	View            func() *ibispeer.View
	Snapshot        func() *ibisconfig.Snapshot
	VMs             func() []ibisserver.VM
	DuplicateWindow time.Duration
	MaxQueued       int
	Metrics         metrics.Registry
	// Ended is told of every request that ended, for the report on service-level burn.
	Ended func(r ibiswork.Request, waited time.Duration, ok bool)
	// ShardTaken is told of every shard that has a new holder or epoch.
	ShardTaken func(shard int, epoch int64)
}

// Holder holds some request shards.
type Holder struct {
	cfg       Config
	rowsMu    sync.Mutex // serializes changes of rows
	ctx       context.Context
	wg        sync.WaitGroup
	shards    []*shard
	rows      atomic.Pointer[[]ibisshard.Row]
	hints     []atomic.Pointer[ibiswire.Holder] // of holders that are newer than the rows
	queued    atomic.Int64
	wake      chan struct{}
	draining  atomic.Bool
	sources   *sourceCache
	flow      flow
	retryMu   sync.Mutex
	retries   ibisretry.Budget
	searching chan struct{}

	refused metrics.Counter
	ended   metrics.Counter
}

// New starts a holder without shards; the second result ends its goroutines.
func New(cfg Config) (*Holder, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	h := &Holder{
		cfg: cfg, ctx: ctx, wake: make(chan struct{}, 1), searching: make(chan struct{}, maxSearches), sources: newSourceCache(cfg.Table),
		refused: metrics.NewRegisteredCounter("RequestsRefused", cfg.Metrics),
		ended:   metrics.NewRegisteredCounter("RequestsEnded", cfg.Metrics),
	}
	h.hints = make([]atomic.Pointer[ibiswire.Holder], cfg.Shards)
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

// Holder tells who holds a shard and where its daemon is reached.
func (h *Holder) Holder(s int) (ibiswire.Holder, string, bool) {
	row := (*h.rows.Load())[s]
	known := ibiswire.Holder{Shard: s, Epoch: row.Epoch, Incarnation: row.Holder}
	if hint := h.hints[s].Load(); hint != nil && hint.Epoch > row.Epoch {
		known = *hint
	}
	m, ok := h.cfg.View().Find(known.Incarnation)
	if !ok {
		return ibiswire.Holder{}, "", false
	}
	return known, m.Digest.Row.Address, true
}

// Held counts the shards that this daemon holds.
func (h *Holder) Held() int {
	n := 0
	for _, sh := range h.shards {
		if sh.serving() {
			n++
		}
	}
	return n
}

// recovering is the refusal of a request whose shard has no ready holder at this moment.
func recovering(format string, args ...any) *ibiswork.Refusal {
	return ibiswork.Refuse(ibiswork.CodeRecovering, format, args...).WithMaybeRun().WithRetryAfter(recoverRetry)
}

const recoverRetry = 500 * time.Millisecond

// Submit takes in a request of a shard held here and waits for its end.
func (h *Holder) Submit(ctx context.Context, req *ibiswire.SubmitRequest) (*ibiswork.Status, error) {
	r := req.Request
	sh := h.shards[r.ID.Shard(h.cfg.Shards)]
	e, err := h.entryFor(ctx, sh, req)
	if err != nil {
		h.refused.Inc(1)
		h.countRefusal(r, err)
		return nil, sh.honest(err, req)
	}
	return h.await(ctx, e, time.Duration(req.WaitMS)*time.Millisecond)
}

// missed lists the refusals that count against a team's service-level objectives.
var missed = map[ibiswork.Code]bool{ibiswork.CodeOverloaded: true, ibiswork.CodeStoreUnavailable: true}

func (h *Holder) countRefusal(r ibiswork.Request, err error) {
	if refusal, ok := errors.AsType[*ibiswork.Refusal](err); ok && missed[refusal.Code] && h.cfg.Ended != nil {
		h.cfg.Ended(r, 0, false)
	}
}

// entryFor finds the entry of a request, or accepts the request.
func (h *Holder) entryFor(ctx context.Context, sh *shard, req *ibiswire.SubmitRequest) (*entry, error) {
	r := req.Request
	if e, err := sh.find(r); e != nil || err != nil {
		if e != nil {
			h.drive(e)
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
	h.retryMu.Lock()
	h.retries.Deposit(r.Team)
	h.retryMu.Unlock()
	h.enter(e)
	if r.Class.Durable() {
		if err := h.acceptDurable(ctx, sh, e); err != nil {
			return nil, err
		}
	}
	e.mu.Lock()
	e.fire("Commit")
	e.mu.Unlock()
	h.drive(e)
	return e, nil
}

// acceptDurable journals a request before it is acknowledged.
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
	h.leave(e)
	sh.remove(e)
	return refusal
}

// storeRefusal turns a failed journal write into the refusal of a request that was not started.
func storeRefusal(err error) *ibiswork.Refusal {
	switch {
	case ibisjournal.Unavailable.Has(err):
		return ibiswork.Refuse(ibiswork.CodeStoreUnavailable, "the store is away; nothing was recorded").WithRetryAfter(storeRetry)
	case ibisjournal.Fenced.Has(err):
		return recovering("this daemon has been replaced")
	}
	return ibiswork.Refuse(ibiswork.CodeStoreUnavailable, "the store has not answered").WithMaybeRun().WithRetryAfter(storeRetry)
}

const storeRetry = 1 * time.Second

// admit refuses what can never run and what cannot be taken now.
func (h *Holder) admit(r ibiswork.Request) error {
	if h.draining.Load() {
		return ibiswork.Refuse(ibiswork.CodeDraining, "this daemon is leaving").WithRetryAfter(recoverRetry)
	}
	if h.queued.Load() >= int64(h.cfg.MaxQueued) {
		return ibiswork.Refuse(ibiswork.CodeOverloaded, "%d requests are queued here", h.cfg.MaxQueued).WithRetryAfter(overloadRetry)
	}
	if r.Durable() && !h.cfg.Journal.Healthy() {
		return ibiswork.Refuse(ibiswork.CodeStoreUnavailable, "the store is away; nothing was recorded").WithRetryAfter(storeRetry)
	}
	team, ok := h.cfg.Snapshot().Teams[r.Team]
	if !ok {
		return ibiswork.Refuse(ibiswork.CodeForbidden, "there is no team %q", r.Team)
	}
	total := r.Total()
	total.Slots = max(total.Slots, int64(r.TaskCount()))
	if !total.FitsIn(team.UpperLimit) {
		return ibiswork.Refuse(ibiswork.CodeNeverFits, "the request needs more than the upper limit of team %s", r.Team)
	}
	if !r.Class.Durable() {
		if refusal := h.flow.admitInteractive(r, time.Now()); refusal != nil {
			return refusal
		}
	}
	return h.everFits(r)
}

const overloadRetry = 1 * time.Second

// everFits refuses a task that is larger than every backend server known.
func (h *Holder) everFits(r ibiswork.Request) error {
	var biggest ibiswork.Resources
	for _, m := range h.cfg.View().Members {
		biggest = biggest.Max(m.Digest.Load.Biggest)
	}
	if !biggest.IsZero() && !r.Resources.FitsIn(biggest) {
		return ibiswork.Refuse(ibiswork.CodeNeverFits, "no backend server has %+v", r.Resources)
	}
	return nil
}

// await waits for the end of e.
func (h *Holder) await(ctx context.Context, e *entry, wait time.Duration) (*ibiswork.Status, error) {
	select {
	case <-e.accept:
	case <-ctx.Done():
		return nil, recovering("the request is still being recorded")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-e.done:
	case <-timer.C:
	case <-ctx.Done():
	case <-e.life.Done():
		if st, err := e.status(); err != nil || st.Stage == ibiswork.Ended {
			return &st, err
		}
		return nil, recovering("the shard is moving to another daemon")
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

// Status tells what is known of a request of a shard held here.
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
		return nil, recovering("the shard is being recovered")
	case e == nil:
		return nil, ibiswork.Refuse(ibiswork.CodeNotFound, "no request %s is known", req.ID).WithMaybeRun()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.saved.Request.Team != req.Team {
		return nil, ibiswork.Refuse(ibiswork.CodeNotFound, "no request %s is known", req.ID).WithMaybeRun()
	}
	return e, nil
}

// Cancel ends a request: at once when it has not been started, else by stopping its tasks.
func (h *Holder) Cancel(ctx context.Context, req *ibiswire.StatusRequest) (*ibiswork.Status, error) {
	e, err := h.lookup(req)
	if err != nil {
		return nil, err
	}
	h.cancelEntry(e)
	if err := h.keepCancel(ctx, e); err != nil {
		return nil, err
	}
	return h.await(ctx, e, max(time.Duration(req.WaitMS)*time.Millisecond, cancelWait))
}

// keepCancel journals that a durable request was cancelled, so that the next holder knows. The refusal of a
// cancellation that could not be kept promises nothing: it may take effect all the same.
func (h *Holder) keepCancel(ctx context.Context, e *entry) error {
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

const cancelWait = 1 * time.Second

func (h *Holder) cancelEntry(e *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel, e.saved.Cancelled = true, true
	e.poke()
}

// CancelQueue cancels every request of a team that has not been started, in the shards held here.
func (h *Holder) CancelQueue(_ context.Context, req *ibiswire.CancelQueueRequest) (*ibiswire.CancelQueueReply, error) {
	reply := &ibiswire.CancelQueueReply{}
	for _, sh := range h.shards {
		for _, e := range sh.all() {
			e.mu.Lock()
			if e.saved.Request.Team == req.Team && (e.state() == stateQueued || e.state() == stateReserved) {
				e.cancel, e.saved.Cancelled = true, true
				e.poke()
				reply.Cancelled++
			}
			e.mu.Unlock()
		}
	}
	return reply, nil
}

// Report takes in events of tasks from an owner.
func (h *Holder) Report(_ context.Context, req *ibiswire.ReportRequest) (*ibiswire.ReportReply, error) {
	reply := &ibiswire.ReportReply{}
	for _, ev := range req.Events {
		reply.Verdicts = append(reply.Verdicts, h.deliver(ev))
	}
	return reply, nil
}

func (h *Holder) deliver(ev ibiswire.TaskEvent) ibiswire.Verdict {
	sh := h.shards[ev.Task.Request.Shard(h.cfg.Shards)]
	e, ready := sh.get(ev.Task.Request)
	if e != nil {
		return e.deliver(ev)
	}
	if !ready {
		return ibiswire.NotHolder
	}
	if !ev.Ran {
		return ibiswire.Taken
	}
	e = sh.adopt(ev)
	if e == nil {
		return ibiswire.NotHolder
	}
	h.drive(e)
	return e.deliver(ev)
}

// save journals the present state of e. Nothing is written for work that need not last.
func (h *Holder) save(ctx context.Context, e *entry) error {
	if !e.isDurable() {
		return nil
	}
	if err := h.keepLarge(ctx, e); err != nil {
		return err
	}
	rec, err := h.record(e)
	if err != nil {
		return err
	}
	return h.cfg.Journal.Append(ctx, rec)
}

// jitter is a random time between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }
