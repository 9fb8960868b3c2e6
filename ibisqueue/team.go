package ibisqueue

import (
	"container/heap"
	"time"

	"ibiscrank/ibiswork"
)

// level is the urgency of an item within its team; lower is more urgent.
type level int

// The levels. Items of levelUrgent of all teams are offered before any others.
const (
	levelUrgent level = iota
	levelInteractive
	levelService
	levelGang
	levelBatch
	levelCount
)

// defaultDeadline, counted from Enqueued, orders an item within its level if the item has no deadline or a later
// one, so that a stream of items with earlier deadlines cannot starve it.
var defaultDeadline = [levelCount]time.Duration{
	levelUrgent:      10 * time.Second,
	levelInteractive: time.Minute,
	levelService:     5 * time.Minute,
	levelGang:        30 * time.Minute,
	levelBatch:       time.Hour,
}

// leastUrgentInterval makes every 17th turn of a team go to its least urgent level, so that this level is
// not starved. It is a prime, so that these turns do not always fall on the same position in a round.
const leastUrgentInterval = 17

func (i Item) level() level {
	switch i.Class {
	case ibiswork.Interactive:
		if i.Urgent {
			return levelUrgent
		}
		return levelInteractive
	case ibiswork.Service:
		return levelService
	case ibiswork.Gang:
		return levelGang
	}
	return levelBatch
}

// due returns the time by which the item is ordered within its level: its deadline or, if that is earlier, the
// default deadline, which for an urgent item is when it was enqueued.
func (i Item) due() time.Time {
	d := i.Enqueued.Add(defaultDeadline[i.level()])
	if i.Urgent {
		d = i.Enqueued
	}
	if !i.Deadline.IsZero() && i.Deadline.Before(d) {
		d = i.Deadline
	}
	return d
}

// shape identifies equivalent items: when one of them does not fit, none of the others does.
type shape struct {
	perTask ibiswork.Resources
	tasks   int
	id      ibiswork.ID // set only for an item with HasExclusions, which is equivalent to no other
}

// entry is an item with its positions in the heaps.
type entry struct {
	item             Item
	due              time.Time
	group            *group
	index            int // in group.entries
	deadlineIndex    int // in Queue.deadlines, -1 without a deadline
	reservationCount int // number of reservations that it has held so far
}

// before orders entries by due time, then by age, then by ID.
func (e *entry) before(o *entry) bool {
	if !e.due.Equal(o.due) {
		return e.due.Before(o.due)
	}
	if !e.item.Enqueued.Equal(o.item.Enqueued) {
		return e.item.Enqueued.Before(o.item.Enqueued)
	}
	return e.item.ID.Before(o.item.ID)
}

// group holds the items of one team, level and shape.
type group struct {
	shape   shape
	level   level
	entries entryHeap
	index   int // in levelQueue.heads, -1 while it is parked: not offered again until the end of the round
}

func (g *group) head() *entry { return g.entries[0] }

// levelQueue holds the groups of one level of a team.
type levelQueue struct {
	groups map[shape]*group
	heads  groupHeap // the groups that are not parked
}

// team holds the waiting items and the resource usage of one team.
type team struct {
	name        string
	weight      float64
	used        ibiswork.Resources // estimated usage in the fleet: usedInFleet plus the changes charged since
	usedInFleet ibiswork.Resources // as given by the last SetTeam
	usedLocally ibiswork.Resources // the part of usedInFleet on this owner's servers
	owners      int                // number of owners in the fleet
	scale       float64            // factor from local changes of usage to those in the fleet, see SetLocalUsage
	share       float64            // dominant share of the fleet
	levels      [levelCount]levelQueue
	waiting     int    // number of items
	turns       int    // number of items taken so far
	blocked     bool   // an item did not fit in the last round
	skipRound   uint64 // the round in which the team is skipped, because it is at its upper limit
	cursor      int    // position of the next probe among the groups behind the parked ones

	// Counts of the current round: parked groups, offers that did not fit (counted from zero again when
	// maxTeamParked is reached), and groups that were passed over after that.
	parked, failedProbes, probes int
}

func (t *team) weightedShare() float64 { return t.share / t.weight }

func (t *team) push(e *entry) {
	s := shape{perTask: e.item.PerTask, tasks: e.item.Tasks}
	if e.item.HasExclusions {
		s.id = e.item.ID
	}
	l := e.item.level()
	lq := &t.levels[l]
	g, ok := lq.groups[s]
	if !ok {
		if lq.groups == nil {
			lq.groups = make(map[shape]*group)
		}
		g = &group{shape: s, level: l, index: -1}
		lq.groups[s] = g
	}
	e.group = g
	heap.Push(&g.entries, e)
	t.waiting++
	switch {
	case !ok:
		heap.Push(&lq.heads, g)
	case g.index >= 0 && g.head() == e:
		heap.Fix(&lq.heads, g.index)
	}
}

func (t *team) remove(e *entry) {
	g := e.group
	lq := &t.levels[g.level]
	heap.Remove(&g.entries, e.index)
	t.waiting--
	switch {
	case len(g.entries) == 0:
		delete(lq.groups, g.shape)
		if g.index >= 0 {
			heap.Remove(&lq.heads, g.index)
		}
	case g.index >= 0:
		heap.Fix(&lq.heads, g.index)
	}
}

// next returns the group whose head the team offers next, or nil.
func (t *team) next(urgent bool) *group {
	switch {
	case t.parked >= maxTeamParked:
		return t.probe(urgent)
	case urgent:
		return t.first(levelUrgent)
	case t.turns%leastUrgentInterval == leastUrgentInterval-1:
		return t.firstLeastUrgent()
	}
	for l := levelInteractive; l < levelCount; l++ {
		if g := t.first(l); g != nil {
			return g
		}
	}
	return nil
}

// firstLeastUrgent returns the first group of the least urgent level that has one, or nil.
func (t *team) firstLeastUrgent() *group {
	for l := levelBatch; l > levelUrgent; l-- {
		if g := t.first(l); g != nil {
			return g
		}
	}
	return nil
}

// first returns the first group of a level, or nil.
func (t *team) first(l level) *group {
	if h := t.levels[l].heads; len(h) > 0 {
		return h[0]
	}
	return nil
}

// probe returns the group at the cursor among those behind the parked ones, or nil when the bound on
// probes or on failed probes is reached in this round.
func (t *team) probe(urgent bool) *group {
	low, high := levelInteractive, levelCount
	if urgent {
		low, high = levelUrgent, levelInteractive
	}
	n := 0
	for l := low; l < high; l++ {
		n += len(t.levels[l].heads)
	}
	if n == 0 || t.failedProbes >= maxTeamFailedProbes || t.probes >= min(n, maxTeamProbes) {
		return nil
	}
	offset := t.cursor % n
	for l := low; ; l++ {
		if h := t.levels[l].heads; offset < len(h) {
			return h[offset]
		}
		offset -= len(t.levels[l].heads)
	}
}
