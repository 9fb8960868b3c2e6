package ibisqueue

import (
	"math"

	"ibiscrank/ibiswork"
)

// preemptSlack is how far, in parts of their entitlement, teams may be off before work is preempted.
const preemptSlack = 0.1

// priorShare is the part of the fleet that a team of which little is known is taken to use, evenly over
// all owners.
const priorShare = 0.002

func (q *Queue) team(name string) *team {
	t, ok := q.teams[name]
	if !ok {
		if q.teams == nil {
			q.teams = make(map[string]*team)
		}
		t = &team{name: name, weight: 1, scale: 1}
		q.teams[name] = t
		q.order = append(q.order, t)
	}
	return t
}

// SetTeam sets the weight of a team and what it has in use in the whole fleet; it replaces what was
// charged before. A weight of zero or less counts as one.
func (q *Queue) SetTeam(name string, weight float64, used ibiswork.Resources) {
	t := q.team(name)
	if weight <= 0 {
		weight = 1
	}
	t.weight = weight
	t.fleet = used
	t.scale = t.extrapolation(q.capacity)
	q.charge(t, used.Sub(t.used))
}

// SetLocal tells what part of a team's use was on this owner's servers when the fleet-wide use of
// SetTeam was measured, and the number of owners. Until the next SetTeam the team's use is taken to
// change on the other owners in proportion to their parts, because they decide by the same rule from
// equally old digests; without it all owners would serve the same team at once. Without a call of
// SetLocal only this owner's changes count.
func (q *Queue) SetLocal(name string, used ibiswork.Resources, owners int) {
	t := q.team(name)
	t.local, t.owners = used, owners
	t.scale = t.extrapolation(q.capacity)
}

// extrapolation is the change of use in the fleet that is expected for each local change.
func (t *team) extrapolation(capacity ibiswork.Resources) float64 {
	if t.owners <= 1 {
		return 1
	}
	n := float64(t.owners)
	part := (t.fleet.Dominant(capacity) + priorShare) / (t.local.Dominant(capacity) + priorShare/n)
	return min(max(part, 1), n)
}

// Charge changes what a team has in use on this owner's servers since the last SetTeam.
func (q *Queue) Charge(name string, delta ibiswork.Resources) {
	t := q.team(name)
	q.room = q.room.Sub(delta)
	q.freed = q.freed || !ibiswork.Resources{}.FitsIn(delta)
	q.charge(t, scaled(delta, t.scale))
}

func scaled(r ibiswork.Resources, by float64) ibiswork.Resources {
	if by <= 1 {
		return r
	}
	f := func(n int64) int64 { return int64(math.Round(float64(n) * by)) }
	return ibiswork.Resources{MilliCPU: f(r.MilliCPU), MemoryMB: f(r.MemoryMB), Accelerators: f(r.Accelerators), Slots: f(r.Slots)}
}

func (q *Queue) charge(t *team, delta ibiswork.Resources) {
	t.used = t.used.Add(delta)
	q.used = q.used.Add(delta)
	t.share = max(t.used.Dominant(q.capacity), 0)
}

// SetCapacity sets the capacity of the whole fleet, of which shares are parts.
func (q *Queue) SetCapacity(total ibiswork.Resources) {
	if total == q.capacity {
		return
	}
	q.capacity = total
	for _, t := range q.order {
		t.share = max(t.used.Dominant(total), 0)
	}
}

// SetRoom tells what is free on this owner's open servers, for the reservations of gangs; Charge keeps it
// up to date until the next call. Without any call, all that no team uses in the fleet counts as free.
func (q *Queue) SetRoom(free ibiswork.Resources) { q.room, q.roomKnown = free, true }

// free is the room in which gangs and others have to find a place.
func (q *Queue) free() ibiswork.Resources {
	if q.roomKnown {
		return q.room
	}
	return q.capacity.Sub(q.used)
}

// Over is how far the dominant share of a team is above its entitlement, in parts of the fleet; below
// zero when it is under it. The entitlement is the team's part of the weights of all teams that wait or
// have something in use.
func (q *Queue) Over(name string) float64 {
	t, ok := q.teams[name]
	if !ok {
		return 0
	}
	return t.share - q.entitlement(t, q.activeWeight())
}

func (q *Queue) activeWeight() float64 {
	sum := 0.0
	for _, t := range q.order {
		if t.waiting > 0 || t.share > 0 {
			sum += t.weight
		}
	}
	return sum
}

func (q *Queue) entitlement(t *team, active float64) float64 {
	if active <= 0 {
		return 0
	}
	return min(t.weight/active, 1)
}

// PreemptionTeam names the team that is furthest above its entitlement and the one furthest below it
// whose items found no room in the last round. It reports false when there is no such pair.
func (q *Queue) PreemptionTeam() (over, waiting string, ok bool) {
	active := q.activeWeight()
	var high, low *team
	for _, t := range q.order {
		fair := q.entitlement(t, active)
		if t.share > fair*(1+preemptSlack) && (high == nil || t.weighted() > high.weighted()) {
			high = t
		}
		if t.blocked && t.waiting > 0 && t.share < fair*(1-preemptSlack) && (low == nil || t.weighted() < low.weighted()) {
			low = t
		}
	}
	if high == nil || low == nil {
		return "", "", false
	}
	return high.name, low.name, true
}
