package ibisplace

import "ibiscrank/ibiswork"

// Candidate is a server on which the task fits, as passed to a Scorer. Score must not modify it.
type Candidate struct {
	Server *Server
	Free   ibiswork.Resources // before the task is placed
}

// Scorer rates a candidate; the highest score wins.
type Scorer interface {
	Score(c Candidate, a *Request) float64
}

// ScorerFunc adapts a function to the Scorer interface.
type ScorerFunc func(c Candidate, a *Request) float64

// Score calls f.
func (f ScorerFunc) Score(c Candidate, a *Request) float64 { return f(c, a) }

// Order is the order, by load, in which servers are searched.
type Order int

// The search orders.
const (
	EmptiestFirst Order = iota
	FullestFirst
)

// Policy defines how tasks of one class are placed.
type Policy struct {
	Order  Order
	Spread bool // searches failure domains by ascending task count in Request.Spread
	Scorer Scorer
}

// DefaultPolicies holds the policy of each class that Fleet.Policies does not override.
var DefaultPolicies = map[ibiswork.Class]Policy{
	ibiswork.Service:     {Order: EmptiestFirst, Spread: true, Scorer: ScorerFunc(SpreadRacks)},
	ibiswork.Batch:       {Order: FullestFirst, Scorer: ScorerFunc(BestFit)},
	ibiswork.Gang:        {Order: FullestFirst, Scorer: ScorerFunc(BestFit)},
	ibiswork.Interactive: {Order: EmptiestFirst, Scorer: ScorerFunc(LeastLoaded)},
}

// BestFit prefers the server with the least capacity left over after placement, summed over all kinds of
// resources, and with the left-over fractions closest to each other.
func BestFit(c Candidate, a *Request) float64 {
	left := fractions(c.Free.Sub(a.Resources), c.Server.Capacity)
	most, least := left[0], left[0]
	sum := 0.0
	for _, v := range left {
		sum += v
		most, least = max(most, v), min(least, v)
	}
	return -sum - (most - least)
}

// LeastLoaded prefers the server with the largest free fraction of its scarcest resource after placement.
func LeastLoaded(c Candidate, a *Request) float64 {
	return -c.Server.Used.Add(a.Resources).Dominant(c.Server.Capacity)
}

// SpreadRacks prefers the rack with the fewest tasks of the service, then the least loaded server.
func SpreadRacks(c Candidate, a *Request) float64 {
	return LeastLoaded(c, a) - 2*float64(a.Racks[c.Server.Rack])
}

// fractions returns each amount of r as a fraction of total; a resource that the server does not have
// counts as zero.
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

// policy returns the policy of class c; an unknown class is placed like Batch.
func (f *Fleet) policy(c ibiswork.Class) Policy {
	if p, ok := f.Policies[c]; ok {
		return p
	}
	if p, ok := DefaultPolicies[c]; ok {
		return p
	}
	return DefaultPolicies[ibiswork.Batch]
}
