package ibisnode

import (
	"context"
	"sync"
	"time"
)

const (
	commitTimeoutMin = 250 * time.Millisecond // a commit takes about 12 ms
	commitTimeoutMax = 4 * time.Second
	latencyFactor    = 4   // of the usual time, after which a reply counts as lost
	latencyWeight    = 0.2 // of one commit in the moving average
)

// latency follows how long commits take, and from that, when the reply to one counts as lost.
type latency struct {
	mu    sync.Mutex
	usual time.Duration
}

// timeout is how long to wait for a commit that has been tried before the given number of times.
func (l *latency) timeout(try int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := max(latencyFactor*l.usual, commitTimeoutMin) << min(try, 4)
	return min(d, commitTimeoutMax)
}

func (l *latency) note(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usual += time.Duration(latencyWeight * float64(d-l.usual))
}

// commit makes one try at a transaction.
func (n *Node) commit(ctx context.Context, tx Tx, try int) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, n.latency.timeout(try))
	defer cancel()
	began := time.Now()
	version, err := n.table.Commit(ctx, tx)
	if err == nil {
		n.latency.note(time.Since(began))
	}
	return version, err
}
