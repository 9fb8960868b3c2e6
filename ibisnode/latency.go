package ibisnode

import (
	"context"
	"sync"
	"time"
)

const (
	commitTimeoutMin = 250 * time.Millisecond // a commit usually takes about 12 ms
	commitTimeoutMax = 4 * time.Second
	latencyFactor    = 4   // multiple of the average latency after which a reply counts as lost
	latencyWeight    = 0.2 // of one commit in the moving average

	probeInterval = 150 * time.Millisecond // between reads that find out whether the table is back
)

// latency averages how long commits take, to derive the timeout after which a reply counts as lost.
type latency struct {
	mu      sync.Mutex
	average time.Duration
}

// timeout is how long to wait for a commit that has been attempted the given number of times before; it
// doubles with each attempt.
func (l *latency) timeout(attempt int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := max(latencyFactor*l.average, commitTimeoutMin) << min(attempt, 4)
	return min(d, commitTimeoutMax)
}

func (l *latency) averageMS() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.average.Milliseconds()
}

// record adds the duration of a successful commit to the average.
func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.average += time.Duration(latencyWeight * float64(d-l.average))
}

// commitOnce makes one attempt at a transaction; attempt is the number of earlier ones.
func (n *Node) commitOnce(ctx context.Context, tx Tx, attempt int) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, n.latency.timeout(attempt))
	defer cancel()
	began := time.Now()
	if attempt > 0 {
		defer n.cancelWhenTableAnswers(ctx, cancel)()
	}
	version, err := n.table.Commit(ctx, tx)
	if err == nil {
		n.latency.record(time.Since(began))
	}
	return version, err
}

// cancelWhenTableAnswers ends a repeated attempt at a commit by cancel once the table answers reads as fast as usual, but
// has not answered the attempt in the time of a first one: the attempt, or its reply, was lost while the table was away. Its
// own timeout has grown to seconds by then, during which nothing could be accepted. The clean-up ends the probing.
func (n *Node) cancelWhenTableAnswers(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	ctx, stop = context.WithCancel(ctx)
	go func() {
		if !n.sleep(ctx, n.latency.timeout(0)) {
			return
		}
		for n.sleep(ctx, probeInterval) {
			readCtx, done := context.WithTimeout(ctx, slowReadThreshold)
			_, _, err := n.readLeader(readCtx)
			done()
			if err == nil {
				n.log.Info("TableAnswersAgain")
				cancel()
				return
			}
		}
	}()
	return stop
}
