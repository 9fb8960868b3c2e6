package ibiscell

import (
	"slices"
	"strconv"
	"strings"

	"github.com/apex/log"

	"ibiscrank/ibisjob"
)

// job is a submitted job that has not ended. Callers see reportedState; a final state is reported only once
// it is committed.
type job struct {
	spec           ibisjob.Job
	state          ibisjob.State
	reportedState  ibisjob.State
	started        bool
	startedAt      Time // 0: not started, or started under a previous leader
	accepted       bool // its row is committed
	acceptedAt     Time
	occurrences    []*occurrence // those that have started and not ended
	nextOccurrence int           // number of the next occurrence to start
	waiters        []uint64      // submissions to be answered when its row is committed
	uncommitted    uncommitted

	// What the journal contains of the job, including a batch in flight.
	written         bool // a change that describes the whole job
	savedStarted    bool
	savedOccurrence int   // nextOccurrence
	doneOccurrences []int // written occurrences that are done since
	rows            []*changeRowRef
	keepsSettings   bool // it counts among the jobs of its queue and its team in Engine.kept
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	job        *job
	n          int
	steps      []*step
	unfinished int // number of steps that are not done
	saved      bool
	lengths    lengths
}

// step is one step of an occurrence.
type step struct {
	occ         *occurrence
	n           int
	spec        *ibisjob.Step
	name        string
	tasks       []*task
	unfinished  int // number of tasks that are not done
	open        bool
	openAt      Time
	adviceCache adviceCache
	failed      failedRuns // of the whole gang
	crashes     []crash    // under the gang
	cleared     int        // crashes that a later run has shown not to come from the gang
	survived    bool       // a run of the step has not crashed its server
	tryFirst    bool       // one task is to survive before the others start, since jobs like this one have crashed servers
	notBefore   Time       // earliest time of the next placement

	ran      []float64 // latest run times, in milliseconds, of tasks that have ended
	observed bool      // the estimator knows how long the tasks run
	saved    stepState
}

// task is one of the equal tasks of a step.
type task struct {
	step       *step
	index      int
	done       bool
	run        *run       // current run, or nil
	lastRun    int64      // number of the last run
	failed     failedRuns // unless it belongs to a gang
	crashes    []crash    // unless it belongs to a gang
	cleared    int        // crashes that a later run has shown not to come from the task
	checkpoint string
	failedOn   string // ID of the server on which its last failed run was
	saved      taskState
}

// The states of a run.
const (
	runAwaitingTicket runState = iota // occupies capacity until its ticket arrives
	runCommitting                     // its assignment is being committed
	runAssigned                       // its assignment is committed; its ticket has expired and is being renewed
	runSent                           // the start order has been sent and is not confirmed
	runRunning                        // the server has confirmed the start
	runStopping                       // a stop order has been sent
	runRecovered                      // read from the journal by a new leader and not yet reported by the server
)

const (
	orderRetryMS         = 400 // first delay before an order without a reply is repeated
	orderRetryMaxMS      = 1600
	putOffMS             = 5   // until a start order is looked at again that waits for an acknowledgement
	reportPollMS         = 50  // a repeat that waits for a report of its server looks for it this often
	noCapacityPauseMS    = 300 // no new tasks for a server that had no capacity, was busy or could not be reached
	longRunningRestartMS = 300 // delay before a long-running task is started again
	maxOrderDoublings    = 2
)

func (j *job) log(e *Engine) *log.Entry {
	return e.log.WithFields(log.Fields{"Job": string(j.spec.ID), "Queue": j.spec.Queue, "Team": j.spec.Team})
}

// newOccurrence creates occurrence n of j with all its steps. No step is open yet.
func (e *Engine) newOccurrence(j *job, n int) *occurrence {
	occ := &occurrence{job: j, n: n, unfinished: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		name := ibisjob.StepName{Job: j.spec.ID, Occurrence: n, Step: i}
		st := &step{occ: occ, n: i, spec: spec, name: name.String(), unfinished: spec.Tasks}
		st.tasks = make([]*task, spec.Tasks)
		for k := range st.tasks {
			st.tasks[k] = &task{step: st, index: k}
		}
		occ.steps = append(occ.steps, st)
	}
	j.occurrences = append(j.occurrences, occ)
	return occ
}

// openSteps makes the steps of occ ready for placement whose dependencies are done.
func (e *Engine) openSteps(occ *occurrence) {
	for _, st := range occ.steps {
		if st.open || st.unfinished == 0 || !occ.ready(st) {
			continue
		}
		st.open, st.openAt = true, e.now
		e.ready = append(e.ready, st)
		e.placementDue = true
	}
}

func (o *occurrence) ready(st *step) bool {
	for _, d := range st.spec.DependsOn {
		if o.steps[d].unfinished > 0 {
			return false
		}
	}
	return true
}

func (t *task) name() string { return t.step.name + "." + strconv.Itoa(t.index) }

// waiting reports whether t needs to be placed.
func (t *task) waiting() bool { return !t.done && t.run == nil }

// endRun ends r with the given outcome: it releases its capacity and updates the task, its step and its
// job.
func (e *Engine) endRun(r *run, outcome RunOutcome, checkpoint string) {
	if r.server.runs[r.name] != r {
		return
	}
	t := r.task
	st := t.step
	e.recordOutcome(r.server, outcome)
	e.observePace(r, outcome)
	e.release(r)
	if outcome != RunDone {
		fields := log.Fields{"How": string(outcome), "State": int(r.state)}
		if r.sentAt != 0 {
			fields["SentMSAgo"] = e.now - r.sentAt
		}
		e.runLog(r).WithFields(fields).Info("RunEnded")
	}
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	j := st.occ.job
	if j.state.Final() || t.done {
		return
	}
	e.markDirty(j, nil)
	if r.crash != 0 {
		e.concludeCrash(r)
	}
	e.countLateStart(r)
	if outcome == RunDone {
		e.observeRun(r)
	}
	if st.spec.Gang {
		e.endGangRun(st, r, outcome)
		return
	}
	switch {
	case outcome == RunDone && !st.spec.LongRunning:
		e.taskDone(t)
		return
	case st.spec.LongRunning:
		st.notBefore = e.now + longRunningRestartMS
	case outcome == RunFailed:
		e.countFailure(t, r.name.Run, r.server)
	}
	if e.exhausted(t) { // also by the late end of an earlier run
		e.finishFailed(t)
	}
}

// endGangRun handles the end of one member of a gang. If the member succeeded, the whole gang is done; on
// any other outcome all members are stopped and started again together.
func (e *Engine) endGangRun(st *step, r *run, outcome RunOutcome) {
	if outcome == RunDone {
		for _, t := range st.tasks {
			if !t.done {
				e.taskDone(t)
			}
		}
		return
	}
	if outcome == RunFailed {
		e.countFailure(r.task, r.name.Run, r.server)
	}
	if e.exhausted(r.task) {
		e.finishFailed(r.task)
		return
	}
	for _, t := range st.tasks {
		if t.run != nil && t.run.name.Run == r.name.Run {
			e.stopRun(t.run)
		}
	}
}

// endUntracked processes the end of a run that the engine has given up, for example because its leases had lapsed
// before the server answered again, and reports whether it has changed the job. The server forgets the end once it is
// acknowledged, so nobody else would learn of it.
func (e *Engine) endUntracked(s *server, end RunEnd) bool {
	t := e.findTask(end.Name.Task)
	if t == nil || t.done || end.Name.Run > t.lastRun {
		return false
	}
	j := t.step.occ.job
	if t.step.spec.LongRunning || j.state.Final() {
		return false
	}
	switch end.Outcome {
	case RunDone:
		e.lateDone(t)
	case RunFailed:
		if !e.countFailure(t, end.Name.Run, s) {
			return false
		}
		e.lateFailure(t)
	default:
		return false
	}
	j.log(e).WithFields(log.Fields{
		"Task": end.Name.Task, "Run": end.Name.Run, "How": string(end.Outcome), "LastRun": t.lastRun, "State": string(j.state),
	}).Info("LateEndCounted")
	return true
}

// lateDone marks t as done, or its gang, since one member that is done stands for all. Later runs are stopped.
func (e *Engine) lateDone(t *task) {
	done := []*task{t}
	if t.step.spec.Gang {
		done = t.step.tasks
	}
	e.markDirty(t.step.occ.job, nil)
	for _, t := range done {
		if !t.done {
			e.taskDone(t)
		}
	}
	for _, t := range done {
		if t.run != nil {
			e.stopRun(t.run)
		}
	}
}

// lateFailure fails the job of t if the late end of a failed run, which has been counted, was the last one that its queue
// allows. A later run that has started may still be done, so it continues; it is not followed by another.
func (e *Engine) lateFailure(t *task) {
	e.markDirty(t.step.occ.job, nil)
	if e.exhausted(t) && !t.running() {
		e.finishFailed(t)
	}
}

// running reports whether t, or its gang, has a run for which no start order is due any more.
func (t *task) running() bool {
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	found := false
	for _, m := range members {
		if m.run == nil {
			continue
		}
		switch m.run.state {
		case runRunning, runStopping, runRecovered:
			found = true
		default:
			return false
		}
	}
	return found
}

// findTask returns the task with the given name, or nil if its occurrence is not in progress.
func (e *Engine) findTask(name string) *task {
	id, _, _ := strings.Cut(name, ".")
	j := e.jobs[ibisjob.ID(id)]
	if j == nil {
		return nil
	}
	for _, occ := range j.occurrences {
		for _, st := range occ.steps {
			index, ok := strings.CutPrefix(name, st.name+".")
			if !ok {
				continue
			}
			if k, err := strconv.Atoi(index); err == nil && k >= 0 && k < len(st.tasks) {
				return st.tasks[k]
			}
			return nil
		}
	}
	return nil
}

func (e *Engine) taskDone(t *task) {
	t.done = true
	st := t.step
	st.unfinished--
	if st.unfinished > 0 {
		return
	}
	occ := st.occ
	occ.unfinished--
	if occ.unfinished > 0 {
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
	if occ.saved {
		j.doneOccurrences = append(j.doneOccurrences, occ.n)
	}
	if len(j.occurrences) == 0 && j.nextOccurrence >= max(j.spec.Occurrences, 1) {
		e.finish(j, ibisjob.Completed)
	}
}

// countFailure counts a run of t on s that has ended as failed, unless it has been counted before, and reports whether it
// did. A run of a gang counts once, however many of its members have failed.
func (e *Engine) countFailure(t *task, run int64, s *server) bool {
	failed := t.failedRuns()
	if slices.Contains(*failed, run) || len(*failed) >= max(maxFailedRuns, e.queues[t.step.occ.job.spec.Queue].MaxAttempts) {
		return false
	}
	*failed = append(*failed, run)
	t.failedOn = s.info.ID
	return true
}

// failedRuns returns the failed runs of t, or of its gang.
func (t *task) failedRuns() *failedRuns {
	if t.step.spec.Gang {
		return &t.step.failed
	}
	return &t.failed
}

// attemptsUsed reports whether t, or its gang, has failed as often as its queue allows. It must not start again.
func (e *Engine) attemptsUsed(t *task) bool {
	q := e.queues[t.step.occ.job.spec.Queue]
	return q.MaxAttempts > 0 && len(*t.failedRuns()) >= q.MaxAttempts
}

// finishFailed fails the job of t, which must not start again.
func (e *Engine) finishFailed(t *task) {
	j := t.step.occ.job
	j.log(e).WithFields(log.Fields{"Task": t.name(), "FailedRuns": len(*t.failedRuns()), "Crashes": len(*t.crashRecords())}).Info("TaskGivenUp")
	e.finish(j, ibisjob.Failed)
}

// finish moves j to a final state, which is reported once it is committed, and stops its remaining runs.
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
	e.markDirty(j, func() { e.publishEnd(j) })
}

func (e *Engine) publishEnd(j *job) {
	j.reportedState = j.state
	e.ended[j.spec.ID] = j.endedRecord(e.unixOffset + e.now)
	if e.jobs[j.spec.ID] == j {
		delete(e.jobs, j.spec.ID)
	}
	j.log(e).WithFields(log.Fields{"State": string(j.state), "AgeMS": e.now - j.acceptedAt, "StartedAfterMS": max(j.startedAt-j.acceptedAt, 0)}).Info("JobEnded")
}
