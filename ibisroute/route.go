// Package ibisroute brings callers' requests to the holders of their shards, whichever daemon they came
// to, and tries again while a shard is moving.
//
// Trying again is harmless: duplicates of a request meet at the holder of its shard.
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

// Times of a route.
const (
	// Patience is how long a request waits for its shard to have a ready holder.
	Patience     = 6 * time.Second
	retryDelay   = 100 * time.Millisecond
	askPatience  = 1 * time.Second // of a question about a request
	callMargin   = 2 * time.Second
	mintedFor    = 1 * time.Minute
	mintTries    = 64
	queueTimeout = 5 * time.Second
)

// Config is what New needs.
type Config struct {
	Self   string
	Shards int
	Local  *ibisholder.Holder
	Pool   *ibisrpc.Pool
	View   func() *ibispeer.View
}

// Router implements the scheduler that the gate calls.
type Router struct {
	cfg    Config
	mu     sync.Mutex
	minted map[ibiswork.ID]time.Time
}

// New makes a router.
func New(cfg Config) *Router {
	return &Router{cfg: cfg, minted: make(map[ibiswork.ID]time.Time)}
}

// NewID makes an ID for a request that came without one, in a shard whose holder can be reached, best of
// all this daemon itself.
func (r *Router) NewID() ibiswork.ID {
	var id ibiswork.ID
	for range mintTries {
		id = ibiswork.NewID()
		if h, _, ok := r.cfg.Local.Holder(id.Shard(r.cfg.Shards)); ok && h.Incarnation == r.cfg.Self {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for old, at := range r.minted {
		if now.Sub(at) > mintedFor {
			delete(r.minted, old)
		}
		if len(r.minted) < mintTries {
			break
		}
	}
	r.minted[id] = now
	return id
}

// fresh reports, once, whether NewID made this ID here.
func (r *Router) fresh(id ibiswork.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.minted[id]
	delete(r.minted, id)
	return ok
}

// Submit hands a request to the holder of its shard and waits for its end.
func (r *Router) Submit(ctx context.Context, req ibiswork.Request, wait time.Duration) (ibiswork.Status, error) {
	m := &ibiswire.SubmitRequest{Request: req, Fresh: r.fresh(req.ID)}
	st, err := r.retry(ctx, req.ID, wait, patience(req), func(ctx context.Context, addr string, left time.Duration) (*ibiswork.Status, error) {
		m.WaitMS = left.Milliseconds()
		st, err := r.submitOnce(ctx, addr, m)
		if err != nil && !ibiswork.AsRefusal(err).NotRun {
			m.Fresh = false // a holder may have taken it in, and its task may run
		}
		return st, err
	})
	if refusal, ok := errors.AsType[*ibiswork.Refusal](err); ok && refusal.Code == ibiswork.CodeRecovering && m.Fresh {
		// Nothing that carries this ID was ever taken in.
		fixed := *refusal
		fixed.NotRun = true
		return ibiswork.Status{}, &fixed
	}
	return st, err
}

func (r *Router) submitOnce(ctx context.Context, addr string, m *ibiswire.SubmitRequest) (*ibiswork.Status, error) {
	if addr == "" {
		return r.cfg.Local.Submit(ctx, m)
	}
	return ibisrpc.Call[ibiswork.Status](ctx, r.cfg.Pool, addr, ibiswire.MethodSubmit, m)
}

// patience is how long a request is offered to its shard: as long as a shard needs to move, but not
// beyond the request's deadline.
func patience(r ibiswork.Request) time.Duration {
	if r.DeadlineMS > 0 {
		return min(Patience, time.Duration(r.DeadlineMS)*time.Millisecond)
	}
	return Patience
}

// Status asks the holder of a request's shard about it.
func (r *Router) Status(ctx context.Context, team string, id ibiswork.ID, wait time.Duration) (ibiswork.Status, error) {
	return r.ask(ctx, team, id, wait, ibiswire.MethodStatus, r.cfg.Local.Status)
}

// Cancel asks the holder of a request's shard to end it.
func (r *Router) Cancel(ctx context.Context, team string, id ibiswork.ID) (ibiswork.Status, error) {
	return r.ask(ctx, team, id, 0, ibiswire.MethodCancel, r.cfg.Local.Cancel)
}

func (r *Router) ask(ctx context.Context, team string, id ibiswork.ID, wait time.Duration, method string,
	local func(context.Context, *ibiswire.StatusRequest) (*ibiswork.Status, error),
) (ibiswork.Status, error) {
	return r.retry(ctx, id, wait, min(Patience, max(wait, askPatience)), func(ctx context.Context, addr string, left time.Duration) (*ibiswork.Status, error) {
		m := &ibiswire.StatusRequest{ID: id, Team: team, WaitMS: left.Milliseconds()}
		if addr == "" {
			return local(ctx, m)
		}
		return ibisrpc.Call[ibiswork.Status](ctx, r.cfg.Pool, addr, method, m)
	})
}

// retry calls the holder of id's shard, again while there is none that is ready or it does not answer.
func (r *Router) retry(ctx context.Context, id ibiswork.ID, wait, patience time.Duration,
	call func(ctx context.Context, addr string, left time.Duration) (*ibiswork.Status, error),
) (ibiswork.Status, error) {
	begin := time.Now()
	for {
		st, err := r.once(ctx, id, max(wait-time.Since(begin), 0), call)
		if err == nil {
			return *st, nil
		}
		refusal, refused := errors.AsType[*ibiswork.Refusal](err)
		if refused && refusal.Code != ibiswork.CodeRecovering && refusal.Code != ibiswork.CodeDraining {
			return ibiswork.Status{}, refusal
		}
		if time.Since(begin) > patience || !sleep(ctx, retryDelay) {
			return ibiswork.Status{}, giveUp(err)
		}
	}
}

func (r *Router) once(ctx context.Context, id ibiswork.ID, left time.Duration,
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

// giveUp is the answer after the last try.
func giveUp(err error) *ibiswork.Refusal {
	if refusal, ok := errors.AsType[*ibiswork.Refusal](err); ok {
		return refusal
	}
	return ibiswork.Refuse(ibiswork.CodeUnreachable, "the holder of the request's shard does not answer").
		WithMaybeRun().WithRetryAfter(time.Second)
}

// CancelQueue cancels what a team has queued, at every daemon.
func (r *Router) CancelQueue(ctx context.Context, team string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	total := 0
	var failed error
	for _, m := range r.cfg.View().Members {
		reply, err := ibisrpc.Call[ibiswire.CancelQueueReply](ctx, r.cfg.Pool, m.Digest.Row.Address, ibiswire.MethodCancelQueue, &ibiswire.CancelQueueRequest{Team: team})
		if err != nil {
			failed = err
			continue
		}
		total += reply.Cancelled
	}
	return total, failed
}

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
