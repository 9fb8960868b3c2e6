package ibisqueue

import (
	"math"

	"ibiscrank/ibiswork"
)

// preemptTolerance is the fraction of its entitlement by which a team's share may deviate before work is
// preempted.
const preemptTolerance = 0.1

// priorShare is the fraction of the fleet, spread evenly over all owners, that every team is assumed to use
// in addition to its reported usage. It keeps extrapolation stable for teams with little usage.
const priorShare = 0.002

// team returns the team of that name and creates it with weight 1 if needed.
func (q *Queue) team(name string) *team {
	t, ok := q.teams[name]
	if !ok {
		if q.teams == nil {
			q.teams = make(map[string]*team)
		}
		t = &team{name: name, weight: 1, scale: 1}
		q.teams[name] = t
		q.teamOrder = append(q.teamOrder, t)
	}
	return t
}

// SetTeam sets the weight of a team and its resource usage in the whole fleet, which replaces all earlier
// charges. A weight of zero or less counts as one.
func (q *Queue) SetTeam(name string, weight float64, used ibiswork.Resources) {
	t := q.team(name)
	if weight <= 0 {
		weight = 1
	}
	t.weight = weight
	t.usedInFleet = used
	t.scale = t.extrapolationFactor(q.capacity)
	q.charge(t, used.Sub(t.used))
}

// SetLocalUsage sets the part of a team's usage that was on this owner's servers when the fleet-wide usage
// given to SetTeam was measured, and the number of owners. Until the next SetTeam, each local change is
// extrapolated: the usage on the other owners is assumed to change in proportion, because they apply the same
// rule to usage digests of the same age. Without this, all owners would serve the same team at once. If
// SetLocalUsage is never called, only local changes count.
func (q *Queue) SetLocalUsage(name string, used ibiswork.Resources, owners int) {
	t := q.team(name)
	t.usedLocally, t.owners = used, owners
	t.scale = t.extrapolationFactor(q.capacity)
}

// extrapolationFactor returns the expected change of usage in the fleet per local change.
func (t *team) extrapolationFactor(capacity ibiswork.Resources) float64 {
	if t.owners <= 1 {
		return 1
	}
	n := float64(t.owners)
	ratio := (t.usedInFleet.Dominant(capacity) + priorShare) / (t.usedLocally.Dominant(capacity) + priorShare/n)
	return min(max(ratio, 1), n)
}

// Charge adds delta, which is negative for tasks that ended, to the usage of a team on this owner's
// servers.
func (q *Queue) Charge(name string, delta ibiswork.Resources) {
	t := q.team(name)
	q.localFree = q.localFree.Sub(delta)
	q.freedSinceRound = q.freedSinceRound || !ibiswork.Resources{}.FitsIn(delta)
	q.charge(t, scaled(delta, t.scale))
}

// scaled multiplies r by a factor; a factor of one or less leaves it unchanged.
func scaled(r ibiswork.Resources, factor float64) ibiswork.Resources {
	if factor <= 1 {
		return r
	}
	f := func(n int64) int64 { return int64(math.Round(float64(n) * factor)) }
	return ibiswork.Resources{MilliCPU: f(r.MilliCPU), MemoryMB: f(r.MemoryMB), Accelerators: f(r.Accelerators), Slots: f(r.Slots)}
}

// charge adds delta to the fleet-wide usage of a team and updates its share.
func (q *Queue) charge(t *team, delta ibiswork.Resources) {
	t.used = t.used.Add(delta)
	q.used = q.used.Add(delta)
	t.share = max(t.used.Dominant(q.capacity), 0)
}

// SetCapacity sets the capacity of the whole fleet, relative to which shares are computed.
func (q *Queue) SetCapacity(total ibiswork.Resources) {
	if total == q.capacity {
		return
	}
	q.capacity = total
	for _, t := range q.teamOrder {
		t.share = max(t.used.Dominant(total), 0)
	}
}

// SetLocalFree sets the resources that are free on this owner's open servers, which reservations compare
// with; Charge keeps them up to date until the next call. If SetLocalFree is never called, everything in the
// fleet that no team uses counts as free.
func (q *Queue) SetLocalFree(free ibiswork.Resources) { q.localFree, q.localFreeKnown = free, true }

// free returns the free resources that reservations compare with, see SetLocalFree.
func (q *Queue) free() ibiswork.Resources {
	if q.localFreeKnown {
		return q.localFree
	}
	return q.capacity.Sub(q.used)
}

// ShareExcess returns the dominant share of a team minus its entitlement, as a fraction of the fleet; it is
// negative for a team below its entitlement. The entitlement is the team's fraction of the weights of all
// teams that have waiting items or resources in use.
func (q *Queue) ShareExcess(name string) float64 {
	t, ok := q.teams[name]
	if !ok {
		return 0
	}
	return t.share - q.entitlement(t, q.activeWeight())
}

// activeWeight returns the sum of the weights of all teams with waiting items or resources in use.
func (q *Queue) activeWeight() float64 {
	sum := 0.0
	for _, t := range q.teamOrder {
		if t.waiting > 0 || t.share > 0 {
			sum += t.weight
		}
	}
	return sum
}

// entitlement returns the share of the fleet that t is entitled to, given the sum of active weights.
func (q *Queue) entitlement(t *team, active float64) float64 {
	if active <= 0 {
		return 0
	}
	return min(t.weight/active, 1)
}

// PreemptionPair returns the team to preempt and the team to preempt for: of the teams above their
// entitlement the one with the highest weighted share, and of the teams below theirs with an item that did
// not fit in the last round the one with the lowest. ok is false if there is no such pair.
func (q *Queue) PreemptionPair() (over, waiting string, ok bool) {
	active := q.activeWeight()
	var high, low *team
	for _, t := range q.teamOrder {
		fair := q.entitlement(t, active)
		if t.share > fair*(1+preemptTolerance) && (high == nil || t.weightedShare() > high.weightedShare()) {
			high = t
		}
		if t.blocked && t.waiting > 0 && t.share < fair*(1-preemptTolerance) && (low == nil || t.weightedShare() < low.weightedShare()) {
			low = t
		}
	}
	if high == nil || low == nil {
		return "", "", false
	}
	return high.name, low.name, true
}
