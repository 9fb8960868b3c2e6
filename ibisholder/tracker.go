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
func (t *startTracker) addWaiting(c ibiswork.Class, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting == nil {
		t.waiting = make(map[ibiswork.Class]int)
	}
	t.waiting[c] += n
}

// addStart counts the start of a request.
func (t *startTracker) addStart(c ibiswork.Class, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if t.starts[c] == nil {
		t.starts[c] = new([bucketCount]int)
	}
	t.starts[c][t.lastBucket%bucketCount]++
}

// advance clears the buckets that have left the measured time.
func (t *startTracker) advance(now time.Time) {
	if t.starts == nil {
		t.starts = make(map[ibiswork.Class]*[bucketCount]int)
	}
	n := now.UnixNano() / int64(bucketWidth)
	for i := max(t.lastBucket+1, n-bucketCount+1); i <= n; i++ {
		for _, b := range t.starts {
			b[i%bucketCount] = 0
		}
	}
	t.lastBucket = max(t.lastBucket, n)
}

// classLoad returns the number of waiting requests of a class and its rate of starts per second.
func (t *startTracker) classLoad(c ibiswork.Class, now time.Time) ibisadmit.ClassLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	sum := 0
	if b := t.starts[c]; b != nil {
		for _, n := range b {
			sum += n
		}
	}
	return ibisadmit.ClassLoad{Waiting: t.waiting[c], Rate: float64(sum) / (bucketCount * bucketWidth.Seconds())}
}

// admitInteractive refuses an interactive request that would wait too long behind those already waiting. Up to
// minWaitingLimit requests may always wait.
func (t *startTracker) admitInteractive(r ibiswork.Request, now time.Time) *ibiswork.Refusal {
	classLoad := t.classLoad(ibiswork.Interactive, now)
	if classLoad.Waiting < minWaitingLimit {
		return nil
	}
	maxWaiting := max(minWaitingLimit, int(classLoad.Rate*maxWaitTime.Seconds()))
	request := ibisadmit.Request{Class: r.Class, Urgent: r.Urgent, RunTime: time.Duration(r.RunTimeMS) * time.Millisecond}
	if r.DeadlineMS > 0 {
		request.Deadline = now.Add(time.Duration(r.DeadlineMS) * time.Millisecond)
	}
	load := ibisadmit.Load{Classes: map[ibiswork.Class]ibisadmit.ClassLoad{r.Class: classLoad}, MaxQueue: maxWaiting}
	if ok, retryAfter := ibisadmit.Decide(load, request, now); !ok {
		return ibiswork.Refuse(ibiswork.CodeOverloaded, "%d interactive requests are already waiting on this daemon", classLoad.Waiting).WithRetryAfter(retryAfter)
	}
	return nil
}
