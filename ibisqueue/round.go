package ibisqueue

import (
	"container/heap"
	"slices"
	"time"

	"ibiscrank/ibiswork"
)

// Bounds on the work of one Round.
const (
	maxNoRoom     = 512 // offers of all teams that find no room
	maxTeamParked = 4   // groups at the head of a team's line that are passed over
	maxTeamTries  = 4   // offers further down the line that find no room
	maxTeamProbes = 16  // groups further down the line that are looked at
)

// failedSizes is the sizes of single tasks that found no room in this round, the smallest ones only.
type failedSizes struct {
	urgent bool // an urgent item may find room where others do not
	each   []ibiswork.Resources
}

func (f *failedSizes) reset(urgent bool) { f.urgent, f.each = urgent, f.each[:0] }

func (f *failedSizes) add(each ibiswork.Resources) {
	f.each = slices.DeleteFunc(f.each, func(r ibiswork.Resources) bool { return each.FitsIn(r) })
	f.each = append(f.each, each)
}

// covers reports whether a task of that size cannot find room, because one no larger did not.
func (f *failedSizes) covers(each ibiswork.Resources) bool {
	for _, r := range f.each {
		if r.FitsIn(each) {
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
// found no room are not offered again in the same round. Of each team the first groups of like items are
// offered in every round, and those behind them in turn. While a blocked gang, or another item that is
// overdue, holds a reservation, only interactive items and items that leave it enough room are offered.
func (q *Queue) Round(now time.Time, try func(Item) Verdict) (taken int) {
	r := round{q: q, now: now, try: try, parked: q.parked[:0]}
	q.round++
	q.freed = false
	q.reserved.lapse(now)
	for _, t := range q.order {
		t.blocked = false
	}
	q.failed.reset(true)
	r.run(true)
	q.failed.reset(false)
	r.offerReserved()
	r.run(false)
	r.restore()
	q.reserve(now, r.first)
	return r.taken
}

// run offers items until no team has one left to offer.
func (r *round) run(urgent bool) {
	for _, t := range r.q.order {
		t.parked, t.tries, t.probes = 0, 0, 0
	}
	for r.noRoom < maxNoRoom {
		t, g := r.pick(urgent)
		if t == nil {
			return
		}
		r.serve(t, g, urgent)
	}
}

// serve offers items of a team until one is taken, which changes the order of the teams, or none is left
// to offer.
func (r *round) serve(t *team, g *group, urgent bool) {
	before := r.taken
	for g != nil && r.taken == before && t.skip != r.q.round && r.noRoom < maxNoRoom {
		r.offer(t, g)
		g = t.next(urgent)
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

// offer offers the head of g, unless it is known that there is no room or none for it.
func (r *round) offer(t *team, g *group) {
	e := g.head()
	switch {
	case g.shape.id == "" && r.q.failed.covers(g.shape.each):
		t.blocked = true
		r.nominate(e)
		r.pass(t, g)
	case r.heldBack(e):
		r.pass(t, g)
	default:
		r.judge(t, e, r.try(e.item))
	}
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
	t.blocked = true
	t.tries++
	r.noRoom++
	if max(e.item.Tasks, 1) == 1 && !e.item.Picky {
		r.q.failed.add(e.item.Each)
	}
	r.nominate(e)
	r.pass(t, e.group)
}

// nominate puts e in line for a reservation: a gang at once, any other item once overdue.
func (r *round) nominate(e *entry) {
	if e.item.Class != ibiswork.Gang && r.now.Sub(e.item.Enqueued) <= overdue {
		return
	}
	if r.first == nil || e.reserved < r.first.reserved {
		r.first = e
	}
}

// pass goes on from g to the next group of the team: those at the head of the line are parked until the
// end of the round, of those behind them the team looks at some in each round.
func (r *round) pass(t *team, g *group) {
	if t.parked >= maxTeamParked {
		t.probes++
		t.cursor++
		return
	}
	if g.pos >= 0 {
		heap.Remove(&t.classes[g.level].heads, g.pos)
		r.parked = append(r.parked, g)
	}
	if t.parked++; t.parked == maxTeamParked {
		t.tries = 0
	}
}

func (r *round) restore() {
	for i, g := range r.parked {
		if len(g.entries) > 0 {
			t := r.q.teams[g.head().item.Team]
			heap.Push(&t.classes[g.level].heads, g)
		}
		r.parked[i] = nil
	}
	r.q.parked = r.parked[:0]
}
