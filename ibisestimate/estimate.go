// Package ibisestimate estimates the sizes and run times of tasks, by team and kind, from the usage that
// backend servers report. Package ibisowner uses the sizes to place tasks, package ibiscell the expected run
// times.
//
// Declared sizes are often far off. An estimate rises at once when a task used more than expected and falls
// slowly. Unless Estimator.Lower is set, Size is never below the declared size, so that an estimate never
// puts more work on a VM than the declared sizes allow. Memory is bounded: the least recently used kinds are
// dropped. The package does no I/O and reads no clock.
//
// The expected run time of a task is derived from the declared one and from the latest runs of its team and kind, or of
// its kind over all teams, weighted by how far each has been off. While little is known it is the declared one. It is a
// median; Expect also returns the mean, which sums of work need.
//
// Usage:
//
//	var e ibisestimate.Estimator
//	e.Observe("tuul-floor", "gauge", declared, used, 1200)
//	size := e.Size("tuul-floor", "gauge", declared)
//	e.ObserveRun("tuul-floor", "gauge", 900, 1200)
//	ms := e.RunMS("tuul-floor", "gauge", 900)
package ibisestimate

import (
	"math"

	"ibiscrank/ibiswork"
)

// Defaults and parameters of an Estimator.
const (
	DefaultMaxKinds = 2048
	DefaultFloor    = 0.5 // fraction of the declared size

	sizeQuantile       = 0.95
	runQuantile        = 0.9
	minRatio           = 1.0 / 64 // smallest ratio of used to declared that a histogram distinguishes
	minRunMS           = 1.0      // shortest run time that a histogram distinguishes
	minSamplesToLower  = 50       // observations before an estimate falls below the declared size
	minLoweredFraction = 0.98     // smallest fraction of an estimate that one observation leaves
	raiseWeight        = 8        // weight of an observation above the current estimate
	maxRatio           = 16       // largest estimate, as a multiple of the declared size
)

// Estimator holds usage statistics by team and kind. The zero value raises sizes above the declared size and
// never lowers them below it.
type Estimator struct {
	Lower    bool    // allow estimates below the declared size
	Floor    float64 // smallest fraction of the declared size with Lower; zero for DefaultFloor
	MaxKinds int     // largest number of kinds kept; zero for DefaultMaxKinds

	kinds lru[key, kind]
	runs  lru[key, window]    // by team and kind
	pools lru[string, window] // by kind, over all teams

	declaredOff, expectedOff float64 // moving averages of the errors of run times, in absolute logarithms
}

type key struct{ team, kind string }

// kind holds the statistics of one team's tasks of one kind.
type kind struct {
	cpu    ratio
	memory ratio
	run    histogram
	runs   int
}

// ratio estimates the ratio of used to declared for one resource.
type ratio struct {
	samples histogram
	count   int
	current float64 // current estimate
}

// Observe records a finished task: its declared size, its peak use and its run time in milliseconds. Resources
// that were not declared or not reported are ignored.
func (e *Estimator) Observe(team, kind string, declared, used ibiswork.Resources, runMS int64) {
	k := e.kinds.add(key{team, kind}, e.maxKinds())
	k.cpu.observe(declared.MilliCPU, used.MilliCPU)
	k.memory.observe(declared.MemoryMB, used.MemoryMB)
	if runMS > 0 {
		k.run.add(float64(runMS), minRunMS, 1)
		k.runs++
	}
}

func (r *ratio) observe(declared, used int64) {
	if declared <= 0 || used <= 0 {
		return
	}
	v := min(float64(used)/float64(declared), maxRatio)
	weight := 1
	if r.count == 0 {
		r.current = 1
	}
	if v > r.current {
		weight = raiseWeight
	}
	r.count++
	r.samples.add(v, minRatio, weight)
	target := min(r.samples.quantile(sizeQuantile, minRatio), maxRatio)
	switch {
	case target >= r.current:
		r.current = target
	case r.current > 1 || r.count >= minSamplesToLower:
		r.current = max(target, r.current*minLoweredFraction)
	}
}

// Size returns the estimated size of a task: the declared one, raised to what its kind used before. It is
// lowered only when Lower is set, and never below Floor. Slots and accelerators stay as declared.
func (e *Estimator) Size(team, kind string, declared ibiswork.Resources) ibiswork.Resources {
	k := e.kinds.get(key{team, kind})
	if k == nil {
		return declared
	}
	size := declared
	size.MilliCPU = e.scale(declared.MilliCPU, &k.cpu)
	size.MemoryMB = e.scale(declared.MemoryMB, &k.memory)
	return size
}

func (e *Estimator) scale(declared int64, r *ratio) int64 {
	if r.count == 0 {
		return declared
	}
	minimum := 1.0
	if e.Lower {
		minimum = e.floor()
	}
	return int64(math.Ceil(float64(declared) * max(r.current, minimum)))
}

// HighRunMS returns a run time in milliseconds that few tasks exceed: the 0.9 quantile of observed run times, or
// declared when there are none.
func (e *Estimator) HighRunMS(team, kind string, declared int64) int64 {
	k := e.kinds.get(key{team, kind})
	if k == nil || k.runs == 0 {
		return declared
	}
	return int64(math.Ceil(k.run.quantile(runQuantile, minRunMS)))
}

// Len returns the number of kinds with statistics of usage.
func (e *Estimator) Len() int { return len(e.kinds.items) }

func (e *Estimator) floor() float64 {
	if e.Floor > 0 {
		return e.Floor
	}
	return DefaultFloor
}

func (e *Estimator) maxKinds() int {
	if e.MaxKinds > 0 {
		return e.MaxKinds
	}
	return DefaultMaxKinds
}
