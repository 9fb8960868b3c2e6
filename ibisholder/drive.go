package ibisholder

import (
	"context"
	"errors"
	"time"

	"ibiscrank/ibisjournal"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// Times and bounds of a driver.
const (
	durableWait     = 5 * time.Second         // of one Place call for durable work
	interactiveWait = 1500 * time.Millisecond // of one Place call for interactive work
	callMargin      = 2 * time.Second         // of a call beyond the wait that it asks for
	startWait       = 8 * time.Second
	retryBase       = 50 * time.Millisecond
	retryMax        = 2 * time.Second
	lookInterval    = 1 * time.Second
	maxFailures     = 5 // of the work itself, before the answer is Failed
	defaultDeadline = 30 * time.Second
)

// drive starts the driver of e unless it has one.
func (h *Holder) drive(e *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.driven || e.state() == stateAccepted || e.state() == stateEnded {
		return
	}
	if !e.shard.drive(e.life) {
		h.leave(e)
		return
	}
	e.driven = true
	h.enter(e)
	go func() {
		defer e.shard.drivers.Done()
		h.run(e.life, e)
	}()
}

// drive registers one more driver while this life of the shard goes on.
func (sh *shard) drive(life context.Context) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if life.Err() != nil {
		return false
	}
	sh.drivers.Add(1)
	return true
}

// run drives e from state to state until it has ended or the shard is given up.
func (h *Holder) run(ctx context.Context, e *entry) {
	defer h.count(e, stateEnded)
	defer h.leave(e)
	for ctx.Err() == nil {
		e.mu.Lock()
		state := e.state()
		e.mu.Unlock()
		h.count(e, state)
		switch state {
		case stateQueued:
			h.place(ctx, e)
		case stateReserved:
			h.intend(ctx, e)
		case stateStarting:
			h.start(ctx, e)
		case stateRunning:
			h.watch(ctx, e)
		case stateLocating:
			h.locate(ctx, e)
		case stateEnded:
			h.conclude(ctx, e)
			return
		}
	}
}

// leave takes e, once, out of the number of requests in progress here.
func (h *Holder) leave(e *entry) {
	if e.counted.Swap(false) {
		h.queued.Add(-1)
	}
}

// enter counts e, once, among the requests in progress here.
func (h *Holder) enter(e *entry) {
	if !e.counted.Swap(true) {
		h.queued.Add(1)
	}
}

// count keeps the number of requests that wait and the rate of starts.
func (h *Holder) count(e *entry, state string) {
	waits := state == stateQueued || state == stateReserved || state == stateStarting
	if waits == e.waiting {
		return
	}
	e.waiting = waits
	c := e.saved.Request.Class
	if waits {
		h.flow.wait(c, 1)
		return
	}
	h.flow.wait(c, -1)
	if state == stateRunning {
		h.flow.start(c, time.Now())
	}
}

// conclude journals the end of durable work, counts it, and lets it be forgotten in time.
func (h *Holder) conclude(ctx context.Context, e *entry) {
	h.leave(e)
	h.ended.Inc(1)
	e.mu.Lock()
	r, ok := e.saved.Request, e.saved.Answer != nil && e.saved.Answer.Outcome != ibiswork.Failed
	wait := time.Duration(e.saved.WaitMS) * time.Millisecond
	r.Team = e.saved.Request.Team
	e.mu.Unlock()
	if h.cfg.Ended != nil {
		h.cfg.Ended(r, wait, ok)
	}
	e.shard.retire(e)
	for delay := retryBase; ctx.Err() == nil; delay = min(2*delay, retryMax) {
		err := h.save(ctx, e)
		if err == nil || ibisjournal.Fenced.Has(err) {
			e.mu.Lock()
			e.kept = err == nil
			drop := e.saved.PayloadKept
			e.mu.Unlock()
			if drop {
				h.dropObject(payloadKey(e.id))
			}
			return
		}
		pause(ctx, e, jitter(delay))
	}
}

// givenUp ends e when it was cancelled or its deadline has passed. It may be called only while no task of
// the present attempt can have been started.
func (h *Holder) givenUp(e *entry) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.cancel {
		e.finish("Cancel", &ibiswork.Answer{ID: e.id, Outcome: ibiswork.Cancelled, Attempts: e.saved.Attempt - 1}, nil, now)
		return true
	}
	left, bounded := e.timeLeft(now)
	if bounded && left <= 0 {
		r := ibiswork.Refuse(ibiswork.CodeDeadline, "the deadline passed before the request could be started").WithRetryAfter(overloadRetry)
		if e.saved.Ran {
			r = r.WithMaybeRun()
		}
		e.finish("Refuse", nil, r, now)
		return true
	}
	return false
}

// timeLeft is the time until the latest useful answer. Durable work was accepted and has no such bound.
func (e *entry) timeLeft(now time.Time) (time.Duration, bool) {
	if e.saved.Request.Class.Durable() {
		return 0, false
	}
	d := time.Duration(e.saved.Request.DeadlineMS) * time.Millisecond
	if d == 0 {
		d = defaultDeadline
	}
	return d - now.Sub(e.accepted), true
}

// place asks an owner for places.
func (h *Holder) place(ctx context.Context, e *entry) {
	if h.takeEvents(ctx, e) || h.givenUp(e) {
		return
	}
	if !h.loadPayload(ctx, e) {
		pause(ctx, e, jitter(retryMax))
		return
	}
	e.mu.Lock()
	if !e.known {
		// Its task is gone, and the request was never seen here: only its caller can bring it again.
		e.shard.remove(e)
		e.finish("Refuse", nil, recovering("an earlier run was lost"), time.Now())
		e.mu.Unlock()
		return
	}
	if delay, due := h.retryDelay(e); due {
		e.mu.Unlock()
		pause(ctx, e, delay)
		return
	}
	now := time.Now()
	wait := durableWait
	if left, bounded := e.timeLeft(now); bounded {
		wait = min(interactiveWait, left)
	}
	req := &ibiswire.PlaceRequest{
		From: h.from(e), Request: e.saved.Request, Attempt: e.saved.Attempt, Intent: e.durable,
		Avoid: e.avoid, WaitMS: wait.Milliseconds(), WaitedMS: now.Sub(e.accepted).Milliseconds(),
	}
	last := e.owner
	e.mu.Unlock()
	if h.mustGather(req.Request) {
		h.gather(ctx, e, req)
		return
	}
	owner, ok := h.pick(req.Request, last)
	if !ok {
		pause(ctx, e, retryBase)
		return
	}
	e.mu.Lock()
	e.owner = owner.ID()
	e.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	reply, err := ibisrpc.Call[ibiswire.PlaceReply](callCtx, h.cfg.Pool, owner.Digest.Row.Address, ibiswire.MethodPlace, req)
	h.placed(ctx, e, reply, err)
}

// placed takes in the reply to a Place call.
func (h *Holder) placed(ctx context.Context, e *entry, reply *ibiswire.PlaceReply, err error) {
	if err != nil {
		h.notPlaced(ctx, e, err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch reply.State {
	case ibiswire.Reserved:
		e.setPlaces(reply.Places, e.owner)
		e.fire("Reserve")
	case ibiswire.Started:
		e.setPlaces(reply.Places, e.owner)
		e.dispatched(time.Now())
	}
}

// setPlaces records the places of the attempt, all of one owner.
func (e *entry) setPlaces(places []ibiswire.Place, owner string) {
	e.saved.Places = places
	for _, p := range places {
		e.owners[p.Index] = owner
	}
}

// dispatched records that every task of the attempt has been started.
func (e *entry) dispatched(now time.Time) {
	if e.saved.WaitMS == 0 {
		e.saved.WaitMS = now.Sub(e.accepted).Milliseconds()
	}
	e.fire("Dispatch")
}

// notPlaced decides what follows a Place call that brought no places.
func (h *Holder) notPlaced(ctx context.Context, e *entry, err error) {
	refusal, refused := errors.AsType[*ibiswork.Refusal](err)
	e.mu.Lock()
	switch {
	case !refused && !e.durable:
		// Without an intent the owner may have started it.
		e.fire("Dispatch")
		e.fire("Lose")
		e.mu.Unlock()
		return
	case refused && refusal.Code == ibiswork.CodeDeadline && refusal.NotRun && !e.saved.Ran:
		e.finish("Refuse", nil, refusal.WithRetryAfter(overloadRetry), time.Now())
		e.mu.Unlock()
		return
	}
	e.saved.Attempt++ // the attempt is closed; a reservation that is left over is never started
	e.saved.Places = nil
	e.mu.Unlock()
	pause(ctx, e, jitter(2*retryBase))
}

// intend journals where the attempt is about to be started.
func (h *Holder) intend(ctx context.Context, e *entry) {
	e.mu.Lock()
	cancelled := e.cancel
	e.mu.Unlock()
	if cancelled {
		h.release(ctx, e)
		h.givenUp(e)
		return
	}
	err := h.save(ctx, e)
	e.mu.Lock()
	if err == nil {
		e.fire("Intend")
		e.mu.Unlock()
		return
	}
	interactive := !e.saved.Request.Class.Durable()
	if ibisjournal.Unavailable.Has(err) && interactive {
		// Nothing was written and nothing was started: the refusal is true, and a retry begins anew.
		e.durable = false
		e.finish("Refuse", nil, storeRefusal(err), time.Now())
		e.again.Store(true)
		e.mu.Unlock()
		h.release(ctx, e)
		return
	}
	e.fire("Requeue")
	e.saved.Attempt++
	e.saved.Places = nil
	e.mu.Unlock()
	h.release(ctx, e)
	pause(ctx, e, jitter(retryMax))
}

// watch waits for the ends of the tasks that run.
func (h *Holder) watch(ctx context.Context, e *entry) {
	stopped := false
	for ctx.Err() == nil {
		if h.takeEvents(ctx, e) {
			return
		}
		e.mu.Lock()
		cancelled := e.cancel
		lost := e.ownerLost(h.cfg.View()) || e.serverLost(h.gone)
		e.mu.Unlock()
		if lost {
			return
		}
		if cancelled && !stopped {
			stopped = h.release(ctx, e)
		}
		pause(ctx, e, lookInterval)
	}
}

// ownerLost moves e to Locating when the owner of a task that runs is not known any more.
func (e *entry) ownerLost(v *ibispeer.View) bool {
	lost := false
	for i := range e.saved.Request.TaskCount() {
		if ev, ok := e.tasks[i]; ok && ev.State.Ended() {
			continue
		}
		if _, ok := v.Find(e.owners[i]); !ok {
			lost = true
			delete(e.tasks, i) // the next owner says anew that it runs
		}
	}
	return lost && e.fire("Lose")
}

// serverLost moves e to Locating when the VM of a task that runs is gone; its owner may have been replaced
// before it could tell.
func (e *entry) serverLost(gone func(server string) bool) bool {
	lost := false
	for _, p := range e.saved.Places {
		if ev, ok := e.tasks[p.Index]; (!ok || !ev.State.Ended()) && gone(p.Server) {
			lost = true
			delete(e.tasks, p.Index)
		}
	}
	return lost && e.fire("Lose")
}

// pause waits for d, a signal to the entry, or the end of ctx.
func pause(ctx context.Context, e *entry, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-e.signal:
	case <-t.C:
	}
}
