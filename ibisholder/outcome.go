package ibisholder

import (
	"context"
	"strconv"
	"time"

	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// processEvents acts on the events that were delivered, and reports whether the state of e has changed. If one
// task of a gang has ended without success, it stops the others.
func (h *Holder) processEvents(ctx context.Context, e *entry) bool {
	e.mu.Lock()
	changed, stop := e.evaluateEvents(time.Now())
	e.mu.Unlock()
	if stop && !h.releasePlaces(ctx, e) {
		e.mu.Lock()
		e.gangStopSent = false
		e.mu.Unlock()
	}
	return changed
}

// evaluateEvents changes the state according to the events of the current attempt. stop says that the
// remaining tasks of a gang are to be stopped. Callers hold mu.
func (e *entry) evaluateEvents(now time.Time) (changed, stop bool) {
	if len(e.tasks) == 0 {
		return false, false
	}
	if e.state() == stateQueued {
		// The owner has started the attempt, although no reply to Place has said so.
		e.markDispatched(now)
		return true, false
	}
	n := e.saved.Request.TaskCount()
	ended, unsuccessful := 0, false
	for _, ev := range e.tasks {
		if ev.State.Ended() {
			ended++
			unsuccessful = unsuccessful || ev.State != ibiswire.TaskDone
		}
	}
	if ended < n {
		if e.state() == stateLocating && len(e.tasks) == n {
			e.fire("Dispatch")
			return true, false
		}
		stop = unsuccessful && !e.gangStopSent
		e.gangStopSent = e.gangStopSent || unsuccessful
		return false, stop
	}
	e.endAttempt(now)
	return true, false
}

// endAttempt ends an attempt whose tasks have all ended, with an answer, a refusal or the next attempt.
// Callers hold mu.
func (e *entry) endAttempt(now time.Time) {
	e.gangStopSent = false
	worst := e.worstEvent()
	a := &ibiswork.Answer{
		ID: e.id, Outcome: ibiswork.Done, Result: e.result(), Error: worst.Error, Server: worst.Server,
		Attempts: e.saved.Attempt, WaitMS: e.saved.WaitMS, RunMS: worst.RunMS,
	}
	mayRetry := e.saved.Request.Idempotent || (!e.anyRan() && !e.saved.Ran)
	switch {
	case worst.State == ibiswire.TaskDone:
		e.finish("Finish", a, nil, now)
	case e.cancelRequested:
		a.Outcome = ibiswork.Cancelled
		e.finish("Finish", a, nil, now)
	case worst.State == ibiswire.TaskFailed && !worst.Blameless && (!mayRetry || e.saved.Failures+1 >= maxFailures):
		a.Outcome = ibiswork.Failed
		e.finish("Finish", a, nil, now)
	case mayRetry:
		e.saved.Ran = e.saved.Ran || e.anyRan()
		if worst.State == ibiswire.TaskFailed {
			e.saved.Failures++
			e.needsBackoff = true
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
		r := ibiswork.Refuse(ibiswork.CodeOutcomeUnknown, "the request was started on backend server %s, which was lost; its outcome is unknown", worst.Server).WithMaybeRun()
		e.finish("Finish", nil, r, now)
	}
}

// severity ranks the states of ended tasks; the highest rank decides the outcome of a gang.
var severity = map[ibiswire.EventState]int{
	ibiswire.TaskDone: 0, ibiswire.TaskStopped: 1, ibiswire.TaskExpired: 2, ibiswire.TaskLost: 3, ibiswire.TaskFailed: 4,
}

func (e *entry) worstEvent() ibiswire.TaskEvent {
	worst := e.tasks[0]
	for _, ev := range e.tasks {
		if severity[ev.State] > severity[worst.State] {
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

// result returns the result of the only task, or a JSON array of the results of a gang by task index. A result
// that is not a JSON object becomes a string in the array.
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
