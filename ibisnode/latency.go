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
	version, err := n.table.Commit(ctx, tx)
	if err == nil {
		n.latency.record(time.Since(began))
	}
	return version, err
}
