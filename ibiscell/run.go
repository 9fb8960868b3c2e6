package ibiscell

import (
	"github.com/apex/log"

	"ibiscrank/ibisjob"
)

type runState int

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
}

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

func (e *Engine) runLog(r *run) *log.Entry {
	return r.task.step.occ.job.log(e).WithFields(log.Fields{"Task": r.name.Task, "Run": r.name.Run, "Server": r.server.info.ID})
}
