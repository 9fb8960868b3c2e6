// Package ibisqueue holds the requests that wait at one owner, the scheduler instance that manages some of
// the backend servers, and offers them for placement in fair order. Package ibisowner keeps one such queue.
//
// The order is weighted dominant-resource fairness. A Round offers urgent interactive items first. After
// them it serves the team with the lowest weighted dominant share, and within that team the most urgent
// class, then the earliest deadline, then the oldest item. Shares are fractions of the fleet, which is the
// servers of all owners together.
//
// The caller charges a team for the resources of each item that it starts, also during a Round, and
// charges the negative amount when a task ends.
//
// The package does no I/O, starts no goroutine and reads no clock. A Queue is not safe for concurrent use.
//
// Usage:
//
//	var q ibisqueue.Queue
//	q.SetCapacity(fleetTotal)
//	q.SetTeam("tuul-floor", 2, usedInFleet)
//	q.Push(item)
//	q.Round(now, func(i ibisqueue.Item) ibisqueue.Verdict {
//		name, ok := fleet.Place(askFor(i))
//		if !ok {
//			return ibisqueue.NoRoom
//		}
//		start(i, name)
//		q.Charge(i.Team, i.Total())
//		return ibisqueue.Taken
//	})
package ibisqueue

import (
	"container/heap"
	"time"

	"ibiscrank/ibiswork"
)

// Item is a request that waits to be placed.
type Item struct {
	ID            ibiswork.ID
	Team          string
	Class         ibiswork.Class
	Urgent        bool
	PerTask       ibiswork.Resources // needed by one task
	Tasks         int
	Enqueued      time.Time
	Deadline      time.Time     // latest useful completion time; zero if there is none
	RunTime       time.Duration // expected; zero if unknown
	HasExclusions bool          // some servers are excluded, so NoRoom does not apply to items of the same size
}

// Total returns the resources of all tasks together.
func (i Item) Total() ibiswork.Resources { return i.PerTask.Times(int64(max(i.Tasks, 1))) }

// LatestStart returns the time after which the deadline cannot be met, or zero without a deadline.
func (i Item) LatestStart() time.Time {
	if i.Deadline.IsZero() {
		return time.Time{}
	}
	return i.Deadline.Add(-i.RunTime)
}

// Verdict is the outcome of offering an item.
type Verdict int

// The verdicts.
const (
	Taken     Verdict = iota // the item leaves the queue, usually because it was placed
	NoRoom                   // the item does not fit on any server now
	OverLimit                // the team is at its upper limit and is skipped for the rest of the round
)

// Queue holds the waiting items of one owner. The zero value is an empty queue.
type Queue struct {
	entries   map[ibiswork.ID]*entry
	teams     map[string]*team
	teamOrder []*team // in order of creation
	deadlines deadlineHeap
	capacity  ibiswork.Resources // of the whole fleet
	used      ibiswork.Resources // by all teams, in the whole fleet

	localFree      ibiswork.Resources // on this owner's open servers, see SetLocalFree
	localFreeKnown bool

	freedSinceRound bool   // resources were released since the last Round began
	round           uint64 // number of the current or last Round
	reserved        reservation
	failed          failedSizes
	parked          []*group // buffer reused between rounds
}

// Push adds an item. If an item with the same ID is already waiting, Push does nothing.
func (q *Queue) Push(i Item) {
	if _, ok := q.entries[i.ID]; ok {
		return
	}
	if q.entries == nil {
		q.entries = make(map[ibiswork.ID]*entry)
	}
	t := q.team(i.Team)
	e := &entry{item: i, deadlineIndex: -1, due: i.due()}
	q.entries[i.ID] = e
	t.push(e)
	if !i.Deadline.IsZero() {
		heap.Push(&q.deadlines, e)
	}
}

// Remove removes a waiting item, in time logarithmic in the length of the queue.
func (q *Queue) Remove(id ibiswork.ID) (Item, bool) {
	e, ok := q.entries[id]
	if !ok {
		return Item{}, false
	}
	q.drop(e)
	return e.item, true
}

func (q *Queue) drop(e *entry) {
	delete(q.entries, e.item.ID)
	q.teams[e.item.Team].remove(e)
	if e.deadlineIndex >= 0 {
		heap.Remove(&q.deadlines, e.deadlineIndex)
	}
	if q.reserved.id == e.item.ID {
		q.reserved = reservation{}
	}
}

// RemoveTeam removes all waiting items of a team, whose queue is cancelled, and returns them.
func (q *Queue) RemoveTeam(name string) []Item {
	t, ok := q.teams[name]
	if !ok {
		return nil
	}
	items := make([]Item, 0, t.waiting)
	for i := range t.levels {
		for _, g := range t.levels[i].groups {
			for len(g.entries) > 0 {
				e := g.entries[len(g.entries)-1]
				items = append(items, e.item)
				q.drop(e)
			}
		}
	}
	return items
}

// Expired removes and returns the items whose deadline can no longer be met.
func (q *Queue) Expired(now time.Time) []Item {
	var items []Item
	for len(q.deadlines) > 0 && q.deadlines[0].item.LatestStart().Before(now) {
		e := q.deadlines[0]
		items = append(items, e.item)
		q.drop(e)
	}
	return items
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.entries) }

// TeamLen returns the number of waiting items of a team.
func (q *Queue) TeamLen(name string) int {
	if t, ok := q.teams[name]; ok {
		return t.waiting
	}
	return 0
}
