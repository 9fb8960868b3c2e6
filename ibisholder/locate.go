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

// Times of the search for tasks.
const (
	locateInterval = 300 * time.Millisecond
	locateMax      = 3 * time.Second
	maxSearches    = 16 // at a time
	locateTimeout  = 4 * time.Second
)

// found is what a search of all owners has brought.
type found struct {
	events []ibiswire.TaskEvent
	covers map[string]ibiswire.CoverState
}

// search asks every daemon at once what it knows of a request, or of the whole shard. Few searches go on
// at a time, so that a loss of many tasks at once does not drown the daemons in them.
func (h *Holder) search(ctx context.Context, req *ibiswire.LocateRequest) found {
	select {
	case h.searching <- struct{}{}:
		defer func() { <-h.searching }()
	case <-ctx.Done():
		return found{}
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	f := found{covers: make(map[string]ibiswire.CoverState)}
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
			f.events = append(f.events, reply.Events...)
			answers++
			for _, c := range reply.Covers {
				if certainty[c.State] < certainty[f.covers[c.Server]] || f.covers[c.Server] == "" {
					f.covers[c.Server] = c.State
				}
			}
		}()
	}
	wg.Wait()
	if answers < len(members) {
		f.dropLapsed()
	}
	return f
}

// certainty orders what several owners say of one server: the least certain counts. One that has a start
// under way there knows more than one that believes to own it, and that one more than one that gave it up.
var certainty = map[ibiswire.CoverState]int{ibiswire.Silent: 0, ibiswire.Claimed: 1, ibiswire.Lapsed: 2}

// dropLapsed takes lapsed servers for not covered: a daemon that has not answered may renew leases there.
func (f found) dropLapsed() {
	for name, state := range f.covers {
		if state == ibiswire.Lapsed {
			delete(f.covers, name)
		}
	}
}

// complete reports whether every backend server that may run tasks has been covered.
func (h *Holder) complete(f found) bool {
	vms := h.cfg.VMs()
	if vms == nil {
		return false // the platform's list has not been read yet
	}
	for _, vm := range vms {
		if vm.State == ibisserver.Gone {
			continue
		}
		if s := f.covers[vm.Name]; s != ibiswire.Claimed && s != ibiswire.Lapsed {
			return false
		}
	}
	return true
}

// gone reports whether the platform lists a VM as gone for good.
func (h *Holder) gone(server string) bool {
	for _, vm := range h.cfg.VMs() {
		if vm.Name == server {
			return vm.State == ibisserver.Gone
		}
	}
	return false
}

// locate finds out what became of an attempt whose owner was lost or has not answered.
func (h *Holder) locate(ctx context.Context, e *entry) {
	if h.takeEvents(ctx, e) {
		return
	}
	e.mu.Lock()
	req := &ibiswire.LocateRequest{From: h.from(e), ID: e.id, Attempt: e.saved.Attempt, Settle: e.saved.Places}
	e.mu.Unlock()
	if len(req.Settle) == 0 && h.askOwner(ctx, e, req) {
		return
	}
	f := h.search(ctx, req)
	for _, ev := range f.events {
		e.deliver(ev)
	}
	e.mu.Lock()
	changed, _ := e.digest(time.Now())
	if !changed {
		changed = h.resolve(e, f)
	}
	e.mu.Unlock()
	if !changed {
		pause(ctx, e, jitter(e.nextLocate()))
	}
}

// nextLocate is the growing pause before the next search for e.
func (e *entry) nextLocate() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.searches++
	return min(locateInterval<<min(e.searches, 4), locateMax)
}

// askOwner asks the only owner that was asked for places. When it has started nothing, the attempt is
// over; it reports whether that was found out.
func (h *Holder) askOwner(ctx context.Context, e *entry, req *ibiswire.LocateRequest) bool {
	e.mu.Lock()
	owner := e.owner
	e.mu.Unlock()
	clean := false
	h.each(ctx, []string{owner}, locateTimeout, func(ctx context.Context, addr string) {
		reply, err := ibisrpc.Call[ibiswire.LocateReply](ctx, h.cfg.Pool, addr, ibiswire.MethodLocate, req)
		if err != nil {
			return
		}
		for _, ev := range reply.Events {
			e.deliver(ev)
		}
		clean = reply.Clean
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	if clean && len(e.tasks) == 0 {
		e.requeue()
		return true
	}
	changed, _ := e.digest(time.Now())
	return changed
}

// resolve ends the search when the servers in question have been covered: a task that was not found there
// does not run and never will.
func (h *Holder) resolve(e *entry, f found) bool {
	if len(e.saved.Places) == 0 {
		if len(e.tasks) > 0 || !h.complete(f) {
			return h.tooLate(e)
		}
		e.requeueOrRefuse(false)
		return true
	}
	lost := false
	for _, p := range e.saved.Places {
		if _, ok := e.tasks[p.Index]; ok {
			continue
		}
		switch {
		case f.covers[p.Server] == ibiswire.Claimed:
			// Its server has no record of it.
		case f.covers[p.Server] == ibiswire.Lapsed || h.gone(p.Server):
			lost = true
		default:
			return h.tooLate(e)
		}
	}
	for _, p := range e.saved.Places {
		if _, ok := e.tasks[p.Index]; !ok {
			e.tasks[p.Index] = ibiswire.TaskEvent{
				Task:   ibisserver.TaskID{Request: e.id, Index: p.Index, Attempt: e.saved.Attempt},
				Server: p.Server, State: ibiswire.TaskLost, Ran: lost,
			}
		}
	}
	changed, _ := e.digest(time.Now())
	return changed
}

// requeueOrRefuse begins the next attempt. ran says that the present one may have run.
func (e *entry) requeueOrRefuse(ran bool) {
	if ran && !e.saved.Request.Idempotent {
		e.finish("Finish", nil, ibiswork.Refuse(ibiswork.CodeOutcomeUnknown, "the request was started on a backend server that was lost").WithMaybeRun(), time.Now())
		return
	}
	e.requeue()
}

// tooLate ends an interactive request whose outcome could not be found out before its deadline.
func (h *Holder) tooLate(e *entry) bool {
	left, bounded := e.timeLeft(time.Now())
	if !bounded || left > 0 {
		return false
	}
	r := ibiswork.Refuse(ibiswork.CodeOutcomeUnknown, "the backend server is out of reach").WithMaybeRun().WithRetryAfter(overloadRetry)
	e.finish("Finish", nil, r, time.Now())
	return true
}
