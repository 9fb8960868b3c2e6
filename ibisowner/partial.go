package ibisowner

import (
	"slices"
	"time"

	"ibiscrank/ibisplace"
	"ibiscrank/ibisqueue"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// PartialTimeout is how long a partial placement is kept after the holder's last call for it.
const PartialTimeout = 5 * time.Second

// findOrCreatePartial returns the partial placement of a request, whose places are reserved one by one, for a
// gang that spans several owners. The requested indexes replace those of earlier calls: places of other
// indexes are released, since another owner may have reserved them by now.
func (o *Owner) findOrCreatePartial(req *ibiswire.PlaceRequest, now time.Time) (*placement, error) {
	p, err := o.findExisting(req)
	if err != nil {
		return nil, err
	}
	if p == nil {
		p = newPlacement(req, now)
		p.partial = true
		p.enqueued = p.req.ID.Instant() // every owner orders gangs alike, as in preemptYoungerGang
		o.placements[p.req.ID] = p
	} else if p.state == starting || p.state == running {
		return p, nil
	} else if p.state == waiting && len(p.unplaced) > 0 {
		o.queue.Remove(p.req.ID)
	}
	p.indexes, p.keepUntil = req.Indexes, now.Add(PartialTimeout)
	o.releaseUnrequested(p)
	p.unplaced = p.findUnplaced()
	if len(p.unplaced) == 0 {
		o.markReserved(p)
		p.pinned = req.Pin
		return p, nil
	}
	if p.state == reserved {
		p.state, p.placed, p.pinned = waiting, make(chan struct{}), false
	}
	o.enqueue(p, len(p.unplaced), req, now)
	o.offer(p, now)
	return p, nil
}

// releaseUnrequested releases the places of p whose indexes are no longer requested.
func (o *Owner) releaseUnrequested(p *placement) {
	var tasks []*task
	var places []ibiswire.Place
	for i, t := range p.tasks {
		if slices.Contains(p.indexes, t.id.Index) {
			tasks, places = append(tasks, t), append(places, p.places[i])
			continue
		}
		o.uncount(t)
		delete(o.tasks, t.id)
	}
	p.tasks, p.places = tasks, places
}

// findUnplaced returns the requested indexes that have no place.
func (p *placement) findUnplaced() []int {
	var list []int
	for _, i := range p.indexes {
		if !slices.ContainsFunc(p.places, func(place ibiswire.Place) bool { return place.Index == i }) {
			list = append(list, i)
		}
	}
	return list
}

// markReserved marks a partial placement that has all requested places.
func (o *Owner) markReserved(p *placement) {
	if p.state == waiting {
		p.state = reserved
		close(p.placed)
	}
}

// tryPartial reserves as many of the requested places as there is room for. An older gang preempts the
// reservations of a younger one, so that two gangs never wait for each other.
func (o *Owner) tryPartial(p *placement, q ibisqueue.Item, now time.Time) ibisqueue.Verdict {
	verdict, overLimit := o.bookUnplaced(p, q, now)
	for len(p.findUnplaced()) > 0 && o.preemptYoungerGang(p, overLimit) {
		if v, over := o.bookUnplaced(p, q, now); v == ibisqueue.Taken {
			verdict, overLimit = v, over
		}
	}
	if verdict != ibisqueue.Taken {
		return verdict
	}
	p.unplaced = p.findUnplaced()
	if len(p.unplaced) == 0 {
		o.markReserved(p)
	} else {
		o.requeue = append(o.requeue, p)
	}
	return ibisqueue.Taken
}

// bookUnplaced books places until all are booked or there is no more room. It returns Taken when it booked at
// least one place, and whether the team's upper limit stopped it.
func (o *Owner) bookUnplaced(p *placement, q ibisqueue.Item, now time.Time) (verdict ibisqueue.Verdict, overLimit bool) {
	request := ibisplace.Request{Team: q.Team, Class: q.Class, Resources: q.PerTask, Avoid: p.avoid}
	verdict = ibisqueue.NoRoom
	for _, index := range p.findUnplaced() {
		if !o.cfg.Ledger.TryUse(q.Team, q.PerTask) {
			o.cfg.Ledger.RecordDemand(q.Team, q.PerTask.Times(int64(len(p.findUnplaced()))))
			if verdict == ibisqueue.NoRoom {
				verdict = ibisqueue.OverLimit
			}
			return verdict, true
		}
		name, ok := o.fleet.Place(request)
		if !ok {
			o.cfg.Ledger.Free(q.Team, q.PerTask)
			break
		}
		o.book(p, index, name, q.PerTask)
		o.queue.Charge(q.Team, q.PerTask)
		o.closeUnavailable([]string{name}, now)
		verdict = ibisqueue.Taken
	}
	return verdict, false
}

// preemptYoungerGang drops the youngest partial placement that is younger than p and not pinned, and reports
// whether there was one. With sameTeam only placements that count against the same upper limit qualify.
func (o *Owner) preemptYoungerGang(p *placement, sameTeam bool) bool {
	var youngest *placement
	for _, other := range o.placements {
		if sameTeam && other.req.Team != p.req.Team {
			continue
		}
		preemptible := other.partial && !other.pinned && len(other.places) > 0 && (other.state == waiting || other.state == reserved)
		if preemptible && p.req.ID.Before(other.req.ID) && (youngest == nil || youngest.req.ID.Before(other.req.ID)) {
			youngest = other
		}
	}
	if youngest == nil {
		return false
	}
	o.dropPlacement(youngest, ibiswork.Refuse(ibiswork.CodeOverloaded, "the reserved places were preempted by an older gang"))
	return true
}

// requeuePartial queues the partial placements that still lack places after a round.
func (o *Owner) requeuePartial(now time.Time) {
	requeue := o.requeue
	o.requeue = nil
	for _, p := range requeue {
		if !p.dropped && p.state == waiting && len(p.unplaced) > 0 {
			o.enqueue(p, len(p.unplaced), &ibiswire.PlaceRequest{Request: p.req}, now)
		}
	}
}
