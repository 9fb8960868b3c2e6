package ibisholder

import (
	"sync"
	"time"

	"ibiscrank/ibisadmit"
	"ibiscrank/ibiswork"
)

// Parameters of the measurement of starts and of the admission of interactive requests.
const (
	bucketWidth     = 250 * time.Millisecond
	bucketCount     = 16
	minWaitingLimit = 128                     // interactive requests that may wait at any rate of starts
	maxWaitTime     = 1500 * time.Millisecond // for interactive requests, at the measured rate of starts
)

// startTracker counts the requests that wait for their start, and measures the rate of starts of each class
// over the last bucketCount*bucketWidth (4 s). The zero value is ready for use.
type startTracker struct {
	mu         sync.Mutex
	waiting    map[ibiswork.Class]int
	starts     map[ibiswork.Class]*[bucketCount]int
	lastBucket int64 // number of the newest bucket since the Unix epoch
}

// addWaiting adds n to the number of waiting requests of a class.
func (f *startTracker) addWaiting(c ibiswork.Class, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting == nil {
		f.waiting = make(map[ibiswork.Class]int)
	}
	f.waiting[c] += n
}

// addStart counts the start of a request.
func (f *startTracker) addStart(c ibiswork.Class, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	if f.starts[c] == nil {
		f.starts[c] = new([bucketCount]int)
	}
	f.starts[c][f.lastBucket%bucketCount]++
}

// advance clears the buckets that have left the measured time.
func (f *startTracker) advance(now time.Time) {
	if f.starts == nil {
		f.starts = make(map[ibiswork.Class]*[bucketCount]int)
	}
	n := now.UnixNano() / int64(bucketWidth)
	for i := max(f.lastBucket+1, n-bucketCount+1); i <= n; i++ {
		for _, b := range f.starts {
			b[i%bucketCount] = 0
		}
	}
	f.lastBucket = max(f.lastBucket, n)
}

// classLoad returns the number of waiting requests of a class and its rate of starts per second.
func (f *startTracker) classLoad(c ibiswork.Class, now time.Time) ibisadmit.ClassLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	sum := 0
	if b := f.starts[c]; b != nil {
		for _, n := range b {
			sum += n
		}
	}
	return ibisadmit.ClassLoad{Waiting: f.waiting[c], Rate: float64(sum) / (bucketCount * bucketWidth.Seconds())}
}

// admitInteractive refuses an interactive request that would wait too long behind those already waiting. Up to
// minWaitingLimit requests may always wait.
func (f *startTracker) admitInteractive(r ibiswork.Request, now time.Time) *ibiswork.Refusal {
	classLoad := f.classLoad(ibiswork.Interactive, now)
	if classLoad.Waiting < minWaitingLimit {
		return nil
	}
	maxWaiting := max(minWaitingLimit, int(classLoad.Rate*maxWaitTime.Seconds()))
	ask := ibisadmit.Ask{Class: r.Class, Urgent: r.Urgent, RunTime: time.Duration(r.RunTimeMS) * time.Millisecond}
	if r.DeadlineMS > 0 {
		ask.Deadline = now.Add(time.Duration(r.DeadlineMS) * time.Millisecond)
	}
	load := ibisadmit.Load{Classes: map[ibiswork.Class]ibisadmit.ClassLoad{r.Class: classLoad}, MaxQueue: maxWaiting}
	if ok, retryAfter := ibisadmit.Decide(load, ask, now); !ok {
		return ibiswork.Refuse(ibiswork.CodeOverloaded, "%d interactive requests are already waiting on this daemon", classLoad.Waiting).WithRetryAfter(retryAfter)
	}
	return nil
}
