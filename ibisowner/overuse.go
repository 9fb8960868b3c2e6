package ibisowner

import (
	"sort"

	"github.com/apex/log"

	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

// updateUsage records the measured use of a running task. Use beyond the task's size is added to the load of
// its server, unless the server throttles the task to its declared size.
func (o *Owner) updateUsage(t *task, r ibisserver.Record) {
	t.throttled = r.Throttled
	t.usage = r.Usage
	overuse := t.usage.Sub(t.size).Max(ibiswork.Resources{})
	if t.throttled || !t.counted {
		overuse = ibiswork.Resources{}
	}
	overuse.Slots = 0
	if overuse != t.overuse {
		o.fleet.AddUsage(t.server, overuse.Sub(t.overuse))
		t.overuse = overuse
	}
}

// reduceOveruse keeps servers within their capacity when tasks use more than their counted size. The tasks
// with the highest overuse are throttled to their declared size first; if that is not enough, idempotent
// batch tasks are stopped.
func (o *Owner) reduceOveruse() {
	for name, s := range o.servers {
		f, ok := o.fleet.Server(name)
		if !ok || !s.claimed || f.Used.FitsIn(f.Capacity) {
			continue
		}
		o.reduceServerOveruse(s, f.Used.Sub(f.Capacity).Max(ibiswork.Resources{}))
	}
}

// reduceServerOveruse reduces the use of one server by at least excess, as far as throttling and stops allow.
func (o *Owner) reduceServerOveruse(s *server, excess ibiswork.Resources) {
	var overusing, stopCandidates []*task
	for _, t := range o.tasks {
		switch {
		case t.server != s.vm.Name:
		case !t.overuse.IsZero() && !t.throttleRequested:
			overusing = append(overusing, t)
		case stoppable(t):
			stopCandidates = append(stopCandidates, t)
		}
	}
	sort.Slice(overusing, func(i, j int) bool {
		return overusing[i].overuse.Dominant(overusing[i].size) > overusing[j].overuse.Dominant(overusing[j].size)
	})
	var ids []ibisserver.TaskID
	var freed ibiswork.Resources
	for _, t := range overusing {
		if excess.FitsIn(freed) {
			break
		}
		t.throttleRequested = true
		freed = freed.Add(t.overuse)
		ids = append(ids, t.id)
	}
	if len(ids) > 0 {
		log.WithFields(log.Fields{"server": s.vm.Name, "tasks": len(ids)}).Warn("TasksThrottled")
		o.throttle(s, ids)
		return
	}
	sort.Slice(stopCandidates, func(i, j int) bool { return stopCandidates[j].id.Request.Before(stopCandidates[i].id.Request) })
	for i, t := range stopCandidates {
		if freed = freed.Add(t.size); excess.FitsIn(freed) || i+1 == len(stopCandidates) {
			log.WithFields(log.Fields{"server": s.vm.Name, "tasks": i + 1}).Warn("TasksStoppedForOveruse")
			o.checkpointAndStop(stopCandidates[:i+1])
			return
		}
	}
}

// throttle asks the server to limit tasks to their declared size. A failed call is repeated when a later tick
// finds the server still over capacity.
func (o *Owner) throttle(s *server, ids []ibisserver.TaskID) {
	go func() {
		reply, err := o.control(s, ibisserver.Throttle, ids...)
		_ = o.loop.Do(o.ctx, func() {
			if err == nil {
				for _, r := range reply.Records {
					if t := o.tasks[r.Task.ID]; t != nil && r.State == ibisserver.Running {
						o.updateUsage(t, r)
					}
				}
				return
			}
			log.WithFields(log.Fields{"server": s.vm.Name, "error": err}).Warn("ThrottleFailed")
			for _, id := range ids {
				if t := o.tasks[id]; t != nil {
					t.throttleRequested = false
				}
			}
		})
	}()
}
