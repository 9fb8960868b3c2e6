// Package ibisestimate learns the sizes and run times of tasks by team and kind from what backend
// servers report.
//
// Declared sizes are often far off. Estimates rise at once when a task used more than expected and fall
// slowly. Unless lowering is turned on, Size is never below the declared size, so that an estimate can
// never lead to more work on a VM than the declared sizes allow. Memory is bounded: the kinds that were
// seen least recently are dropped. The package does no input or output and reads no clock.
//
// Usage:
//
//	var e ibisestimate.Estimator
//	e.Observe("tuul-floor", "gauge", declared, used, 1200)
//	size := e.Size("tuul-floor", "gauge", declared)
package ibisestimate

import (
	"container/list"
	"math"

	"ibiscrank/ibiswork"
)

// Defaults of an Estimator and constants of learning.
const (
	DefaultMaxKinds = 2048
	DefaultFloor    = 0.5 // part of the declared size

	sizeQuantile = 0.95
	runQuantile  = 0.9
	lowRatio     = 1.0 / 64 // smallest ratio of used to declared that is told apart
	lowRunMS     = 1.0
	minToLower   = 50   // observations before a size is lowered
	lowerStep    = 0.98 // part of the size that is left after one observation, at least
	raiseWeight  = 8    // weight of an observation above the present estimate
	maxRatio     = 16   // bound on how far one kind is raised above what is declared
)

// Estimator holds what was learned. The zero value raises sizes and never lowers them.
type Estimator struct {
	Lower    bool    // sizes below the declared size are allowed
	Floor    float64 // smallest part of the declared size, zero for DefaultFloor
	MaxKinds int     // kinds remembered, zero for DefaultMaxKinds

	kinds map[key]*list.Element
	order list.List // of *kind, the most recently used first
}

type key struct{ team, kind string }

// kind is what is known of the tasks of one team and kind.
type kind struct {
	key    key
	cpu    ratio
	memory ratio
	run    histogram
	runs   int
}

// ratio is the learned ratio of used to declared of one kind of capacity.
type ratio struct {
	seen    histogram
	n       int
	present float64 // the ratio in force
}

// Observe takes in the end of a task: what was declared, the most that it used, and how long it ran in
// milliseconds. Amounts that were not declared or not reported are left out.
func (e *Estimator) Observe(team, kind string, declared, used ibiswork.Resources, runMS int64) {
	k := e.kind(key{team, kind}, true)
	k.cpu.observe(declared.MilliCPU, used.MilliCPU)
	k.memory.observe(declared.MemoryMB, used.MemoryMB)
	if runMS > 0 {
		k.run.add(float64(runMS), lowRunMS, 1)
		k.runs++
	}
}

func (r *ratio) observe(declared, used int64) {
	if declared <= 0 || used <= 0 {
		return
	}
	v := min(float64(used)/float64(declared), maxRatio)
	weight := 1
	if r.n == 0 {
		r.present = 1
	}
	if v > r.present {
		weight = raiseWeight
	}
	r.n++
	r.seen.add(v, lowRatio, weight)
	target := min(r.seen.quantile(sizeQuantile, lowRatio), maxRatio)
	switch {
	case target >= r.present:
		r.present = target
	case r.present > 1 || r.n >= minToLower:
		r.present = max(target, r.present*lowerStep)
	}
}

// Size is the size to count for a task: the declared one, raised to what its kind used before, and
// lowered only when Lower is set, then never below Floor. Slots and accelerators stay as declared.
func (e *Estimator) Size(team, kind string, declared ibiswork.Resources) ibiswork.Resources {
	k := e.kind(key{team, kind}, false)
	if k == nil {
		return declared
	}
	size := declared
	size.MilliCPU = e.scale(declared.MilliCPU, &k.cpu)
	size.MemoryMB = e.scale(declared.MemoryMB, &k.memory)
	return size
}

func (e *Estimator) scale(declared int64, r *ratio) int64 {
	if r.n == 0 {
		return declared
	}
	least := 1.0
	if e.Lower {
		least = e.floor()
	}
	return int64(math.Ceil(float64(declared) * max(r.present, least)))
}

// RunMS is the run time to expect in milliseconds: a high quantile of what was seen, or declared when
// nothing was.
func (e *Estimator) RunMS(team, kind string, declared int64) int64 {
	k := e.kind(key{team, kind}, false)
	if k == nil || k.runs == 0 {
		return declared
	}
	return int64(math.Ceil(k.run.quantile(runQuantile, lowRunMS)))
}

// Len is the number of kinds remembered.
func (e *Estimator) Len() int { return len(e.kinds) }

func (e *Estimator) floor() float64 {
	if e.Floor > 0 {
		return e.Floor
	}
	return DefaultFloor
}

// kind finds what is known of k, and starts on it when make is set.
func (e *Estimator) kind(k key, create bool) *kind {
	if el, ok := e.kinds[k]; ok {
		e.order.MoveToFront(el)
		return el.Value.(*kind)
	}
	if !create {
		return nil
	}
	if e.kinds == nil {
		e.kinds = make(map[key]*list.Element)
	}
	v := &kind{key: k}
	e.kinds[k] = e.order.PushFront(v)
	for len(e.kinds) > e.maxKinds() {
		last := e.order.Back()
		delete(e.kinds, e.order.Remove(last).(*kind).key)
	}
	return v
}

func (e *Estimator) maxKinds() int {
	if e.MaxKinds > 0 {
		return e.MaxKinds
	}
	return DefaultMaxKinds
}
