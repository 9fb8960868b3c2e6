package ibisqueue

import (
	"container/heap"
	"time"

	"ibiscrank/ibiswork"
)

// level is the urgency of an item within its team, the most urgent first.
type level int

// The levels. Only urgent interactive items go before the items of all teams.
const (
	levelUrgent level = iota
	levelInteractive
	levelService
	levelGang
	levelBatch
	levelCount
)

// horizon is the deadline, counted from Enqueued, by which an item without one is ordered in its class,
// so that no stream of items with deadlines starves it.
var horizon = [levelCount]time.Duration{
	levelUrgent:      10 * time.Second,
	levelInteractive: time.Minute,
	levelService:     5 * time.Minute,
	levelGang:        30 * time.Minute,
	levelBatch:       time.Hour,
}

// lowTurn is the number of turns of a team of which one goes to its least urgent class. It is a prime, so
// that these turns do not always come at the same moment of a round.
const lowTurn = 17

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

// due is the deadline by which the item is ordered in its class.
func (i Item) due() time.Time {
	d := i.Enqueued.Add(horizon[i.level()])
	if i.Urgent {
		d = i.Enqueued
	}
	if !i.Deadline.IsZero() && i.Deadline.Before(d) {
		d = i.Deadline
	}
	return d
}

// shape is what makes items alike: when one of them finds no room, neither does another.
type shape struct {
	each  ibiswork.Resources
	tasks int
	id    ibiswork.ID // only of an item that is Picky
}

// entry is an item with its place in the heaps.
type entry struct {
	item        Item
	due         time.Time
	group       *group
	pos         int // in the group
	deadlinePos int // -1 without a deadline
	reserved    int // how often it has held a reservation
}

func (e *entry) before(o *entry) bool {
	if !e.due.Equal(o.due) {
		return e.due.Before(o.due)
	}
	if !e.item.Enqueued.Equal(o.item.Enqueued) {
		return e.item.Enqueued.Before(o.item.Enqueued)
	}
	return e.item.ID.Before(o.item.ID)
}

// group is the items of one team, level and shape.
type group struct {
	shape   shape
	level   level
	entries entryHeap
	pos     int // among the heads of its level, -1 while it is parked
}

func (g *group) head() *entry { return g.entries[0] }

// class is the groups of one level of a team.
type class struct {
	groups map[shape]*group
	heads  groupHeap
}

// team is one team with its waiting items and its use.
type team struct {
	name    string
	weight  float64
	used    ibiswork.Resources // in the fleet, as far as is known
	fleet   ibiswork.Resources // as the last SetTeam said
	local   ibiswork.Resources // the part of fleet on this owner's servers
	owners  int
	scale   float64 // of local changes, see SetLocal
	share   float64 // dominant share of the fleet
	classes [levelCount]class
	waiting int
	turns   int
	blocked bool   // found no room in the last round
	skip    uint64 // round for which it is passed over
	cursor  int    // where it looks next behind the head of its line

	// Counts of the round under way.
	parked, tries, probes int
}

func (t *team) weighted() float64 { return t.share / t.weight }

func (t *team) push(e *entry) {
	s := shape{each: e.item.Each, tasks: e.item.Tasks}
	if e.item.Picky {
		s.id = e.item.ID
	}
	l := e.item.level()
	c := &t.classes[l]
	g, ok := c.groups[s]
	if !ok {
		if c.groups == nil {
			c.groups = make(map[shape]*group)
		}
		g = &group{shape: s, level: l, pos: -1}
		c.groups[s] = g
	}
	e.group = g
	heap.Push(&g.entries, e)
	t.waiting++
	switch {
	case !ok:
		heap.Push(&c.heads, g)
	case g.pos >= 0 && g.head() == e:
		heap.Fix(&c.heads, g.pos)
	}
}

func (t *team) remove(e *entry) {
	g := e.group
	c := &t.classes[g.level]
	heap.Remove(&g.entries, e.pos)
	t.waiting--
	switch {
	case len(g.entries) == 0:
		delete(c.groups, g.shape)
		if g.pos >= 0 {
			heap.Remove(&c.heads, g.pos)
		}
	case g.pos >= 0:
		heap.Fix(&c.heads, g.pos)
	}
}

// next is the group whose head the team offers next, or nil.
func (t *team) next(urgent bool) *group {
	switch {
	case t.parked >= maxTeamParked:
		return t.probe(urgent)
	case urgent:
		return t.first(levelUrgent)
	case t.turns%lowTurn == lowTurn-1:
		return t.firstUpward()
	}
	for l := levelInteractive; l < levelCount; l++ {
		if g := t.first(l); g != nil {
			return g
		}
	}
	return nil
}

// firstUpward is the first group of the least urgent level.
func (t *team) firstUpward() *group {
	for l := levelBatch; l > levelUrgent; l-- {
		if g := t.first(l); g != nil {
			return g
		}
	}
	return nil
}

func (t *team) first(l level) *group {
	if h := t.classes[l].heads; len(h) > 0 {
		return h[0]
	}
	return nil
}

// probe is the group at the cursor among those behind the head of the line, or nil when enough of them
// were looked at in this round.
func (t *team) probe(urgent bool) *group {
	low, high := levelInteractive, levelCount
	if urgent {
		low, high = levelUrgent, levelInteractive
	}
	n := 0
	for l := low; l < high; l++ {
		n += len(t.classes[l].heads)
	}
	if n == 0 || t.tries >= maxTeamTries || t.probes >= min(n, maxTeamProbes) {
		return nil
	}
	at := t.cursor % n
	for l := low; ; l++ {
		if h := t.classes[l].heads; at < len(h) {
			return h[at]
		}
		at -= len(t.classes[l].heads)
	}
}
