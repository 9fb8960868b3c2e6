// Package ibisqueue holds the requests that wait at one owner of backend servers and offers them in
// fair order.
//
// A Round offers urgent interactive items first. Then the team with the lowest weighted dominant share
// is next, and within the team the most urgent class, then the earliest deadline, then the oldest item.
// The package does no input or output, starts no goroutine and reads no clock; one goroutine may use a
// Queue at a time.
//
// The caller charges to a team what it starts for it, also within a Round, and takes back what ends.
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

// Item is a request that waits for a place.
type Item struct {
	ID       ibiswork.ID
	Team     string
	Class    ibiswork.Class
	Urgent   bool
	Each     ibiswork.Resources // of one task
	Tasks    int
	Enqueued time.Time
	Deadline time.Time     // latest useful end; zero: none
	RunTime  time.Duration // expected; zero: not known
	Picky    bool          // some servers are ruled out, so that NoRoom says nothing of items like it
}

// Total is the resources of all tasks together.
func (i Item) Total() ibiswork.Resources { return i.Each.Times(int64(max(i.Tasks, 1))) }

// LatestStart is the moment after which the deadline cannot be met, or zero without a deadline.
func (i Item) LatestStart() time.Time {
	if i.Deadline.IsZero() {
		return time.Time{}
	}
	return i.Deadline.Add(-i.RunTime)
}

// Verdict is what became of an item that was offered.
type Verdict int

// The verdicts.
const (
	Taken     Verdict = iota // the item has left the queue
	NoRoom                   // the item does not fit now
	OverLimit                // the team is at its upper limit: it is passed over for this round
)

// Queue is the waiting items of one owner. The zero value is empty.
type Queue struct {
	entries   map[ibiswork.ID]*entry
	teams     map[string]*team
	order     []*team // in the order in which teams were first seen
	deadlines deadlineHeap
	capacity  ibiswork.Resources
	used      ibiswork.Resources // by all teams
	room      ibiswork.Resources // free on this owner's servers
	roomKnown bool
	freed     bool // since the last Round
	round     uint64
	reserved  reservation
	failed    failedSizes
	parked    []*group // memory for rounds
}

// Push adds an item; an ID that is already waiting changes nothing.
func (q *Queue) Push(i Item) {
	if _, ok := q.entries[i.ID]; ok {
		return
	}
	if q.entries == nil {
		q.entries = make(map[ibiswork.ID]*entry)
	}
	t := q.team(i.Team)
	e := &entry{item: i, deadlinePos: -1, due: i.due()}
	q.entries[i.ID] = e
	t.push(e)
	if !i.Deadline.IsZero() {
		heap.Push(&q.deadlines, e)
	}
}

// Remove takes an item out, in time logarithmic in the length of the queue.
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
	if e.deadlinePos >= 0 {
		heap.Remove(&q.deadlines, e.deadlinePos)
	}
	if q.reserved.id == e.item.ID {
		q.reserved = reservation{}
	}
}

// RemoveTeam takes out all items of a team, for the cancellation of its queue.
func (q *Queue) RemoveTeam(name string) []Item {
	t, ok := q.teams[name]
	if !ok {
		return nil
	}
	items := make([]Item, 0, t.waiting)
	for i := range t.classes {
		for _, g := range t.classes[i].groups {
			for len(g.entries) > 0 {
				e := g.entries[len(g.entries)-1]
				items = append(items, e.item)
				q.drop(e)
			}
		}
	}
	return items
}

// Expired takes out the items whose deadline has passed or cannot be met any more.
func (q *Queue) Expired(now time.Time) []Item {
	var items []Item
	for len(q.deadlines) > 0 && q.deadlines[0].item.LatestStart().Before(now) {
		e := q.deadlines[0]
		items = append(items, e.item)
		q.drop(e)
	}
	return items
}

// Len is the number of waiting items.
func (q *Queue) Len() int { return len(q.entries) }

// TeamLen is the number of waiting items of a team.
func (q *Queue) TeamLen(name string) int {
	if t, ok := q.teams[name]; ok {
		return t.waiting
	}
	return 0
}
