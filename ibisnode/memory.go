package ibisnode

import (
	"math"
	"runtime/debug"
	"runtime/metrics"
	"sync"

	"ibiscrank/ibisjob"
)

const (
	fullHeapShare   = 0.6 // of the Go runtime's memory limit, for live objects and for jobs accepted since they were counted
	taskMemoryBytes = 400 // of a task that waits, in the engine
)

// heapGuard tells whether there is memory for more jobs. The zero value is ready to use.
type heapGuard struct {
	mu      sync.Mutex
	cycle   uint64 // of the garbage collector
	added   int64  // bytes of jobs admitted since that cycle ended
	samples [2]metrics.Sample
}

// Admit implements ibiscell.MemoryGuard.
func (g *heapGuard) Admit(j *ibisjob.Job) bool { return g.admit(jobMemory(j)) }

// admit reports whether there is memory for a job of that many bytes, and counts it if so. Without a memory limit there
// always is.
func (g *heapGuard) admit(bytes int64) bool {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples[0].Name, g.samples[1].Name = "/gc/heap/live:bytes", "/gc/cycles/total:gc-cycles"
	metrics.Read(g.samples[:])
	live, cycle := g.samples[0].Value.Uint64(), g.samples[1].Value.Uint64()
	if cycle != g.cycle {
		g.cycle, g.added = cycle, 0
	}
	if float64(live)+float64(g.added+bytes) > fullHeapShare*float64(limit) {
		return false
	}
	g.added += bytes
	return true
}

// jobMemory estimates what a job takes in the engine, in bytes.
func jobMemory(j *ibisjob.Job) int64 {
	n := int64(j.EncodedBytes())
	for k := range j.Steps {
		n += int64(j.Steps[k].Tasks) * taskMemoryBytes
	}
	return n
}
