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

// States of the task state chart.
const (
	stateAccepted = "Accepted"
	stateQueued   = "Queued"
	stateReserved = "Reserved"
	stateStarting = "Starting"
	stateRunning  = "Running"
	stateLocating = "Locating"
	stateEnded    = "Ended"
)

// savedEntry is the journalled part of an entry. If journals hold several for one request, the one with the
// highest Epoch, then the highest Rev, is valid.
type savedEntry struct {
	Epoch       int64             `json:"Epoch"`
	Rev         int64             `json:"Rev"`
	Request     ibiswork.Request  `json:"Request"`
	AcceptedMS  int64             `json:"AcceptedMS"` // Unix milliseconds
	Attempt     int               `json:"Attempt"`
	Failures    int               `json:"Failures,omitempty"`
	Ran         bool              `json:"Ran,omitempty"`    // an earlier attempt may have run
	Places      []ibiswire.Place  `json:"Places,omitempty"` // of Attempt, once its tasks may have been started
	Cancelled   bool              `json:"Cancelled,omitempty"`
	Checkpoint  []byte            `json:"Checkpoint,omitempty"`
	WaitMS      int64             `json:"WaitMS,omitempty"` // from acceptance to the first start
	Answer      *ibiswork.Answer  `json:"Answer,omitempty"`
	Refusal     *ibiswork.Refusal `json:"Refusal,omitempty"`
	EndedMS     int64             `json:"EndedMS,omitempty"`     // Unix milliseconds
	PayloadKept bool              `json:"PayloadKept,omitempty"` // in the object store
	ResultKept  bool              `json:"ResultKept,omitempty"`  // in the object store
}

func (s savedEntry) newerThan(o savedEntry) bool {
	return s.Epoch > o.Epoch || (s.Epoch == o.Epoch && s.Rev > o.Rev)
}

func (s savedEntry) encode() ([]byte, error) {
	b, err := cbor.Marshal(s)
	return b, Error.Wrap(err)
}

// entry is one request at the holder of its shard. mu guards all fields below it. One goroutine, the driver,
// acts on the state of the chart.
type entry struct {
	id       ibiswork.ID
	shard    *shard
	shardCtx context.Context // ends when the shard is released or lost

	mu                sync.Mutex
	saved             savedEntry
	requestKnown      bool // false while only a task of the request has been found
	chart             ibischart.Machine
	lastOwner         string                     // incarnation that was last asked for places
	owners            map[int]string             // incarnations that own the current attempt's tasks, by index
	tasks             map[int]ibiswire.TaskEvent // events of the current attempt, by task index
	signal            chan struct{}              // buffers one notification for the driver
	acceptanceDecided chan struct{}              // closed when the request is accepted (journalled, if durable) or refused
	done              chan struct{}              // closed when the request has ended
	durable           bool                       // changes are journalled, see ibiswork.Request.Durable
	outcomeSaved      bool                       // the outcome is in the journal, or need not be
	cancelRequested   bool
	acceptedAt        time.Time
	endedAt           time.Time
	avoid             []string // backend servers where the request failed
	searches          int      // number of searches since the attempt was lost
	needsBackoff      bool     // its task has failed; the next attempt waits
	countedWaiting    bool     // in Holder.startTracker; not guarded by mu, used only by the driver
	fromJournal       bool     // read from the journal of a previous holder
	hasDriver         bool
	countedInProgress atomic.Bool // in Holder.inProgress
	gangStopSent      bool        // the remaining tasks of a failed gang are being stopped
	resubmittable     atomic.Bool // refused before it was journalled or started; another submission replaces it
}

// newEntry returns an entry for a request that is not yet accepted. Callers hold sh.mu.
func newEntry(sh *shard, r ibiswork.Request, now time.Time) *entry {
	return &entry{
		id: r.ID, shard: sh, shardCtx: sh.ctx, requestKnown: true, acceptedAt: now, durable: r.Durable(),
		saved: savedEntry{Epoch: sh.epoch, Request: r, AcceptedMS: now.UnixMilli(), Attempt: 1},
		chart: ibischart.New(ibischart.Task), tasks: make(map[int]ibiswire.TaskEvent), owners: make(map[int]string),
		signal: make(chan struct{}, 1), acceptanceDecided: make(chan struct{}), done: make(chan struct{}),
	}
}

// newRestoredEntry returns an entry for a request that was read from a journal. An attempt that may have been
// started is in state Locating. Callers hold sh.mu.
func newRestoredEntry(sh *shard, s savedEntry, now time.Time) *entry {
	e := newEntry(sh, s.Request, time.UnixMilli(s.AcceptedMS))
	e.saved = s
	e.fromJournal = true
	e.saved.Epoch = sh.epoch
	e.cancelRequested = s.Cancelled
	e.fire("Commit")
	switch {
	case s.Answer != nil || s.Refusal != nil:
		e.outcomeSaved, e.endedAt = true, time.UnixMilli(s.EndedMS)
		e.fire("Refuse")
		close(e.done)
	case len(s.Places) > 0:
		e.fire("Reserve")
		e.fire("Intend")
		e.fire("Lose")
	}
	return e
}

// newAdoptedEntry returns an entry for a task that was found without its request. Callers hold sh.mu.
func newAdoptedEntry(sh *shard, ev ibiswire.TaskEvent, now time.Time) *entry {
	e := newEntry(sh, ibiswork.Request{
		ID: ev.Task.Request, Team: ev.Meta.Team, Class: ev.Meta.Class, Idempotent: ev.Meta.Idempotent, Tasks: ev.Meta.Tasks,
	}, now)
	e.requestKnown = false
	e.saved.Attempt = ev.Task.Attempt
	e.owners[ev.Task.Index] = ev.Owner
	e.fire("Commit")
	e.fire("Dispatch")
	return e
}

// fire applies an event to the state chart, and returns false if the state does not allow it. Callers hold mu,
// or have the only reference to e.
func (e *entry) fire(event string) bool {
	if err := e.chart.Fire(event); err != nil {
		log.WithFields(log.Fields{"request": e.id, "error": err}).Error("TaskEventNotAllowed")
		return false
	}
	if event == "Commit" {
		close(e.acceptanceDecided)
	}
	return true
}

func (e *entry) state() string { return e.chart.State() }

// notify wakes the driver.
func (e *entry) notify() {
	select {
	case e.signal <- struct{}{}:
	default:
	}
}

// deliverEvent records an owner's event. The verdict says whether the owner may forget the task.
func (e *entry) deliverEvent(ev ibiswire.TaskEvent) ibiswire.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended := ev.State.Ended()
	if ev.Task.Attempt < e.saved.Attempt || e.state() == stateEnded {
		switch {
		case !ended:
			return ibiswire.Orphan
		case e.state() == stateEnded && !e.outcomeSaved:
			return ibiswire.NotHolder
		}
		return ibiswire.Recorded
	}
	if knownOwner := e.owners[ev.Task.Index]; ev.State == ibiswire.TaskLost && knownOwner != "" && knownOwner != ev.Owner {
		// A stale owner does not know of the leases that the current owner has granted.
		e.owners[ev.Task.Index] = ""
		e.saved.Ran = e.saved.Ran || ev.Ran
		e.notify()
		return ibiswire.Recorded
	}
	e.owners[ev.Task.Index] = ev.Owner
	if prev, ok := e.tasks[ev.Task.Index]; !ok || !prev.State.Ended() {
		e.tasks[ev.Task.Index] = ev
	}
	e.notify()
	if ended && e.durable {
		return ibiswire.NotHolder // the owner repeats the event until the outcome is in the journal
	}
	return ibiswire.Recorded
}

// status returns the current status for a caller, or the refusal if the request was refused.
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

// finish ends the request with an answer or a refusal, unless it has ended already. Callers hold mu.
func (e *entry) finish(event string, a *ibiswork.Answer, r *ibiswork.Refusal, now time.Time) {
	accepted := e.state() != stateAccepted
	if e.state() == stateEnded || !e.fire(event) {
		return
	}
	if !accepted {
		close(e.acceptanceDecided)
	}
	e.saved.Answer, e.saved.Refusal = a, r
	e.saved.EndedMS = now.UnixMilli()
	e.endedAt = now
	e.saved.Request.Payload = nil
	e.saved.Checkpoint = nil
	e.outcomeSaved = !e.durable
	close(e.done)
}
