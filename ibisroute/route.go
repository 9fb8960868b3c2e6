// Package ibisroute routes callers' requests from any daemon to the holders of their shards, and retries
// while a shard moves to another holder. The ID of a request determines its shard; the holder of a shard is
// the daemon that is responsible for the requests in it. Package ibisdaemon connects it to the HTTP API,
// package ibisgate.
//
// Retries are safe: all duplicates of a request reach the holder of its shard, which recognizes them.
//
// Usage:
//
//	r := ibisroute.New(cfg)
//	status, err := r.Submit(ctx, request, 5*time.Second)
package ibisroute

import (
	"context"
	"errors"
	"sync"
	"time"

	"ibiscrank/ibisholder"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

const (
	// HolderTimeout limits how long a request is retried until its shard has a holder that is ready.
	HolderTimeout      = 6 * time.Second
	retryDelay         = 100 * time.Millisecond
	queryTimeout       = 1 * time.Second // least time for which a status or cancel request is retried
	callMargin         = 2 * time.Second // added to the remaining wait of a request for the timeout of a call
	newIDTTL           = 1 * time.Minute // least time for which an unused ID from NewID is remembered
	newIDTries         = 64
	cancelQueueTimeout = 5 * time.Second
)

// Config holds the dependencies of a Router.
type Config struct {
	Self   string                // incarnation of this daemon
	Shards int                   // total number of shards
	Local  *ibisholder.Holder    // shards that this daemon holds, and the holders of the others
	Pool   *ibisrpc.Pool         // connections to other daemons
	View   func() *ibispeer.View // daemons that this one knows
}

// Router implements the scheduler interface of the HTTP gate. It is safe for concurrent use.
type Router struct {
	cfg    Config
	mu     sync.Mutex
	newIDs map[ibiswork.ID]time.Time // creation times of IDs from NewID that are not submitted yet
}

// New creates a router.
func New(cfg Config) *Router {
	return &Router{cfg: cfg, newIDs: make(map[ibiswork.ID]time.Time)}
}

// NewID creates an ID for a request that has none. It prefers a shard that this daemon holds, and returns the
// last of newIDTries random IDs if none of them is in such a shard.
func (r *Router) NewID() ibiswork.ID {
	var id ibiswork.ID
	for range newIDTries {
		id = ibiswork.NewID()
		if h, _, ok := r.cfg.Local.Holder(id.Shard(r.cfg.Shards)); ok && h.Incarnation == r.cfg.Self {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for old, created := range r.newIDs {
		if now.Sub(created) > newIDTTL {
			delete(r.newIDs, old)
		}
		if len(r.newIDs) < newIDTries {
			break
		}
	}
	r.newIDs[id] = now
	return id
}

// takeNewID reports whether this router created id with NewID. It returns true at most once for an ID, because
// only the first submission with a new ID can be sure that there was no earlier one.
func (r *Router) takeNewID(id ibiswork.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.newIDs[id]
	delete(r.newIDs, id)
	return ok
}

// Submit sends a request to the holder of its shard and waits up to wait for its outcome. The error is a
// *ibiswork.Refusal.
func (r *Router) Submit(ctx context.Context, req ibiswork.Request, wait time.Duration) (ibiswork.Status, error) {
	m := &ibiswire.SubmitRequest{Request: req, Fresh: r.takeNewID(req.ID)}
	st, err := r.retry(ctx, req.ID, wait, submitTimeout(req), func(ctx context.Context, addr string, left time.Duration) (*ibiswork.Status, error) {
		m.WaitMS = left.Milliseconds()
		st, err := r.submitOnce(ctx, addr, m)
		if err != nil && !ibiswork.AsRefusal(err).NotRun {
			m.Fresh = false // a holder may have accepted the request, and its task may run
		}
		return st, err
	})
	if refusal, ok := errors.AsType[*ibiswork.Refusal](err); ok && refusal.Code == ibiswork.CodeRecovering && m.Fresh {
		// No holder has ever accepted a request with this ID.
		notRun := *refusal
		notRun.NotRun = true
		return ibiswork.Status{}, &notRun
	}
	return st, err
}

// submitOnce sends m to the daemon at addr; an empty addr is this daemon.
func (r *Router) submitOnce(ctx context.Context, addr string, m *ibiswire.SubmitRequest) (*ibiswork.Status, error) {
	if addr == "" {
		return r.cfg.Local.Submit(ctx, m)
	}
	return ibisrpc.Call[ibiswork.Status](ctx, r.cfg.Pool, addr, ibiswire.MethodSubmit, m)
}

// submitTimeout is how long the submission of a request is retried: long enough for its shard to move, but
// not beyond the request's deadline.
func submitTimeout(req ibiswork.Request) time.Duration {
	if req.DeadlineMS > 0 {
		return min(HolderTimeout, time.Duration(req.DeadlineMS)*time.Millisecond)
	}
	return HolderTimeout
}

// Status returns the status of a request from the holder of its shard, waiting up to wait for the outcome. The
// error is a *ibiswork.Refusal.
func (r *Router) Status(ctx context.Context, team string, id ibiswork.ID, wait time.Duration) (ibiswork.Status, error) {
	return r.query(ctx, team, id, wait, ibiswire.MethodStatus, r.cfg.Local.Status)
}

// Cancel cancels a request at the holder of its shard. The error is a *ibiswork.Refusal.
func (r *Router) Cancel(ctx context.Context, team string, id ibiswork.ID) (ibiswork.Status, error) {
	return r.query(ctx, team, id, 0, ibiswire.MethodCancel, r.cfg.Local.Cancel)
}

// query sends a status or cancel request to the holder of the shard of id.
func (r *Router) query(ctx context.Context, team string, id ibiswork.ID, wait time.Duration, method string,
	local func(context.Context, *ibiswire.StatusRequest) (*ibiswork.Status, error),
) (ibiswork.Status, error) {
	return r.retry(ctx, id, wait, min(HolderTimeout, max(wait, queryTimeout)), func(ctx context.Context, addr string, left time.Duration) (*ibiswork.Status, error) {
		m := &ibiswire.StatusRequest{ID: id, Team: team, WaitMS: left.Milliseconds()}
		if addr == "" {
			return local(ctx, m)
		}
		return ibisrpc.Call[ibiswork.Status](ctx, r.cfg.Pool, addr, method, m)
	})
}

// retry calls the holder of id's shard. It repeats the call until timeout while the shard has no ready holder
// or the holder does not answer. The argument left of call is what remains of wait.
func (r *Router) retry(ctx context.Context, id ibiswork.ID, wait, timeout time.Duration,
	call func(ctx context.Context, addr string, left time.Duration) (*ibiswork.Status, error),
) (ibiswork.Status, error) {
	start := time.Now()
	for {
		st, err := r.attempt(ctx, id, max(wait-time.Since(start), 0), call)
		if err == nil {
			return *st, nil
		}
		refusal, refused := errors.AsType[*ibiswork.Refusal](err)
		if refused && refusal.Code != ibiswork.CodeRecovering && refusal.Code != ibiswork.CodeDraining {
			return ibiswork.Status{}, refusal
		}
		if time.Since(start) > timeout || !sleep(ctx, retryDelay) {
			return ibiswork.Status{}, finalRefusal(err)
		}
	}
}

// attempt makes one call to the holder of the shard of id, with an empty addr if that is this daemon.
func (r *Router) attempt(ctx context.Context, id ibiswork.ID, left time.Duration,
	call func(ctx context.Context, addr string, left time.Duration) (*ibiswork.Status, error),
) (*ibiswork.Status, error) {
	h, addr, ok := r.cfg.Local.Holder(id.Shard(r.cfg.Shards))
	if !ok {
		return nil, ibiswork.Refuse(ibiswork.CodeRecovering, "the shard of the request has no holder at this moment").
			WithMaybeRun().WithRetryAfter(time.Second)
	}
	if h.Incarnation == r.cfg.Self {
		addr = ""
	}
	ctx, cancel := context.WithTimeout(ctx, left+callMargin)
	defer cancel()
	return call(ctx, addr, left)
}

// finalRefusal is the refusal after the last attempt has failed with err.
func finalRefusal(err error) *ibiswork.Refusal {
	if refusal, ok := errors.AsType[*ibiswork.Refusal](err); ok {
		return refusal
	}
	return ibiswork.Refuse(ibiswork.CodeUnreachable, "the holder of the request's shard does not answer").
		WithMaybeRun().WithRetryAfter(time.Second)
}

// CancelQueue cancels the queued requests of a team at every daemon and returns how many. If some daemons
// fail, it returns the number at the others and the last error.
func (r *Router) CancelQueue(ctx context.Context, team string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelQueueTimeout)
	defer cancel()
	total := 0
	var lastErr error
	for _, m := range r.cfg.View().Members {
		reply, err := ibisrpc.Call[ibiswire.CancelQueueReply](ctx, r.cfg.Pool, m.Digest.Row.Address, ibiswire.MethodCancelQueue, &ibiswire.CancelQueueRequest{Team: team})
		if err != nil {
			lastErr = err
			continue
		}
		total += reply.Cancelled
	}
	return total, lastErr
}

// sleep waits for d. It returns false if ctx ends before that.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
