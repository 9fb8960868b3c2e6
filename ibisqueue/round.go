package ibisqueue

import (
	"container/heap"
	"time"

	"ibiscrank/ibiswork"
)

// Bounds on the work of one Round.
const (
	maxTeamNoRoom  = 8    // offers of one team that find no room
	maxTeamParked  = 64   // groups of one team that are passed over
	maxNoRoom      = 1024 // offers of all teams that find no room
	alwaysOffered  = 4    // groups of a team that are offered in every round
	coolingRounds  = 16   // in which other groups are not offered again after they found no room
	maxFailedKinds = 16   // sizes that are remembered as finding no room
)

// failedShapes is the sizes of single tasks that found no room in this round.
type failedShapes struct {
	count int
	each  [maxFailedKinds]ibiswork.Resources
	level [maxFailedKinds]level
}

func (f *failedShapes) add(l level, each ibiswork.Resources) {
	if f.count < maxFailedKinds {
		f.each[f.count], f.level[f.count] = each, l
		f.count++
	}
}

// covers reports whether a task of that size cannot find room, because a smaller one did not.
func (f *failedShapes) covers(l level, each ibiswork.Resources) bool {
	for i := range f.count {
		if f.level[i] == l && f.each[i].FitsIn(each) {
			return true
		}
	}
	return false
}

// round is one Round under way.
type round struct {
	q      *Queue
	now    time.Time
	try    func(Item) Verdict
	parked []*group
	noRoom int
	taken  int
	first  *entry // of those without room, first in line for a reservation
}

// Round offers items to try in fair order and reports how many were taken. For an item that it starts,
// try calls Charge, so that the next offer goes by the new shares, and returns Taken. A team whose item is
// OverLimit is passed over. The number of offers that find no room is bounded, and items like one that
// found no room are not offered again in the same round. While a blocked gang, or another item that is
// overdue, holds a reservation, only interactive items and items that leave it enough room are offered.
func (q *Queue) Round(now time.Time, try func(Item) Verdict) (taken int) {
	q.begin(now)
	r := round{q: q, now: now, try: try}
	r.run(true)
	r.offerReserved()
	r.run(false)
	r.restore()
	q.reserve(now, r.first)
	q.roomKnown = false
	return r.taken
}

func (q *Queue) begin(now time.Time) {
	q.round++
	q.failed.count = 0
	q.reserved.lapse(now)
	for _, t := range q.order {
		t.noRoom, t.parked, t.blocked = 0, 0, false
	}
}

// run offers items until no team has one left to offer.
func (r *round) run(urgent bool) {
	for r.noRoom < maxNoRoom {
		t, g := r.pick(urgent)
		if t == nil {
			return
		}
		r.offer(t, g)
	}
}

// pick finds the team with the lowest weighted share that has something to offer.
func (r *round) pick(urgent bool) (*team, *group) {
	var best *team
	var group *group
	for _, t := range r.q.order {
		if t.waiting == 0 || t.skip == r.q.round || (best != nil && t.weighted() >= best.weighted()) {
			continue
		}
		if g := t.next(urgent); g != nil {
			best, group = t, g
		}
	}
	return best, group
}

func (r *round) offer(t *team, g *group) {
	e := g.head()
	if r.hopeless(t, g) || r.heldBack(e) {
		r.park(t, g)
		return
	}
	r.judge(t, e, r.try(e.item))
}

// judge acts on the verdict on e.
func (r *round) judge(t *team, e *entry, v Verdict) {
	switch v {
	case Taken:
		r.taken++
		t.turns++
		if r.q.entries[e.item.ID] == e {
			r.q.drop(e)
		}
	case OverLimit:
		t.skip = r.q.round
	default:
		r.refused(t, e)
	}
}

// refused notes that e found no room.
func (r *round) refused(t *team, e *entry) {
	g := e.group
	t.blocked = true
	t.noRoom++
	r.noRoom++
	g.tried = r.q.round
	if max(e.item.Tasks, 1) == 1 && !e.item.Picky {
		r.q.failed.add(g.level, e.item.Each)
	}
	if r.mayReserve(e) && (r.first == nil || e.reserved < r.first.reserved) {
		r.first = e
	}
	if g.pos >= 0 {
		r.park(t, g)
	}
	if t.noRoom >= maxTeamNoRoom {
		t.skip = r.q.round
	}
}

// mayReserve reports whether e may hold a reservation: a gang at once, any other item once overdue.
func (r *round) mayReserve(e *entry) bool {
	return e.item.Class == ibiswork.Gang || r.now.Sub(e.item.Enqueued) > overdue
}

// hopeless reports whether the head of g need not be offered: a smaller item found no room in this
// round, or the group found none a few rounds ago and enough others of the team are offered.
func (r *round) hopeless(t *team, g *group) bool {
	if g.shape.id == "" && r.q.failed.covers(g.level, g.shape.each) {
		t.blocked = true
		return true
	}
	return t.parked >= alwaysOffered && g.tried > 0 && r.q.round-g.tried < coolingRounds
}

// park takes g out of its team's line until the end of the round.
func (r *round) park(t *team, g *group) {
	heap.Remove(&t.classes[g.level].heads, g.pos)
	r.parked = append(r.parked, g)
	t.parked++
	if t.parked >= maxTeamParked {
		t.skip = r.q.round
	}
}

func (r *round) restore() {
	for _, g := range r.parked {
		if len(g.entries) > 0 {
			t := r.q.teams[g.head().item.Team]
			heap.Push(&t.classes[g.level].heads, g)
		}
	}
}
