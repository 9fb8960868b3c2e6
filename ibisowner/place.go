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

// itemState is how far one attempt at a request has come at this owner.
type itemState int

const (
	waiting  itemState = iota // in the queue
	reserved                  // has places and waits for its start
	starting                  // starts are under way
	running                   // every task has been started
)

// item is one attempt at a request. It is owned by the loop.
type item struct {
	from      ibiswire.Holder
	req       ibiswork.Request
	attempt   int
	intent    bool
	partial   bool  // places are reserved one by one
	pinned    bool  // a partial item that has all of its places and keeps them
	wants     []int // the indexes of a partial item that have no place yet
	indexes   []int
	avoid     map[string]bool
	state     itemState
	places    []ibiswire.Place
	tasks     []*task
	enqueued  time.Time
	keepUntil time.Time
	attached  int           // calls that wait for a place
	placed    chan struct{} // closed when it has places or was dropped
	refusal   *ibiswork.Refusal
	dropped   bool
}

// Place queues one attempt at a request, and waits for places.
func (o *Owner) Place(ctx context.Context, req *ibiswire.PlaceRequest) (*ibiswire.PlaceReply, error) {
	var it *item
	var placed chan struct{} // as it was for this call; a partial item that wants more places gets a new one
	var refused error
	err := o.loop.Do(ctx, func() {
		if req.Partial {
			it, refused = o.attachPartial(req, time.Now())
		} else {
			it, refused = o.attach(req, time.Now())
		}
		if refused == nil {
			placed = it.placed
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
	return o.settlePlace(it)
}

// settlePlace ends one Place call; it decides on the loop whether the item has its places.
func (o *Owner) settlePlace(it *item) (*ibiswire.PlaceReply, error) {
	var reply *ibiswire.PlaceReply
	var refusal *ibiswork.Refusal
	mustStart := false
	err := o.loop.Do(o.ctx, func() {
		it.attached--
		switch {
		case it.dropped:
			refusal = it.refusal
		case it.state == waiting:
			reply = &ibiswire.PlaceReply{State: ibiswire.Waiting, Places: it.places}
			if it.attached == 0 && !it.partial {
				o.dropItem(it, nil)
			}
		case it.state == reserved && it.intent:
			reply = &ibiswire.PlaceReply{State: ibiswire.Reserved, Places: it.places}
		case it.state == reserved:
			it.state = starting
			mustStart = true
		default:
			reply = &ibiswire.PlaceReply{State: ibiswire.Started, Places: it.places}
		}
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if mustStart {
		return o.startPlaced(it)
	}
	if reply == nil {
		if refusal == nil {
			refusal = ibiswork.Refuse(ibiswork.CodeOverloaded, "the place was given up")
		}
		return nil, refusal
	}
	return reply, nil
}

// startPlaced starts the tasks of an item without an intent.
func (o *Owner) startPlaced(it *item) (*ibiswire.PlaceReply, error) {
	res := o.startAll(it)
	if res.NotStarted {
		return nil, ibiswork.Refuse(ibiswork.CodeUnreachable, "no task was started: %s", res.Error)
	}
	return &ibiswire.PlaceReply{State: ibiswire.Started, Places: it.places}, nil
}

// attach finds or makes the item of a request, on the loop.
func (o *Owner) attach(req *ibiswire.PlaceRequest, now time.Time) (*item, error) {
	it, err := o.known(req)
	if it != nil || err != nil {
		return it, err
	}
	it = newItem(req, now)
	o.items[it.req.ID] = it
	o.push(it, len(it.indexes), req, now)
	o.offer(it, now)
	return it, nil
}

// known finds the item of an attempt that was asked for before; it refuses what cannot be placed.
func (o *Owner) known(req *ibiswire.PlaceRequest) (*item, error) {
	if err := o.checkHolder(req.From); err != nil {
		return nil, err
	}
	id := req.Request.ID
	if c, ok := o.closed[id]; ok && req.Attempt <= c.attempt {
		return nil, ibiswork.Refuse(ibiswork.CodeStale, "attempt %d was closed", req.Attempt)
	}
	if it := o.items[id]; it != nil {
		if it.attempt == req.Attempt {
			it.from = req.From
			it.attached++
			return it, nil
		}
		if it.state != waiting && it.state != reserved {
			return nil, ibiswork.Refuse(ibiswork.CodeConflict, "attempt %d is still running", it.attempt)
		}
		o.dropItem(it, ibiswork.Refuse(ibiswork.CodeStale, "a later attempt came"))
	}
	if o.draining {
		return nil, ibiswork.Refuse(ibiswork.CodeDraining, "the owner is draining")
	}
	return nil, nil
}

// push puts an item into the queue for n tasks.
func (o *Owner) push(it *item, n int, req *ibiswire.PlaceRequest, now time.Time) {
	o.queue.Push(ibisqueue.Item{
		ID: it.req.ID, Team: it.req.Team, Class: it.req.Class, Urgent: it.req.Urgent,
		Each: o.sizeOf(it), Tasks: n, Enqueued: it.enqueued, Deadline: deadline(req, now),
		RunTime: time.Duration(o.sizes.RunMS(it.req.Team, it.req.Kind, it.req.RunTimeMS)) * time.Millisecond, Picky: len(it.avoid) > 0,
	})
}

func newItem(req *ibiswire.PlaceRequest, now time.Time) *item {
	it := &item{
		from: req.From, req: req.Request, attempt: req.Attempt, intent: req.Intent, indexes: req.Indexes,
		avoid: make(map[string]bool), enqueued: now.Add(-time.Duration(req.WaitedMS) * time.Millisecond),
		attached: 1, placed: make(chan struct{}),
	}
	for _, s := range req.Avoid {
		it.avoid[s] = true
	}
	for i := 0; len(it.indexes) < it.req.TaskCount() && len(req.Indexes) == 0; i++ {
		it.indexes = append(it.indexes, i)
	}
	return it
}

// deadline is the latest useful answer of an interactive request; durable work has none, since it was
// accepted and must end.
func deadline(req *ibiswire.PlaceRequest, now time.Time) time.Time {
	if req.Request.DeadlineMS == 0 || req.Request.Class.Durable() {
		return time.Time{}
	}
	return now.Add(time.Duration(req.Request.DeadlineMS-req.WaitedMS) * time.Millisecond)
}

// sizeOf is what a task of the item is counted as: what such tasks were seen to use, but never less than
// declared.
func (o *Owner) sizeOf(it *item) ibiswork.Resources {
	size := o.sizes.Size(it.req.Team, it.req.Kind, it.req.Resources).Max(it.req.Resources)
	if !o.fleet.EverFits(size) {
		size = it.req.Resources
	}
	size.Slots = max(size.Slots, 1)
	return size
}

// offer offers one new item at once; when that would overtake others it waits for the next round.
func (o *Owner) offer(it *item, now time.Time) {
	taken := false
	o.offering(now, func(try func(ibisqueue.Item) ibisqueue.Verdict) { taken = o.queue.Offer(now, it.req.ID, try) })
	if !taken {
		o.wantRound()
	}
}

// wantRound asks for a round soon; what ends within a few milliseconds shares one.
func (o *Owner) wantRound() {
	select {
	case o.roundWake <- struct{}{}:
	default:
	}
}

// rounds runs the rounds that were asked for, with a pause that grows with their cost.
func (o *Owner) rounds() {
	defer o.wg.Done()
	pause := roundPause
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
			pause = min(max(roundPause, roundCost*time.Since(begin)), roundPauseMax)
		})
		if err != nil {
			return
		}
	}
}

// round offers the waiting items to the fleet, in fair order.
func (o *Owner) round(now time.Time) {
	if o.queue.Len() == 0 {
		return
	}
	o.queue.SetRoom(o.fleet.Capacity().Sub(o.fleet.Used()))
	o.offering(now, func(try func(ibisqueue.Item) ibisqueue.Verdict) { o.queue.Round(now, try) })
}

// offering lets the queue offer items to the fleet, and tidies the queue afterwards.
func (o *Owner) offering(now time.Time, run func(try func(ibisqueue.Item) ibisqueue.Verdict)) {
	o.inRound = true
	run(func(q ibisqueue.Item) ibisqueue.Verdict {
		it := o.items[q.ID]
		if it == nil || it.state != waiting {
			return ibisqueue.Taken // it left the queue by another way
		}
		if it.partial {
			return o.tryPartial(it, q, now)
		}
		return o.tryPlace(it, q, now)
	})
	o.inRound = false
	for _, id := range o.stale {
		o.queue.Remove(id)
	}
	o.stale = o.stale[:0]
	o.pushAgain(now)
}

func (o *Owner) tryPlace(it *item, q ibisqueue.Item, now time.Time) ibisqueue.Verdict {
	total := q.Total()
	if !o.cfg.Ledger.TryUse(q.Team, total) {
		o.cfg.Ledger.Want(q.Team, total)
		return ibisqueue.OverLimit
	}
	names, ok := o.find(it, q)
	if !ok {
		o.cfg.Ledger.Free(q.Team, total)
		o.noteBlocked(q)
		return ibisqueue.NoRoom
	}
	o.reserve(it, names, q.Each, now)
	o.queue.Charge(q.Team, total)
	return ibisqueue.Taken
}

// find asks the policy for servers, honouring the allowance of servers on probation.
func (o *Owner) find(it *item, q ibisqueue.Item) ([]string, bool) {
	ask := ibisplace.Ask{Team: q.Team, Class: q.Class, Resources: q.Each, Avoid: it.avoid}
	if q.Class == ibiswork.Service {
		ask.Spread, ask.Racks = o.services.Of(q.Team, it.req.Kind)
	}
	if len(it.indexes) > 1 {
		return o.fleet.PlaceGang(ask, len(it.indexes))
	}
	name, ok := o.fleet.Place(ask)
	return []string{name}, ok
}

// reserve books the places of an item and wakes the calls that wait for them.
func (o *Owner) reserve(it *item, names []string, size ibiswork.Resources, now time.Time) {
	it.state, it.keepUntil = reserved, now.Add(ReserveFor)
	for i, name := range names {
		o.book(it, it.indexes[i], name, size)
	}
	o.refreshAllowance(names, now)
	close(it.placed)
}

// book counts one task of an item on a server.
func (o *Owner) book(it *item, index int, name string, size ibiswork.Resources) {
	it.places = append(it.places, ibiswire.Place{Index: index, Server: name})
	t := &task{
		id:   ibisserver.TaskID{Request: it.req.ID, Index: index, Attempt: it.attempt},
		meta: ibiswire.Meta{Shard: it.from.Shard, Team: it.req.Team, Class: it.req.Class, Idempotent: it.req.Idempotent, Tasks: it.req.TaskCount()},
		kind: it.req.Kind, server: name, size: size, declared: it.req.Resources, item: it,
	}
	it.tasks = append(it.tasks, t)
	o.tasks[t.id] = t
	o.count(t)
	o.guard.Start(name, time.Now())
}

// dropItem takes a waiting or reserved item away and frees its places.
func (o *Owner) dropItem(it *item, why *ibiswork.Refusal) {
	if it.dropped || it.state == starting {
		return
	}
	it.dropped, it.refusal = true, why
	if it.state == waiting {
		close(it.placed)
		if o.inRound {
			o.stale = append(o.stale, it.req.ID)
		} else {
			o.queue.Remove(it.req.ID)
		}
	}
	for _, t := range it.tasks {
		if it.state == running {
			break
		}
		o.uncount(t)
		delete(o.tasks, t.id)
	}
	if o.items[it.req.ID] == it {
		delete(o.items, it.req.ID)
	}
}
