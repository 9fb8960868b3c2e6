package ibisholder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibisrpc"
	"ibiscrank/ibiswire"
)

// start lets the owner start what it has reserved.
func (h *Holder) start(ctx context.Context, e *entry) {
	e.mu.Lock()
	req := ibiswire.StartRequest{From: h.from(e), ID: e.id, Attempt: e.saved.Attempt}
	owners := e.ownerList()
	indexes := make(map[string][]int) // by the owner's address
	for _, p := range e.saved.Places {
		if m, ok := h.cfg.View().Find(e.owners[p.Index]); ok {
			indexes[m.Digest.Row.Address] = append(indexes[m.Digest.Row.Address], p.Index)
		}
	}
	e.mu.Unlock()
	started, notStarted := 0, 0
	h.each(ctx, owners, startWait, func(ctx context.Context, addr string) {
		one := req
		one.Indexes = indexes[addr]
		reply, err := ibisrpc.Call[ibiswire.StartReply](ctx, h.cfg.Pool, addr, ibiswire.MethodStart, &one)
		e.mu.Lock()
		defer e.mu.Unlock()
		switch {
		case err == nil && reply.Started:
			started++
		case err == nil && reply.NotStarted:
			notStarted++
		}
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	switch len(owners) {
	case started:
		e.dispatched(time.Now())
	case notStarted:
		e.requeue()
	default:
		e.fire("Lose")
	}
}

// ownerList lists the owners of the attempt's places once each.
func (e *entry) ownerList() []string {
	var list []string
	for _, p := range e.saved.Places {
		if id := e.owners[p.Index]; !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}

// each calls f for every owner that is known, all at once, and waits.
func (h *Holder) each(ctx context.Context, owners []string, d time.Duration, f func(ctx context.Context, addr string)) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range owners {
		m, ok := h.cfg.View().Find(id)
		if !ok {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx, m.Digest.Row.Address)
		}()
	}
	wg.Wait()
}

// requeue closes the attempt, of which no task runs, and begins the next one.
func (e *entry) requeue() {
	if !e.fire("Requeue") {
		return
	}
	e.saved.Attempt++
	e.searches = 0
	e.saved.Places = nil
	e.tasks = make(map[int]ibiswire.TaskEvent)
	e.owners = make(map[int]string)
}

// release gives up the places of e's attempt at its owners, and stops what runs there. It reports whether
// all of those that are known have said so.
func (h *Holder) release(ctx context.Context, e *entry) bool {
	e.mu.Lock()
	req := &ibiswire.ReleaseRequest{From: h.from(e), ID: e.id, Attempt: e.saved.Attempt}
	owners := []string{e.owner}
	for _, id := range e.owners {
		if !slices.Contains(owners, id) {
			owners = append(owners, id)
		}
	}
	e.mu.Unlock()
	var failed atomic.Bool
	h.each(ctx, owners, callMargin, func(ctx context.Context, addr string) {
		if _, err := ibisrpc.Call[ibiswire.ReleaseReply](ctx, h.cfg.Pool, addr, ibiswire.MethodRelease, req); err != nil {
			failed.Store(true)
			log.WithFields(log.Fields{"request": e.id, "error": err}).Debug("ReleaseFailed")
		}
	})
	return !failed.Load()
}

func (h *Holder) from(e *entry) ibiswire.Holder {
	return ibiswire.Holder{Shard: e.shard.id, Epoch: e.saved.Epoch, Incarnation: h.cfg.Self}
}
