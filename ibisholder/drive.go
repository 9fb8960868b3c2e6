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

// Timeouts and limits of a driver.
const (
	durablePlaceWait     = 5 * time.Second         // in the owner's queue, for durable work
	interactivePlaceWait = 1500 * time.Millisecond // in the owner's queue, for interactive work
	callMargin           = 2 * time.Second         // of a call's timeout over the wait that it requests, if any
	startTimeout         = 8 * time.Second
	minRetryDelay        = 50 * time.Millisecond
	maxRetryDelay        = 2 * time.Second
	watchInterval        = 1 * time.Second
	maxFailures          = 5 // failed attempts until the answer is Failed, unless the server caused the last failure
	defaultDeadline      = 30 * time.Second
)

// startDriver starts the driver goroutine of e, unless e has one, is not yet accepted or has ended, or its
// shard has been released.
func (h *Holder) startDriver(e *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hasDriver || e.state() == stateAccepted || e.state() == stateEnded {
		return
	}
	if !e.shard.addDriver(e.shardCtx) {
		h.removeInProgress(e)
		return
	}
	e.hasDriver = true
	h.addInProgress(e)
	go func() {
		defer e.shard.drivers.Done()
		h.runDriver(e.shardCtx, e)
	}()
}

// addDriver registers one more driver, unless ctx, the context of its entry, shows that the shard has been
// released since.
func (sh *shard) addDriver(ctx context.Context) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	sh.drivers.Add(1)
	return true
}

// runDriver acts on the state of e until e has ended or the shard is released.
func (h *Holder) runDriver(ctx context.Context, e *entry) {
	defer h.trackStart(e, stateEnded)
	defer h.removeInProgress(e)
	for ctx.Err() == nil {
		e.mu.Lock()
		state := e.state()
		e.mu.Unlock()
		h.trackStart(e, state)
		switch state {
		case stateQueued:
			h.requestPlaces(ctx, e)
		case stateReserved:
			h.commitIntent(ctx, e)
		case stateStarting:
			h.startTasks(ctx, e)
		case stateRunning:
			h.watchTasks(ctx, e)
		case stateLocating:
			h.locate(ctx, e)
		case stateEnded:
			h.recordOutcome(ctx, e)
			return
		}
	}
}

// removeInProgress takes e out of the number of requests in progress, if it was counted.
func (h *Holder) removeInProgress(e *entry) {
	if e.countedInProgress.Swap(false) {
		h.inProgress.Add(-1)
	}
}

// addInProgress adds e to the number of requests in progress, unless it is counted already.
func (h *Holder) addInProgress(e *entry) {
	if !e.countedInProgress.Swap(true) {
		h.inProgress.Add(1)
	}
}

// trackStart updates the number of requests that wait for their start, and the rate of starts. Only the driver
// of e calls it.
func (h *Holder) trackStart(e *entry, state string) {
	waitsForStart := state == stateQueued || state == stateReserved || state == stateStarting
	if waitsForStart == e.countedWaiting {
		return
	}
	e.countedWaiting = waitsForStart
	class := e.saved.Request.Class
	if waitsForStart {
		h.startTracker.addWaiting(class, 1)
		return
	}
	h.startTracker.addWaiting(class, -1)
	if state == stateRunning {
		h.startTracker.addStart(class, time.Now())
	}
}

// recordOutcome reports an ended request, schedules its eviction, and journals the outcome if it is durable.
// It retries the journal write until that succeeds, this daemon is fenced, or the shard is released.
func (h *Holder) recordOutcome(ctx context.Context, e *entry) {
	h.removeInProgress(e)
	h.ended.Inc(1)
	e.mu.Lock()
	r, ok := e.saved.Request, e.saved.Answer != nil && e.saved.Answer.Outcome != ibiswork.Failed
	wait := time.Duration(e.saved.WaitMS) * time.Millisecond
	r.Team = e.saved.Request.Team
	e.mu.Unlock()
	if h.cfg.RequestEnded != nil {
		h.cfg.RequestEnded(r, wait, ok)
	}
	e.shard.addEnded(e)
	for delay := minRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxRetryDelay) {
		err := h.save(ctx, e)
		if err == nil || ibisjournal.Fenced.Has(err) {
			e.mu.Lock()
			e.outcomeSaved = err == nil
			payloadStored := e.saved.PayloadKept
			e.mu.Unlock()
			if payloadStored {
				h.dropObject(payloadKey(e.id))
			}
			return
		}
		pause(ctx, e, jitter(delay))
	}
}

// endIfCancelledOrExpired ends e if it was cancelled or its deadline has passed, and reports whether it has
// ended it. It may be called only while no task of the current attempt can have been started.
func (h *Holder) endIfCancelledOrExpired(e *entry) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.cancelRequested {
		e.finish("Cancel", &ibiswork.Answer{ID: e.id, Outcome: ibiswork.Cancelled, Attempts: e.saved.Attempt - 1}, nil, now)
		return true
	}
	left, bounded := e.timeLeft(now)
	if bounded && left <= 0 {
		r := ibiswork.Refuse(ibiswork.CodeDeadline, "the deadline passed before the request could be started").WithRetryAfter(overloadRetryAfter)
		if e.saved.Ran {
			r = r.WithMaybeRun()
		}
		e.finish("Refuse", nil, r, now)
		return true
	}
	return false
}

// timeLeft returns the time until the deadline, and whether there is one. Requests of durable classes have no
// deadline once they are accepted.
func (e *entry) timeLeft(now time.Time) (time.Duration, bool) {
	if e.saved.Request.Class.Durable() {
		return 0, false
	}
	d := time.Duration(e.saved.Request.DeadlineMS) * time.Millisecond
	if d == 0 {
		d = defaultDeadline
	}
	return d - now.Sub(e.acceptedAt), true
}

// requestPlaces asks an owner for the places of the current attempt.
func (h *Holder) requestPlaces(ctx context.Context, e *entry) {
	if h.processEvents(ctx, e) || h.endIfCancelledOrExpired(e) {
		return
	}
	if !h.loadPayload(ctx, e) {
		pause(ctx, e, jitter(maxRetryDelay))
		return
	}
	e.mu.Lock()
	if !e.requestKnown {
		// The entry was made for a task that has been lost. The request itself never arrived here, so only
		// the caller can submit it again.
		e.shard.remove(e)
		e.finish("Refuse", nil, refuseRecovering("a task of an earlier submission was lost; submit the request again"), time.Now())
		e.mu.Unlock()
		return
	}
	if delay, due := h.retryDelay(e); due {
		e.mu.Unlock()
		pause(ctx, e, delay)
		return
	}
	now := time.Now()
	wait := durablePlaceWait
	if left, bounded := e.timeLeft(now); bounded {
		wait = min(interactivePlaceWait, left)
	}
	req := &ibiswire.PlaceRequest{
		From: h.holderOf(e), Request: e.saved.Request, Attempt: e.saved.Attempt, Intent: e.durable,
		Avoid: e.avoid, WaitMS: wait.Milliseconds(), WaitedMS: now.Sub(e.acceptedAt).Milliseconds(),
	}
	lastOwner := e.lastOwner
	e.mu.Unlock()
	if h.needsGather(req.Request) {
		h.gather(ctx, e, req)
		return
	}
	owner, ok := h.pickOwner(req.Request, lastOwner)
	if !ok {
		pause(ctx, e, minRetryDelay)
		return
	}
	e.mu.Lock()
	e.lastOwner = owner.ID()
	e.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	reply, err := ibisrpc.Call[ibiswire.PlaceReply](callCtx, h.cfg.Pool, owner.Digest.Row.Address, ibiswire.MethodPlace, req)
	h.handlePlaceReply(ctx, e, reply, err)
}

// handlePlaceReply records the outcome of a Place call. In state Waiting the driver repeats the call.
func (h *Holder) handlePlaceReply(ctx context.Context, e *entry, reply *ibiswire.PlaceReply, err error) {
	if err != nil {
		h.handlePlaceFailure(ctx, e, err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch reply.State {
	case ibiswire.Reserved:
		e.setPlaces(reply.Places, e.lastOwner)
		e.fire("Reserve")
	case ibiswire.Started:
		e.setPlaces(reply.Places, e.lastOwner)
		e.markDispatched(time.Now())
	}
}

// setPlaces records the places of the attempt, which all belong to one owner.
func (e *entry) setPlaces(places []ibiswire.Place, owner string) {
	e.saved.Places = places
	for _, p := range places {
		e.owners[p.Index] = owner
	}
}

// markDispatched records that every task of the attempt has been started.
func (e *entry) markDispatched(now time.Time) {
	if e.saved.WaitMS == 0 {
		e.saved.WaitMS = now.Sub(e.acceptedAt).Milliseconds()
	}
	e.fire("Dispatch")
}

// handlePlaceFailure decides how to proceed after a Place call that failed or was refused.
func (h *Holder) handlePlaceFailure(ctx context.Context, e *entry, err error) {
	refusal, refused := errors.AsType[*ibiswork.Refusal](err)
	e.mu.Lock()
	switch {
	case !refused && !e.durable:
		// Without a journalled intent the owner starts the tasks at once, and may have done so.
		e.fire("Dispatch")
		e.fire("Lose")
		e.mu.Unlock()
		return
	case refused && refusal.Code == ibiswork.CodeDeadline && refusal.NotRun && !e.saved.Ran:
		e.finish("Refuse", nil, refusal.WithRetryAfter(overloadRetryAfter), time.Now())
		e.mu.Unlock()
		return
	}
	e.saved.Attempt++ // a reservation that is left from the closed attempt is never started
	e.saved.Places = nil
	e.mu.Unlock()
	pause(ctx, e, jitter(2*minRetryDelay))
}

// commitIntent journals the places where the attempt is about to be started, so that the next holder knows
// where its tasks may run.
func (h *Holder) commitIntent(ctx context.Context, e *entry) {
	e.mu.Lock()
	cancelled := e.cancelRequested
	e.mu.Unlock()
	if cancelled {
		h.releasePlaces(ctx, e)
		h.endIfCancelledOrExpired(e)
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
		// Nothing was written or started, so the request can be refused as not run and submitted again.
		e.durable = false
		e.finish("Refuse", nil, storeRefusal(err), time.Now())
		e.resubmittable.Store(true)
		e.mu.Unlock()
		h.releasePlaces(ctx, e)
		return
	}
	e.fire("Requeue")
	e.saved.Attempt++
	e.saved.Places = nil
	e.mu.Unlock()
	h.releasePlaces(ctx, e)
	pause(ctx, e, jitter(maxRetryDelay))
}

// watchTasks waits for the outcomes of the running tasks, and stops the tasks if e is cancelled.
func (h *Holder) watchTasks(ctx context.Context, e *entry) {
	stopRequested := false
	for ctx.Err() == nil {
		if h.processEvents(ctx, e) {
			return
		}
		e.mu.Lock()
		cancelled := e.cancelRequested
		lost := e.detectLostOwner(h.cfg.View()) || e.detectLostServer(h.vmGone)
		e.mu.Unlock()
		if lost {
			return
		}
		if cancelled && !stopRequested {
			stopRequested = h.releasePlaces(ctx, e)
		}
		pause(ctx, e, watchInterval)
	}
}

// detectLostOwner moves e to Locating if the owner of a running task has left the view.
func (e *entry) detectLostOwner(v *ibispeer.View) bool {
	lost := false
	for i := range e.saved.Request.TaskCount() {
		if ev, ok := e.tasks[i]; ok && ev.State.Ended() {
			continue
		}
		if _, ok := v.Find(e.owners[i]); !ok {
			lost = true
			delete(e.tasks, i) // the next owner reports again that it runs
		}
	}
	return lost && e.fire("Lose")
}

// detectLostServer moves e to Locating if the VM of a running task is gone. The owner may have been replaced
// before it could report the loss.
func (e *entry) detectLostServer(vmGone func(server string) bool) bool {
	lost := false
	for _, p := range e.saved.Places {
		if ev, ok := e.tasks[p.Index]; (!ok || !ev.State.Ended()) && vmGone(p.Server) {
			lost = true
			delete(e.tasks, p.Index)
		}
	}
	return lost && e.fire("Lose")
}

// pause waits until d has passed, the entry is notified, or ctx ends.
func pause(ctx context.Context, e *entry, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-e.signal:
	case <-t.C:
	}
}
