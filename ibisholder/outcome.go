package ibisholder

import (
	"context"
	"strconv"
	"time"

	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// takeEvents acts on the events that have come, and reports whether the state has changed.
func (h *Holder) takeEvents(ctx context.Context, e *entry) bool {
	e.mu.Lock()
	changed, stop := e.digest(time.Now())
	e.mu.Unlock()
	if stop && !h.release(ctx, e) {
		e.mu.Lock()
		e.stopSent = false
		e.mu.Unlock()
	}
	return changed
}

// digest decides what the events of the present attempt mean. stop says that the rest of a gang is to be
// stopped.
func (e *entry) digest(now time.Time) (changed, stop bool) {
	if len(e.tasks) == 0 {
		return false, false
	}
	if e.state() == stateQueued {
		e.dispatched(now)
		return true, false
	}
	n := e.saved.Request.TaskCount()
	ended, bad := 0, false
	for _, ev := range e.tasks {
		if ev.State.Ended() {
			ended++
			bad = bad || ev.State != ibiswire.TaskDone
		}
	}
	if ended < n {
		if e.state() == stateLocating && len(e.tasks) == n {
			e.fire("Dispatch")
			return true, false
		}
		stop = bad && !e.stopSent
		e.stopSent = e.stopSent || bad
		return false, stop
	}
	e.conclude(now)
	return true, false
}

// conclude ends the attempt whose tasks have all ended: with an answer, or with the next attempt.
func (e *entry) conclude(now time.Time) {
	e.stopSent = false
	worst := e.worst()
	a := &ibiswork.Answer{
		ID: e.id, Outcome: ibiswork.Done, Result: e.result(), Error: worst.Error, Server: worst.Server,
		Attempts: e.saved.Attempt, WaitMS: e.saved.WaitMS, RunMS: worst.RunMS,
	}
	again := e.saved.Request.Idempotent || (!e.anyRan() && !e.saved.Ran)
	switch {
	case worst.State == ibiswire.TaskDone:
		e.finish("Finish", a, nil, now)
	case e.cancel:
		a.Outcome = ibiswork.Cancelled
		e.finish("Finish", a, nil, now)
	case worst.State == ibiswire.TaskFailed && !worst.Blameless && (!again || e.saved.Failures+1 >= maxFailures):
		a.Outcome = ibiswork.Failed
		e.finish("Finish", a, nil, now)
	case again:
		e.saved.Ran = e.saved.Ran || e.anyRan()
		if worst.State == ibiswire.TaskFailed {
			e.saved.Failures++
			e.retryDue = true
			e.avoid = append(e.avoid, worst.Server)
		}
		if len(worst.Checkpoint) > 0 {
			e.saved.Checkpoint = worst.Checkpoint
		}
		e.requeue()
	case worst.State == ibiswire.TaskFailed:
		a.Outcome = ibiswork.Failed
		e.finish("Finish", a, nil, now)
	default:
		r := ibiswork.Refuse(ibiswork.CodeOutcomeUnknown, "the request was started on %s, which was lost", worst.Server).WithMaybeRun()
		e.finish("Finish", nil, r, now)
	}
}

// badness orders the states of ended tasks; the worst one decides for a gang.
var badness = map[ibiswire.EventState]int{
	ibiswire.TaskDone: 0, ibiswire.TaskStopped: 1, ibiswire.TaskLapsed: 2, ibiswire.TaskLost: 3, ibiswire.TaskFailed: 4,
}

func (e *entry) worst() ibiswire.TaskEvent {
	worst := e.tasks[0]
	for _, ev := range e.tasks {
		if badness[ev.State] > badness[worst.State] {
			worst = ev
		}
	}
	return worst
}

func (e *entry) anyRan() bool {
	for _, ev := range e.tasks {
		if ev.Ran {
			return true
		}
	}
	return false
}

// result is the result of the only task, or a JSON array of those of a gang in order of their indexes.
func (e *entry) result() []byte {
	if e.saved.Request.TaskCount() == 1 {
		return e.tasks[0].Result
	}
	b := []byte{'['}
	for i := range e.saved.Request.TaskCount() {
		if i > 0 {
			b = append(b, ',')
		}
		if res := e.tasks[i].Result; len(res) > 0 && res[0] == '{' {
			b = append(b, res...)
		} else {
			b = strconv.AppendQuote(b, string(res))
		}
	}
	return append(b, ']')
}
