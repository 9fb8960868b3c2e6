package ibiscell

import (
	"cmp"
	"math"
	"slices"

	"ibiscrank/ibiswork"
)

const (
	placeEveryMS     = 100  // a placement at least this often while tasks wait: tickets age and servers fail
	claimedPart      = 0.3  // of the servers, at most, that work without room may keep from work of lower rank
	placeGapMS       = 4    // between placements
	stepsPerGapMS    = 12   // ready steps for which the gap grows by 1 ms, since a placement looks at all of them
	emptyingSlots    = 0.25 // tasks for which a server without room counts when a gang asks about it
	maxCallsAtOnce   = 3    // for one step
	spareCandidates  = 2    // named to the advice service beyond those that are needed
	widenBacklogMS   = 200  // of waiting work, from which more servers are named
	widenPart        = 0.4  // of the time for a decision that may be spent on them
	gangAskFactor    = 2    // for a gang all of its servers must be free at once
	yieldSlackMS     = 5000 // of a step that leaves room to waiting gangs
	yieldBacklogMS   = 500  // of waiting work, from which such steps do so
	lateAttemptsLeft = 1    // attempts left with which a task goes to proven servers only
)

// pass is one placement over all ready steps.
type pass struct {
	servers   []*server
	claims    int  // servers that may still be claimed; one gang may claim more
	claimed   int  // servers that gangs have claimed
	gangsWait bool // gangs that can still be in time have found no room
}

// place gives waiting tasks their servers, in order of rank.
func (e *Engine) place() {
	e.replace, e.placedAt = false, e.now
	e.ready = slices.DeleteFunc(e.ready, func(st *step) bool { return st.left == 0 || st.occ.job.state.Final() })
	if len(e.ready) == 0 {
		e.backlogMS = 0
		return
	}
	p := &pass{servers: e.sortedServers()}
	p.claims = int(math.Ceil(claimedPart * float64(len(p.servers))))
	for _, s := range p.servers {
		s.claimedBy = nil
	}
	for _, st := range e.ranked(p) {
		e.placeStep(p, st)
	}
	e.measureBacklog(p)
}

// placeGap is the time between two placements. It grows with the work of one, so that a cell with much waiting
// work does not spend its time on looking through it.
func (e *Engine) placeGap() int64 {
	return min(placeGapMS+int64(len(e.ready)/stepsPerGapMS), placeEveryMS)
}

// measureBacklog sums up the work that waits after a placement.
func (e *Engine) measureBacklog(p *pass) {
	var capacity, work int64
	for _, s := range p.servers {
		if e.usable(s) || s.awaited() {
			capacity += s.info.Capacity.MilliCPU
		}
	}
	for _, st := range e.ready {
		if st.spec.LongRunning {
			continue
		}
		for _, t := range st.tasks {
			if t.waiting() {
				work += st.spec.Size.MilliCPU * max(st.spec.EstimateMS, 1)
			}
		}
	}
	e.backlogMS = work / max(capacity, 1)
}

// rankedStep is a ready step with what its rank goes by.
type rankedStep struct {
	step     *step
	late     lateness
	priority int
	share    float64
	since    Time
}

// lateness says what a step's job can still be worth.
type lateness int

const (
	inTime  lateness = iota // it can still meet its latency objective
	late                    // it cannot, but within lateFactor times the objective it is worth something
	useless                 // it has to be done all the same
)

const (
	lateFactor   = 3   // times the latency objective, from the platform's page
	estimatePart = 0.7 // of the estimated work that must still fit in, since estimates are rough
)

// lateness goes by the work that the job has before it, were it started now.
func (e *Engine) lateness(st *step) lateness {
	begin, length := e.objective(st.occ)
	end := e.now + int64(estimatePart*float64(st.remainingMS()))
	switch {
	case end <= begin+length:
		return inTime
	case end <= begin+lateFactor*length:
		return late
	}
	return useless
}

// remainingMS is the estimated length of the chain of work that begins with st.
func (st *step) remainingMS() int64 {
	if st.remaining == 0 {
		steps := st.occ.steps
		longest := make([]int64, len(steps))
		for n := len(steps) - 1; n >= 0; n-- {
			longest[n] += steps[n].spec.EstimateMS
			for _, d := range steps[n].spec.DependsOn {
				longest[d] = max(longest[d], longest[n])
			}
		}
		st.remaining = max(longest[st.n], 1)
	}
	return st.remaining
}

// ranked orders the steps that have waiting tasks: those that can still be in time before late ones, then
// by priority, by the use of their team for its weight, and by age.
func (e *Engine) ranked(p *pass) []*step {
	var total ibiswork.Resources
	for _, s := range p.servers {
		total = total.Add(s.info.Capacity)
	}
	shares := make(map[string]float64)
	for name, t := range e.teams {
		shares[name] = t.used.Dominant(total) / max(t.weight, 1e-9)
	}
	list := make([]rankedStep, 0, len(e.ready))
	for _, st := range e.ready {
		if e.now < st.pauseTo || !st.wants() {
			continue
		}
		j := st.occ.job
		list = append(list, rankedStep{
			step: st, late: e.lateness(st), priority: e.queues[j.spec.Queue].Priority,
			share: shares[j.spec.Team], since: j.acceptedAt,
		})
	}
	slices.SortStableFunc(list, func(a, b rankedStep) int {
		return cmp.Or(cmp.Compare(a.late, b.late), cmp.Compare(a.priority, b.priority), cmp.Compare(a.share, b.share), cmp.Compare(a.since, b.since))
	})
	steps := make([]*step, len(list))
	for n := range list {
		steps[n] = list[n].step
	}
	return steps
}

// wants reports whether st has tasks to place; a gang waits until none of its last run is left.
func (st *step) wants() bool {
	if st.spec.Gang {
		for _, t := range st.tasks {
			if t.run != nil {
				return false
			}
		}
		return st.left > 0
	}
	for _, t := range st.tasks {
		if t.waiting() {
			return true
		}
	}
	return false
}

// objective is the time from which the latency of an occurrence counts, and its latency objective.
func (e *Engine) objective(occ *occurrence) (begin Time, length int64) {
	j := occ.job
	q := e.queues[j.spec.Queue]
	begin = j.acceptedAt
	if !j.spec.RunsOnce() {
		begin = j.spec.StartAtMS + int64(occ.n)*j.spec.IntervalMS - e.unixOffset
	}
	if j.pathMS == 0 {
		j.pathMS = max(j.spec.CriticalPathMS(), 1)
	}
	return begin, int64(q.SlackFactor*float64(j.pathMS)) + q.ObjectiveMS
}

// yields reports whether st can wait and still be in time, while the cell is full: it would take the holes that
// gangs need to be empty together.
func (e *Engine) yields(st *step) bool {
	if st.spec.LongRunning || e.backlogMS < yieldBacklogMS {
		return false
	}
	begin, length := e.objective(st.occ)
	return begin+length-e.now-st.remainingMS() > yieldSlackMS
}

func (e *Engine) placeStep(p *pass, st *step) {
	q := e.queues[st.occ.job.spec.Queue]
	if st.spec.Gang {
		e.placeGang(p, st, &q)
		return
	}
	if p.gangsWait && e.yields(st) {
		return
	}
	found := e.candidates(p, st, &q)
	short := 0
	var renew []*run
	for _, t := range st.tasks {
		if !t.waiting() {
			continue
		}
		c := e.best(st, t, &q, found)
		if c == nil {
			short++
			continue
		}
		c.slots--
		n := t.lastRun + 1
		if c.valid {
			e.assignRun(e.newRun(t, c.server, n, runJournaling), c.ticket)
			continue
		}
		renew = append(renew, e.newRun(t, c.server, n, runReserved))
	}
	if len(renew) > 0 {
		e.ask(st, e.renewMore(st, &q, serversOf(renew), short), renew)
	}
	short = min(short, e.teamRoom(st)) // a team at its upper limit needs neither room nor advice
	if short > 0 && e.lateness(st) == inTime {
		e.claimRoom(p, st, &q, short)
	}
	if short > 0 && q.Advice != nil && st.advised.asking == 0 && e.now >= st.advised.nextAt {
		e.askMore(p, st, &q, short)
	}
}
