package ibisowner

import (
	"slices"
	"time"

	"ibiscrank/ibisplace"
	"ibiscrank/ibisqueue"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// PartialFor is how long the places of a partial item are kept after its holder last asked for them.
const PartialFor = 5 * time.Second

// attachPartial finds or makes an item whose places are reserved one by one, for a gang that spans
// several owners. The indexes of the request replace those that were asked for before: places of other
// indexes are given up, since another owner may have them by now.
func (o *Owner) attachPartial(req *ibiswire.PlaceRequest, now time.Time) (*item, error) {
	it, err := o.known(req)
	if err != nil {
		return nil, err
	}
	if it == nil {
		it = newItem(req, now)
		it.partial = true
		it.enqueued = it.req.ID.Instant() // the same order of gangs at every owner, as in takeFromYounger
		o.items[it.req.ID] = it
	} else if it.state == starting || it.state == running {
		return it, nil
	} else if it.state == waiting && len(it.wants) > 0 {
		o.queue.Remove(it.req.ID)
	}
	it.indexes, it.keepUntil = req.Indexes, now.Add(PartialFor)
	o.dropOthers(it)
	it.wants = it.missing()
	if len(it.wants) == 0 {
		o.completed(it)
		it.pinned = req.Pin
		return it, nil
	}
	if it.state == reserved {
		it.state, it.placed, it.pinned = waiting, make(chan struct{}), false
	}
	o.push(it, len(it.wants), req, now)
	o.offer(it, now)
	return it, nil
}

// dropOthers gives up the places of it whose indexes are not asked for any more.
func (o *Owner) dropOthers(it *item) {
	var tasks []*task
	var places []ibiswire.Place
	for i, t := range it.tasks {
		if slices.Contains(it.indexes, t.id.Index) {
			tasks, places = append(tasks, t), append(places, it.places[i])
			continue
		}
		o.uncount(t)
		delete(o.tasks, t.id)
	}
	it.tasks, it.places = tasks, places
}

// missing lists the indexes of it that have no place.
func (it *item) missing() []int {
	var list []int
	for _, i := range it.indexes {
		if !slices.ContainsFunc(it.places, func(p ibiswire.Place) bool { return p.Index == i }) {
			list = append(list, i)
		}
	}
	return list
}

// completed marks a partial item that has all the places it was asked for.
func (o *Owner) completed(it *item) {
	if it.state == waiting {
		it.state = reserved
		close(it.placed)
	}
}

// tryPartial reserves as many of the wanted places as there is room for. An older gang takes the places
// of a younger one, so that two gangs never wait for each other.
func (o *Owner) tryPartial(it *item, q ibisqueue.Item, now time.Time) ibisqueue.Verdict {
	verdict, overLimit := o.fill(it, q, now)
	for len(it.missing()) > 0 && o.takeFromYounger(it, overLimit) {
		if v, over := o.fill(it, q, now); v == ibisqueue.Taken {
			verdict, overLimit = v, over
		}
	}
	if verdict != ibisqueue.Taken {
		return verdict
	}
	it.wants = it.missing()
	if len(it.wants) == 0 {
		o.completed(it)
	} else {
		o.again = append(o.again, it)
	}
	return ibisqueue.Taken
}

// fill books places until there is no more room; it returns Taken when it booked at least one, and
// whether the team's upper limit was what ended it.
func (o *Owner) fill(it *item, q ibisqueue.Item, now time.Time) (verdict ibisqueue.Verdict, overLimit bool) {
	ask := ibisplace.Ask{Team: q.Team, Class: q.Class, Resources: q.Each, Avoid: it.avoid}
	verdict = ibisqueue.NoRoom
	for _, index := range it.missing() {
		if !o.cfg.Ledger.TryUse(q.Team, q.Each) {
			o.cfg.Ledger.Want(q.Team, q.Each.Times(int64(len(it.missing()))))
			if verdict == ibisqueue.NoRoom {
				verdict = ibisqueue.OverLimit
			}
			return verdict, true
		}
		name, ok := o.fleet.Place(ask)
		if !ok {
			o.cfg.Ledger.Free(q.Team, q.Each)
			break
		}
		o.book(it, index, name, q.Each)
		o.queue.Charge(q.Team, q.Each)
		o.refreshAllowance([]string{name}, now)
		verdict = ibisqueue.Taken
	}
	return verdict, false
}

// takeFromYounger gives up the places of the youngest partial item that is younger than it and not
// pinned; sameTeam asks for one whose places count against the same upper limit.
func (o *Owner) takeFromYounger(it *item, sameTeam bool) bool {
	var youngest *item
	for _, other := range o.items {
		if sameTeam && other.req.Team != it.req.Team {
			continue
		}
		loose := other.partial && !other.pinned && len(other.places) > 0 && (other.state == waiting || other.state == reserved)
		if loose && it.req.ID.Before(other.req.ID) && (youngest == nil || youngest.req.ID.Before(other.req.ID)) {
			youngest = other
		}
	}
	if youngest == nil {
		return false
	}
	o.dropItem(youngest, ibiswork.Refuse(ibiswork.CodeOverloaded, "an older gang took the places"))
	return true
}

// pushAgain queues the partial items that still want places after a round.
func (o *Owner) pushAgain(now time.Time) {
	again := o.again
	o.again = nil
	for _, it := range again {
		if !it.dropped && it.state == waiting && len(it.wants) > 0 {
			o.push(it, len(it.wants), &ibiswire.PlaceRequest{Request: it.req}, now)
		}
	}
}
