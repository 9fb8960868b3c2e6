package ibisqueue

import (
	"time"

	"ibiscrank/ibiswork"
)

// Offer offers one item that was just pushed, without the cost of a Round, and reports whether it was
// taken. It is for owners that run one Round for all that ended within a few milliseconds. The item is
// not offered when it would overtake others: when the charge of some team fell since the last Round, or
// when an item like it waits already. It then waits for the next Round.
func (q *Queue) Offer(now time.Time, id ibiswork.ID, try func(Item) Verdict) bool {
	e, ok := q.entries[id]
	if !ok || q.freed || e.group.head() != e || len(e.group.entries) > 1 {
		return false
	}
	r := round{q: q, now: now, try: try}
	q.reserved.lapse(now)
	if r.heldBack(e) || try(e.item) != Taken {
		return false
	}
	q.teams[e.item.Team].turns++
	if q.entries[id] == e {
		q.drop(e)
	}
	return true
}
