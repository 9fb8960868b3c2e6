package ibisowner

import (
	"sort"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibisqueue"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

// Times and bounds of preemption.
const (
	preemptInterval = 200 * time.Millisecond
	limitInterval   = 2 * time.Second // use in the fleet is known from digests, so stops need time to show
	maxVictims      = 8               // tasks that one preemption stops
)

// blocked is an item that found no room in the last round.
type blocked struct {
	team   string
	size   ibiswork.Resources
	tasks  int
	urgent bool
}

// noteBlocked keeps the first urgent item, or else the first item, of each team that found no room.
func (o *Owner) noteBlocked(q ibisqueue.Item) {
	old, ok := o.blocked[q.Team]
	if !ok || (q.Urgent && !old.urgent) {
		o.blocked[q.Team] = blocked{team: q.Team, size: q.Each, tasks: max(q.Tasks, 1), urgent: q.Urgent && q.Class == ibiswork.Interactive}
	}
}

// preempt makes room for urgent work, and for a team below its share while another is above its own.
func (o *Owner) preempt(now time.Time) {
	if now.Sub(o.preemptedAt) < preemptInterval {
		return
	}
	o.preemptedAt = now
	for _, b := range o.blocked {
		if b.urgent {
			o.makeRoom(b, func(t *task) bool { return t.meta.Team == b.team || o.queue.Over(b.team) <= 0 })
		}
	}
	if over, waiting, ok := o.queue.PreemptionTeam(); ok {
		if b, found := o.blocked[waiting]; found {
			o.makeRoom(b, func(t *task) bool { return t.meta.Team == over })
		}
	}
	clear(o.blocked)
}

// stoppable reports whether a task may be stopped and started again later: batch work that is idempotent.
func stoppable(t *task) bool {
	return t.started && !t.stopping && t.counted && t.meta.Class == ibiswork.Batch && t.meta.Idempotent
}

// makeRoom stops the fewest tasks, on one server, whose places suffice for one task of b.
func (o *Owner) makeRoom(b blocked, may func(*task) bool) {
	byServer := make(map[string][]*task)
	for _, t := range o.tasks {
		if stoppable(t) && may(t) {
			byServer[t.server] = append(byServer[t.server], t)
		}
	}
	var best []*task
	for name, tasks := range byServer {
		if victims := o.victims(name, tasks, b.size); victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	if len(best) > 0 {
		log.WithFields(log.Fields{"server": best[0].server, "tasks": len(best), "for": b.team, "urgent": b.urgent}).Info("TasksPreempted")
		o.checkpointAndStop(best)
	}
}

// victims lists the tasks to stop on one server, the newest first, or nil when they do not suffice.
func (o *Owner) victims(name string, tasks []*task, need ibiswork.Resources) []*task {
	f, ok := o.fleet.Server(name)
	if !ok || f.Closed {
		return nil
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[j].id.Request.Before(tasks[i].id.Request) })
	free := f.Capacity.Sub(f.Used)
	for i, t := range tasks {
		if i == maxVictims {
			return nil
		}
		free = free.Add(t.size)
		if need.FitsIn(free) {
			return tasks[:i+1]
		}
	}
	return nil
}

// checkpointAndStop saves the progress of tasks and stops them; their holders queue them again.
func (o *Owner) checkpointAndStop(tasks []*task) {
	byServer := make(map[*server][]ibisserver.TaskID)
	for _, t := range tasks {
		if s := o.servers[t.server]; s != nil && s.claimed && !t.stopping {
			t.stopping = true
			byServer[s] = append(byServer[s], t.id)
		}
	}
	for s, ids := range byServer {
		go func() {
			if _, err := o.control(s, ibisserver.Checkpoint, ids...); err != nil {
				log.WithFields(log.Fields{"server": s.vm.Name, "error": err}).Warn("CheckpointFailed")
			}
			o.stopUntilDone(s, ids)
		}()
	}
}

// enforceLimits stops this owner's part of what a team runs above a limit that was lowered. Work that is
// not idempotent, and interactive work, is left to end by itself.
func (o *Owner) enforceLimits(now time.Time) {
	if now.Sub(o.limitedAt) < limitInterval {
		return
	}
	o.limitedAt = now
	teams := o.cfg.Snapshot().Teams
	for name, used := range o.fleetUsed {
		team, ok := teams[name]
		if !ok {
			continue
		}
		if excess := used.Sub(team.UpperLimit).Max(ibiswork.Resources{}); !excess.IsZero() {
			o.stopExcess(name, excess)
		}
	}
}

func (o *Owner) stopExcess(team string, excess ibiswork.Resources) {
	var own []*task
	var mine ibiswork.Resources
	for _, t := range o.tasks {
		if t.meta.Team != team || !t.counted {
			continue
		}
		mine = mine.Add(t.size)
		if t.started && !t.stopping && t.meta.Idempotent && t.meta.Class != ibiswork.Interactive {
			own = append(own, t)
		}
	}
	part := mine.Dominant(o.fleetUsed[team])
	sort.Slice(own, func(i, j int) bool { return own[j].id.Request.Before(own[i].id.Request) })
	var stop []*task
	var freed ibiswork.Resources
	for _, t := range own {
		if enough(freed, excess, part) {
			break
		}
		freed = freed.Add(t.size)
		stop = append(stop, t)
	}
	if len(stop) > 0 {
		log.WithFields(log.Fields{"team": team, "tasks": len(stop)}).Info("TasksAboveLimitStopped")
		o.checkpointAndStop(stop)
	}
}

// enough reports whether freed covers this owner's part of excess in every amount.
func enough(freed, excess ibiswork.Resources, part float64) bool {
	share := func(n int64) int64 { return int64(float64(n)*part + 0.999) }
	return ibiswork.Resources{
		MilliCPU: share(excess.MilliCPU), MemoryMB: share(excess.MemoryMB),
		Accelerators: share(excess.Accelerators), Slots: share(excess.Slots),
	}.FitsIn(freed)
}
