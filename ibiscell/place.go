package ibiscell

import (
	"cmp"
	"math"
	"slices"

	"ibiscrank/ibiswork"
)

const (
	maxPlacementGapMS    = 100  // longest time between placements, since tickets expire and servers fail
	maxReservedFraction  = 0.3  // largest fraction of the servers that may be reserved for work that found no capacity
	minPlacementGapMS    = 4    // shortest time between placements
	stepsPerGapMS        = 12   // ready steps for which the gap grows by 1 ms, since a placement visits all of them
	fullServerSlots      = 0.25 // tasks that a full server counts for when a gang asks about it
	maxCallsAtOnce       = 3    // calls for one step at the same time
	spareCandidates      = 2    // servers asked about beyond the expected need
	widenBacklogMS       = 200  // backlog above which calls name more servers
	widenFraction        = 0.4  // extra time that these servers may cost, as a fraction of the time for a decision
	gangAskFactor        = 2    // overestimate of the need of a gang, whose servers must all be free at the same time
	yieldSlackMS         = 5000 // slack above which a step yields to waiting gangs
	yieldBacklogMS       = 500  // backlog above which steps yield to waiting gangs
	cautiousAttemptsLeft = 1    // attempts left at which a task prefers servers with a recent success
)

// pass is the state of one placement over all ready steps.
type pass struct {
	servers         []*server
	reservable      int  // number of servers that may still be reserved; the first gang may exceed it
	reservedByGangs int  // number of servers reserved for gangs
	gangsWaiting    bool // a gang that can still meet its objective did not fit
	trials          trialPass
	noRoom          map[noRoomKey][]ibiswork.Resources // sizes that fit on no server any more
}

// place assigns waiting tasks to servers, in the order of their rank.
func (e *Engine) place() {
	e.placementDue, e.lastPlacement = false, e.now
	e.trialsWaiting, e.trialsAhead, e.judged = 0, 0, [worthless + 1]int{}
	e.ready = slices.DeleteFunc(e.ready, func(st *step) bool { return st.unfinished == 0 || st.occ.job.state.Final() })
	if len(e.ready) == 0 {
		e.backlogMS = 0
		e.updatePools(nil)
		return
	}
	p := &pass{servers: e.sortedServers()}
	e.refreshPaces(p.servers)
	e.updateCaution()
	p.trials = e.newTrialPass(p.servers)
	p.reservable = int(math.Ceil(maxReservedFraction * float64(len(p.servers))))
	for _, s := range p.servers {
		s.reservedFor = nil
	}
	e.keepHeadroom(p)
	for _, st := range e.ranked(p) {
		e.placeStep(p, st)
	}
	e.updateBacklog(p)
	e.updatePools(p)
}

// placementGap returns the time that must pass between two placements, in milliseconds. It grows with the
// number of ready steps, so that placements do not take up all the time of a cell with a large backlog.
func (e *Engine) placementGap() int64 {
	return min(minPlacementGapMS+int64(len(e.ready)/stepsPerGapMS), maxPlacementGapMS)
}

// updateBacklog computes the backlog that is left after a placement: the time that the usable servers need for
// the waiting tasks, by CPU and without long-running ones and those that wait for a trial. Servers that are about to be claimed count too: a new
// leader must not count as overloaded before it has reached its servers.
func (e *Engine) updateBacklog(p *pass) {
	var capacity, work int64
	for _, s := range p.servers {
		if e.usable(s) || e.awaitingClaim(s) {
			capacity += s.info.Capacity.MilliCPU
		}
	}
	for _, st := range e.ready {
		if st.spec.LongRunning || st.awaitsTrial() {
			continue
		}
		weight := st.spec.Size.MilliCPU * e.meanTaskMS(st)
		for _, t := range st.tasks {
			if t.waiting() {
				work += weight
			}
		}
	}
	e.backlogMS = work / max(capacity, 1)
}

// rankedStep is a ready step with its sort keys.
type rankedStep struct {
	step        *step
	doubtful    bool // it waits for a trial after a crash, while jobs like its own crash servers
	late        lateness
	priority    int
	afterOthers bool // of its priority, see lateQuick
	share       float64
	since       Time
}

// lateness classifies a step by whether its job can still meet its latency objective.
type lateness int

const (
	inTime    lateness = iota // the objective can still be met
	late                      // the objective is missed, but not yet lateFactor times the objective
	worthless                 // the job has lost its value but must still be completed
)

const (
	lateFactor       = 3   // multiple of the latency objective within which the platform still credits a job
	estimateFraction = 0.7 // fraction of the estimated work that must fit in time, since estimates are rough
)

// lateness classifies st by its estimated end, if it were started now.
func (e *Engine) lateness(st *step) lateness {
	begin, length := e.objective(st.occ)
	end := e.now + int64(estimateFraction*float64(e.remainingMS(st)))
	switch {
	case end <= begin+length:
		return inTime
	case end <= begin+lateFactor*length:
		return late
	}
	return worthless
}

// ranked returns the steps that have tasks to place, ordered by whether they are doubtful, by lateness, by priority, by their team's use
// relative to its weight (see teamUse), and by age.
func (e *Engine) ranked(p *pass) []*step {
	var total ibiswork.Resources
	for _, s := range p.servers {
		total = total.Add(s.info.Capacity)
	}
	e.shares.total = total
	shares := make(map[string]float64)
	for name, t := range e.teams {
		shares[name] = e.teamUse(t, total) / max(t.weight, 1e-9)
	}
	list := make([]rankedStep, 0, len(e.ready))
	for _, st := range e.ready {
		if e.now < st.notBefore || !st.needsPlacement() {
			continue
		}
		j := st.occ.job
		r := rankedStep{step: st, doubtful: e.doubtful(st), late: e.lateness(st), priority: e.queues[j.spec.Queue].Priority, share: shares[j.spec.Team], since: j.acceptedAt}
		r.afterOthers = e.lateQuick(&r)
		list = append(list, r)
	}
	e.countLateness(list)
	slices.SortStableFunc(list, func(a, b rankedStep) int {
		return cmp.Or(
			compareBool(a.doubtful, b.doubtful), cmp.Compare(a.late, b.late), cmp.Compare(a.priority, b.priority),
			compareBool(a.afterOthers, b.afterOthers), cmp.Compare(a.share, b.share), cmp.Compare(a.since, b.since),
		)
	})
	steps := make([]*step, len(list))
	for n := range list {
		steps[n] = list[n].step
	}
	return steps
}

// needsPlacement reports whether st has tasks to place. A gang is placed only when no run of its last
// attempt is left.
func (st *step) needsPlacement() bool {
	if st.spec.Gang {
		for _, t := range st.tasks {
			if t.run != nil {
				return false
			}
		}
		return st.unfinished > 0
	}
	for _, t := range st.tasks {
		if t.waiting() {
			return true
		}
	}
	return false
}

// objective returns the time from which the latency of an occurrence counts, and its latency objective in
// milliseconds, by the expected length of its work.
func (e *Engine) objective(occ *occurrence) (begin Time, length int64) {
	j := occ.job
	q := e.queues[j.spec.Queue]
	begin = j.acceptedAt
	if !j.spec.RunsOnce() {
		begin = j.spec.StartAtMS + int64(occ.n)*j.spec.IntervalMS - e.unixOffset
	}
	return begin, int64(q.SlackFactor*float64(e.lengths(occ).critical)) + q.ObjectiveMS
}

// yieldsToGangs reports whether st can wait while the cell is full and still meet its objective. It would
// otherwise use capacity that waiting gangs need to be free at the same time.
func (e *Engine) yieldsToGangs(st *step) bool {
	if st.spec.LongRunning || e.backlogMS < yieldBacklogMS {
		return false
	}
	begin, length := e.objective(st.occ)
	return begin+length-e.now-e.remainingMS(st) > yieldSlackMS
}

func (e *Engine) placeStep(p *pass, st *step) {
	q := e.queues[st.occ.job.spec.Queue]
	if st.spec.Gang {
		e.placeGang(p, st, &q)
		return
	}
	if p.gangsWaiting && e.yieldsToGangs(st) {
		return
	}
	held := e.placeTrials(p, st, &q)
	if !slices.ContainsFunc(st.tasks, func(t *task) bool { return t.waiting() && !held[t] }) {
		return
	}
	found := e.candidates(p, st, &q)
	short := 0
	var pending []*run
	for _, t := range st.tasks {
		if !t.waiting() || held[t] {
			continue
		}
		c := e.bestCandidate(st, t, &q, found)
		if c == nil {
			short++
			continue
		}
		c.slots--
		n := t.lastRun + 1
		if c.valid {
			e.assignRun(e.newRun(t, c.server, n, runCommitting), c.ticket)
			continue
		}
		pending = append(pending, e.newRun(t, c.server, n, runAwaitingTicket))
	}
	if len(pending) > 0 {
		e.requestAdvice(st, e.addTicketRenewals(st, &q, serverIDs(pending), short), pending)
	}
	short = min(short, e.teamSlots(st)) // a team at its upper limit needs neither capacity nor advice
	if short > 0 && e.lateness(st) == inTime {
		e.reserveServers(p, st, &q, short)
	}
	if short > 0 && q.Advice != nil && st.adviceCache.pendingCalls == 0 && e.now >= st.adviceCache.nextCall {
		e.requestMoreAdvice(p, st, &q, short)
	}
}
