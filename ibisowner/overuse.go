package ibisowner

import (
	"sort"

	"github.com/apex/log"

	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

// measure takes in what a running task was measured to use. What is beyond its size counts on its server
// from now on, unless the server holds the task to its declared size.
func (o *Owner) measure(t *task, r ibisserver.Record) {
	t.throttled = r.Throttled
	t.usage = r.Usage
	extra := t.usage.Sub(t.size).Max(ibiswork.Resources{})
	if t.throttled || !t.counted {
		extra = ibiswork.Resources{}
	}
	extra.Slots = 0
	if extra != t.extra {
		o.fleet.Use(t.server, extra.Sub(t.extra))
		t.extra = extra
	}
}

// curbOveruse keeps servers within their capacity when tasks use more than they were counted as: first
// the tasks that go furthest beyond are held to their declared size, then idempotent batch work is
// stopped.
func (o *Owner) curbOveruse() {
	for name, s := range o.servers {
		f, ok := o.fleet.Server(name)
		if !ok || !s.claimed || f.Used.FitsIn(f.Capacity) {
			continue
		}
		o.curb(s, f.Used.Sub(f.Capacity).Max(ibiswork.Resources{}))
	}
}

// curb brings down the use of one server by over.
func (o *Owner) curb(s *server, over ibiswork.Resources) {
	var beyond, stops []*task
	for _, t := range o.tasks {
		switch {
		case t.server != s.vm.Name:
		case !t.extra.IsZero() && !t.curbed:
			beyond = append(beyond, t)
		case stoppable(t):
			stops = append(stops, t)
		}
	}
	sort.Slice(beyond, func(i, j int) bool {
		return beyond[i].extra.Dominant(beyond[i].size) > beyond[j].extra.Dominant(beyond[j].size)
	})
	var ids []ibisserver.TaskID
	var freed ibiswork.Resources
	for _, t := range beyond {
		if over.FitsIn(freed) {
			break
		}
		t.curbed = true
		freed = freed.Add(t.extra)
		ids = append(ids, t.id)
	}
	if len(ids) > 0 {
		log.WithFields(log.Fields{"server": s.vm.Name, "tasks": len(ids)}).Warn("TasksThrottled")
		o.throttle(s, ids)
		return
	}
	sort.Slice(stops, func(i, j int) bool { return stops[j].id.Request.Before(stops[i].id.Request) })
	for i, t := range stops {
		if freed = freed.Add(t.size); over.FitsIn(freed) || i+1 == len(stops) {
			log.WithFields(log.Fields{"server": s.vm.Name, "tasks": i + 1}).Warn("TasksStoppedForOveruse")
			o.checkpointAndStop(stops[:i+1])
			return
		}
	}
}

// throttle asks the server to hold tasks to their declared size; a call that fails is made again when the
// server is found to be over again.
func (o *Owner) throttle(s *server, ids []ibisserver.TaskID) {
	go func() {
		reply, err := o.control(s, ibisserver.Throttle, ids...)
		_ = o.loop.Do(o.ctx, func() {
			if err == nil {
				for _, r := range reply.Records {
					if t := o.tasks[r.Task.ID]; t != nil && r.State == ibisserver.Running {
						o.measure(t, r)
					}
				}
				return
			}
			log.WithFields(log.Fields{"server": s.vm.Name, "error": err}).Warn("ThrottleFailed")
			for _, id := range ids {
				if t := o.tasks[id]; t != nil {
					t.curbed = false
				}
			}
		})
	}()
}
