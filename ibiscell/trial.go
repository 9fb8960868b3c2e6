package ibiscell

import (
	"math"
	"slices"

	"github.com/apex/log"

	"ibiscrank/ibisjob"
)

// trial says for how long nothing else is started on the server of a run, so that a crash of the server tells whether the
// run causes it.
type trial int

const (
	noTrial    trial = iota
	trialShort       // until the run, or its gang, has survived its start
	trialLong        // until the run ends, longTrialMS at most
)

const (
	minTrialFraction   = 0.25              // fraction of the servers that may have trials, or have crashed under one, at the same time
	lateTrialFraction  = 0.1               // the same for trials of tasks that are late
	maxTrialFraction   = 0.5               // both without a backlog of other work
	keptForTrialMS     = 500               // a server that has come back or has survived a trial is kept free for the next one for so long
	maxRunsBesideTrial = 1                 // if it has no more runs than these
	busyUse            = 0.5               // part of the capacity in use from which on other work has to be considered
	initialTrialMS     = 1000              // assumed time for which a trial occupies its server
	trialWeight        = 0.1               // of one trial in the moving average of these times
	busyBacklogMS      = overloadBacklogMS // backlog of other work from which on minTrialFraction holds
)

// trialPass is the part of a placement that concerns trials.
type trialPass struct {
	free        int // servers that may still be used for trials
	freeForLate int // the same for steps that are late already
	running     int // servers with trials, crashed ones included
	asks        int // steps that may still ask for advice about servers for trials
}

// use counts n more servers with trials.
func (p *trialPass) use(n int) {
	p.running += n
	p.free -= n
	p.freeForLate -= n
}

func (e *Engine) newTrialPass(servers []*server) trialPass {
	var capacity, used int64
	for _, s := range servers {
		if e.usable(s) {
			capacity, used = capacity+s.info.Capacity.MilliCPU, used+s.used.MilliCPU
		}
	}
	idle := max(1-float64(e.backlogMS)/busyBacklogMS, 1-float64(used)/(busyUse*float64(max(capacity, 1))), 0)
	limit := func(fraction float64) int {
		return int(math.Ceil((fraction + idle*(maxTrialFraction-fraction)) * float64(len(servers))))
	}
	p := trialPass{free: limit(minTrialFraction), freeForLate: limit(lateTrialFraction)}
	p.asks, e.trialServers = p.free, p.free
	for _, s := range servers {
		if s.trialRuns > 0 {
			p.use(1)
		}
	}
	kept := 0
	for _, s := range servers {
		if s.trialRuns > 0 || e.now >= s.trialUntil {
			continue
		}
		if kept++; kept > p.free {
			s.trialUntil = 0
		}
	}
	e.keepable = p.free - kept
	return p
}

// keepForTrials keeps s free for the next trial, if any are waiting, since a crash there would take little along.
func (e *Engine) keepForTrials(s *server) {
	if e.trialsWaiting > 0 && e.keepable > 0 && len(s.runs) <= maxRunsBesideTrial {
		e.keepable--
		s.trialUntil = e.now + keptForTrialMS
	}
}

// forOthers reports whether tasks without a trial may be placed on s.
func (e *Engine) forOthers(s *server) bool { return s.trialRuns == 0 && e.now >= s.trialUntil }

// beginTrial keeps other starts off the server of r.
func (e *Engine) beginTrial(r *run, kind trial) {
	r.trial = kind
	r.server.trialRuns++
	r.server.trialUntil = 0
	if n := len(*r.task.crashRecords()); n > 0 {
		e.runLog(r).WithFields(log.Fields{"Crashes": n, "Long": kind == trialLong}).Info("TrialPlaced")
	}
}

// endTrial lets others start on the server of r.
func (e *Engine) endTrial(r *run) {
	if r.trial != noTrial {
		if r.trial == trialShort && r.sentAt != 0 {
			e.trialMS += trialWeight * (float64(e.now-r.sentAt) - e.trialMS)
		}
		r.trial = noTrial
		r.server.trialRuns--
		e.keepForTrials(r.server)
		e.placementDue = true
	}
}

// openForTrial reports whether a trial may begin on s: all that has been started there has survived.
func (s *server) openForTrial() bool {
	if s.trialRuns > 0 {
		return false
	}
	for _, r := range s.runs {
		if !r.survived {
			return false
		}
	}
	return true
}

// onTrial reports whether a run of st is on trial.
func (st *step) onTrial() bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return t.run != nil && t.run.trial != noTrial })
}

// suspected reports whether all waiting tasks of st need a trial because of crashes under them.
func (st *step) suspected() bool {
	if st.spec.Gang {
		return st.tasks[0].trialOf() != noTrial
	}
	for _, t := range st.tasks {
		if t.waiting() && t.trialOf() == noTrial {
			return false
		}
	}
	return true
}

// awaitsTrial reports whether all waiting tasks of st wait for a trial, of their own or of the first one.
func (st *step) awaitsTrial() bool { return st.tryFirst && !st.survived || st.suspected() }

// trialFor returns how t is to be placed. While jobs like its own crash servers, the first task of each step is tried
// before the others start; wait is set for these.
func (e *Engine) trialFor(t *task, cautious bool) (kind trial, wait bool) {
	if cautious {
		t.step.tryFirst = true
	}
	if kind := t.trialOf(); kind != noTrial {
		return kind, false
	}
	if !t.step.tryFirst || t.step.survived {
		return noTrial, false
	}
	return trialShort, t.step.onTrial()
}

// placeTrials places the tasks of st that need a trial, and returns those of the waiting tasks that are not to be placed
// otherwise.
func (e *Engine) placeTrials(p *pass, st *step, q *ibisjob.Queue) (held map[*task]bool) {
	cautious := e.cautious(st)
	if !cautious && !st.tryFirst && !slices.ContainsFunc(st.tasks, func(t *task) bool { return len(t.crashes) > 0 }) {
		return nil
	}
	held = make(map[*task]bool)
	for _, t := range st.tasks {
		if !t.waiting() {
			continue
		}
		kind, wait := e.trialFor(t, cautious)
		if kind == noTrial {
			continue
		}
		held[t] = true
		if wait {
			continue
		}
		e.countWaitingTrial(st)
		if e.roomForTrial(p, st) > 0 {
			e.placeTrial(p, t, q, kind)
		}
	}
	return held
}

func (e *Engine) countWaitingTrial(st *step) {
	e.trialsWaiting++
	if !e.doubtful(st) {
		e.trialsAhead++
	}
}

// awaitedTrialMS returns how long a job of the given queue and team would wait for its first trial, or 0 if none is needed.
func (e *Engine) awaitedTrialMS(queue, team string) int64 {
	if !e.caution[account{queue, team}] && !e.caution[account{queue: queue}] {
		return 0
	}
	return int64(float64(e.trialsAhead) * e.trialMS / float64(max(e.trialServers, 1)))
}

// roomForTrial returns how many more servers may be used for a trial of st.
func (e *Engine) roomForTrial(p *pass, st *step) int {
	if e.lateness(st) != inTime || e.doubtful(st) {
		return min(p.trials.free, p.trials.freeForLate)
	}
	return p.trials.free
}

// doubtful reports whether a run of each waiting task of st was the last to start on a server that has crashed, while jobs
// like its own crashed servers.
func (e *Engine) doubtful(st *step) bool {
	if !st.tryFirst && !e.cautious(st) {
		return false
	}
	for _, t := range st.tasks {
		if t.waiting() && !t.primeSuspect() {
			return false
		}
		if st.spec.Gang {
			break
		}
	}
	return true
}

// placeTrial starts t on the server with the least work, or asks for advice about more servers.
func (e *Engine) placeTrial(p *pass, t *task, q *ibisjob.Queue, kind trial) {
	st := t.step
	var best *candidate
	list := e.trialCandidates(p, st, q)
	for n := range list {
		if c := &list[n]; best == nil || e.betterForTrial(t, c, best) {
			best = c
		}
	}
	if best == nil {
		e.requestTrialAdvice(p, st, q, 1)
		return
	}
	r := e.newRun(t, best.server, t.lastRun+1, runAwaitingTicket)
	e.beginTrial(r, kind)
	p.trials.use(1)
	if best.valid {
		e.assignRun(r, best.ticket)
		return
	}
	e.requestAdvice(st, serverIDs([]*run{r}), []*run{r})
}

func (e *Engine) trialCandidates(p *pass, st *step, q *ibisjob.Queue) []candidate {
	return e.candidatesAmong(p, st, q, (*server).openForTrial)
}

// betterForTrial prefers a server on which t has not failed last, then the one with less work that a crash would take
// along, then a valid ticket.
func (e *Engine) betterForTrial(t *task, a, b *candidate) bool {
	if last := a.server.info.ID == t.failedOn; last != (b.server.info.ID == t.failedOn) {
		return !last
	}
	if a.server.used.MilliCPU != b.server.used.MilliCPU {
		return a.server.used.MilliCPU < b.server.used.MilliCPU
	}
	return a.valid && !b.valid
}

func (e *Engine) requestTrialAdvice(p *pass, st *step, q *ibisjob.Queue, tasks int) {
	if q.Advice == nil || p.trials.asks <= 0 {
		return
	}
	if st.adviceCache.pendingCalls == 0 && e.now >= st.adviceCache.nextCall {
		e.requestMoreAdvice(p, st, q, tasks)
	}
	if st.adviceCache.pendingCalls > 0 {
		p.trials.asks--
	}
}

// placeGangTrial starts a gang that needs a trial. It may use more servers than other trials if it is the only one.
func (e *Engine) placeGangTrial(p *pass, st *step, q *ibisjob.Queue, kind trial) {
	e.countWaitingTrial(st)
	if e.roomForTrial(p, st) <= 0 || e.teamSlots(st) < len(st.tasks) {
		return
	}
	chosen, left := chooseServers(e.trialCandidates(p, st, q), st)
	if left > 0 {
		e.requestTrialAdvice(p, st, q, len(st.tasks))
		return
	}
	if len(chosen) > p.trials.free && p.trials.running > 0 {
		return
	}
	e.startGang(st, chosen)
	for _, t := range st.tasks {
		if t.run != nil {
			e.beginTrial(t.run, kind)
		}
	}
	p.trials.use(len(chosen))
}
