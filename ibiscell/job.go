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

// The states of a run.
const (
	runReserved   runState = iota // keeps room while its ticket is asked for
	runJournaling                 // its assignment is being committed
	runSent                       // the order is under way, or its outcome is unknown
	runRunning                    // the server has confirmed it
	runStopping                   // a stop has been sent
	runRecovered                  // found in the journal by a new leader, not yet at the server
)

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
