package ibisshare

import "math"

const (
	bucketMS      = 50
	buckets       = 240 // 12 s, beyond which the capacity is taken to stay as it is
	restBuckets   = 2 * buckets
	minRestMS     = 50     // shortest expected rest of a running task
	overdueRest   = 0.25   // rest of a task that runs for longer than expected, as a fraction of the expected time
	begunFraction = 0.5    // of its expected time, before which a task does not end
	begunEarliest = 0.5    // of its expected rest, before which such a task does not end; others may end at any time
	maxWaitMS     = 60_000 // longest wait that is told apart
	widthLimit    = 0.9    // of all capacity that a job waits for at once; a wider one begins in part
	minAvail      = 0.02   // of the freed capacity that is left beside arriving work of better priority
)

// Supply is the capacity that running tasks will free. The zero value frees none.
type Supply struct {
	// Thousandths of a core, by the expected rest of the tasks, of those that have just begun and of others. Integers, so
	// that the order of additions does not matter.
	begun, others [restBuckets]int64

	total int64
	freed [buckets]float64 // cores that are free at the end of each bucket
	ready bool             // freed is up to date
}

// Reset empties s.
func (s *Supply) Reset() { *s = Supply{} }

// Add adds a running task of the given size that has been running for ranMS of the expected time.
func (s *Supply) Add(milliCPU int64, ranMS, expectedMS float64) {
	rest := max(expectedMS-ranMS, overdueRest*expectedMS, minRestMS)
	n := min(int(rest/bucketMS), restBuckets-1)
	if ranMS < begunFraction*expectedMS {
		s.begun[n] += milliCPU
	} else {
		s.others[n] += milliCPU
	}
	s.total += milliCPU
	s.ready = false
}

// Cores returns the capacity that all added tasks will free in the end.
func (s *Supply) Cores() float64 { return float64(s.total) / 1000 }

// sum spreads the end of each task evenly over its possible times.
func (s *Supply) sum() {
	if s.ready {
		return
	}
	s.ready = true
	var change [buckets + 1]float64 // of the rate, in cores for each bucket
	for n := range restBuckets {
		rest := float64(n) + 0.5
		addEnds(&change, s.begun[n], begunEarliest*rest, (2-begunEarliest)*rest)
		addEnds(&change, s.others[n], 0, 2*rest)
	}
	rate, cores := 0.0, 0.0
	for n := range s.freed {
		rate += change[n]
		cores += rate
		s.freed[n] = cores
	}
}

// addEnds spreads the capacity that tasks free evenly over the time in which they end.
func addEnds(change *[buckets + 1]float64, milliCPU int64, from, to float64) {
	if milliCPU == 0 {
		return
	}
	rate := float64(milliCPU) / 1000 / (to - from)
	addStep(change, from, rate)
	addStep(change, to, -rate)
}

// addStep changes the rate from a time on, which may lie within a bucket.
func addStep(change *[buckets + 1]float64, from, rate float64) {
	n := int(from)
	if n >= buckets {
		return
	}
	part := 1 - (from - float64(n))
	change[n] += rate * part
	change[n+1] += rate * (1 - part)
}

// Better describes the arrivals of work of better priority, which takes capacity before a job that waits.
type Better struct {
	CoresPerMS float64 // cores that arrive
	Cores      float64 // cores that are in use for it in the steady state
}

// WaitMS returns the expected time until the freed capacity has served the given work ahead, and is enough for width
// cores at once together with the capacity that is free now. It is 0 while no capacity is known.
func (s *Supply) WaitMS(aheadCoreMS, width, free float64, better Better) float64 {
	if s.total == 0 && free == 0 {
		return 0
	}
	s.sum()
	width = min(width, widthLimit*(s.Cores()+free))
	served, before := 0.0, free
	for n, cores := range s.freed {
		avail := max(cores-min(better.Cores, better.CoresPerMS*float64(n+1)*bucketMS), minAvail*cores) + free
		gained := (before + avail) / 2 * bucketMS
		if served+gained >= aheadCoreMS && avail >= width {
			part := 0.0
			if gained > 0 {
				part = max(aheadCoreMS-served, 0) / gained
			}
			if width > before {
				part = max(part, (width-before)/(avail-before))
			}
			return (float64(n) + part) * bucketMS
		}
		served += gained
		before = avail
	}
	if before <= 0 {
		return maxWaitMS
	}
	return min(buckets*bucketMS*max(width/before, 1)+max(aheadCoreMS-served, 0)/before, maxWaitMS)
}

// Claim is the waiting work of a team at one priority.
type Claim struct {
	Weight  float64
	Waiting float64 // core-milliseconds
	Used    float64 // core-milliseconds, by which teams are ordered relative to their weights
}

// Ahead returns how much waiting work is served before a new job of own, if teams are served in the order of their use
// relative to their weights: all that waits of its own team, and of each other team no more than brings it to the same
// use.
func Ahead(own Claim, others []Claim) float64 {
	ahead := own.Waiting
	level := (own.Used + own.Waiting) / max(own.Weight, minWeight)
	for _, o := range others {
		ahead += min(o.Waiting, max(level*max(o.Weight, minWeight)-o.Used, 0))
	}
	return ahead
}

// spread returns a factor in [1-width, 1+width) by job ID and attempt.
func spread(id string, attempt int, width float64) float64 {
	h := uint64(14695981039346656037)
	for n := range len(id) {
		h = (h ^ uint64(id[n])) * 1099511628211
	}
	h = (h ^ uint64(attempt)) * 0x9E3779B97F4A7C15
	h ^= h >> 29
	h *= 0xBF58476D1CE4E5B9
	h ^= h >> 32
	return 1 - width + 2*width*float64(h>>11)/math.Exp2(53)
}
