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

// task is one task on an owned server, from its reservation to its end, which the outbox then keeps until the
// holder has acknowledged it. It is owned by the loop.
type task struct {
	id       ibisserver.TaskID
	meta     ibiswire.Meta
	kind     string
	server   string
	size     ibiswork.Resources // as counted in the fleet and the ledger
	declared ibiswork.Resources
	counted  bool // in the load of the server and the use of the team
	started  bool // the server has confirmed the start
	sent     bool // a start call was sent, by this owner or an earlier one
	lease    ibischart.Machine
	hasLease bool
	stopping bool // a stop was requested

	usage             ibiswork.Resources // as last measured, with a delay
	overuse           ibiswork.Resources // part of usage beyond size, which counts on the server
	throttled         bool               // the server limits the task to its declared size
	throttleRequested bool               // the server was asked to throttle the task
	placement         *placement
}

// count adds t to the load of its server.
func (o *Owner) count(t *task) {
	t.counted = true
	o.fleet.AddUsage(t.server, t.size)
	o.countService(t, 1)
	if s := o.servers[t.server]; s != nil {
		s.count++
	}
}

// countService updates the spread of a service over failure domains and racks.
func (o *Owner) countService(t *task, delta int) {
	if t.meta.Class != ibiswork.Service {
		return
	}
	if s := o.servers[t.server]; s != nil {
		o.services.Add(t.meta.Team, t.kind, ibisplace.Server{Name: t.server, FailureDomain: s.vm.FailureDomain, Rack: s.vm.Rack}, delta)
	}
}

// uncount removes t from the load of its server and from its team's use.
func (o *Owner) uncount(t *task) { o.uncountWith(t, o.cfg.Ledger.Free) }

// uncountWith is uncount with free as the ledger method that ends the team's use.
func (o *Owner) uncountWith(t *task, free func(team string, r ibiswork.Resources)) {
	if !t.counted {
		return
	}
	t.counted = false
	o.fleet.AddUsage(t.server, ibiswork.Resources{}.Sub(t.size.Add(t.overuse)))
	t.overuse = ibiswork.Resources{}
	o.countService(t, -1)
	o.requestRound()
	free(t.meta.Team, t.size)
	o.queue.Charge(t.meta.Team, ibiswork.Resources{}.Sub(t.size))
	if s := o.servers[t.server]; s != nil {
		s.count--
	}
}

// requestedSize is the size that is sent to the server: the declared one. The estimated size must not be sent,
// since the use that a server reports may follow the size it was sent, and estimates would then grow without
// end.
func (t *task) requestedSize() ibiswork.Resources {
	r := t.declared
	r.Slots = max(r.Slots, 1)
	return r
}

// fireLeaseEvent applies an event to the lease state machine of t.
func (o *Owner) fireLeaseEvent(t *task, event string) {
	if !t.hasLease {
		return
	}
	if err := t.lease.Fire(event); err != nil {
		log.WithFields(log.Fields{"request": t.id.Request, "attempt": t.id.Attempt, "error": err}).Error("LeaseEventNotAllowed")
	}
}

// endTask removes t, updates its lease and reports event e to the holder of its shard.
func (o *Owner) endTask(t *task, e ibiswire.TaskEvent) {
	o.uncount(t)
	if t.hasLease {
		event := "Release"
		if e.State == ibiswire.TaskExpired || e.State == ibiswire.TaskLost {
			o.fireLeaseEvent(t, "Silence")
			event = "Lapse"
		}
		o.fireLeaseEvent(t, event)
		t.hasLease = false
	}
	delete(o.tasks, t.id)
	o.finishPlacement(t)
	o.queueReport(e, t)
}

// finishPlacement removes the placement of t once none of its tasks is left.
func (o *Owner) finishPlacement(t *task) {
	p := t.placement
	if p == nil || o.placements[t.id.Request] != p {
		return
	}
	for _, other := range p.tasks {
		if o.tasks[other.id] == other {
			return
		}
	}
	if p.state != starting {
		delete(o.placements, t.id.Request)
	}
}

// event returns an event for t with the given state.
func (o *Owner) event(t *task, state ibiswire.EventState) ibiswire.TaskEvent {
	return ibiswire.TaskEvent{Task: t.id, Meta: t.meta, Server: t.server, Owner: o.cfg.Self, State: state, Ran: t.started || t.sent}
}

// eventFromRecord returns an event for t from its server's record.
func (o *Owner) eventFromRecord(t *task, r ibisserver.Record) ibiswire.TaskEvent {
	e := o.event(t, ibiswire.EventState(r.State))
	e.Ran = r.StartedAt > 0
	e.Result, e.Error, e.Checkpoint = r.Result, r.Error, r.Checkpoint
	if r.EndedAt > 0 {
		e.RunMS = r.EndedAt - r.StartedAt
	}
	return e
}

// encodeMeta encodes the metadata of a task for the note that its server keeps.
func encodeMeta(m ibiswire.Meta) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		log.WithField("error", err).Error("NoteNotEncoded")
	}
	return b
}

// adopt creates a task from the server's record of one that this owner did not start.
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

// recordOutcome updates the failure guard and the size estimates with a finished task. It reports whether a
// failure is likely the server's fault, so that it does not use up a retry of the task.
func (o *Owner) recordOutcome(t *task, r ibisserver.Record, now time.Time) (blameless bool) {
	if r.State != ibisserver.Done && r.State != ibisserver.Failed {
		return false
	}
	run := r.EndedAt - r.StartedAt
	blameless = r.State == ibisserver.Failed && o.guard.ServerAtFault(t.server)
	o.guard.Record(t.server, r.State == ibisserver.Done, run, now)
	if r.State == ibisserver.Done {
		o.estimator.Observe(t.meta.Team, t.kind, t.declared, r.Usage, run)
	}
	if r.State == ibisserver.Failed && o.guard.ServerAtFault(t.server) {
		blameless = true
	}
	return blameless
}
