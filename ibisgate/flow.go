package ibisgate

import (
	"context"
	"errors"
	"sync"
	"time"

	"ibiscrank/ibiswork"
)

// How long a refused caller is told to stay away.
const (
	overloadedRetry = time.Second
	drainingRetry   = 100 * time.Millisecond
	unknownRetry    = 500 * time.Millisecond
)

// errDrained is why a wait ended early.
var errDrained = Error.New("the daemon is shutting down")

// flow counts the requests in progress and refuses new ones above a limit or while draining.
type flow struct {
	mu       sync.Mutex
	limit    int64
	n        int64
	draining bool
	idle     chan struct{} // closed when draining and nothing is in progress

	polls          context.Context // ends when draining begins
	endPolls       context.CancelFunc
	submissions    context.Context // ends when what still waits must be answered with what is known
	endSubmissions context.CancelFunc
}

func newFlow(limit int64) *flow {
	f := &flow{limit: limit, idle: make(chan struct{})}
	f.polls, f.endPolls = context.WithCancel(context.Background())
	f.submissions, f.endSubmissions = context.WithCancel(context.Background())
	return f
}

// enter counts one more request in progress, unless it returns a refusal.
func (f *flow) enter() *ibiswork.Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return ibiswork.Refuse(ibiswork.CodeDraining, "this daemon is shutting down").WithRetryAfter(drainingRetry)
	}
	if f.n >= f.limit {
		return ibiswork.Refuse(ibiswork.CodeOverloaded, "%d requests are in progress", f.n).WithRetryAfter(overloadedRetry)
	}
	f.n++
	return nil
}

// leave ends what a successful enter began.
func (f *flow) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.draining && f.n == 0 {
		close(f.idle)
	}
}

// drain stops further entries; the channel is closed once nothing is in progress.
func (f *flow) drain() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.draining && f.n == 0 {
		close(f.idle)
	}
	f.draining = true
	f.endPolls()
	return f.idle
}

func (f *flow) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

func (f *flow) count() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// withEnd is parent that ends with end as well; cut then reports that it did so because of end.
func withEnd(parent, end context.Context) (ctx context.Context, release func(), cut func() bool) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(end, func() { cancel(errDrained) })
	release = func() {
		stop()
		cancel(nil)
	}
	return ctx, release, func() bool { return errors.Is(context.Cause(ctx), errDrained) }
}
