package ibisqueue

import (
	"container/heap"
	"slices"
	"time"

	"ibiscrank/ibiswork"
)

// Bounds on the work of one Round.
const (
	maxFailedOffers     = 512 // offers of all teams together that do not fit
	maxTeamParked       = 4   // groups per team that are parked because their first item cannot start
	maxTeamFailedProbes = 4   // offers per team that do not fit, of the groups behind the parked ones
	maxTeamProbes       = 16  // groups per team that are passed over, of those behind the parked ones
)

// failedSizes holds the sizes of single tasks that did not fit in this round, without sizes that a smaller
// one covers.
type failedSizes struct {
	urgent  bool // collected while offering urgent items, which may fit where others do not
	perTask []ibiswork.Resources
}

func (f *failedSizes) reset(urgent bool) { f.urgent, f.perTask = urgent, f.perTask[:0] }

func (f *failedSizes) add(perTask ibiswork.Resources) {
	f.perTask = slices.DeleteFunc(f.perTask, func(r ibiswork.Resources) bool { return perTask.FitsIn(r) })
	f.perTask = append(f.perTask, perTask)
}

// covers reports whether a task of that size cannot fit because one that is no larger did not.
func (f *failedSizes) covers(perTask ibiswork.Resources) bool {
	for _, r := range f.perTask {
		if r.FitsIn(perTask) {
			return true
		}
	}
	return false
}

// round is the state of one Round or Offer in progress.
type round struct {
	q            *Queue
	now          time.Time
	try          func(Item) Verdict
	parked       []*group
	failedOffers int
	taken        int
	reserveNext  *entry // the entry that did not fit and is proposed for the next reservation
}

// Round offers items to try in fair order and returns the number taken. For an item that it starts, try
// must call Charge, so that the next offer uses the new shares, and return Taken. After OverLimit the team
// is skipped for the rest of the round.
//
// The number of offers that do not fit is bounded, and after one of them no equivalent item is offered in
// the same round. The first groups of equivalent items of a team are offered in every round, and the
// groups behind them in turn over several rounds. While a blocked gang, or another item that is overdue,
// holds a reservation, only interactive items, items that end early enough and items that leave it enough
// free resources are offered.
func (q *Queue) Round(now time.Time, try func(Item) Verdict) (taken int) {
	r := round{q: q, now: now, try: try, parked: q.parked[:0]}
	q.round++
	q.freedSinceRound = false
	q.reserved.endIfExpired(now)
	for _, t := range q.teamOrder {
		t.blocked = false
	}
	q.failed.reset(true)
	r.run(true)
	q.failed.reset(false)
	r.offerReserved()
	r.run(false)
	r.restoreParked()
	q.reserve(now, r.reserveNext)
	return r.taken
}

// run offers items until no team has any left to offer or too many offers have failed.
func (r *round) run(urgent bool) {
	for _, t := range r.q.teamOrder {
		t.parked, t.failedProbes, t.probes = 0, 0, 0
	}
	for r.failedOffers < maxFailedOffers {
		t, g := r.pickTeam(urgent)
		if t == nil {
			return
		}
		r.offerUntilTaken(t, g, urgent)
	}
}

// offerUntilTaken offers items of a team until one is taken, which changes the order of the teams, or none
// is left to offer.
func (r *round) offerUntilTaken(t *team, g *group, urgent bool) {
	before := r.taken
	for g != nil && r.taken == before && t.skipRound != r.q.round && r.failedOffers < maxFailedOffers {
		r.offer(t, g)
		g = t.next(urgent)
	}
}

// pickTeam returns the team with the lowest weighted share that has an item to offer, and the group to
// offer from, or nil.
func (r *round) pickTeam(urgent bool) (*team, *group) {
	var best *team
	var group *group
	for _, t := range r.q.teamOrder {
		if t.waiting == 0 || t.skipRound == r.q.round || (best != nil && t.weightedShare() >= best.weightedShare()) {
			continue
		}
		if g := t.next(urgent); g != nil {
			best, group = t, g
		}
	}
	return best, group
}

// offer offers the first item of g, unless it is known not to fit or a reservation blocks it; then the group
// is passed over.
func (r *round) offer(t *team, g *group) {
	e := g.head()
	switch {
	case g.shape.id == "" && r.q.failed.covers(g.shape.perTask):
		t.blocked = true
		r.proposeReservation(e)
		r.passOver(t, g)
	case r.blockedByReservation(e):
		r.passOver(t, g)
	default:
		r.applyVerdict(t, e, r.try(e.item))
	}
}

// applyVerdict updates the queue and the round for the verdict on e.
func (r *round) applyVerdict(t *team, e *entry, v Verdict) {
	switch v {
	case Taken:
		r.taken++
		t.turns++
		if r.q.entries[e.item.ID] == e {
			r.q.drop(e)
		}
	case OverLimit:
		t.skipRound = r.q.round
	default:
		r.recordNoRoom(t, e)
	}
}

// recordNoRoom records that e did not fit.
func (r *round) recordNoRoom(t *team, e *entry) {
	t.blocked = true
	t.failedProbes++
	r.failedOffers++
	if max(e.item.Tasks, 1) == 1 && !e.item.HasExclusions {
		r.q.failed.add(e.item.PerTask)
	}
	r.proposeReservation(e)
	r.passOver(t, e.group)
}

// proposeReservation considers e for the next reservation: a gang at once, any other item once it is
// overdue. The entry that has held the fewest reservations gets it.
func (r *round) proposeReservation(e *entry) {
	if e.item.Class != ibiswork.Gang && r.now.Sub(e.item.Enqueued) <= overdueAfter {
		return
	}
	if r.reserveNext == nil || e.reservationCount < r.reserveNext.reservationCount {
		r.reserveNext = e
	}
}

// passOver moves on from g to the next group of the team. The first maxTeamParked groups are parked until the
// end of the round; after that only the cursor moves, so that each round probes some of the other groups.
func (r *round) passOver(t *team, g *group) {
	if t.parked >= maxTeamParked {
		t.probes++
		t.cursor++
		return
	}
	if g.index >= 0 {
		heap.Remove(&t.levels[g.level].heads, g.index)
		r.parked = append(r.parked, g)
	}
	if t.parked++; t.parked == maxTeamParked {
		t.failedProbes = 0
	}
}

// restoreParked puts the parked groups that still have items back into their heaps.
func (r *round) restoreParked() {
	for i, g := range r.parked {
		if len(g.entries) > 0 {
			t := r.q.teams[g.head().item.Team]
			heap.Push(&t.levels[g.level].heads, g)
		}
		r.parked[i] = nil
	}
	r.q.parked = r.parked[:0]
}
