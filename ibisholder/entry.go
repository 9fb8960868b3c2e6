package ibisholder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibischart"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// States of the task chart that the code names.
const (
	stateAccepted = "Accepted"
	stateQueued   = "Queued"
	stateReserved = "Reserved"
	stateStarting = "Starting"
	stateRunning  = "Running"
	stateLocating = "Locating"
	stateEnded    = "Ended"
)

// saved is what the journal keeps of an entry. A saved entry with a higher Epoch, then a higher Rev,
// replaces one with a lower.
type saved struct {
	Epoch       int64             `json:"Epoch"`
	Rev         int64             `json:"Rev"`
	Request     ibiswork.Request  `json:"Request"`
	AcceptedMS  int64             `json:"AcceptedMS"` // Unix milliseconds
	Attempt     int               `json:"Attempt"`
	Failures    int               `json:"Failures,omitempty"`
	Ran         bool              `json:"Ran,omitempty"`    // an earlier attempt may have run
	Places      []ibiswire.Place  `json:"Places,omitempty"` // of Attempt, once it may have been started
	Cancelled   bool              `json:"Cancelled,omitempty"`
	Checkpoint  []byte            `json:"Checkpoint,omitempty"`
	WaitMS      int64             `json:"WaitMS,omitempty"`
	Answer      *ibiswork.Answer  `json:"Answer,omitempty"`
	Refusal     *ibiswork.Refusal `json:"Refusal,omitempty"`
	EndedMS     int64             `json:"EndedMS,omitempty"`     // Unix milliseconds
	PayloadKept bool              `json:"PayloadKept,omitempty"` // in the object store
	ResultKept  bool              `json:"ResultKept,omitempty"`  // in the object store
}

func (s saved) newer(o saved) bool {
	return s.Epoch > o.Epoch || (s.Epoch == o.Epoch && s.Rev > o.Rev)
}

func (s saved) encode() ([]byte, error) {
	b, err := cbor.Marshal(s)
	return b, Error.Wrap(err)
}

// entry is one request at the holder of its shard. mu guards all fields below it; one goroutine, the
// driver, moves the state.
type entry struct {
	id    ibiswork.ID
	shard *shard
	life  context.Context // ends with the life of the shard to which the entry belongs

	mu         sync.Mutex
	saved      saved
	known      bool // the request itself is known, not only one of its tasks
	machine    ibischart.Machine
	owner      string         // incarnation that was asked last
	owners     map[int]string // incarnations of the owners of the present attempt's tasks, by index
	tasks      map[int]ibiswire.TaskEvent
	signal     chan struct{} // has room for one; tells the driver to look again
	accept     chan struct{} // closed when the request has been accepted for good, or refused
	done       chan struct{} // closed when the request has ended
	durable    bool
	kept       bool // the end is in the journal, or need not be
	cancel     bool
	accepted   time.Time
	endedAt    time.Time
	avoid      []string
	searches   int  // since the attempt was lost
	retryDue   bool // its task has failed; the next try waits
	waiting    bool
	journalled bool // an earlier holder handed it on through its journal
	driven     bool
	counted    atomic.Bool // in the number of requests in progress
	stopSent   bool        // the rest of a failed gang is being stopped
	again      atomic.Bool // refused before anything was recorded or started; another submission begins anew
}

// newEntry makes an entry of the present life of sh. Callers hold the lock of sh.
func newEntry(sh *shard, r ibiswork.Request, now time.Time) *entry {
	return &entry{
		id: r.ID, shard: sh, life: sh.ctx, known: true, accepted: now, durable: r.Durable(),
		saved:   saved{Epoch: sh.epoch, Request: r, AcceptedMS: now.UnixMilli(), Attempt: 1},
		machine: ibischart.New(ibischart.Task), tasks: make(map[int]ibiswire.TaskEvent), owners: make(map[int]string),
		signal: make(chan struct{}, 1), accept: make(chan struct{}), done: make(chan struct{}),
	}
}

// restored makes an entry of what a journal held.
func restored(sh *shard, s saved, now time.Time) *entry {
	e := newEntry(sh, s.Request, time.UnixMilli(s.AcceptedMS))
	e.saved = s
	e.journalled = true
	e.saved.Epoch = sh.epoch
	e.cancel = s.Cancelled
	e.fire("Commit")
	switch {
	case s.Answer != nil || s.Refusal != nil:
		e.kept, e.endedAt = true, time.UnixMilli(s.EndedMS)
		e.fire("Refuse")
		close(e.done)
	case len(s.Places) > 0:
		e.fire("Reserve")
		e.fire("Intend")
		e.fire("Lose")
	}
	return e
}

// adopted makes an entry of a task that was found without its request.
func adopted(sh *shard, ev ibiswire.TaskEvent, now time.Time) *entry {
	e := newEntry(sh, ibiswork.Request{
		ID: ev.Task.Request, Team: ev.Meta.Team, Class: ev.Meta.Class, Idempotent: ev.Meta.Idempotent, Tasks: ev.Meta.Tasks,
	}, now)
	e.known = false
	e.saved.Attempt = ev.Task.Attempt
	e.owners[ev.Task.Index] = ev.Owner
	e.fire("Commit")
	e.fire("Dispatch")
	return e
}

// fire applies an event to the state chart; callers hold mu or own e alone.
func (e *entry) fire(event string) bool {
	if err := e.machine.Fire(event); err != nil {
		log.WithFields(log.Fields{"request": e.id, "error": err}).Error("TaskEventNotAllowed")
		return false
	}
	if event == "Commit" {
		close(e.accept)
	}
	return true
}

func (e *entry) state() string { return e.machine.State() }

// poke tells the driver to look again.
func (e *entry) poke() {
	select {
	case e.signal <- struct{}{}:
	default:
	}
}

// deliver takes in an owner's event and says whether the owner may forget the task.
func (e *entry) deliver(ev ibiswire.TaskEvent) ibiswire.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended := ev.State.Ended()
	if ev.Task.Attempt < e.saved.Attempt || e.state() == stateEnded {
		switch {
		case !ended:
			return ibiswire.Orphan
		case e.state() == stateEnded && !e.kept:
			return ibiswire.NotHolder
		}
		return ibiswire.Taken
	}
	if last := e.owners[ev.Task.Index]; ev.State == ibiswire.TaskLost && last != "" && last != ev.Owner {
		// A former owner knows nothing of the leases that the present one gives.
		e.owners[ev.Task.Index] = ""
		e.saved.Ran = e.saved.Ran || ev.Ran
		e.poke()
		return ibiswire.Taken
	}
	e.owners[ev.Task.Index] = ev.Owner
	if old, ok := e.tasks[ev.Task.Index]; !ok || !old.State.Ended() {
		e.tasks[ev.Task.Index] = ev
	}
	e.poke()
	if ended && e.durable {
		return ibiswire.NotHolder // taken once the outcome is in the journal
	}
	return ibiswire.Taken
}

// status is what a caller is told now.
func (e *entry) status() (ibiswork.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := ibiswork.Status{ID: e.id, Stage: ibiswork.Queued}
	switch e.state() {
	case stateRunning, stateLocating, stateStarting:
		st.Stage = ibiswork.Running
	case stateEnded:
		if e.saved.Refusal != nil {
			return st, e.saved.Refusal
		}
		st.Stage, st.Answer = ibiswork.Ended, e.saved.Answer
	}
	return st, nil
}

// finish ends the entry with an answer or a refusal. Callers hold mu.
func (e *entry) finish(event string, a *ibiswork.Answer, r *ibiswork.Refusal, now time.Time) {
	accepted := e.state() != stateAccepted
	if e.state() == stateEnded || !e.fire(event) {
		return
	}
	if !accepted {
		close(e.accept)
	}
	e.saved.Answer, e.saved.Refusal = a, r
	e.saved.EndedMS = now.UnixMilli()
	e.endedAt = now
	e.saved.Request.Payload = nil
	e.saved.Checkpoint = nil
	e.kept = !e.durable
	close(e.done)
}
