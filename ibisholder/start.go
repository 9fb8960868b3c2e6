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

// startTasks asks the owners to start the reserved tasks of the attempt.
func (h *Holder) startTasks(ctx context.Context, e *entry) {
	e.mu.Lock()
	req := ibiswire.StartRequest{From: h.holderOf(e), ID: e.id, Attempt: e.saved.Attempt}
	owners := e.ownerList()
	indexes := make(map[string][]int) // by owner address
	for _, p := range e.saved.Places {
		if m, ok := h.cfg.View().Find(e.owners[p.Index]); ok {
			indexes[m.Digest.Row.Address] = append(indexes[m.Digest.Row.Address], p.Index)
		}
	}
	e.mu.Unlock()
	started, notStarted := 0, 0
	h.callOwners(ctx, owners, startTimeout, func(ctx context.Context, addr string) {
		ownerReq := req
		ownerReq.Indexes = indexes[addr]
		reply, err := ibisrpc.Call[ibiswire.StartReply](ctx, h.cfg.Pool, addr, ibiswire.MethodStart, &ownerReq)
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
		e.markDispatched(time.Now())
	case notStarted:
		e.requeue()
	default:
		e.fire("Lose")
	}
}

// ownerList returns the distinct owners of the attempt's places. Callers hold mu.
func (e *entry) ownerList() []string {
	var list []string
	for _, p := range e.saved.Places {
		if id := e.owners[p.Index]; !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}

// callOwners runs call in parallel for every owner that is in the view, and waits until all have returned.
// Their context ends after timeout.
func (h *Holder) callOwners(ctx context.Context, owners []string, timeout time.Duration, call func(ctx context.Context, addr string)) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
			call(ctx, m.Digest.Row.Address)
		}()
	}
	wg.Wait()
}

// requeue ends the attempt and begins the next one. Callers hold mu, and have made sure that no task of the
// attempt is running.
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

// releasePlaces asks the owners of e's attempt to release its places and stop its tasks. It returns false if a
// call to an owner in the view failed.
func (h *Holder) releasePlaces(ctx context.Context, e *entry) bool {
	e.mu.Lock()
	req := &ibiswire.ReleaseRequest{From: h.holderOf(e), ID: e.id, Attempt: e.saved.Attempt}
	owners := []string{e.lastOwner}
	for _, id := range e.owners {
		if !slices.Contains(owners, id) {
			owners = append(owners, id)
		}
	}
	e.mu.Unlock()
	var failed atomic.Bool
	h.callOwners(ctx, owners, callMargin, func(ctx context.Context, addr string) {
		if _, err := ibisrpc.Call[ibiswire.ReleaseReply](ctx, h.cfg.Pool, addr, ibiswire.MethodRelease, req); err != nil {
			failed.Store(true)
			log.WithFields(log.Fields{"request": e.id, "error": err}).Debug("ReleaseFailed")
		}
	})
	return !failed.Load()
}

// holderOf returns this daemon as the holder of e's shard, for calls to owners.
func (h *Holder) holderOf(e *entry) ibiswire.Holder {
	return ibiswire.Holder{Shard: e.shard.id, Epoch: e.saved.Epoch, Incarnation: h.cfg.Self}
}
