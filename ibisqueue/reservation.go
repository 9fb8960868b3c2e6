package ibisqueue

import (
	"time"

	"ibiscrank/ibiswork"
)

// A reservation lasts firstReservation and twice as long each time that the same gang holds one again,
// up to maxReservation. Afterwards as long a time passes without any, in which others start.
const (
	firstReservation = 15 * time.Second
	maxReservation   = 10 * time.Minute
)

// reservation keeps room for one blocked gang until it ends.
type reservation struct {
	id    ibiswork.ID
	need  ibiswork.Resources
	begin time.Time
	end   time.Time
	next  time.Time // no other reservation before
}

func (v *reservation) active() bool { return v.id != "" }

// lapse ends the reservation once its time is over.
func (v *reservation) lapse(now time.Time) {
	if v.active() && !now.Before(v.end) {
		*v = reservation{next: v.end.Add(v.end.Sub(v.begin))}
	}
}

// Reserved is the gang that holds the reservation, and when it ends.
func (q *Queue) Reserved() (id ibiswork.ID, end time.Time, ok bool) {
	return q.reserved.id, q.reserved.end, q.reserved.active()
}

// reserve gives a reservation to a gang that found no room, when none is held and the last one is long
// enough ago. The room that is kept grows each time, because free room may be in pieces too small.
func (q *Queue) reserve(now time.Time, e *entry) {
	if e == nil || q.reserved.active() || now.Before(q.reserved.next) || q.entries[e.item.ID] != e {
		return
	}
	length := min(firstReservation<<min(e.reserved, 16), maxReservation)
	need := e.item.Total()
	grown := need.Add(quarter(need).Times(int64(e.reserved))).Min(q.capacity)
	e.reserved++
	q.reserved = reservation{id: e.item.ID, need: grown.Max(need), begin: now, end: now.Add(length)}
}

func quarter(r ibiswork.Resources) ibiswork.Resources {
	return ibiswork.Resources{
		MilliCPU:     (r.MilliCPU + 3) / 4,
		MemoryMB:     (r.MemoryMB + 3) / 4,
		Accelerators: (r.Accelerators + 3) / 4,
		Slots:        (r.Slots + 3) / 4,
	}
}

// offerReserved offers the gang that holds the reservation before all but urgent items.
func (r *round) offerReserved() {
	e, ok := r.q.entries[r.q.reserved.id]
	if !ok {
		return
	}
	if t := r.q.teams[e.item.Team]; t.skip != r.q.round {
		r.judge(t, e, r.try(e.item))
	}
}

// heldBack reports whether e would delay the gang that holds the reservation. Interactive items are
// short and never wait for it. An item that ends in the first half of the reservation leaves the second
// half for the gang.
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
