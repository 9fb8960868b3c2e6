package ibisowner

import (
	"context"
	"time"

	"ibiscrank/ibisplace"
	"ibiscrank/ibisqueue"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// placementState is the progress of one attempt at a request on this owner.
type placementState int

const (
	waiting  placementState = iota // in the queue
	reserved                       // has places and waits for the holder's Start call
	starting                       // start calls are in progress
	running                        // the start calls of all tasks have ended
)

// placement is one attempt at a request, from the queue to the end of its tasks. It is owned by the loop.
type placement struct {
	from      ibiswire.Holder
	req       ibiswork.Request
	attempt   int
	intent    bool            // tasks are started by a separate Start call
	partial   bool            // places are reserved one by one
	pinned    bool            // a partial placement whose places an older gang cannot preempt
	unplaced  []int           // indexes of a partial placement without a place
	indexes   []int           // requested task indexes
	avoid     map[string]bool // servers where the request failed before
	state     placementState
	places    []ibiswire.Place
	tasks     []*task
	enqueued  time.Time
	keepUntil time.Time     // end of a reservation, or of a partial placement unless it is requested again
	waiters   int           // Place calls that wait for places
	placed    chan struct{} // closed when the placement has its places or was dropped
	refusal   *ibiswork.Refusal
	dropped   bool
}

// Place queues one attempt at a request and waits up to WaitMS milliseconds for places. Without places by then
// it replies Waiting, and drops the attempt unless it is partial or another call waits for it. It returns
// refusals for stale holders, closed attempts, conflicting attempts and a draining owner.
func (o *Owner) Place(ctx context.Context, req *ibiswire.PlaceRequest) (*ibiswire.PlaceReply, error) {
	var p *placement
	var placed chan struct{} // of this call; a partial placement that needs more places gets a new channel
	var refused error
	err := o.loop.Do(ctx, func() {
		o.refreshEvacuations()
		if req.Partial {
			p, refused = o.findOrCreatePartial(req, time.Now())
		} else {
			p, refused = o.findOrCreate(req, time.Now())
		}
		if refused == nil {
			placed = p.placed
		}
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if refused != nil {
		return nil, refused
	}
	timer := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-placed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return o.finishPlaceCall(p)
}

// finishPlaceCall completes a Place call: it checks on the loop whether the placement has its places. If not,
// and no other call waits for it, it drops the placement unless that is partial.
func (o *Owner) finishPlaceCall(p *placement) (*ibiswire.PlaceReply, error) {
	var reply *ibiswire.PlaceReply
	var refusal *ibiswork.Refusal
	mustStart := false
	err := o.loop.Do(o.ctx, func() {
		p.waiters--
		o.refreshEvacuations()
		switch {
		case p.dropped:
			refusal = p.refusal
		case p.state == waiting:
			reply = &ibiswire.PlaceReply{State: ibiswire.Waiting, Places: p.places}
			if p.waiters == 0 && !p.partial {
				o.dropPlacement(p, nil)
			}
		case p.state == reserved && p.intent:
			reply = &ibiswire.PlaceReply{State: ibiswire.Reserved, Places: p.places}
		case p.state == reserved:
			p.state = starting
			mustStart = true
		default:
			reply = &ibiswire.PlaceReply{State: ibiswire.Started, Places: p.places}
		}
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if mustStart {
		return o.startPlaced(p)
	}
	if reply == nil {
		if refusal == nil {
			refusal = ibiswork.Refuse(ibiswork.CodeOverloaded, "the attempt's place in the queue or its reservation was dropped")
		}
		return nil, refusal
	}
	return reply, nil
}

// startPlaced starts the tasks of a placement that needs no separate Start call.
func (o *Owner) startPlaced(p *placement) (*ibiswire.PlaceReply, error) {
	res := o.startTasks(p)
	if res.NotStarted {
		return nil, ibiswork.Refuse(ibiswork.CodeUnreachable, "no task was started: %s", res.Error)
	}
	return &ibiswire.PlaceReply{State: ibiswire.Started, Places: p.places}, nil
}

// findOrCreate returns the placement of a request and queues a new one. It runs on the loop.
func (o *Owner) findOrCreate(req *ibiswire.PlaceRequest, now time.Time) (*placement, error) {
	p, err := o.findExisting(req)
	if p != nil || err != nil {
		return p, err
	}
	p = newPlacement(req, now)
	o.placements[p.req.ID] = p
	o.enqueue(p, len(p.indexes), req, now)
	o.offer(p, now)
	return p, nil
}

// findExisting returns the placement of an attempt that an earlier call queued, or nil. It refuses attempts
// that cannot be placed and drops the waiting or reserved placement of another attempt.
func (o *Owner) findExisting(req *ibiswire.PlaceRequest) (*placement, error) {
	if err := o.validateHolder(req.From); err != nil {
		return nil, err
	}
	id := req.Request.ID
	if c, ok := o.closedAttempts[id]; ok && req.Attempt <= c.attempt {
		return nil, ibiswork.Refuse(ibiswork.CodeStale, "attempt %d was closed at this owner", req.Attempt)
	}
	if p := o.placements[id]; p != nil {
		if p.attempt == req.Attempt {
			p.from = req.From
			p.waiters++
			return p, nil
		}
		if p.state != waiting && p.state != reserved {
			return nil, ibiswork.Refuse(ibiswork.CodeConflict, "attempt %d of the request is still running at this owner", p.attempt)
		}
		o.dropPlacement(p, ibiswork.Refuse(ibiswork.CodeStale, "replaced by a later attempt"))
	}
	if o.draining {
		return nil, ibiswork.Refuse(ibiswork.CodeDraining, "the owner is draining")
	}
	return nil, nil
}

// enqueue puts a placement into the queue for n tasks.
func (o *Owner) enqueue(p *placement, n int, req *ibiswire.PlaceRequest, now time.Time) {
	o.queue.Push(ibisqueue.Item{
		ID: p.req.ID, Team: p.req.Team, Class: p.req.Class, Urgent: p.req.Urgent,
		PerTask: o.sizeOf(p), Tasks: n, Enqueued: p.enqueued, Deadline: deadline(req, now),
		RunTime: time.Duration(o.estimator.HighRunMS(p.req.Team, p.req.Kind, p.req.RunTimeMS)) * time.Millisecond, HasExclusions: len(p.avoid) > 0,
	})
}

func newPlacement(req *ibiswire.PlaceRequest, now time.Time) *placement {
	p := &placement{
		from: req.From, req: req.Request, attempt: req.Attempt, intent: req.Intent, indexes: req.Indexes,
		avoid: make(map[string]bool), enqueued: now.Add(-time.Duration(req.WaitedMS) * time.Millisecond),
		waiters: 1, placed: make(chan struct{}),
	}
	for _, s := range req.Avoid {
		p.avoid[s] = true
	}
	for i := 0; len(p.indexes) < p.req.TaskCount() && len(req.Indexes) == 0; i++ {
		p.indexes = append(p.indexes, i)
	}
	return p
}

// deadline returns the deadline of an interactive request. Durable work has none, since it was accepted and
// must run to its end.
func deadline(req *ibiswire.PlaceRequest, now time.Time) time.Time {
	if req.Request.DeadlineMS == 0 || req.Request.Class.Durable() {
		return time.Time{}
	}
	return now.Add(time.Duration(req.Request.DeadlineMS-req.WaitedMS) * time.Millisecond)
}

// sizeOf returns the size that a task of the placement counts as: the estimate for its team and kind, at
// least the declared size. If no server could hold the estimate, it is the declared size.
func (o *Owner) sizeOf(p *placement) ibiswork.Resources {
	size := o.estimator.Size(p.req.Team, p.req.Kind, p.req.Resources).Max(p.req.Resources)
	if !o.fleet.EverFits(size) {
		size = p.req.Resources
	}
	size.Slots = max(size.Slots, 1)
	return size
}

// offer tries to place one new placement at once. If that would overtake others, it waits for the next round.
func (o *Owner) offer(p *placement, now time.Time) {
	taken := false
	o.runOffers(now, func(try func(ibisqueue.Item) ibisqueue.Verdict) { taken = o.queue.Offer(now, p.req.ID, try) })
	if !taken {
		o.requestRound()
	}
}

// requestRound requests a placement round. Requests within a few milliseconds share one round.
func (o *Owner) requestRound() {
	select {
	case o.roundWake <- struct{}{}:
	default:
	}
}

// roundLoop runs requested rounds, after a pause that grows with the duration of the last one.
func (o *Owner) roundLoop() {
	defer o.wg.Done()
	pause := minRoundPause
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.roundWake:
		}
		if !sleep(o.ctx, pause) {
			return
		}
		err := o.loop.Do(o.ctx, func() {
			begin := time.Now()
			o.round(begin)
			pause = min(max(minRoundPause, roundPauseFactor*time.Since(begin)), maxRoundPause)
		})
		if err != nil {
			return
		}
	}
}

// round tries to place the waiting requests on the fleet, in fair-share order.
func (o *Owner) round(now time.Time) {
	if o.queue.Len() == 0 {
		return
	}
	o.refreshEvacuations()
	o.queue.SetLocalFree(o.fleet.Capacity().Sub(o.fleet.Used()))
	o.runOffers(now, func(try func(ibisqueue.Item) ibisqueue.Verdict) { o.queue.Round(now, try) })
}

// runOffers lets the queue offer placements to the fleet, then removes dropped ones from the queue and
// queues partial ones again.
func (o *Owner) runOffers(now time.Time, run func(try func(ibisqueue.Item) ibisqueue.Verdict)) {
	o.inRound = true
	run(func(q ibisqueue.Item) ibisqueue.Verdict {
		p := o.placements[q.ID]
		if p == nil || p.state != waiting {
			return ibisqueue.Taken // already dropped or placed
		}
		if p.partial {
			return o.tryPartial(p, q, now)
		}
		return o.tryPlace(p, q, now)
	})
	o.inRound = false
	for _, id := range o.removeAfterRound {
		o.queue.Remove(id)
	}
	o.removeAfterRound = o.removeAfterRound[:0]
	o.requeuePartial(now)
}

func (o *Owner) tryPlace(p *placement, q ibisqueue.Item, now time.Time) ibisqueue.Verdict {
	total := q.Total()
	if !o.cfg.Ledger.TryUse(q.Team, total) {
		o.cfg.Ledger.RecordDemand(q.Team, total)
		return ibisqueue.OverLimit
	}
	names, ok := o.findServers(p, q)
	if !ok {
		o.cfg.Ledger.Free(q.Team, total)
		o.recordBlocked(q)
		return ibisqueue.NoRoom
	}
	o.reserve(p, names, q.PerTask, now)
	o.queue.Charge(q.Team, total)
	return ibisqueue.Taken
}

// findServers asks the placement policy for servers, one for each task. Servers that have used up their
// allowance (see ibisaside.Guard) are closed and not returned.
func (o *Owner) findServers(p *placement, q ibisqueue.Item) ([]string, bool) {
	request := ibisplace.Request{Team: q.Team, Class: q.Class, Resources: q.PerTask, Avoid: p.avoid}
	if q.Class == ibiswork.Service {
		request.Spread, request.Racks = o.services.Counts(q.Team, p.req.Kind)
	}
	if len(p.indexes) > 1 {
		return o.fleet.PlaceGang(request, len(p.indexes))
	}
	name, ok := o.fleet.Place(request)
	return []string{name}, ok
}

// reserve books the places of a placement and wakes the calls that wait for them.
func (o *Owner) reserve(p *placement, names []string, size ibiswork.Resources, now time.Time) {
	p.state, p.keepUntil = reserved, now.Add(ReservationTimeout)
	for i, name := range names {
		o.book(p, p.indexes[i], name, size)
	}
	o.closeUnavailable(names, now)
	close(p.placed)
}

// book counts one task of a placement on a server.
func (o *Owner) book(p *placement, index int, name string, size ibiswork.Resources) {
	p.places = append(p.places, ibiswire.Place{Index: index, Server: name})
	t := &task{
		id:   ibisserver.TaskID{Request: p.req.ID, Index: index, Attempt: p.attempt},
		meta: ibiswire.Meta{Shard: p.from.Shard, Team: p.req.Team, Class: p.req.Class, Idempotent: p.req.Idempotent, Tasks: p.req.TaskCount()},
		kind: p.req.Kind, server: name, size: size, declared: p.req.Resources, placement: p,
	}
	p.tasks = append(p.tasks, t)
	o.tasks[t.id] = t
	o.count(t)
	o.guard.Start(name, time.Now())
}

// dropPlacement removes a placement and frees the places of a waiting or reserved one. Tasks of a running one
// are kept, and a placement whose starts are in progress is not dropped. Waiting calls get the refusal in
// reason, or a general one if it is nil.
func (o *Owner) dropPlacement(p *placement, reason *ibiswork.Refusal) {
	if p.dropped || p.state == starting {
		return
	}
	p.dropped, p.refusal = true, reason
	if p.state == waiting {
		close(p.placed)
		if o.inRound {
			o.removeAfterRound = append(o.removeAfterRound, p.req.ID)
		} else {
			o.queue.Remove(p.req.ID)
		}
	}
	for _, t := range p.tasks {
		if p.state == running {
			break
		}
		o.uncount(t)
		delete(o.tasks, t.id)
	}
	if o.placements[p.req.ID] == p {
		delete(o.placements, p.req.ID)
	}
}
