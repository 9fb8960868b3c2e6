package ibisqueue

import "ibiscrank/ibiswork"

// preemptSlack is how far, in parts of their entitlement, teams may be off before work is preempted.
const preemptSlack = 0.1

func (q *Queue) team(name string) *team {
	t, ok := q.teams[name]
	if !ok {
		if q.teams == nil {
			q.teams = make(map[string]*team)
		}
		t = &team{name: name, weight: 1}
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
	q.charge(t, used.Sub(t.used))
}

// Charge changes what a team has in use since the last SetTeam.
func (q *Queue) Charge(name string, delta ibiswork.Resources) { q.charge(q.team(name), delta) }

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

// free is what no team uses.
func (q *Queue) free() ibiswork.Resources { return q.capacity.Sub(q.used) }

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
