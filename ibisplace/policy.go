package ibisplace

import "ibiscrank/ibiswork"

// Candidate is a server that fits, as a scorer sees it. Score must not change it.
type Candidate struct {
	Server *Server
	Free   ibiswork.Resources // before the task is placed
}

// Scorer rates a candidate; the highest score wins.
type Scorer interface {
	Score(c Candidate, a *Ask) float64
}

// ScorerFunc makes a function a Scorer.
type ScorerFunc func(c Candidate, a *Ask) float64

// Score calls f.
func (f ScorerFunc) Score(c Candidate, a *Ask) float64 { return f(c, a) }

// Order is the order in which a decision looks at servers.
type Order int

// The orders of search.
const (
	EmptiestFirst Order = iota
	FullestFirst
)

// Policy is how a class of work is placed.
type Policy struct {
	Order  Order
	Spread bool // takes the failure domain with the fewest tasks in Ask.Spread first
	Scorer Scorer
}

// DefaultPolicies is the policy of each class.
var DefaultPolicies = map[ibiswork.Class]Policy{
	ibiswork.Service:     {Order: EmptiestFirst, Spread: true, Scorer: ScorerFunc(SpreadRacks)},
	ibiswork.Batch:       {Order: FullestFirst, Scorer: ScorerFunc(BestFit)},
	ibiswork.Gang:        {Order: FullestFirst, Scorer: ScorerFunc(BestFit)},
	ibiswork.Interactive: {Order: EmptiestFirst, Scorer: ScorerFunc(LeastLoaded)},
}

// BestFit prefers the server on which the least would be left over, in all kinds of capacity together,
// and whose free amounts are in proportion to the task.
func BestFit(c Candidate, a *Ask) float64 {
	left := fractions(c.Free.Sub(a.Resources), c.Server.Capacity)
	most, least := left[0], left[0]
	sum := 0.0
	for _, v := range left {
		sum += v
		most, least = max(most, v), min(least, v)
	}
	return -sum - (most - least)
}

// LeastLoaded prefers the server with the most left of its scarcest kind of capacity.
func LeastLoaded(c Candidate, a *Ask) float64 {
	return -c.Server.Used.Add(a.Resources).Dominant(c.Server.Capacity)
}

// SpreadRacks prefers the rack with the fewest tasks of the service, then the least loaded server.
func SpreadRacks(c Candidate, a *Ask) float64 {
	return LeastLoaded(c, a) - 2*float64(a.Racks[c.Server.Rack])
}

// fractions is r in parts of total; a kind that the server does not have counts as nothing left.
func fractions(r, total ibiswork.Resources) [4]float64 {
	part := func(n, d int64) float64 {
		if d <= 0 {
			return 0
		}
		return float64(n) / float64(d)
	}
	return [4]float64{
		part(r.MilliCPU, total.MilliCPU),
		part(r.MemoryMB, total.MemoryMB),
		part(r.Accelerators, total.Accelerators),
		part(r.Slots, total.Slots),
	}
}

func (f *Fleet) policy(c ibiswork.Class) Policy {
	if p, ok := f.Policies[c]; ok {
		return p
	}
	if p, ok := DefaultPolicies[c]; ok {
		return p
	}
	return DefaultPolicies[ibiswork.Batch]
}
