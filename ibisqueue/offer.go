package ibisqueue

import (
	"time"

	"ibiscrank/ibiswork"
)

// Offer offers one item that was just pushed, without the cost of a Round, and reports whether it was
// taken. It serves owners that run one Round for all tasks that ended within a few milliseconds. The item
// is not offered, but waits for the next Round, if it could overtake others: if resources were released
// since the last Round, or if an equivalent item is already waiting.
func (q *Queue) Offer(now time.Time, id ibiswork.ID, try func(Item) Verdict) bool {
	e, ok := q.entries[id]
	if !ok || q.freedSinceRound || e.group.head() != e || len(e.group.entries) > 1 {
		return false
	}
	r := round{q: q, now: now, try: try}
	q.reserved.endIfExpired(now)
	if r.blockedByReservation(e) || try(e.item) != Taken {
		return false
	}
	q.teams[e.item.Team].turns++
	if q.entries[id] == e {
		q.drop(e)
	}
	return true
}
