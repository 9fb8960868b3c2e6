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

// shardState is what this daemon does with a shard.
type shardState int

const (
	absent  shardState = iota // held elsewhere, or by nobody
	reading                   // held; its journals are being read
	serving                   // held; takes requests
	handing                   // held; being given up
)

// maxEnded bounds the ended requests that a shard remembers beside those that the journal keeps.
const maxEnded = 20000

// shard is one request shard at this daemon.
type shard struct {
	id int

	mu      sync.Mutex
	state   shardState
	epoch   int64
	since   time.Time // when this life began
	covered bool      // every backend server has been asked since the shard was taken
	entries map[ibiswork.ID]*entry
	ended   []*entry // in order of their ends, for forgetting
	ctx     context.Context
	cancel  context.CancelFunc
	drivers sync.WaitGroup
}

func newShard(id int) *shard {
	sh := &shard{id: id}
	sh.reset(absent, 0)
	return sh
}

// reset begins a new life of the shard with no entries.
func (sh *shard) reset(state shardState, epoch int64) {
	if sh.cancel != nil {
		sh.cancel()
	}
	sh.state, sh.epoch, sh.covered, sh.since = state, epoch, false, time.Now()
	sh.entries, sh.ended = make(map[ibiswork.ID]*entry), nil
	sh.ctx, sh.cancel = context.WithCancel(context.Background())
}

// become begins a new life under mu, after the drivers of the old one have ended.
func (sh *shard) become(state shardState, epoch int64) {
	sh.stop()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.reset(state, epoch)
}

// stop ends the drivers and waits for them.
func (sh *shard) stop() {
	sh.mu.Lock()
	sh.cancel()
	sh.mu.Unlock()
	sh.drivers.Wait()
}

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
	return sh.state == serving
}

func (sh *shard) held() (epoch int64, ok bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.epoch, sh.state != absent
}

// heldSince is when this life of the shard began, after its row was taken.
func (sh *shard) heldSince() time.Time {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.since
}

// find returns the entry of a request that has been submitted before.
func (sh *shard) find(r ibiswork.Request) (*entry, error) {
	sh.mu.Lock()
	e := sh.entries[r.ID]
	state := sh.state
	sh.mu.Unlock()
	if state == absent || state == reading {
		return nil, recovering("the shard has no ready holder here")
	}
	if e == nil {
		return nil, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.again.Load() {
		return nil, nil
	}
	if e.saved.Request.Team != r.Team {
		return nil, ibiswork.Refuse(ibiswork.CodeForbidden, "the ID belongs to another team")
	}
	if !e.known {
		e.known = true
		if e.state() != stateEnded {
			e.saved.Request = r
		}
		e.poke()
		return e, nil
	}
	if e.saved.PayloadKept && e.saved.Request.Payload == nil && e.state() != stateEnded {
		e.saved.Request.Payload = r.Payload // restored; the object store has the same
	}
	if e.state() != stateEnded && !sameWork(e.saved.Request, r) {
		return nil, ibiswork.Refuse(ibiswork.CodeConflict, "the ID was submitted before with other work")
	}
	return e, nil
}

func sameWork(a, b ibiswork.Request) bool {
	return a.Class == b.Class && a.Resources == b.Resources && a.TaskCount() == b.TaskCount() &&
		a.Idempotent == b.Idempotent && bytes.Equal(a.Payload, b.Payload)
}

// honest makes a refusal of a request that was not taken in say the truth. It takes back the promise that
// the request was not run, where an earlier submission of it may have been run for a holder whose memory
// is lost. Work that is not idempotent is known from the journal.
func (sh *shard) honest(err error, req *ibiswire.SubmitRequest) error {
	refusal, ok := errors.AsType[*ibiswork.Refusal](err)
	if ok && req.Fresh && refusal.Code == ibiswork.CodeRecovering {
		fixed := *refusal
		fixed.NotRun = true // it was not taken in here, and nowhere before
		return &fixed
	}
	if !ok || !refusal.NotRun || req.Fresh || !req.Request.Idempotent {
		return err
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.epoch > 1 && req.Request.ID.Time().Before(sh.since.Add(clockSkew)) {
		return refusal.WithMaybeRun()
	}
	return err
}

// clockSkew is how far the clocks of callers and daemons may differ.
const clockSkew = 1 * time.Minute

// add makes an entry for a request that is not known. Unless the request is fresh, the shard must know of
// every task that an earlier holder may have started.
func (sh *shard) add(r ibiswork.Request, fresh bool) (e *entry, added bool, err error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.state != serving {
		return nil, false, recovering("the shard has no ready holder here")
	}
	old := sh.entries[r.ID]
	if old != nil && !old.again.Load() {
		return old, false, nil
	}
	if old == nil && !fresh && !sh.covered {
		return nil, false, recovering("some backend servers have not been asked yet for earlier runs")
	}
	e = newEntry(sh, r, time.Now())
	if old != nil {
		e.saved.Attempt = old.saved.Attempt + 1 // an owner may still release the attempt before
	}
	sh.entries[r.ID] = e
	return e, true, nil
}

// adopt makes an entry for a task that was found running or ended.
func (sh *shard) adopt(ev ibiswire.TaskEvent) *entry {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.state == absent || sh.state == reading {
		return nil
	}
	if e := sh.entries[ev.Task.Request]; e != nil {
		return e
	}
	e := adopted(sh, ev, time.Now())
	sh.entries[e.id] = e
	return e
}

// put adds a restored entry, unless the life for which it was restored has ended.
func (sh *shard) put(e *entry) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e.life == sh.ctx {
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

// get returns the entry with that ID, and whether the shard knows all of its requests.
func (sh *shard) get(id ibiswork.ID) (e *entry, ready bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.entries[id], sh.state == serving || sh.state == handing
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

// retire remembers an ended entry until its time has passed.
func (sh *shard) retire(e *entry) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.ended = append(sh.ended, e)
}

// forget drops the ended entries that are older than the window, and the oldest above the bound. It
// returns those that the journal has to forget too.
func (sh *shard) forget(before time.Time) []*entry {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var journalled []*entry
	n := 0
	for ; n < len(sh.ended); n++ {
		e := sh.ended[n]
		if !e.endedAt.Before(before) && (len(sh.ended)-n <= maxEnded || e.durable) {
			break
		}
		if sh.entries[e.id] == e {
			delete(sh.entries, e.id)
		}
		if e.durable || e.journalled {
			journalled = append(journalled, e)
		}
	}
	sh.ended = append([]*entry(nil), sh.ended[n:]...)
	return journalled
}
