package ibiscell

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/apex/log"

	"ibiscrank/ibisjob"
	"ibiscrank/ibisshare"
	"ibiscrank/ibiswork"
)

const (
	fullBacklogMS    = 200    // time that a service needs for its waiting tasks above which it is full; part of the slack of quick jobs
	chargeIntervalMS = 50     // between charges for what runs
	maxChargeMS      = 1000   // longest time charged at once; after a longer gap the leader was paused
	supplyAgeMS      = 50     // after which the prediction of freed capacity is computed again
	refusalMemory    = 8192   // refused jobs whose attempts are remembered, twice at the most
	refusalMemoryMS  = 15_000 // the same by time: callers come back within seconds
)

// shares is the state by which scarce capacity is divided among teams. Nothing of it is journalled.
type shares struct {
	ledger    ibisshare.Ledger
	chargedAt Time
	total     ibiswork.Resources // capacity of all servers in the last placement
	pools     map[string]*pool   // by service
	refusals  refusals
	baseline  func(*ibisjob.Job) ibisshare.Decision // admission in tests that compare with a cell without shares
}

// pool is the state of the servers of one service.
type pool struct {
	capacity  ibiswork.Resources // of the servers that may get new tasks now or once they are claimed
	full      bool               // the last placement has left more waiting than fits soon
	backlogMS float64
	claims    []claim // waiting work that is in time, by priority and team
	index     map[claimKey]int
	supply    ibisshare.Supply
	supplyAt  Time
	free      map[freeKey]float64 // cores that are free for tasks of a size, as of the last placement
	arrivals  []arrivals          // by class
	quick     quickLoad
}

type claimKey struct {
	priority int
	team     string
}

// freeKey separates free capacity by the size of tasks, and by whether they may use the headroom.
type freeKey struct {
	size     ibiswork.Resources
	headroom bool
}

type claim struct {
	claimKey
	coreMS float64
}

// cores returns the part of p that a size takes up, in cores. Memory counts like CPU if it is scarcer.
func (p *pool) cores(size ibiswork.Resources) float64 {
	return size.Dominant(p.capacity) * float64(p.capacity.MilliCPU) / 1000
}

func (e *Engine) pool(service string) *pool {
	p := e.shares.pools[service]
	if p == nil {
		if e.shares.pools == nil {
			e.shares.pools = make(map[string]*pool)
		}
		p = &pool{index: make(map[claimKey]int), free: make(map[freeKey]float64)}
		e.shares.pools[service] = p
	}
	return p
}

func (e *Engine) poolOf(st *step) *pool { return e.pool(e.queues[st.occ.job.spec.Queue].Service) }

// probe returns an occurrence of j, without tasks, to ask about its expected lengths.
func probe(j *job) *occurrence {
	occ := &occurrence{job: j}
	for n := range j.spec.Steps {
		occ.steps = append(occ.steps, &step{occ: occ, n: n, spec: &j.spec.Steps[n]})
	}
	return occ
}

// chargeTeams charges each team for its running tasks since the last charge.
func (e *Engine) chargeTeams() {
	s := &e.shares
	elapsed := min(e.now-s.chargedAt, maxChargeMS)
	if elapsed < chargeIntervalMS {
		return
	}
	s.chargedAt = e.now
	for _, t := range e.teams {
		if !t.used.IsZero() {
			s.ledger.Charge(e.now, t.name, t.weight, e.cellCores(t.used)*float64(elapsed))
		}
	}
}

// cellCores returns the part of the cell that r takes up, in cores.
func (e *Engine) cellCores(r ibiswork.Resources) float64 {
	return r.Dominant(e.shares.total) * float64(e.shares.total.MilliCPU) / 1000
}

// teamUse returns the use of t by which teams are ordered within a priority, as a fraction of the cell: what runs now
// and, while a service is full, the average use over the last seconds beyond the team's share.
func (e *Engine) teamUse(t *team, total ibiswork.Resources) float64 {
	use := t.used.Dominant(total)
	if !e.anyFull() || total.MilliCPU == 0 {
		return use
	}
	return use + e.shares.ledger.Excess(e.now, t.name)/ibisshare.WindowMS()/(float64(total.MilliCPU)/1000)
}

// anyFull reports whether any service is full.
func (e *Engine) anyFull() bool {
	for _, p := range e.shares.pools {
		if p.full {
			return true
		}
	}
	return false
}

// updatePools computes which services are full after a placement, and the waiting work of each team. Without a
// placement, because nothing waits, none is full.
func (e *Engine) updatePools(p *pass) {
	for _, pool := range e.shares.pools {
		pool.full, pool.backlogMS, pool.capacity, pool.quick.waiting = false, 0, ibiswork.Resources{}, 0
		pool.claims = pool.claims[:0]
		clear(pool.index)
		clear(pool.free)
	}
	if p == nil || e.shares.baseline != nil {
		return
	}
	for _, s := range p.servers {
		if e.counts(s) {
			pool := e.pool(s.info.Service)
			pool.capacity = pool.capacity.Add(s.info.Capacity)
		}
	}
	for _, st := range e.ready {
		if !st.spec.LongRunning && !st.awaitsTrial() {
			e.countWaiting(st)
		}
	}
	for _, pool := range e.shares.pools {
		pool.full = pool.backlogMS > fullBacklogMS
		if !pool.full {
			continue
		}
		for n := range pool.claims { // teams that wait are active
			t := e.team(pool.claims[n].team)
			e.shares.ledger.Charge(e.now, t.name, t.weight, 0)
		}
	}
}

// counts reports whether s counts as capacity. Servers that are about to be claimed do, so that a new leader does not
// refuse jobs before it has reached its servers.
func (e *Engine) counts(s *server) bool { return e.usable(s) || e.awaitingClaim(s) }

// countWaiting adds the waiting tasks of st to its pool.
func (e *Engine) countWaiting(st *step) {
	waiting := 0
	for _, t := range st.tasks {
		if t.waiting() {
			waiting++
		}
	}
	waiting = min(waiting, e.teamSlots(st)) // a team at its upper limit takes no capacity
	pool := e.poolOf(st)
	if waiting == 0 || pool.capacity.MilliCPU == 0 {
		return
	}
	cores := pool.cores(st.spec.Size) * float64(waiting)
	work := cores * float64(e.meanTaskMS(st))
	pool.backlogMS += work / (float64(pool.capacity.MilliCPU) / 1000)
	if e.lateness(st) != inTime {
		return
	}
	if e.quickStep(st) {
		pool.quick.waiting += cores
	}
	pool.addClaim(claimKey{e.queues[st.occ.job.spec.Queue].Priority, st.occ.job.spec.Team}, work)
}

// addClaim adds waiting work of a team.
func (p *pool) addClaim(key claimKey, coreMS float64) {
	n, ok := p.index[key]
	if !ok {
		n = len(p.claims)
		p.index[key] = n
		p.claims = append(p.claims, claim{claimKey: key})
	}
	p.claims[n].coreMS += coreMS
}

// admit decides whether to admit a job. While its service has room, all are admitted.
func (e *Engine) admit(spec *ibisjob.Job) ibisshare.Decision {
	if e.shares.baseline != nil {
		return e.shares.baseline(spec)
	}
	q := e.queues[spec.Queue]
	p := e.pool(q.Service)
	t := e.team(spec.Team)
	e.shares.ledger.Charge(e.now, t.name, t.weight, 0)
	if !p.full || !spec.RunsOnce() || slices.ContainsFunc(spec.Steps, func(st ibisjob.Step) bool { return st.LongRunning }) {
		return ibisshare.Decision{}
	}
	occ := probe(&job{spec: *spec, acceptedAt: e.now})
	lengths := e.lengths(occ)
	_, objective := e.objective(occ)
	width, work, free, size := 0.0, 0.0, 0.0, ibiswork.Resources{}
	for n := range spec.Steps {
		st := &spec.Steps[n]
		cores := p.cores(st.Size) * float64(st.Tasks)
		work += cores * lengths.steps[n].MeanMS
		if len(st.DependsOn) == 0 && cores > width {
			width, size = cores, st.Size
		}
	}
	length := max(float64(lengths.critical), work/max(float64(p.capacity.MilliCPU)/1000, 1e-9))
	ahead := e.workAhead(p, q.Priority, t)
	if free = e.freeCores(p, &q, size); free >= width {
		return ibisshare.Decision{} // what waits has no use for the free capacity
	}
	if ahead > 0 {
		free = 0
	}
	e.updateSupply(p, q.Service)
	a := ibisshare.Job{
		ID: string(spec.ID), Attempt: e.shares.refusals.attempts(spec.ID), AheadCoreMS: ahead, Better: p.better(e.now, q.Priority),
		WidthCores: width, FreeCores: free, LengthMS: length, ObjectiveMS: max(float64(objective), length),
		ShareRatio: e.shares.ledger.Ratio(e.now, t.name),
	}
	d := ibisshare.Decide(&p.supply, a)
	if d.Reason != ibisshare.Accepted {
		e.shares.refusals.add(e.now, spec.ID)
		entry := e.log.WithFields(log.Fields{
			"Job": a.ID, "Queue": spec.Queue, "Team": spec.Team, "BacklogMS": int64(p.backlogMS), "WaitMS": d.WaitMS, "LengthMS": int64(length),
			"ObjectiveMS": objective, "ShareRatio": math.Round(100*a.ShareRatio) / 100, "AheadCoreMS": int64(ahead), "Attempt": a.Attempt, "RetryMS": d.RetryMS,
		})
		if d.Reason == ibisshare.BeyondShare {
			entry.Info("JobRefusedBeyondShare")
		} else {
			entry.Info("JobRefusedTooLate")
		}
	}
	return d
}

// workAhead returns the waiting work, in core-milliseconds, that is placed before a new job of t.
func (e *Engine) workAhead(p *pool, priority int, t *team) float64 {
	better, own := 0.0, ibisshare.Claim{Weight: t.weight, Used: e.claimedUse(t)}
	var others []ibisshare.Claim
	for n := range p.claims {
		switch c := &p.claims[n]; {
		case c.priority < priority:
			better += c.coreMS
		case c.priority == priority && c.team == t.name:
			own.Waiting = c.coreMS
		case c.priority == priority:
			o := e.team(c.team)
			others = append(others, ibisshare.Claim{Weight: o.weight, Waiting: c.coreMS, Used: e.claimedUse(o)})
		}
	}
	return better + ibisshare.Ahead(own, others)
}

// claimedUse is the use of t by which teams are ordered, in core-milliseconds.
func (e *Engine) claimedUse(t *team) float64 {
	return e.cellCores(t.used)*ibisshare.WindowMS() + e.shares.ledger.Excess(e.now, t.name)
}

// updateSupply predicts how the running tasks of a service free capacity.
func (e *Engine) updateSupply(p *pool, service string) {
	if p.supplyAt != 0 && e.now-p.supplyAt < supplyAgeMS {
		return
	}
	p.supplyAt = e.now
	p.supply.Reset()
	for _, s := range e.sortedServers() {
		if s.info.Service != service || !e.counts(s) {
			continue
		}
		for _, r := range s.runs {
			spec := r.task.step.spec
			if spec.LongRunning {
				continue
			}
			ran := int64(0)
			switch r.state {
			case runSent, runRunning, runStopping:
				ran = e.now - cmp.Or(r.sentAt, r.since)
			case runRecovered:
				ran = e.now - r.since
			}
			p.supply.Add(int64(1000*p.cores(spec.Size)), float64(ran), float64(e.meanTaskMS(r.task.step)))
		}
	}
}

// freeCores returns the unused capacity in which tasks of the queue with the given size fit, and which is not kept for
// others.
func (e *Engine) freeCores(p *pool, q *ibisjob.Queue, size ibiswork.Resources) float64 {
	key := freeKey{size, q.Priority <= quickPriority}
	if cores, ok := p.free[key]; ok {
		return cores
	}
	slots := 0
	for _, s := range e.sortedServers() {
		if s.info.Service != q.Service || s.reservedFor != nil || !e.counts(s) || !e.forOthers(s) {
			continue
		}
		slots += slotsFor(s.room(key.headroom), &ibisjob.Step{Size: size})
	}
	p.free[key] = float64(slots) * p.cores(size)
	return p.free[key]
}

// refusals counts refusals by reason, and remembers refused jobs for a while. Its zero value is empty.
type refusals struct {
	counts          map[string]int
	recent, earlier map[ibisjob.ID]int // attempts; the earlier ones are forgotten next
	since           Time
}

// attempts returns how often the job has recently been refused.
func (r *refusals) attempts(id ibisjob.ID) int { return r.recent[id] + r.earlier[id] }

func (r *refusals) add(now Time, id ibisjob.ID) {
	if r.recent == nil || len(r.recent) >= refusalMemory || now-r.since > refusalMemoryMS {
		r.earlier, r.recent, r.since = r.recent, make(map[ibisjob.ID]int), now
	}
	r.recent[id]++
}

// refuse answers a submission that is refused, and counts it.
func (e *Engine) refuse(to uint64, reason string, retryMS int64) {
	if e.shares.refusals.counts == nil {
		e.shares.refusals.counts = make(map[string]int)
	}
	e.shares.refusals.counts[reason]++
	e.send(Answer{To: to, Outcome: Rejected, RetryMS: retryMS})
}

// addShares adds the figures of shares, headroom and refusals.
func (e *Engine) addShares(l *Load) {
	l.Refused = maps.Clone(e.shares.refusals.counts)
	if !e.anyFull() {
		return
	}
	l.TeamsAboveShare = e.shares.ledger.Above(e.now)
	for _, s := range e.servers {
		l.HeadroomMilliCPU += max(min(s.headroom.MilliCPU, s.freeMilliCPU()), 0)
	}
}
