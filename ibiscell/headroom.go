package ibiscell

import (
	"cmp"
	"math"
	"slices"

	"ibiscrank/ibisjob"
	"ibiscrank/ibisshare"
	"ibiscrank/ibiswork"
)

const (
	quickPriority       = 0    // of the queues for whose jobs headroom is kept
	quickTaskMS         = 2000 // longest expected time of a quick task
	headroomHorizonMS   = 1000 // for whose arrivals headroom is kept
	maxHeadroomFraction = 0.1  // largest fraction of a service that is kept free
	quickSlackFraction  = 0.5  // of the slack of quick jobs for which other work may use their headroom
	headroomGangLimit   = 0.5  // fraction of a service from which on a gang ignores the headroom, since it might never fit beside it
	arrivalWindowMS     = 1000 // time constant of the rates of arrivals: about the time in which a swing fills a cell
)

// arrivals is the decayed sum of recently accepted jobs of one class.
type arrivals struct {
	class
	at                       Time // when the sums were computed
	jobs, cores, work, slack float64
}

// class separates quick jobs from others of their priority.
type class struct {
	priority int
	quick    bool
}

// decayed returns a as of now.
func (a arrivals) decayed(now Time) arrivals {
	f := math.Exp(-float64(now-a.at) / arrivalWindowMS)
	return arrivals{a.class, now, a.jobs * f, a.cores * f, a.work * f, a.slack * f}
}

// quickLoad describes the quick jobs of a service.
type quickLoad struct {
	size    ibiswork.Resources // of the largest recent task
	sizeAt  Time
	lendMS  float64 // expected time of tasks of lower priority that may use the headroom
	waiting float64 // cores of waiting tasks, as of the last placement
	spare   float64 // cores that are free for quick tasks beyond the headroom; other work may still take them
	used    int64   // thousandths of a core of running tasks
}

// quickSpec reports whether a step of the queue, whose tasks are expected to run for a time, is quick.
func quickSpec(q *ibisjob.Queue, spec *ibisjob.Step, taskMS int64) bool {
	return q.Priority == quickPriority && !spec.LongRunning && taskMS <= quickTaskMS
}

func (e *Engine) quickStep(st *step) bool {
	q := e.queues[st.occ.job.spec.Queue]
	return quickSpec(&q, st.spec, e.meanTaskMS(st))
}

// lateQuick ranks a late quick step right after those of its priority that are in time, and reports whether it did. It
// is worth more for its little work than wide jobs are that are in time.
func (e *Engine) lateQuick(r *rankedStep) bool {
	if r.late != late || !e.quickStep(r.step) || !e.poolOf(r.step).full {
		return false
	}
	r.late = inTime
	return true
}

// countArrival adds an accepted job to the arrivals of its service.
func (e *Engine) countArrival(j *job) {
	if !j.spec.RunsOnce() {
		return
	}
	q := e.queues[j.spec.Queue]
	p := e.pool(q.Service)
	c := class{priority: q.Priority, quick: true}
	cores, work := 0.0, 0.0
	occ := probe(j)
	lengths := e.lengths(occ)
	for n := range j.spec.Steps {
		spec := &j.spec.Steps[n]
		c.quick = c.quick && quickSpec(&q, spec, int64(lengths.steps[n].MeanMS))
		cores += e.cellCores(spec.Size) * float64(spec.Tasks)
		work += e.cellCores(spec.Size) * float64(spec.Tasks) * lengths.steps[n].MeanMS
		if c.quick && (e.now-p.quick.sizeAt > quickTaskMS || spec.Size.MilliCPU >= p.quick.size.MilliCPU) {
			p.quick.size, p.quick.sizeAt = spec.Size, e.now
		}
	}
	_, objective := e.objective(occ)
	n, found := slices.BinarySearchFunc(p.arrivals, c, func(a arrivals, c class) int {
		return cmp.Or(cmp.Compare(a.priority, c.priority), compareBool(a.quick, c.quick))
	})
	if !found {
		p.arrivals = slices.Insert(p.arrivals, n, arrivals{class: c, at: e.now})
	}
	a := p.arrivals[n].decayed(e.now)
	a.jobs++
	a.cores += cores
	a.work += work
	a.slack += float64(max(objective-lengths.critical, 0))
	p.arrivals[n] = a
	if p.full { // until the next placement counts it
		p.addClaim(claimKey{q.Priority, j.spec.Team}, work)
		for key := range p.free {
			p.free[key] = max(p.free[key]-cores, 0)
		}
	}
}

// better returns what arrives with better priority than the given one.
func (p *pool) better(now Time, priority int) (b ibisshare.Better) {
	for _, a := range p.arrivals {
		if a.priority < priority {
			a = a.decayed(now)
			b.CoresPerMS += a.cores / arrivalWindowMS
			b.Cores += a.work / arrivalWindowMS
		}
	}
	return b
}

// quickArrivals returns the arrivals of quick jobs.
func (p *pool) quickArrivals(now Time) arrivals {
	for _, a := range p.arrivals {
		if a.quick {
			return a.decayed(now)
		}
	}
	return arrivals{}
}

// headroomNeed returns the cores that quick jobs need within the next second beyond what their own tasks free.
func (p *pool) headroomNeed(now Time) float64 {
	a := p.quickArrivals(now)
	if a.jobs < 1 || a.cores <= 0 {
		return 0
	}
	p.quick.lendMS = quickSlackFraction * a.slack / a.jobs
	const seconds = float64(headroomHorizonMS) / arrivalWindowMS
	jobs := a.jobs * seconds
	arriving := (jobs + math.Sqrt(jobs)) * a.cores / a.jobs
	freed := float64(p.quick.used) / 1000 * min(1, headroomHorizonMS/max(a.work/a.cores, 1))
	need := arriving + p.quick.waiting - freed
	return min(max(need, 0), maxHeadroomFraction*float64(p.capacity.MilliCPU)/1000)
}

// keepHeadroom chooses the room that is kept free of long work of lower priority in this placement once there is no
// spare: on the fullest servers on which a quick task fits, since the others have room for wider tasks.
func (e *Engine) keepHeadroom(p *pass) {
	need := make(map[string]float64)
	for service, pool := range e.shares.pools {
		if pool.full {
			need[service] = pool.headroomNeed(e.now)
		}
		pool.quick.spare = -need[service]
	}
	var list []*server
	for _, s := range p.servers {
		s.headroom = ibiswork.Resources{}
		if need[s.info.Service] > 0 && e.usable(s) && e.forOthers(s) && e.quickSlots(s) > 0 {
			list = append(list, s)
			pool := e.pool(s.info.Service)
			pool.quick.spare += float64(e.quickSlots(s)) * pool.cores(pool.quick.size)
		}
	}
	slices.SortStableFunc(list, func(a, b *server) int { return cmp.Compare(a.freeMilliCPU(), b.freeMilliCPU()) })
	for _, s := range list {
		pool := e.pool(s.info.Service)
		cores := pool.cores(pool.quick.size)
		left := need[s.info.Service]
		if n := min(e.quickSlots(s), int(left/cores)); n > 0 {
			s.headroom = pool.quick.size.Times(int64(n))
			need[s.info.Service] = left - float64(n)*cores
		}
	}
}

// quickSlots returns the number of quick tasks that fit on s now.
func (e *Engine) quickSlots(s *server) int {
	size := e.pool(s.info.Service).quick.size
	if size.MilliCPU == 0 {
		return 0
	}
	return slotsFor(s.info.Capacity.Sub(s.used), &ibisjob.Step{Size: size})
}

// room returns the unused capacity of s, with or without what is kept free for quick jobs.
func (s *server) room(headroom bool) ibiswork.Resources {
	room := s.info.Capacity.Sub(s.used)
	if headroom || s.headroom.IsZero() {
		return room
	}
	return room.Sub(s.headroom)
}

// usesHeadroom reports whether st may take capacity that is kept free for quick jobs.
func (e *Engine) usesHeadroom(st *step) bool {
	if e.queues[st.occ.job.spec.Queue].Priority <= quickPriority {
		return true
	}
	p := e.poolOf(st)
	if float64(e.meanTaskMS(st)) <= p.quick.lendMS || p.cores(st.spec.Size)*float64(st.unfinished) <= p.quick.spare {
		return true
	}
	return st.spec.Gang && p.cores(st.spec.Size)*float64(len(st.tasks)) > headroomGangLimit*float64(p.capacity.MilliCPU)/1000
}

// countQuick changes the use of running quick tasks, and what is spare, when r takes up its room or releases it.
func (e *Engine) countQuick(r *run, sign int64) {
	p, size := e.pool(r.server.info.Service), r.task.step.spec.Size
	p.quick.spare -= float64(sign) * p.cores(size)
	if r.quick {
		p.quick.used += sign * size.MilliCPU
	}
}
