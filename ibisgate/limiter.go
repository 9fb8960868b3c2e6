package ibisgate

import (
	"context"
	"errors"
	"sync"
	"time"

	"ibiscrank/ibiswork"
)

// Retry delays sent with refusals.
const (
	overloadedRetryAfter     = time.Second
	drainingRetryAfter       = 100 * time.Millisecond
	unknownOutcomeRetryAfter = 500 * time.Millisecond
)

// errDraining is the cancellation cause of a wait that draining interrupts.
var errDraining = Error.New("the daemon is shutting down")

// limiter counts the requests in progress and refuses new ones above a limit or while draining.
type limiter struct {
	mu       sync.Mutex
	limit    int64
	inFlight int64
	draining bool
	idle     chan struct{} // closed when draining and no request is in progress

	polls             context.Context // cancelled when draining begins; ends waits of status requests
	cancelPolls       context.CancelFunc
	submissions       context.Context // cancelled late in draining; ends waits of submissions
	cancelSubmissions context.CancelFunc
}

func newLimiter(limit int64) *limiter {
	l := &limiter{limit: limit, idle: make(chan struct{})}
	l.polls, l.cancelPolls = context.WithCancel(context.Background())
	l.submissions, l.cancelSubmissions = context.WithCancel(context.Background())
	return l
}

// acquire counts one more request in progress, or returns a refusal.
func (l *limiter) acquire() *ibiswork.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return ibiswork.Refuse(ibiswork.CodeDraining, "this daemon is shutting down").WithRetryAfter(drainingRetryAfter)
	}
	if l.inFlight >= l.limit {
		return ibiswork.Refuse(ibiswork.CodeOverloaded, "this daemon has %d requests in progress, which is its limit", l.inFlight).WithRetryAfter(overloadedRetryAfter)
	}
	l.inFlight++
	return nil
}

// release undoes a successful acquire.
func (l *limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if l.draining && l.inFlight == 0 {
		close(l.idle)
	}
}

// drain refuses further requests; the channel is closed once no request is in progress.
func (l *limiter) drain() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.draining && l.inFlight == 0 {
		close(l.idle)
	}
	l.draining = true
	l.cancelPolls()
	return l.idle
}

func (l *limiter) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

func (l *limiter) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// withDrainCancel returns a child of parent that is also cancelled when drainCtx ends. drained reports whether
// that is why ctx was cancelled.
func withDrainCancel(parent, drainCtx context.Context) (ctx context.Context, release func(), drained func() bool) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(drainCtx, func() { cancel(errDraining) })
	release = func() {
		stop()
		cancel(nil)
	}
	return ctx, release, func() bool { return errors.Is(context.Cause(ctx), errDraining) }
}
