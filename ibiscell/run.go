package ibiscell

import (
	"slices"

	"github.com/apex/log"

	"ibiscrank/ibisjob"
)

type runState int

// run is one attempt to run a task on a backend server.
type run struct {
	task        *task
	name        RunName
	server      *server
	state       runState
	since       Time // when the current state was entered, but see Stopped; a report requested later knows of it
	sentAt      Time // when the first start order was sent; 0: not sent, or by a previous leader
	ticket      string
	retryAt     Time  // when the order is sent again; 0: no retry is due
	ordersSent  int   // start or stop orders sent
	startSentAt Time  // when the latest start order was sent
	startFence  int64 // fencing token of the latest start order
	firstFence  int64 // of the first one
	answered    bool  // a start order has been answered
	confirmed   bool  // by the present incarnation, as the clock in the answer shows
	leasedUntil Time  // by when all leases that cover it have expired, as the previous leader knew; 0: as those of the server
	repeated    bool  // the start order has been sent more than once
	stopped     bool  // the server has confirmed the stop order
	listed      bool  // the present incarnation of the server has listed it as running

	sentClockMS    int64     // the server's clock when the first start order was sent
	startedClockMS int64     // the server's clock when the start was known to have been carried out; 0: not known
	resumed        bool      // it began from a checkpoint
	survived       bool      // the server has been running for startupMS since then
	crash          crashKind // its server has crashed; the run's end has not been concluded yet
	crashOf        int64     // the incarnation that has crashed
	trial          trial
	quick          bool // it was a quick task when it was placed
}

// newRun assigns t to s in the given state and charges its size to the server and the team.
func (e *Engine) newRun(t *task, s *server, n int64, state runState) *run {
	r := &run{task: t, name: RunName{Task: t.name(), Run: n}, server: s, state: state, since: e.now}
	t.run = r
	t.lastRun = max(t.lastRun, n)
	s.runs[r.name] = r
	size := t.step.spec.Size
	s.used = s.used.Add(size)
	tm := e.team(t.step.occ.job.spec.Team)
	tm.used = tm.used.Add(size)
	r.quick = e.quickStep(t.step)
	e.countQuick(r, 1)
	return r
}

// release removes r and returns its capacity to the server and the team.
func (e *Engine) release(r *run) {
	if r.server.runs[r.name] != r {
		return
	}
	delete(r.server.runs, r.name)
	e.endTrial(r)
	size := r.task.step.spec.Size
	r.server.used = r.server.used.Sub(size)
	tm := e.team(r.task.step.occ.job.spec.Team)
	tm.used = tm.used.Sub(size)
	e.countQuick(r, -1)
	if r.task.run == r {
		r.task.run = nil
	}
	e.placementDue = true
}

func (e *Engine) setState(r *run, state runState) { r.state, r.since = state, e.now }

// assignRun journals the assignment of r; the start order is sent once that is committed.
func (e *Engine) assignRun(r *run, ticket string) {
	r.ticket = ticket
	e.setState(r, runCommitting)
	j := r.task.step.occ.job
	e.markDirty(j, func() { e.startAssigned(r) })
}

func (e *Engine) startAssigned(r *run) {
	if r.state != runCommitting || r.server.runs[r.name] != r {
		return
	}
	j := r.task.step.occ.job
	if j.state.Final() || r.task.done {
		e.endRun(r, RunStopped, "")
		return
	}
	if s := r.server; !e.takesStarts(s) || e.evacuationsUnknown() {
		e.runLog(r).WithFields(log.Fields{
			"Listed": s.listed, "Leaving": s.info.Leaving, "Crashed": s.crashSeen, "Evacuated": e.evacuated(s),
			"UsedMilliCPU": s.used.MilliCPU, "CapacityMilliCPU": s.info.Capacity.MilliCPU,
		}).Info("StartNotSent")
		e.endRun(r, RunStopped, "")
		return
	}
	if !e.refreshTicket(r) {
		e.setState(r, runAssigned)
		e.unticketed = append(e.unticketed, r)
		return
	}
	e.setState(r, runSent)
	e.sendStart(r)
}

// refreshTicket replaces the ticket of r by the latest one for its server, and reports whether that can be used now.
func (e *Engine) refreshTicket(r *run) bool {
	st := r.task.step
	if e.queues[st.occ.job.spec.Queue].Advice == nil {
		return true
	}
	ap := st.adviceCache.find(r.server.info.ID)
	if ap == nil || !ap.ok || ap.incarnation != r.server.info.Incarnation || e.now+ticketMarginMS >= ap.until {
		return false
	}
	r.ticket = ap.ticket
	return true
}

// renewTickets requests new tickets for the runs whose tickets have expired while their assignments were committed.
func (e *Engine) renewTickets() {
	byStep := make(map[*step][]*run)
	var steps []*step
	for _, r := range e.unticketed {
		st := r.task.step
		if byStep[st] == nil {
			steps = append(steps, st)
		}
		byStep[st] = append(byStep[st], r)
	}
	e.unticketed = nil
	for _, st := range steps {
		for runs := range slices.Chunk(byStep[st], maxServersPerCall) {
			e.requestAdvice(st, serverIDs(runs), runs)
		}
	}
}

// abandon gives up a run that waits for a ticket.
func (e *Engine) abandon(r *run) {
	if r.state == runAssigned {
		e.endRun(r, RunStopped, "")
		return
	}
	e.release(r)
}

func (e *Engine) sendStart(r *run) {
	end := int64(0)
	if !r.server.renewFailed {
		end = e.leaseEnd(r.server)
	}
	if end == 0 { // no lease can be granted now
		e.retryAfter(r, orderRetryMS)
		return
	}
	if e.startsPutOff(r.server) {
		e.retryAfter(r, putOffMS)
		return
	}
	r.ordersSent++
	r.startSentAt, r.startFence, r.repeated = e.now, r.server.fences.start(), r.ordersSent > 1
	r.server.openStarts = append(r.server.openStarts, openStart{run: r.name, fence: r.startFence, at: e.now})
	if r.sentAt == 0 {
		r.firstFence = r.startFence
		r.sentAt, r.sentClockMS = e.now, r.server.clockNow(e.now)
		r.resumed = r.task.checkpoint != ""
	}
	e.send(Start{
		Target: r.server.info.Target, Name: r.name, Spec: r.task.step.occ.job.spec.Spec, LeaseEndMS: end,
		Fence: r.startFence, Checkpoint: r.task.checkpoint, Ticket: r.ticket,
	})
}

func (e *Engine) sendStop(r *run) {
	r.ordersSent++
	e.orderStop(r.server, r.name)
}

// orderBackoff returns the delay, in milliseconds, after the given number of orders without a reply.
func orderBackoff(sent int) int64 {
	return min(int64(orderRetryMS)<<min(max(sent-1, 0), maxOrderDoublings), orderRetryMaxMS)
}

func (e *Engine) retryAfter(r *run, ms int64) {
	if r.retryAt == 0 {
		e.retries = append(e.retries, r)
	}
	r.retryAt = e.now + ms
}

// resend repeats the orders that had no reply and are due for a retry.
func (e *Engine) resend() {
	kept := e.retries[:0]
	for _, r := range e.retries {
		if r.server.runs[r.name] != r || r.state == runRunning || r.state == runStopping && r.stopped {
			r.retryAt = 0
			continue
		}
		if e.now < r.retryAt {
			kept = append(kept, r)
			continue
		}
		r.retryAt = 0
		switch r.state {
		case runSent:
			if s := r.server; s.overcommitted() || s.info.Leaving || s.crashSeen || e.evacuated(s) || e.evacuationsUnknown() || r.trial != noTrial { // it may have been carried out
				e.stopRun(r)
				continue
			}
			if r.ordersSent > 0 && r.server.reportAskedAt <= r.startSentAt {
				r.retryAt = e.now + reportPollMS
				kept = append(kept, r)
				continue
			}
			e.sendStart(r)
		case runStopping:
			e.sendStop(r)
		}
		if r.retryAt != 0 { // queued again by retryAfter
			kept = append(kept, r)
		}
	}
	e.retries = kept
}

// Started processes the reply to a Start with a fencing token.
func (e *Engine) Started(now Time, t Target, name RunName, fence int64, reply StartReply) {
	e.now = now
	r := e.findRun(t, name)
	if r == nil {
		return
	}
	outcome := reply.Outcome
	e.startAnswered(r, fence, reply)
	if r.state != runSent {
		return
	}
	if outcome != OrderDone {
		e.runLog(r).WithFields(log.Fields{"Outcome": string(outcome), "Tries": r.ordersSent}).Info("StartAnswered")
	}
	mayHaveStarted := r.ordersSent > 1
	switch outcome {
	case OrderDone:
		r.server.lastContact = now
		r.startedClockMS = r.server.clockNow(now)
		r.server.answeredClockMS = max(r.server.answeredClockMS, r.sentClockMS)
		e.setState(r, runRunning)
		e.markStarted(r.task.step.occ.job)
	case OrderFenced:
		e.fenced(r.server, fence)
		e.retryAfter(r, orderBackoff(r.ordersSent))
	case OrderReplaced:
		e.serverCrashed(r.server, "StartReplaced", false)
		if !mayHaveStarted {
			e.dropCrash(r.task, r.name.Run)
		}
		e.endRun(r, RunLost, "")
	case OrderStale, OrderInvalid, OrderNoRoom, OrderBadTicket, OrderLate, OrderBusy, OrderUnreachable:
		e.startRefused(r, outcome, mayHaveStarted)
	default:
		e.retryAfter(r, orderBackoff(r.ordersSent))
	}
}

// markStarted records that a task of j has started.
func (e *Engine) markStarted(j *job) {
	if j.started || j.state.Final() {
		return
	}
	j.started, j.state, j.reportedState = true, ibisjob.Active, ibisjob.Active
	// Journalled with the job's next change only: after a change of leader the servers' reports show it too.
	j.startedAt = e.now
}

// startRefused handles a start order that the server refused. If an earlier order had no reply, the run may
// have started all the same, so it is stopped instead of forgotten.
func (e *Engine) startRefused(r *run, outcome OrderOutcome, mayHaveStarted bool) {
	s := r.server
	switch outcome {
	case OrderNoRoom, OrderBusy, OrderUnreachable:
		s.asideUntil = max(s.asideUntil, e.now+noCapacityPauseMS)
	case OrderBadTicket:
		r.task.step.adviceCache.invalidateTicket(s.info.ID)
	}
	if mayHaveStarted {
		e.stopRun(r)
		return
	}
	e.clearCrash(r)
	e.endRun(r, RunStopped, "")
}

// Stopped processes the answer to a Stop with a fencing token.
func (e *Engine) Stopped(now Time, t Target, name RunName, fence int64, outcome OrderOutcome) {
	e.now = now
	r := e.findRun(t, name)
	if r == nil || r.state != runStopping {
		return
	}
	switch outcome {
	case OrderDone, OrderStale:
		r.stopped, r.since = true, now
		r.server.nextRenewal = now
	case OrderFenced:
		e.fenced(r.server, fence)
		e.retryAfter(r, orderBackoff(r.ordersSent))
	case OrderReplaced:
		e.serverCrashed(r.server, "StopReplaced", false)
		e.endRun(r, RunLost, "")
	default:
		e.retryAfter(r, orderBackoff(r.ordersSent))
	}
}

func (e *Engine) findRun(t Target, name RunName) *run {
	s := e.servers[t.ID]
	if s == nil || s.info.Incarnation != t.Incarnation {
		return nil
	}
	return s.runs[name]
}

// confirmRunning processes the entry for r in its server's list of runs. A run
// that is still listed long after its stop was confirmed is stopped again.
func (e *Engine) confirmRunning(r *run, active ActiveRun) {
	e.markListed(r)
	e.startedOnSuccessor(r)
	if r.startedClockMS == 0 {
		r.startedClockMS = r.server.clockMS
	}
	switch r.state {
	case runSent, runRecovered:
		e.setState(r, runRunning)
		if r.task.done || r.task.step.occ.job.state.Final() {
			e.stopRun(r)
			return
		}
		e.markStarted(r.task.step.occ.job)
	case runStopping:
		if r.stopped && e.now-r.since > orderRetryMaxMS {
			r.stopped, r.ordersSent = false, 0
			e.sendStop(r)
			e.retryAfter(r, orderRetryMS)
		}
	}
	if active.Checkpoint != "" {
		r.task.checkpoint = active.Checkpoint
	}
}

// stopRun stops r, whatever its state.
func (e *Engine) stopRun(r *run) {
	switch r.state {
	case runStopping:
		return
	case runAwaitingTicket:
		e.release(r)
		return
	case runCommitting, runAssigned:
		e.endRun(r, RunStopped, "")
		return
	}
	e.setState(r, runStopping)
	r.ordersSent, r.stopped = 0, false
	e.sendStop(r)
}

func (e *Engine) runLog(r *run) *log.Entry {
	return r.task.step.occ.job.log(e).WithFields(log.Fields{"Task": r.name.Task, "Run": r.name.Run, "Server": r.server.info.ID})
}
