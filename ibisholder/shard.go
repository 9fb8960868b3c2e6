package ibisholder

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// shardState is the state of a shard at this daemon.
type shardState int

const (
	shardNotHeld    shardState = iota // held by another daemon, or by none
	shardRecovering                   // held; journals of previous holders are being imported
	shardServing                      // held; accepts requests
	shardHandingOff                   // held; about to be released
)

// maxEnded is the number of ended requests above which a shard evicts the oldest before Config.DuplicateWindow
// has passed, unless they are durable.
const maxEnded = 20000

// shard is one request shard at this daemon.
type shard struct {
	id int

	mu      sync.Mutex
	state   shardState
	epoch   int64
	resetAt time.Time // when the shard was last reset: acquired, released or lost
	covered bool      // all backend servers have been searched for tasks since the shard was acquired
	entries map[ibiswork.ID]*entry
	ended   []*entry // in the order in which they ended, for eviction
	ctx     context.Context
	cancel  context.CancelFunc
	drivers sync.WaitGroup
}

func newShard(id int) *shard {
	sh := &shard{id: id}
	sh.reset(shardNotHeld, 0)
	return sh
}

// reset clears the entries, sets state and epoch, and replaces the context that ends the drivers. Callers
// hold mu.
func (sh *shard) reset(state shardState, epoch int64) {
	if sh.cancel != nil {
		sh.cancel()
	}
	sh.state, sh.epoch, sh.covered, sh.resetAt = state, epoch, false, time.Now()
	sh.entries, sh.ended = make(map[ibiswork.ID]*entry), nil
	sh.ctx, sh.cancel = context.WithCancel(context.Background())
}

// stopAndReset stops the drivers, waits for them and resets the shard to a new state and epoch.
func (sh *shard) stopAndReset(state shardState, epoch int64) {
	sh.stop()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.reset(state, epoch)
}

// stop stops the drivers and waits for them.
func (sh *shard) stop() {
	sh.mu.Lock()
	sh.cancel()
	sh.mu.Unlock()
	sh.drivers.Wait()
}

// setState changes the state, and returns false if it was not from.
func (sh *shard) setState(from, to shardState) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.state != from {
		return false
	}
	sh.state = to
	return true
}

func (sh *shard) serving() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.state == shardServing
}

func (sh *shard) held() (epoch int64, ok bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.epoch, sh.state != shardNotHeld
}

// acquiredAt returns when a held shard was reset for its present epoch, which is after its row was written.
func (sh *shard) acquiredAt() time.Time {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.resetAt
}

// find returns the entry of a request that was submitted before, or nil if there is none. It refuses a
// submission by another team, and one with other work while the request is in progress.
func (sh *shard) find(r ibiswork.Request) (*entry, error) {
	sh.mu.Lock()
	e := sh.entries[r.ID]
	state := sh.state
	sh.mu.Unlock()
	if state == shardNotHeld || state == shardRecovering {
		return nil, refuseRecovering("this daemon is not a ready holder of shard %d", sh.id)
	}
	if e == nil {
		return nil, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resubmittable.Load() {
		return nil, nil
	}
	if e.saved.Request.Team != r.Team {
		return nil, ibiswork.Refuse(ibiswork.CodeForbidden, "the request ID belongs to another team")
	}
	if !e.requestKnown {
		e.requestKnown = true
		if e.state() != stateEnded {
			e.saved.Request = r
		}
		e.notify()
		return e, nil
	}
	if e.saved.PayloadKept && e.saved.Request.Payload == nil && e.state() != stateEnded {
		e.saved.Request.Payload = r.Payload // of a restored request; the object store has the same payload
	}
	if e.state() != stateEnded && !sameWork(e.saved.Request, r) {
		return nil, ibiswork.Refuse(ibiswork.CodeConflict, "the request ID was submitted before with another class, resources, task count, idempotency or payload")
	}
	return e, nil
}

func sameWork(a, b ibiswork.Request) bool {
	return a.Class == b.Class && a.Resources == b.Resources && a.TaskCount() == b.TaskCount() &&
		a.Idempotent == b.Idempotent && bytes.Equal(a.Payload, b.Payload)
}

// correctNotRun corrects the NotRun promise in the refusal of a request that was not accepted. It adds the
// promise for a fresh request, which has no earlier submission, when the shard has no ready holder. It
// withdraws the promise if an earlier submission may have been run for a previous holder whose memory is lost.
// Refusals of requests that are not idempotent keep it, because the journal has those requests.
func (sh *shard) correctNotRun(err error, req *ibiswire.SubmitRequest) error {
	refusal, ok := errors.AsType[*ibiswork.Refusal](err)
	if ok && req.Fresh && refusal.Code == ibiswork.CodeRecovering {
		corrected := *refusal
		corrected.NotRun = true // it was not accepted here, and not submitted before
		return &corrected
	}
	if !ok || !refusal.NotRun || req.Fresh || !req.Request.Idempotent {
		return err
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.epoch > 1 && req.Request.ID.Time().Before(sh.resetAt.Add(maxClockSkew)) {
		return refusal.WithMaybeRun()
	}
	return err
}

// maxClockSkew is the tolerated difference between the clocks of callers and daemons.
const maxClockSkew = 1 * time.Minute

// add adds an entry for a request that has none; otherwise it returns the existing one with added false.
// Unless the request is fresh, the shard must be covered, so that every task that a previous holder may have
// started is known.
func (sh *shard) add(r ibiswork.Request, fresh bool) (e *entry, added bool, err error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.state != shardServing {
		return nil, false, refuseRecovering("this daemon is not a ready holder of shard %d", sh.id)
	}
	old := sh.entries[r.ID]
	if old != nil && !old.resubmittable.Load() {
		return old, false, nil
	}
	if old == nil && !fresh && !sh.covered {
		return nil, false, refuseRecovering("some backend servers have not been searched yet for earlier runs of the request")
	}
	e = newEntry(sh, r, time.Now())
	if old != nil {
		e.saved.Attempt = old.saved.Attempt + 1 // an owner may still be releasing the previous attempt
	}
	sh.entries[r.ID] = e
	return e, true, nil
}

// adopt returns the entry of a task that was found running or ended, and adds one if there is none. It
// returns nil if the shard is not ready.
func (sh *shard) adopt(ev ibiswire.TaskEvent) *entry {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.state == shardNotHeld || sh.state == shardRecovering {
		return nil
	}
	if e := sh.entries[ev.Task.Request]; e != nil {
		return e
	}
	e := newAdoptedEntry(sh, ev, time.Now())
	sh.entries[e.id] = e
	return e
}

// put adds a restored entry, unless the shard has been reset since the entry was made.
func (sh *shard) put(e *entry) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e.shardCtx == sh.ctx {
		sh.entries[e.id] = e
	}
}

func (sh *shard) remove(e *entry) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.entries[e.id] == e {
		delete(sh.entries, e.id)
	}
}

// get returns the entry with that ID or nil, and whether all journalled requests of the shard are in memory.
func (sh *shard) get(id ibiswork.ID) (e *entry, ready bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.entries[id], sh.state == shardServing || sh.state == shardHandingOff
}

func (sh *shard) all() []*entry {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	list := make([]*entry, 0, len(sh.entries))
	for _, e := range sh.entries {
		list = append(list, e)
	}
	return list
}

// addEnded adds an ended entry to the list for eviction.
func (sh *shard) addEnded(e *entry) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.ended = append(sh.ended, e)
}

// evictEnded drops the entries that ended before the given time, and the oldest ones above maxEnded if they
// are not durable. It returns those that are to be deleted from the journal.
func (sh *shard) evictEnded(before time.Time) []*entry {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var inJournal []*entry
	evicted := 0
	for ; evicted < len(sh.ended); evicted++ {
		e := sh.ended[evicted]
		if !e.endedAt.Before(before) && (len(sh.ended)-evicted <= maxEnded || e.durable) {
			break
		}
		if sh.entries[e.id] == e {
			delete(sh.entries, e.id)
		}
		if e.durable || e.fromJournal {
			inJournal = append(inJournal, e)
		}
	}
	sh.ended = append([]*entry(nil), sh.ended[evicted:]...)
	return inJournal
}
