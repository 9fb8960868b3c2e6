package ibisplace

import (
	"math"
	"slices"

	"ibiscrank/ibiswork"
)

// gangScratch holds memory that is reused between gang decisions.
type gangScratch struct {
	racks []rackFit
}

// rackFit is a rack with the number of tasks of a gang that fit on it.
type rackFit struct {
	rack     *rack
	fitCount int // an upper bound until rankRacks makes it exact
}

// PlaceGang chooses servers for all n tasks of a gang, or for none; a server may appear several times in
// names. It uses the single rack with the least free capacity that holds all tasks, else as few racks as
// it can within one failure domain, else as few racks as it can across domains. Like Place, it does not
// reserve the resources.
func (f *Fleet) PlaceGang(a Request, n int) (names []string, ok bool) {
	if n <= 0 {
		return nil, false
	}
	candidates := f.candidateRacks(&a)
	if r := bestSingleRack(candidates, &a, n); r != nil {
		return appendServers(nil, r, &a, n), true
	}
	if !f.rankRacks(candidates, &a, n) {
		return nil, false
	}
	names = make([]string, 0, n)
	for _, r := range candidates {
		if names = appendServers(names, r.rack, &a, n); len(names) == n {
			break
		}
	}
	return names, true
}

// rankRacks makes the task count of each rack exact and sorts racks so that a short prefix holds n tasks:
// first the racks of the failure domain that needs the fewest racks for the whole gang, or, if no domain
// holds it, of the domains that hold the most tasks. It reports whether all racks together hold n tasks.
func (f *Fleet) rankRacks(candidates []rackFit, a *Request, n int) bool {
	for i := range candidates {
		candidates[i].fitCount = candidates[i].rack.fitCount(a, n)
	}
	slices.SortStableFunc(candidates, func(x, y rackFit) int { return y.fitCount - x.fitCount })
	for _, d := range f.domains {
		d.gangFitCount, d.gangRacks = 0, 0
	}
	sum := 0
	for _, r := range candidates {
		d := r.rack.domain
		if d.gangFitCount < n {
			d.gangRacks++
		}
		d.gangFitCount += r.fitCount
		sum += r.fitCount
	}
	slices.SortStableFunc(candidates, func(x, y rackFit) int { return x.rack.domain.compareForGang(y.rack.domain, n) })
	return sum >= n
}

// compareForGang orders failure domains by preference for a gang of n tasks.
func (d *domain) compareForGang(o *domain, n int) int {
	switch fits, otherFits := d.gangFitCount >= n, o.gangFitCount >= n; {
	case fits && otherFits && d.gangRacks != o.gangRacks:
		return d.gangRacks - o.gangRacks
	case fits != otherFits || d.gangFitCount != o.gangFitCount:
		return o.gangFitCount - d.gangFitCount
	}
	return compareNames(d.name, o.name)
}

// candidateRacks returns the racks that may hold at least one task, each with an upper bound on its tasks.
func (f *Fleet) candidateRacks(a *Request) []rackFit {
	candidates := f.scratch.racks[:0]
	for _, r := range f.racks {
		if fitCount := copiesIn(a.Resources, r.free); fitCount > 0 {
			candidates = append(candidates, rackFit{r, fitCount})
		}
	}
	f.scratch.racks = candidates
	return candidates
}

// bestSingleRack returns the rack with the least free capacity that holds all n tasks, or nil.
func bestSingleRack(candidates []rackFit, a *Request, n int) *rack {
	var best *rack
	least := math.MaxInt
	for _, r := range candidates {
		if r.fitCount < n || r.fitCount >= least {
			continue
		}
		if r.rack.fitCount(a, n) >= n {
			best, least = r.rack, r.fitCount
		}
	}
	return best
}

// appendServers appends servers of rack r, those that hold the most tasks first, until names has n
// elements or the rack is full.
func appendServers(names []string, r *rack, a *Request, n int) []string {
	type serverFit struct {
		name     string
		fitCount int
	}
	candidates := make([]serverFit, 0, len(r.nodes))
	for _, m := range r.nodes {
		if fitCount := m.fitCount(a); fitCount > 0 {
			candidates = append(candidates, serverFit{m.Name, fitCount})
		}
	}
	slices.SortStableFunc(candidates, func(x, y serverFit) int { return y.fitCount - x.fitCount })
	for _, s := range candidates {
		for range min(s.fitCount, n-len(names)) {
			names = append(names, s.name)
		}
	}
	return names
}

// fitCount returns how many tasks fit on the servers of the rack, but at most n.
func (r *rack) fitCount(a *Request, n int) int {
	sum := 0
	for _, m := range r.nodes {
		if sum += m.fitCount(a); sum >= n {
			return n
		}
	}
	return sum
}

// fitCount returns how many tasks fit on the server, zero if it is closed or must be avoided.
func (n *node) fitCount(a *Request) int {
	if n.Closed || a.Avoid[n.Name] {
		return 0
	}
	return copiesIn(a.Resources, n.free)
}

// maxFitCount is the result of copiesIn for a task that needs no resources.
const maxFitCount = ibiswork.MaxGangTasks

// copiesIn returns how many times r fits in free, but at most maxFitCount.
func copiesIn(r, free ibiswork.Resources) int {
	fitCount := int64(maxFitCount)
	for _, p := range [...][2]int64{
		{r.MilliCPU, free.MilliCPU},
		{r.MemoryMB, free.MemoryMB},
		{r.Accelerators, free.Accelerators},
		{r.Slots, free.Slots},
	} {
		if p[1] < p[0] {
			return 0
		}
		if p[0] > 0 {
			fitCount = min(fitCount, p[1]/p[0])
		}
	}
	return int(fitCount)
}
