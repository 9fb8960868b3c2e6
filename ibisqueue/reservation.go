package ibisqueue

import (
	"time"

	"ibiscrank/ibiswork"
)

// A reservation lasts firstReservation and twice as long each time that the same item holds one again,
// up to maxReservation. Afterwards a time passes without any, in which others start: as long as the
// reservation times the number that the item has held, up to maxRest times.
const (
	firstReservation = 15 * time.Second
	maxReservation   = 10 * time.Minute
	maxRest          = 4
	maxDoublings     = 8

	// overdue is how long an item that is not a gang waits before it may hold a reservation.
	overdue = 5 * time.Minute
)

// reservation keeps room for one blocked item, usually a gang, until it ends.
type reservation struct {
	id    ibiswork.ID
	need  ibiswork.Resources
	begin time.Time
	end   time.Time
	rest  time.Duration // after end
	next  time.Time     // no other reservation before
}

func (v *reservation) active() bool { return v.id != "" }

// lapse ends the reservation once its time is over.
func (v *reservation) lapse(now time.Time) {
	if v.active() && !now.Before(v.end) {
		*v = reservation{next: v.end.Add(v.rest)}
	}
}

// Reserved is the item that holds the reservation, and when it ends.
func (q *Queue) Reserved() (id ibiswork.ID, end time.Time, ok bool) {
	return q.reserved.id, q.reserved.end, q.reserved.active()
}

// reserve gives a reservation to an item that found no room, when none is held and the last one is long
// enough ago. The room that is kept grows fourfold each time, because free room may be in pieces too
// small.
func (q *Queue) reserve(now time.Time, e *entry) {
	if e == nil || q.reserved.active() || now.Before(q.reserved.next) || q.entries[e.item.ID] != e {
		return
	}
	length := min(firstReservation<<min(e.reserved, maxDoublings), maxReservation)
	need := e.item.Total()
	grown := need.Times(1 << min(2*e.reserved, maxDoublings)).Min(q.capacity)
	e.reserved++
	q.reserved = reservation{
		id:    e.item.ID,
		need:  grown.Max(need),
		begin: now,
		end:   now.Add(length),
		rest:  length * time.Duration(min(e.reserved, maxRest)),
	}
}

// offerReserved offers the item that holds the reservation before all but urgent items.
func (r *round) offerReserved() {
	e, ok := r.q.entries[r.q.reserved.id]
	if !ok {
		return
	}
	if t := r.q.teams[e.item.Team]; t.skip != r.q.round {
		r.judge(t, e, r.try(e.item))
	}
}

// heldBack reports whether e would delay the item that holds the reservation. Interactive items are
// short and never wait for it. An item that ends in the first half of the reservation leaves the second
// half for the holder.
func (r *round) heldBack(e *entry) bool {
	v := &r.q.reserved
	if !v.active() || e.item.Class == ibiswork.Interactive || r.q.capacity.IsZero() {
		return false
	}
	half := v.begin.Add(v.end.Sub(v.begin) / 2)
	if d := e.item.RunTime; d > 0 && !r.now.Add(d).After(half) {
		return false
	}
	return !v.need.Add(e.item.Total()).FitsIn(r.q.free())
}
