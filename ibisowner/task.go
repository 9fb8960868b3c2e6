package ibisowner

import (
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibischart"
	"ibiscrank/ibisplace"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// task is one task on an owned server, from its reservation to the acknowledged report of its end. It is
// owned by the loop.
type task struct {
	id       ibisserver.TaskID
	meta     ibiswire.Meta
	kind     string
	server   string
	size     ibiswork.Resources // as counted in the fleet and the ledger
	declared ibiswork.Resources
	counted  bool
	started  bool // the server has confirmed that it was started
	sent     bool // a start was sent, by this owner or an earlier one
	lease    ibischart.Machine
	hasLease bool
	stopping bool

	usage     ibiswork.Resources // as measured, with a lag
	extra     ibiswork.Resources // of usage, what counts on the server beyond size
	throttled bool               // the server holds it to its declared size
	curbed    bool               // the server was asked to
	item      *item
}

// count books what t takes of its server.
func (o *Owner) count(t *task) {
	t.counted = true
	o.fleet.Use(t.server, t.size)
	o.noteService(t, 1)
	if s := o.servers[t.server]; s != nil {
		s.count++
	}
}

// noteService keeps the spread of a service over failure domains and racks.
func (o *Owner) noteService(t *task, delta int) {
	if t.meta.Class != ibiswork.Service {
		return
	}
	if s := o.servers[t.server]; s != nil {
		o.services.Add(t.meta.Team, t.kind, ibisplace.Server{Name: t.server, FailureDomain: s.vm.FailureDomain, Rack: s.vm.Rack}, delta)
	}
}

// uncount frees what t takes of its server and of its team's upper limit.
func (o *Owner) uncount(t *task) { o.uncountBy(t, o.cfg.Ledger.Free) }

// uncountBy is uncount with the way in which the team's upper limit is freed.
func (o *Owner) uncountBy(t *task, free func(team string, r ibiswork.Resources)) {
	if !t.counted {
		return
	}
	t.counted = false
	o.fleet.Use(t.server, ibiswork.Resources{}.Sub(t.size.Add(t.extra)))
	t.extra = ibiswork.Resources{}
	o.noteService(t, -1)
	o.wantRound()
	free(t.meta.Team, t.size)
	o.queue.Charge(t.meta.Team, ibiswork.Resources{}.Sub(t.size))
	if s := o.servers[t.server]; s != nil {
		s.count--
	}
}

// asked is what the server is told that the task needs: the declared size. The learned size must not reach
// the server, since what a server reports may follow what it was told, and sizes would then grow by
// themselves.
func (t *task) asked() ibiswork.Resources {
	r := t.declared
	r.Slots = max(r.Slots, 1)
	return r
}

// fireLease applies an event to the lease chart of t.
func (o *Owner) fireLease(t *task, event string) {
	if !t.hasLease {
		return
	}
	if err := t.lease.Fire(event); err != nil {
		log.WithFields(log.Fields{"request": t.id.Request, "attempt": t.id.Attempt, "error": err}).Error("LeaseEventNotAllowed")
	}
}

// end records that t runs no more and tells the holder of its shard.
func (o *Owner) end(t *task, e ibiswire.TaskEvent) {
	o.uncount(t)
	if t.hasLease {
		event := "Release"
		if e.State == ibiswire.TaskLapsed || e.State == ibiswire.TaskLost {
			o.fireLease(t, "Silence")
			event = "Lapse"
		}
		o.fireLease(t, event)
		t.hasLease = false
	}
	delete(o.tasks, t.id)
	o.endItem(t)
	o.send(e, t)
}

// endItem drops the item of a request once none of its tasks is left.
func (o *Owner) endItem(t *task) {
	it := t.item
	if it == nil || o.items[t.id.Request] != it {
		return
	}
	for _, other := range it.tasks {
		if o.tasks[other.id] == other {
			return
		}
	}
	if it.state != starting {
		delete(o.items, t.id.Request)
	}
}

// event describes the present state of t.
func (o *Owner) event(t *task, state ibiswire.EventState) ibiswire.TaskEvent {
	return ibiswire.TaskEvent{Task: t.id, Meta: t.meta, Server: t.server, Owner: o.cfg.Self, State: state, Ran: t.started || t.sent}
}

// fromRecord describes a task by its server's record.
func (o *Owner) fromRecord(t *task, r ibisserver.Record) ibiswire.TaskEvent {
	e := o.event(t, ibiswire.EventState(r.State))
	e.Ran = r.StartedAt > 0
	e.Result, e.Error, e.Checkpoint = r.Result, r.Error, r.Checkpoint
	if r.EndedAt > 0 {
		e.RunMS = r.EndedAt - r.StartedAt
	}
	return e
}

// note is the meta of a task in the form that servers keep.
func note(m ibiswire.Meta) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		log.WithField("error", err).Error("NoteNotEncoded")
	}
	return b
}

// adopt makes the task of a record that this owner did not start.
func (o *Owner) adopt(name string, r ibisserver.Record) *task {
	t := &task{
		id: r.Task.ID, kind: r.Task.Kind, server: name, size: r.Task.Resources, declared: r.Task.Resources,
		started: r.StartedAt > 0, sent: true,
		meta: ibiswire.Meta{Shard: r.Task.ID.Request.Shard(o.cfg.Shards), Team: r.Task.Team, Class: r.Task.Class, Tasks: 1},
	}
	t.size.Slots = max(t.size.Slots, 1)
	if len(r.Task.Note) > 0 {
		if err := cbor.Unmarshal(r.Task.Note, &t.meta); err != nil {
			log.WithFields(log.Fields{"request": t.id.Request, "error": err}).Warn("NoteNotDecoded")
		}
	}
	return t
}

// observe takes in what a finished task used and how it went.
func (o *Owner) observe(t *task, r ibisserver.Record, now time.Time) (blameless bool) {
	if r.State != ibisserver.Done && r.State != ibisserver.Failed {
		return false
	}
	run := r.EndedAt - r.StartedAt
	blameless = r.State == ibisserver.Failed && o.guard.Blame(t.server)
	o.guard.Record(t.server, r.State == ibisserver.Done, run, now)
	if r.State == ibisserver.Done {
		o.sizes.Observe(t.meta.Team, t.kind, t.declared, r.Usage, run)
	}
	if r.State == ibisserver.Failed && o.guard.Blame(t.server) {
		blameless = true
	}
	return blameless
}
