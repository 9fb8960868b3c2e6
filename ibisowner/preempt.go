package ibisowner

import (
	"sort"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibisqueue"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

// Intervals and limits of preemption.
const (
	preemptInterval = 200 * time.Millisecond
	limitInterval   = 2 * time.Second // the fleet's use comes from digests and shows stops with a delay
	maxVictims      = 8               // largest number of tasks that one preemption stops
)

// blocked is a request that found no room since the last check for preemption.
type blocked struct {
	team   string
	size   ibiswork.Resources
	tasks  int
	urgent bool
}

// recordBlocked keeps, for each team, the first urgent request that found no room, or else the first one.
func (o *Owner) recordBlocked(q ibisqueue.Item) {
	old, ok := o.blocked[q.Team]
	if !ok || (q.Urgent && !old.urgent) {
		o.blocked[q.Team] = blocked{team: q.Team, size: q.PerTask, tasks: max(q.Tasks, 1), urgent: q.Urgent && q.Class == ibiswork.Interactive}
	}
}

// preempt makes room for urgent interactive work, and for a team below its fair share while another team is
// above.
func (o *Owner) preempt(now time.Time) {
	if now.Sub(o.preemptCheckedAt) < preemptInterval {
		return
	}
	o.preemptCheckedAt = now
	for _, b := range o.blocked {
		if b.urgent {
			o.makeRoom(b, func(t *task) bool { return t.meta.Team == b.team || o.queue.ShareExcess(b.team) <= 0 })
		}
	}
	if overTeam, waitingTeam, ok := o.queue.PreemptionPair(); ok {
		if b, found := o.blocked[waitingTeam]; found {
			o.makeRoom(b, func(t *task) bool { return t.meta.Team == overTeam })
		}
	}
	clear(o.blocked)
}

// stoppable reports whether a task may be preempted and restarted later: only running idempotent batch tasks.
func stoppable(t *task) bool {
	return t.started && !t.stopping && t.counted && t.meta.Class == ibiswork.Batch && t.meta.Idempotent
}

// makeRoom preempts the smallest set of eligible tasks on one server that makes room for one task of b.
func (o *Owner) makeRoom(b blocked, eligible func(*task) bool) {
	byServer := make(map[string][]*task)
	for _, t := range o.tasks {
		if stoppable(t) && eligible(t) {
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

// victims returns the tasks to preempt on one server, newest first, or nil when maxVictims of them would not
// make enough room.
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

// checkpointAndStop checkpoints tasks and stops them; their holders queue them again. Tasks are stopped even
// when the checkpoint fails.
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
			o.stopWithRetry(s, ids)
		}()
	}
}

// enforceLimits stops this owner's part of the tasks that a team runs above a lowered upper limit. Tasks that
// are not idempotent, and interactive ones, run to their end.
func (o *Owner) enforceLimits(now time.Time) {
	if now.Sub(o.limitsCheckedAt) < limitInterval {
		return
	}
	o.limitsCheckedAt = now
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

// stopExcess stops tasks of a team, newest first, until they cover this owner's part of the excess, which is
// in proportion to its part of the team's use in the fleet.
func (o *Owner) stopExcess(team string, excess ibiswork.Resources) {
	var candidates []*task
	var ownUse ibiswork.Resources
	for _, t := range o.tasks {
		if t.meta.Team != team || !t.counted {
			continue
		}
		ownUse = ownUse.Add(t.size)
		if t.started && !t.stopping && t.meta.Idempotent && t.meta.Class != ibiswork.Interactive {
			candidates = append(candidates, t)
		}
	}
	fraction := ownUse.Dominant(o.fleetUsed[team])
	sort.Slice(candidates, func(i, j int) bool { return candidates[j].id.Request.Before(candidates[i].id.Request) })
	var stop []*task
	var freed ibiswork.Resources
	for _, t := range candidates {
		if coversPart(freed, excess, fraction) {
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

// coversPart reports whether freed covers the given fraction of excess, rounded up, for each kind of resource.
func coversPart(freed, excess ibiswork.Resources, fraction float64) bool {
	share := func(n int64) int64 { return int64(float64(n)*fraction + 0.999) }
	return ibiswork.Resources{
		MilliCPU: share(excess.MilliCPU), MemoryMB: share(excess.MemoryMB),
		Accelerators: share(excess.Accelerators), Slots: share(excess.Slots),
	}.FitsIn(freed)
}
