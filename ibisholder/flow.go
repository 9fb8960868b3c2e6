package ibisholder

import (
	"sync"
	"time"

	"ibiscrank/ibisadmit"
	"ibiscrank/ibiswork"
)

// Bounds of the admission of interactive requests.
const (
	rateBucket   = 250 * time.Millisecond
	rateBuckets  = 16
	freeWaiting  = 128                     // interactive requests that may wait whatever the rate of starts
	waitingBound = 1500 * time.Millisecond // of starts at the measured rate that may wait
)

// flow counts the requests that wait for their start, and measures the rate of starts of each class over
// the last seconds. Its zero value is ready for use.
type flow struct {
	mu      sync.Mutex
	waiting map[ibiswork.Class]int
	starts  map[ibiswork.Class]*[rateBuckets]int
	last    int64 // number of the newest bucket
}

// wait counts a request of a class that begins (1) or ends (-1) to wait.
func (f *flow) wait(c ibiswork.Class, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting == nil {
		f.waiting = make(map[ibiswork.Class]int)
	}
	f.waiting[c] += n
}

// start counts a start.
func (f *flow) start(c ibiswork.Class, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	if f.starts[c] == nil {
		f.starts[c] = new([rateBuckets]int)
	}
	f.starts[c][f.last%rateBuckets]++
}

// advance empties the buckets whose time has passed.
func (f *flow) advance(now time.Time) {
	if f.starts == nil {
		f.starts = make(map[ibiswork.Class]*[rateBuckets]int)
	}
	n := now.UnixNano() / int64(rateBucket)
	for i := max(f.last+1, n-rateBuckets+1); i <= n; i++ {
		for _, b := range f.starts {
			b[i%rateBuckets] = 0
		}
	}
	f.last = max(f.last, n)
}

// load is the state of one class.
func (f *flow) load(c ibiswork.Class, now time.Time) ibisadmit.ClassLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	sum := 0
	if b := f.starts[c]; b != nil {
		for _, n := range b {
			sum += n
		}
	}
	return ibisadmit.ClassLoad{Waiting: f.waiting[c], Rate: float64(sum) / (rateBuckets * rateBucket.Seconds())}
}

// admitInteractive refuses an interactive request that would wait too long behind those that are here.
func (f *flow) admitInteractive(r ibiswork.Request, now time.Time) *ibiswork.Refusal {
	l := f.load(ibiswork.Interactive, now)
	if l.Waiting < freeWaiting {
		return nil
	}
	bound := max(freeWaiting, int(l.Rate*waitingBound.Seconds()))
	ask := ibisadmit.Ask{Class: r.Class, Urgent: r.Urgent, RunTime: time.Duration(r.RunTimeMS) * time.Millisecond}
	if r.DeadlineMS > 0 {
		ask.Deadline = now.Add(time.Duration(r.DeadlineMS) * time.Millisecond)
	}
	load := ibisadmit.Load{Classes: map[ibiswork.Class]ibisadmit.ClassLoad{r.Class: l}, MaxQueue: bound}
	if ok, retryAfter := ibisadmit.Decide(load, ask, now); !ok {
		return ibiswork.Refuse(ibiswork.CodeOverloaded, "%d interactive requests wait here for their start", l.Waiting).WithRetryAfter(retryAfter)
	}
	return nil
}
