package ibiscell

import (
	"strconv"

	"github.com/apex/log"

	"ibiscrank/ibisjob"
)

// job is an accepted job. Its state as callers see it, shown, lags behind state until the commit.
type job struct {
	spec        ibisjob.Job
	state       ibisjob.State
	shown       ibisjob.State
	started     bool
	startedAt   Time // 0: by an earlier leader, or not yet
	assigned    bool // a task has been assigned to a server
	accepted    bool // its row is committed
	acceptedAt  Time
	occurrences []*occurrence // those that have begun and have not ended
	nextTime    int           // the next occurrence to begin
	waiters     []uint64      // callers that wait for the commit of its row
	pathMS      int64         // its critical path, once it has been asked for
	dirt        dirt
}

// occurrence is one time that the steps of a job run.
type occurrence struct {
	job   *job
	n     int
	steps []*step
	left  int // steps that are not done
}

// step is one step of an occurrence.
type step struct {
	occ     *occurrence
	n       int
	spec    *ibisjob.Step
	name    string
	tasks   []*task
	left    int // tasks that are not done
	open    bool
	openAt  Time
	advised advised
	fails   int // of a gang
	pauseTo Time

	remaining int64 // the chain of work from here on, once it has been asked for
}

// task is one of the equal tasks of a step.
type task struct {
	step       *step
	index      int
	done       bool
	run        *run // the run that is under way
	lastRun    int64
	fails      int
	checkpoint string
	failedOn   string // the server of the last failed run
}

type runState int

// The states of a run.
const (
	runReserved   runState = iota // keeps room while its ticket is asked for
	runJournaling                 // its assignment is being committed
	runSent                       // the order is under way, or its outcome is unknown
	runRunning                    // the server has confirmed it
	runStopping                   // a stop has been sent
	runRecovered                  // found in the journal by a new leader, not yet at the server
)

// run is one start of a task at one server.
type run struct {
	task    *task
	name    RunName
	server  *server
	state   runState
	since   Time // of the state
	ticket  string
	retryAt Time
	tries   int
	stopped bool // the server has answered a stop
	percent int
	movedAt Time // when the percentage last changed
}

const (
	orderRetryMS      = 400 // after an order without a reply
	orderRetryMaxMS   = 1600
	roomPauseMS       = 300 // after a server without room, which the engine believed to have some
	longRunPauseMS    = 300 // before a long-running task starts again
	maxOrderDoublings = 2
)

func (j *job) log(e *Engine) *log.Entry {
	return e.log.WithFields(log.Fields{"Job": string(j.spec.ID), "Queue": j.spec.Queue, "Team": j.spec.Team})
}

// newOccurrence makes the steps of one occurrence and opens those that depend on nothing.
func (e *Engine) newOccurrence(j *job, n int) *occurrence {
	occ := &occurrence{job: j, n: n, left: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		name := ibisjob.StepName{Job: j.spec.ID, Occurrence: n, Step: i}
		st := &step{occ: occ, n: i, spec: spec, name: name.String(), left: spec.Tasks}
		st.tasks = make([]*task, spec.Tasks)
		for k := range st.tasks {
			st.tasks[k] = &task{step: st, index: k}
		}
		occ.steps = append(occ.steps, st)
	}
	j.occurrences = append(j.occurrences, occ)
	return occ
}

// openSteps makes the steps of occ ready whose dependencies are done.
func (e *Engine) openSteps(occ *occurrence) {
	for _, st := range occ.steps {
		if st.open || st.left == 0 || !occ.ready(st) {
			continue
		}
		st.open, st.openAt = true, e.now
		e.ready = append(e.ready, st)
		e.replace = true
	}
}

func (o *occurrence) ready(st *step) bool {
	for _, d := range st.spec.DependsOn {
		if o.steps[d].left > 0 {
			return false
		}
	}
	return true
}

func (t *task) name() string { return t.step.name + "." + strconv.Itoa(t.index) }

// waiting reports whether t needs a place.
func (t *task) waiting() bool { return !t.done && t.run == nil }

// newRun assigns t to s and counts its room there. Its state says what it waits for.
func (e *Engine) newRun(t *task, s *server, n int64, state runState) *run {
	r := &run{task: t, name: RunName{Task: t.name(), Run: n}, server: s, state: state, since: e.now}
	t.run = r
	t.lastRun = max(t.lastRun, n)
	s.runs[r.name] = r
	size := t.step.spec.Size
	s.used = s.used.Add(size)
	own := e.team(t.step.occ.job.spec.Team)
	own.used = own.used.Add(size)
	return r
}

// release frees the room of r.
func (e *Engine) release(r *run) {
	if r.server.runs[r.name] != r {
		return
	}
	delete(r.server.runs, r.name)
	size := r.task.step.spec.Size
	r.server.used = r.server.used.Sub(size)
	own := e.team(r.task.step.occ.job.spec.Team)
	own.used = own.used.Sub(size)
	if r.task.run == r {
		r.task.run = nil
	}
	e.replace = true
}

func (e *Engine) setState(r *run, state runState) { r.state, r.since = state, e.now }

// assignRun journals the assignment of r; its start is sent when that is committed.
func (e *Engine) assignRun(r *run, ticket string) {
	r.ticket = ticket
	e.setState(r, runJournaling)
	j := r.task.step.occ.job
	j.assigned = true
	e.touch(j, func() { e.startAssigned(r) })
}

func (e *Engine) startAssigned(r *run) {
	if r.state != runJournaling || r.server.runs[r.name] != r {
		return
	}
	j := r.task.step.occ.job
	if j.state.Final() || r.task.done {
		e.endRun(r, EndStopped, "")
		return
	}
	e.setState(r, runSent)
	e.sendStart(r)
}

func (e *Engine) sendStart(r *run) {
	end := int64(0)
	if !r.server.missed {
		end = e.leaseEnd(r.server)
	}
	if end == 0 {
		e.retryAfter(r, orderRetryMS)
		return
	}
	r.tries++
	e.send(Start{
		Target: r.server.info.Target, Name: r.name, Spec: r.task.step.occ.job.spec.Spec, LeaseEndMS: end,
		Epoch: e.set.Epoch, Checkpoint: r.task.checkpoint, Ticket: r.ticket,
	})
}

func (e *Engine) sendStop(r *run) {
	r.tries++
	e.send(Stop{Target: r.server.info.Target, Name: r.name, Epoch: e.set.Epoch})
}

// orderPause is the pause after the given number of tries without a reply.
func orderPause(tries int) int64 {
	return min(int64(orderRetryMS)<<min(max(tries-1, 0), maxOrderDoublings), orderRetryMaxMS)
}

func (e *Engine) retryAfter(r *run, ms int64) {
	if r.retryAt == 0 {
		e.retries = append(e.retries, r)
	}
	r.retryAt = e.now + ms
}

// resend repeats the orders that had no reply.
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

// Started takes the answer to a Start.
func (e *Engine) Started(now Time, t Target, name RunName, how OrderOutcome) {
	e.now = now
	r := e.runAt(t, name)
	if r == nil || r.state != runSent {
		return
	}
	if how != OrderDone {
		e.runLog(r).WithFields(log.Fields{"Outcome": string(how), "Tries": r.tries}).Info("StartAnswered")
	}
	unknownBefore := r.tries > 1
	switch how {
	case OrderDone:
		r.server.heardAt = now
		e.setState(r, runRunning)
		r.movedAt = now
		e.noteStarted(r.task.step.occ.job)
	case OrderFenced:
		e.send(Deposed{Epoch: e.set.Epoch})
	case OrderReplaced:
		e.endRun(r, EndLost, "")
	case OrderOld, OrderInvalid, OrderNoRoom, OrderTicket, OrderLate, OrderBusy, OrderUnreached:
		e.startRefused(r, how, unknownBefore)
	default:
		e.retryAfter(r, orderPause(r.tries))
	}
}

// noteStarted takes note that a task of j has started.
func (e *Engine) noteStarted(j *job) {
	if j.started || j.state.Final() {
		return
	}
	j.started, j.state, j.shown = true, ibisjob.Active, ibisjob.Active
	j.startedAt = e.now // written with the next change: after a takeover the servers' lists say it too
}

// startRefused handles a start that the server has turned down. After an earlier try without a reply the
// run may be there all the same, so it is stopped rather than forgotten.
func (e *Engine) startRefused(r *run, how OrderOutcome, unknownBefore bool) {
	s := r.server
	switch how {
	case OrderNoRoom, OrderBusy, OrderUnreached:
		s.asideUntil = max(s.asideUntil, e.now+roomPauseMS)
	case OrderTicket:
		r.task.step.advised.forgetTicket(s.info.ID)
	}
	if unknownBefore {
		e.stopRun(r)
		return
	}
	e.endRun(r, EndStopped, "")
}

// Stopped takes the answer to a Stop.
func (e *Engine) Stopped(now Time, t Target, name RunName, how OrderOutcome) {
	e.now = now
	r := e.runAt(t, name)
	if r == nil || r.state != runStopping {
		return
	}
	switch how {
	case OrderDone, OrderOld:
		r.stopped, r.since = true, now
		r.server.nextHold = now
	case OrderFenced:
		e.send(Deposed{Epoch: e.set.Epoch})
	case OrderReplaced:
		e.endRun(r, EndLost, "")
	default:
		e.retryAfter(r, orderPause(r.tries))
	}
}

func (e *Engine) runAt(t Target, name RunName) *run {
	s := e.servers[t.ID]
	if s == nil || s.info.Born != t.Born {
		return nil
	}
	return s.runs[name]
}

// confirm takes the row of r in its server's list of what runs.
func (e *Engine) confirm(r *run, l Listed, sentAt Time) {
	switch r.state {
	case runSent, runRecovered:
		e.setState(r, runRunning)
		r.since = sentAt // it is in a list that was asked for then
		r.movedAt = e.now
		if r.task.done || r.task.step.occ.job.state.Final() {
			e.stopRun(r)
			return
		}
		e.noteStarted(r.task.step.occ.job)
	case runStopping:
		if r.stopped && e.now-r.since > orderRetryMaxMS {
			r.stopped, r.tries = false, 0
			e.sendStop(r)
			e.retryAfter(r, orderRetryMS)
		}
	}
	if l.Percent != r.percent {
		r.percent, r.movedAt = l.Percent, e.now
	}
	if l.Checkpoint != "" {
		r.task.checkpoint = l.Checkpoint
	}
}

// stopRun stops r wherever it has got to.
func (e *Engine) stopRun(r *run) {
	switch r.state {
	case runStopping:
		return
	case runReserved:
		e.release(r)
		return
	case runJournaling:
		e.endRun(r, EndStopped, "")
		return
	}
	e.setState(r, runStopping)
	r.tries, r.stopped = 0, false
	e.sendStop(r)
}

// endRun takes the end of r: frees its room and decides what becomes of the task.
func (e *Engine) endRun(r *run, how How, checkpoint string) {
	if r.server.runs[r.name] != r {
		return
	}
	t := r.task
	st := t.step
	e.noteEnd(r.server, how)
	e.release(r)
	if how != EndDone {
		e.runLog(r).WithFields(log.Fields{"How": string(how), "State": int(r.state)}).Info("RunEnded")
	}
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	j := st.occ.job
	if j.state.Final() || t.done {
		return
	}
	e.touch(j, nil)
	if st.spec.Gang {
		e.endGangRun(st, r, how)
		return
	}
	switch {
	case st.spec.LongRunning:
		st.pauseTo = e.now + longRunPauseMS
	case how == EndDone:
		e.taskDone(t)
	case how == EndFailed:
		t.fails++
		t.failedOn = r.server.info.ID
		e.checkAttempts(j, t.fails)
	}
}

// endGangRun takes the end of a member of a gang. One member that is done stands for all; any other end
// breaks the gang, whose members are stopped and start together again.
func (e *Engine) endGangRun(st *step, r *run, how How) {
	if how == EndDone {
		for _, t := range st.tasks {
			if !t.done {
				e.taskDone(t)
			}
		}
		return
	}
	if how == EndFailed {
		st.fails++
		r.task.failedOn = r.server.info.ID
		if e.checkAttempts(st.occ.job, st.fails) {
			return
		}
	}
	for _, t := range st.tasks {
		if t.run != nil && t.run.name.Run == r.name.Run {
			e.stopRun(t.run)
		}
	}
}

func (e *Engine) taskDone(t *task) {
	t.done = true
	st := t.step
	st.left--
	if st.left > 0 {
		return
	}
	occ := st.occ
	occ.left--
	if occ.left > 0 {
		e.openSteps(occ)
		return
	}
	e.occurrenceDone(occ)
}

func (e *Engine) occurrenceDone(occ *occurrence) {
	j := occ.job
	kept := j.occurrences[:0]
	for _, o := range j.occurrences {
		if o != occ {
			kept = append(kept, o)
		}
	}
	j.occurrences = kept
	if len(j.occurrences) == 0 && j.nextTime >= max(j.spec.Occurrences, 1) {
		e.finish(j, ibisjob.Completed)
	}
}

// checkAttempts fails the job when a task or a gang has failed as often as its queue allows.
func (e *Engine) checkAttempts(j *job, fails int) bool {
	q := e.queues[j.spec.Queue]
	if q.MaxAttempts == 0 || fails < q.MaxAttempts {
		return false
	}
	e.finish(j, ibisjob.Failed)
	return true
}

// finish gives j a final state, which is shown once it is committed, and stops what still runs.
func (e *Engine) finish(j *job, state ibisjob.State) {
	j.state = state
	for _, occ := range j.occurrences {
		for _, st := range occ.steps {
			for _, t := range st.tasks {
				if t.run != nil {
					e.stopRun(t.run)
				}
			}
		}
	}
	e.touch(j, func() { e.showEnd(j) })
}

func (e *Engine) showEnd(j *job) {
	j.shown = j.state
	e.ended[j.spec.ID] = j.end(e.unixOffset + e.now)
	if e.jobs[j.spec.ID] == j {
		delete(e.jobs, j.spec.ID)
	}
	j.log(e).WithFields(log.Fields{"State": string(j.state), "AgeMS": e.now - j.acceptedAt, "StartedAfterMS": max(j.startedAt-j.acceptedAt, 0)}).Info("JobEnded")
}

func (e *Engine) runLog(r *run) *log.Entry {
	return r.task.step.occ.job.log(e).WithFields(log.Fields{"Task": r.name.Task, "Run": r.name.Run, "Server": r.server.info.ID})
}
