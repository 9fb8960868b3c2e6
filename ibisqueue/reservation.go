package ibisqueue

import (
	"time"

	"ibiscrank/ibiswork"
)

// The first reservation of an item lasts firstReservation, and each further one of the same item twice as
// long as the one before, up to maxReservation. A cooldown without any reservation follows, in which other
// items can start. It lasts as long as the reservation times the number of reservations that the item has
// held, but at most maxCooldownFactor times as long.
const (
	firstReservation  = 15 * time.Second
	maxReservation    = 10 * time.Minute
	maxCooldownFactor = 4
	maxDoublings      = 8 // of the length and of the reserved resources

	// overdueAfter is how long an item that is not a gang waits before it may hold a reservation.
	overdueAfter = 5 * time.Minute
)

// reservation keeps resources free for one blocked item, usually a gang, until end.
type reservation struct {
	id        ibiswork.ID // of the item, empty if there is no reservation
	need      ibiswork.Resources
	begin     time.Time
	end       time.Time
	cooldown  time.Duration // after end
	notBefore time.Time     // earliest begin of the next reservation
}

func (v *reservation) active() bool { return v.id != "" }

// endIfExpired removes the reservation, and starts its cooldown, once end is reached.
func (v *reservation) endIfExpired(now time.Time) {
	if v.active() && !now.Before(v.end) {
		*v = reservation{notBefore: v.end.Add(v.cooldown)}
	}
}

// Reserved returns the item that holds the reservation and the end of the reservation.
func (q *Queue) Reserved() (id ibiswork.ID, end time.Time, ok bool) {
	return q.reserved.id, q.reserved.end, q.reserved.active()
}

// reserve grants a reservation to an item that did not fit, unless another one is active or its cooldown is
// not over. The reserved resources grow fourfold with each reservation of the same item, up to the capacity
// of the fleet, because the free resources may be too fragmented for the item.
func (q *Queue) reserve(now time.Time, e *entry) {
	if e == nil || q.reserved.active() || now.Before(q.reserved.notBefore) || q.entries[e.item.ID] != e {
		return
	}
	length := min(firstReservation<<min(e.reservationCount, maxDoublings), maxReservation)
	need := e.item.Total()
	grown := need.Times(1 << min(2*e.reservationCount, maxDoublings)).Min(q.capacity)
	e.reservationCount++
	q.reserved = reservation{
		id:       e.item.ID,
		need:     grown.Max(need),
		begin:    now,
		end:      now.Add(length),
		cooldown: length * time.Duration(min(e.reservationCount, maxCooldownFactor)),
	}
}

// offerReserved offers the item that holds the reservation. Only urgent items are offered before it.
func (r *round) offerReserved() {
	e, ok := r.q.entries[r.q.reserved.id]
	if !ok {
		return
	}
	if t := r.q.teams[e.item.Team]; t.skipRound != r.q.round {
		r.applyVerdict(t, e, r.try(e.item))
	}
}

// blockedByReservation reports whether e must wait because it would delay the item that holds the
// reservation. Interactive items are short and never wait for it. An item that is expected to end in the
// first half of the reservation does not wait either, because it leaves the second half to the holder.
func (r *round) blockedByReservation(e *entry) bool {
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
