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

// Timeouts of the reservation of a gang's places at several owners.
const (
	gatherRoundWait = 400 * time.Millisecond // in the owners' queues, for each round of calls
	gatherTimeout   = 20 * time.Second       // for all places of the gang
	gatherBackoff   = 2 * time.Second        // after a timeout
)

// needsGather reports whether r is a gang that no single owner has room for at this moment.
func (h *Holder) needsGather(r ibiswork.Request) bool {
	if r.TaskCount() < 2 {
		return false
	}
	for _, m := range h.cfg.View().Members {
		l := m.Digest.Load
		if l.Queued == 0 && r.Resources.FitsIn(l.LargestFree) && r.Total().FitsIn(l.Capacity.Sub(l.Used)) {
			return false
		}
	}
	return true
}

// gathering holds the places that are reserved for a gang, by the incarnation of their owner.
type gathering struct {
	addrs  map[string]string // of every owner that may be asked
	places map[string][]ibiswire.Place
}

func (g *gathering) count() int {
	n := 0
	for _, places := range g.places {
		n += len(places)
	}
	return n
}

// gather reserves the places of a gang at several owners, in rounds, until it has all of them; then it pins
// them. A gang that does not get all of them within gatherTimeout releases what it has and backs off. Owners
// give the unpinned places of a younger gang to an older one, so the oldest gang always makes progress.
func (h *Holder) gather(ctx context.Context, e *entry, req *ibiswire.PlaceRequest) {
	g := &gathering{addrs: make(map[string]string), places: make(map[string][]ibiswire.Place)}
	req.Partial, req.WaitMS = true, gatherRoundWait.Milliseconds()
	for start := time.Now(); time.Since(start) < gatherTimeout && ctx.Err() == nil && !e.isCancelRequested(); {
		members := h.cfg.View().Members
		h.gatherRound(ctx, e, g, req, h.assignMissing(req.Request, g, members), false)
		if g.count() < req.Request.TaskCount() {
			continue
		}
		h.gatherRound(ctx, e, g, req, nil, true)
		if g.count() == req.Request.TaskCount() {
			e.setGatheredPlaces(g)
			return
		}
	}
	h.releasePlaces(ctx, e)
	e.mu.Lock()
	e.saved.Attempt++
	e.owners = make(map[int]string)
	e.mu.Unlock()
	if !e.isCancelRequested() {
		pause(ctx, e, jitter(gatherBackoff))
	}
}

func (e *entry) isCancelRequested() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelRequested
}

// setGatheredPlaces records the places of a whole gang.
func (e *entry) setGatheredPlaces(g *gathering) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.saved.Places = nil
	for id, places := range g.places {
		for _, p := range places {
			e.saved.Places = append(e.saved.Places, p)
			e.owners[p.Index] = id
		}
	}
	e.fire("Reserve")
}

// assignMissing distributes the task indexes that have no place over the owners with free capacity. Indexes
// beyond that go to any owner with a backend server large enough for a task.
func (h *Holder) assignMissing(r ibiswork.Request, g *gathering, members []ibispeer.Member) map[string][]int {
	placed := make(map[int]bool)
	for _, places := range g.places {
		for _, p := range places {
			placed[p.Index] = true
		}
	}
	freePlaces := make(map[string]int)
	var capable []string
	for _, m := range members {
		l := m.Digest.Load
		if l.Servers == 0 || m.Digest.State == "Draining" || !r.Resources.FitsIn(l.LargestCapacity) {
			continue
		}
		capable = append(capable, m.ID())
		g.addrs[m.ID()] = m.Digest.Row.Address
		if r.Resources.FitsIn(l.LargestFree) {
			freePlaces[m.ID()] = fitCount(r.Resources, l.Capacity.Sub(l.Used))
		}
	}
	indexes := make(map[string][]int)
	next := 0
	for i := range r.TaskCount() {
		if placed[i] || len(capable) == 0 {
			continue
		}
		id := capable[next%len(capable)]
		for range capable {
			if freePlaces[id] > 0 {
				break
			}
			next++
			id = capable[next%len(capable)]
		}
		freePlaces[id]--
		next++
		indexes[id] = append(indexes[id], i)
	}
	return indexes
}

// fitCount returns how many tasks of the given size fit into free.
func fitCount(size, free ibiswork.Resources) int {
	size.Slots = max(size.Slots, 1)
	n := free.Slots / size.Slots
	for _, dim := range [...][2]int64{{free.MilliCPU, size.MilliCPU}, {free.MemoryMB, size.MemoryMB}, {free.Accelerators, size.Accelerators}} {
		if dim[1] > 0 {
			n = min(n, dim[0]/dim[1])
		}
	}
	return int(max(n, 0))
}

// gatherRound calls each owner that has reserved places or is to reserve newIndexes, for both together, and
// records the places that are reserved after the calls. With pin the owners no longer give these places to
// older gangs.
func (h *Holder) gatherRound(ctx context.Context, e *entry, g *gathering, req *ibiswire.PlaceRequest, newIndexes map[string][]int, pin bool) {
	var owners []string
	for id := range g.addrs {
		if len(newIndexes[id]) > 0 || len(g.places[id]) > 0 {
			owners = append(owners, id)
		}
	}
	e.mu.Lock()
	for i, id := range owners {
		e.owners[-1-i] = id // negative index: makes releasePlaces reach every owner that was asked
	}
	e.mu.Unlock()
	replies := make(map[string][]ibiswire.Place)
	byAddr := make(map[string]string, len(owners))
	for _, id := range owners {
		byAddr[g.addrs[id]] = id
	}
	h.callOwners(ctx, owners, gatherRoundWait+callMargin, func(ctx context.Context, addr string) {
		id := byAddr[addr]
		ownerReq := *req
		ownerReq.Pin = pin
		ownerReq.Indexes = append([]int(nil), newIndexes[id]...)
		for _, p := range g.places[id] {
			ownerReq.Indexes = append(ownerReq.Indexes, p.Index)
		}
		reply, err := ibisrpc.Call[ibiswire.PlaceReply](ctx, h.cfg.Pool, addr, ibiswire.MethodPlace, &ownerReq)
		if err != nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		replies[id] = reply.Places
	})
	g.places = dedupeIndexes(replies)
}

// dedupeIndexes keeps only one owner's place for each index. Two owners have places for the same index if a
// reply was lost; the other owner releases its place when it is asked the next time.
func dedupeIndexes(places map[string][]ibiswire.Place) map[string][]ibiswire.Place {
	seen := make(map[int]bool)
	unique := make(map[string][]ibiswire.Place, len(places))
	for _, id := range slices.Sorted(maps.Keys(places)) {
		for _, p := range places[id] {
			if !seen[p.Index] {
				seen[p.Index] = true
				unique[id] = append(unique[id], p)
			}
		}
	}
	return unique
}
