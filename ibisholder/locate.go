package ibisholder

import (
	"context"
	"sync"
	"time"

	"ibiscrank/ibisrpc"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// Timeouts and limits of the search for tasks.
const (
	locateInterval        = 300 * time.Millisecond // doubled for each search without a finding
	maxLocateInterval     = 3 * time.Second
	maxConcurrentSearches = 16
	searchTimeout         = 4 * time.Second
)

// searchResult holds the replies of all owners to a search: the task events, and the state of each backend
// server by its name.
type searchResult struct {
	events []ibiswire.TaskEvent
	covers map[string]ibiswire.CoverState
}

// search asks all daemons in parallel for the tasks of a request, or of the whole shard. At most
// maxConcurrentSearches run at a time, so that the loss of many tasks does not overload the daemons.
func (h *Holder) search(ctx context.Context, req *ibiswire.LocateRequest) searchResult {
	select {
	case h.searchSlots <- struct{}{}:
		defer func() { <-h.searchSlots }()
	case <-ctx.Done():
		return searchResult{}
	}
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	result := searchResult{covers: make(map[string]ibiswire.CoverState)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers, members := 0, h.cfg.View().Members
	for _, m := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply, err := ibisrpc.Call[ibiswire.LocateReply](ctx, h.cfg.Pool, m.Digest.Row.Address, ibiswire.MethodLocate, req)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			result.events = append(result.events, reply.Events...)
			answers++
			for _, c := range reply.Covers {
				if certainty[c.State] < certainty[result.covers[c.Server]] || result.covers[c.Server] == "" {
					result.covers[c.Server] = c.State
				}
			}
		}()
	}
	wg.Wait()
	if answers < len(members) {
		result.dropExpired()
	}
	return result
}

// certainty ranks the states that several owners report for one server; the least certain one counts. An owner
// that has a start in flight there (Uncertain) overrides one that counts it as its own (Claimed), which
// overrides one that found every lease there expired (LeasesExpired).
var certainty = map[ibiswire.CoverState]int{ibiswire.Uncertain: 0, ibiswire.Claimed: 1, ibiswire.LeasesExpired: 2}

// dropExpired makes servers whose leases were reported as expired count as not covered: a daemon that has not
// answered may be renewing leases there.
func (r searchResult) dropExpired() {
	for name, state := range r.covers {
		if state == ibiswire.LeasesExpired {
			delete(r.covers, name)
		}
	}
}

// allServersCovered reports whether every backend server that may run tasks is covered. VMs that are gone run
// none.
func (h *Holder) allServersCovered(result searchResult) bool {
	vms := h.cfg.VMs()
	if vms == nil {
		return false // the platform's list has not been read yet
	}
	for _, vm := range vms {
		if vm.State == ibisserver.Gone {
			continue
		}
		if s := result.covers[vm.Name]; s != ibiswire.Claimed && s != ibiswire.LeasesExpired {
			return false
		}
	}
	return true
}

// vmGone reports whether the platform lists a VM as permanently gone.
func (h *Holder) vmGone(server string) bool {
	for _, vm := range h.cfg.VMs() {
		if vm.Name == server {
			return vm.State == ibisserver.Gone
		}
	}
	return false
}

// locate searches for the tasks of an attempt whose owner was lost or has not answered.
func (h *Holder) locate(ctx context.Context, e *entry) {
	if h.processEvents(ctx, e) {
		return
	}
	e.mu.Lock()
	req := &ibiswire.LocateRequest{From: h.holderOf(e), ID: e.id, Attempt: e.saved.Attempt, Resolve: e.saved.Places}
	e.mu.Unlock()
	if len(req.Resolve) == 0 && h.askLastOwner(ctx, e, req) {
		return
	}
	result := h.search(ctx, req)
	for _, ev := range result.events {
		e.deliverEvent(ev)
	}
	e.mu.Lock()
	changed, _ := e.evaluateEvents(time.Now())
	if !changed {
		changed = h.resolveAttempt(e, result)
	}
	e.mu.Unlock()
	if !changed {
		pause(ctx, e, jitter(e.nextLocateDelay()))
	}
}

// nextLocateDelay returns the backoff before the next search for e.
func (e *entry) nextLocateDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.searches++
	return min(locateInterval<<min(e.searches, 4), maxLocateInterval)
}

// askLastOwner asks the only owner that was asked for places. If it has started nothing and will start
// nothing, the request is requeued. askLastOwner reports whether the state of e has changed.
func (h *Holder) askLastOwner(ctx context.Context, e *entry, req *ibiswire.LocateRequest) bool {
	e.mu.Lock()
	lastOwner := e.lastOwner
	e.mu.Unlock()
	notStarted := false
	h.callOwners(ctx, []string{lastOwner}, searchTimeout, func(ctx context.Context, addr string) {
		reply, err := ibisrpc.Call[ibiswire.LocateReply](ctx, h.cfg.Pool, addr, ibiswire.MethodLocate, req)
		if err != nil {
			return
		}
		for _, ev := range reply.Events {
			e.deliverEvent(ev)
		}
		notStarted = reply.NotStarted
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	if notStarted && len(e.tasks) == 0 {
		e.requeue()
		return true
	}
	changed, _ := e.evaluateEvents(time.Now())
	return changed
}

// resolveAttempt ends the search once the servers in question are covered: a task that was not found there
// does not run and will not be started. It reports whether the state of e has changed. Callers hold e.mu.
func (h *Holder) resolveAttempt(e *entry, result searchResult) bool {
	if len(e.saved.Places) == 0 {
		if len(e.tasks) > 0 || !h.allServersCovered(result) {
			return h.refuseIfExpired(e)
		}
		e.requeueOrRefuse(false)
		return true
	}
	mayHaveRun := false
	for _, p := range e.saved.Places {
		if _, ok := e.tasks[p.Index]; ok {
			continue
		}
		switch {
		case result.covers[p.Server] == ibiswire.Claimed:
			// The server has no record of the task.
		case result.covers[p.Server] == ibiswire.LeasesExpired || h.vmGone(p.Server):
			mayHaveRun = true
		default:
			return h.refuseIfExpired(e)
		}
	}
	for _, p := range e.saved.Places {
		if _, ok := e.tasks[p.Index]; !ok {
			e.tasks[p.Index] = ibiswire.TaskEvent{
				Task:   ibisserver.TaskID{Request: e.id, Index: p.Index, Attempt: e.saved.Attempt},
				Server: p.Server, State: ibiswire.TaskLost, Ran: mayHaveRun,
			}
		}
	}
	changed, _ := e.evaluateEvents(time.Now())
	return changed
}

// requeueOrRefuse begins the next attempt, unless the current one may have run and the request is not
// idempotent. Callers hold mu.
func (e *entry) requeueOrRefuse(mayHaveRun bool) {
	if mayHaveRun && !e.saved.Request.Idempotent {
		e.finish("Finish", nil, ibiswork.Refuse(ibiswork.CodeOutcomeUnknown, "the request was started on a backend server that was lost; its outcome is unknown").WithMaybeRun(), time.Now())
		return
	}
	e.requeue()
}

// refuseIfExpired refuses an interactive request whose outcome was not determined before its deadline, and
// reports whether it has. Callers hold e.mu.
func (h *Holder) refuseIfExpired(e *entry) bool {
	left, bounded := e.timeLeft(time.Now())
	if !bounded || left > 0 {
		return false
	}
	r := ibiswork.Refuse(ibiswork.CodeOutcomeUnknown, "the deadline passed while the backend server was unreachable; the outcome is unknown").WithMaybeRun().WithRetryAfter(overloadRetryAfter)
	e.finish("Finish", nil, r, time.Now())
	return true
}
