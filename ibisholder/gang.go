package ibisholder

import (
	"context"
	"maps"
	"slices"
	"time"

	"ibiscrank/ibispeer"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// Times of the gathering of places for a gang at several owners.
const (
	gatherRound = 400 * time.Millisecond
	gatherFor   = 20 * time.Second
	gatherYield = 2 * time.Second
)

// mustGather reports whether a gang fits on no owner alone at this moment.
func (h *Holder) mustGather(r ibiswork.Request) bool {
	if r.TaskCount() < 2 {
		return false
	}
	for _, m := range h.cfg.View().Members {
		l := m.Digest.Load
		if l.Queued == 0 && r.Resources.FitsIn(l.Largest) && r.Total().FitsIn(l.Capacity.Sub(l.Used)) {
			return false
		}
	}
	return true
}

// gathering is the places that a gang has at each owner.
type gathering struct {
	addr map[string]string
	held map[string][]ibiswire.Place
}

func (g *gathering) count() int {
	n := 0
	for _, places := range g.held {
		n += len(places)
	}
	return n
}

// gather reserves the places of a gang at several owners, a few at a time, until it has all of them; then
// it pins them. A gang that cannot have all within gatherFor gives up what it has and waits. Each owner
// lets an older gang take the places of a younger one, so the oldest one always gets on.
func (h *Holder) gather(ctx context.Context, e *entry, req *ibiswire.PlaceRequest) {
	g := &gathering{addr: make(map[string]string), held: make(map[string][]ibiswire.Place)}
	req.Partial, req.WaitMS = true, gatherRound.Milliseconds()
	for begin := time.Now(); time.Since(begin) < gatherFor && ctx.Err() == nil && !e.cancelled(); {
		owners := h.cfg.View().Members
		h.gatherOnce(ctx, e, g, req, h.spreadMissing(req.Request, g, owners), false)
		if g.count() < req.Request.TaskCount() {
			continue
		}
		h.gatherOnce(ctx, e, g, req, nil, true)
		if g.count() == req.Request.TaskCount() {
			e.gathered(g)
			return
		}
	}
	h.release(ctx, e)
	e.mu.Lock()
	e.saved.Attempt++
	e.owners = make(map[int]string)
	e.mu.Unlock()
	if !e.cancelled() {
		pause(ctx, e, jitter(gatherYield))
	}
}

func (e *entry) cancelled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancel
}

// gathered records the places of a whole gang.
func (e *entry) gathered(g *gathering) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.saved.Places = nil
	for id, places := range g.held {
		for _, p := range places {
			e.saved.Places = append(e.saved.Places, p)
			e.owners[p.Index] = id
		}
	}
	e.fire("Reserve")
}

// spreadMissing divides the indexes without a place among the owners that have room, else among all that
// could have it.
func (h *Holder) spreadMissing(r ibiswork.Request, g *gathering, members []ibispeer.Member) map[string][]int {
	placed := make(map[int]bool)
	for _, places := range g.held {
		for _, p := range places {
			placed[p.Index] = true
		}
	}
	room := make(map[string]int)
	var able []string
	for _, m := range members {
		l := m.Digest.Load
		if l.Servers == 0 || m.Digest.State == "Draining" || !r.Resources.FitsIn(l.Biggest) {
			continue
		}
		able = append(able, m.ID())
		g.addr[m.ID()] = m.Digest.Row.Address
		if r.Resources.FitsIn(l.Largest) {
			room[m.ID()] = times(r.Resources, l.Capacity.Sub(l.Used))
		}
	}
	asks := make(map[string][]int)
	next := 0
	for i := range r.TaskCount() {
		if placed[i] || len(able) == 0 {
			continue
		}
		id := able[next%len(able)]
		for range able {
			if room[id] > 0 {
				break
			}
			next++
			id = able[next%len(able)]
		}
		room[id]--
		next++
		asks[id] = append(asks[id], i)
	}
	return asks
}

// times is how often each fits into free.
func times(each, free ibiswork.Resources) int {
	each.Slots = max(each.Slots, 1)
	n := free.Slots / each.Slots
	for _, f := range [...][2]int64{{free.MilliCPU, each.MilliCPU}, {free.MemoryMB, each.MemoryMB}, {free.Accelerators, each.Accelerators}} {
		if f[1] > 0 {
			n = min(n, f[0]/f[1])
		}
	}
	return int(max(n, 0))
}

// gatherOnce asks every owner concerned once, for what it holds already and for asks, and takes what it
// then holds.
func (h *Holder) gatherOnce(ctx context.Context, e *entry, g *gathering, req *ibiswire.PlaceRequest, asks map[string][]int, pin bool) {
	var owners []string
	for id := range g.addr {
		if len(asks[id]) > 0 || len(g.held[id]) > 0 {
			owners = append(owners, id)
		}
	}
	e.mu.Lock()
	for i, id := range owners {
		e.owners[-1-i] = id // so that a release reaches every owner that was asked
	}
	e.mu.Unlock()
	replies := make(map[string][]ibiswire.Place)
	byAddr := make(map[string]string, len(owners))
	for _, id := range owners {
		byAddr[g.addr[id]] = id
	}
	h.each(ctx, owners, gatherRound+callMargin, func(ctx context.Context, addr string) {
		id := byAddr[addr]
		one := *req
		one.Pin = pin
		one.Indexes = append([]int(nil), asks[id]...)
		for _, p := range g.held[id] {
			one.Indexes = append(one.Indexes, p.Index)
		}
		reply, err := ibisrpc.Call[ibiswire.PlaceReply](ctx, h.cfg.Pool, addr, ibiswire.MethodPlace, &one)
		if err != nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		replies[id] = reply.Places
	})
	g.held = distinct(replies)
}

// distinct leaves each index to one owner only. Another that has a place for it too, because a reply of it
// was lost before, gives that up when it is asked the next time.
func distinct(held map[string][]ibiswire.Place) map[string][]ibiswire.Place {
	seen := make(map[int]bool)
	once := make(map[string][]ibiswire.Place, len(held))
	for _, id := range slices.Sorted(maps.Keys(held)) {
		for _, p := range held[id] {
			if !seen[p.Index] {
				seen[p.Index] = true
				once[id] = append(once[id], p)
			}
		}
	}
	return once
}
