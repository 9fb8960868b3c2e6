package ibiscell

import (
	"github.com/apex/log"

	"ibiscrank/ibisjob"
	"ibiscrank/ibisshare"
)

const (
	tableRetryMS      = 1500 // retry delay for callers while the table cannot be written
	configRetryMS     = 1000 // retry delay for callers while daemons have different configurations; the leader reads it twice a second
	commitOverdueMS   = 700  // the table counts as unavailable when a commit takes longer
	recentCommitMS    = 800  // a leader commits four times a second; after a longer gap it may be stale
	overloadBacklogMS = 1200 // backlog above which the cell is overloaded; about the slack of the most urgent jobs
	overloadRetryMS   = 2000
	maxTrialWaitMS    = 4000 // the same for jobs that are started only after a trial
)

// Submit accepts a job. It is answered when the job is committed, or at once if the job is refused. A job
// ID that is already known is answered with the outcome of the first submission.
func (e *Engine) Submit(now Time, to uint64, spec ibisjob.Job) {
	e.now = now
	if _, ok := e.ended[spec.ID]; ok {
		e.send(Answer{To: to, Outcome: OK})
		return
	}
	if j := e.jobs[spec.ID]; j != nil {
		e.answerDuplicate(j, to)
		return
	}
	if e.tableUnavailable() {
		e.log.WithFields(log.Fields{"Job": string(spec.ID), "LastCommitMSAgo": now - e.lastCommit}).Info("JobRefusedTableAway")
		e.refuse(to, "TableAway", tableRetryMS)
		return
	}
	if _, ok := e.queues[spec.Queue]; !ok { // the job could not be placed, and if the queue has been removed, never
		e.log.WithFields(log.Fields{"Job": string(spec.ID), "Queue": spec.Queue, "Version": e.cfg.Version}).Info("JobRefusedUnknownQueue")
		e.refuse(to, "UnknownQueue", configRetryMS)
		return
	}
	if q := e.queues[spec.Queue]; e.serviceEvacuated(q.Service) {
		e.log.WithFields(log.Fields{"Job": string(spec.ID), "Queue": spec.Queue, "Service": q.Service, "Evacuated": e.evacuations.Len()}).Info("JobRefusedEvacuated")
		e.refuse(to, "Evacuated", evacuatedRetryMS)
		return
	}
	if d := e.admit(&spec); d.Reason != ibisshare.Accepted {
		e.refuse(to, string(d.Reason), d.RetryMS)
		return
	}
	if waitMS := e.awaitedTrialMS(spec.Queue, spec.Team); waitMS > maxTrialWaitMS {
		e.log.WithFields(log.Fields{"Job": string(spec.ID), "Queue": spec.Queue, "Team": spec.Team, "WaitMS": waitMS}).Info("JobRefusedTrials")
		e.refuse(to, "Trials", max(waitMS, overloadRetryMS))
		return
	}
	if e.memory != nil && !e.memory.Admit(&spec) { // asked last: it counts the job
		e.log.WithFields(log.Fields{"Job": string(spec.ID), "Queue": spec.Queue, "Team": spec.Team, "Jobs": len(e.jobs)}).Info("JobRefusedMemoryFull")
		e.refuse(to, "MemoryFull", overloadRetryMS)
		return
	}
	spec.AcceptedMS = e.unixOffset + now
	j := &job{spec: spec, state: ibisjob.Queued, reportedState: ibisjob.Queued, acceptedAt: now, waiters: []uint64{to}}
	e.jobs[spec.ID] = j
	e.countArrival(j)
	e.markDirty(j, func() { e.markAccepted(j) })
	j.uncommitted.job = true
	e.beginJob(j) // advice is requested while the row is being written; no task starts before the commit
}

// answerDuplicate answers a repeated submission of j: at once if j is committed, otherwise with the commit.
func (e *Engine) answerDuplicate(j *job, to uint64) {
	if j.accepted {
		e.send(Answer{To: to, Outcome: OK})
		return
	}
	j.waiters = append(j.waiters, to)
}

// rejectUnwritten rejects the jobs that have not been part of any write to the table.
func (e *Engine) rejectUnwritten() {
	kept := e.journal.queue[:0]
	for _, j := range e.journal.queue {
		if j.accepted || !j.uncommitted.job || j.state.Final() {
			kept = append(kept, j)
			continue
		}
		j.log(e).WithField("AgeMS", e.now-j.acceptedAt).Info("JobRefusedNotWritten")
		delete(e.jobs, j.spec.ID)
		j.state = ibisjob.Canceled // none of its tasks has been started
		e.releaseAll(j)
		for _, to := range j.waiters {
			e.refuse(to, "NotWritten", tableRetryMS)
		}
	}
	e.journal.queue = kept
}

// releaseAll releases the capacity of a job none of whose tasks has been started.
func (e *Engine) releaseAll(j *job) {
	for _, occ := range j.occurrences {
		for _, st := range occ.steps {
			for _, t := range st.tasks {
				if t.run != nil {
					e.release(t.run)
				}
			}
		}
	}
}

func (e *Engine) markAccepted(j *job) {
	j.accepted = true
	j.log(e).WithFields(log.Fields{"Steps": len(j.spec.Steps), "CommitMS": e.now - j.acceptedAt}).Info("JobAccepted")
	for _, to := range j.waiters {
		e.send(Answer{To: to, Outcome: OK})
	}
	j.waiters = nil
}

// beginJob opens the first steps of a job that runs once, or schedules the occurrences of one that does
// not.
func (e *Engine) beginJob(j *job) {
	if j.spec.RunsOnce() {
		j.nextOccurrence = 1
		e.openSteps(e.newOccurrence(j, 0))
		return
	}
	e.scheduled = append(e.scheduled, j)
}

// startOccurrences starts the occurrences that are due.
func (e *Engine) startOccurrences() {
	kept := e.scheduled[:0]
	for _, j := range e.scheduled {
		for !j.state.Final() && j.nextOccurrence < j.spec.Occurrences {
			due := j.spec.StartAtMS + int64(j.nextOccurrence)*j.spec.IntervalMS
			if e.unixOffset+e.now < due {
				break
			}
			e.openSteps(e.newOccurrence(j, j.nextOccurrence))
			j.nextOccurrence++
			e.markDirty(j, nil)
		}
		if !j.state.Final() && j.nextOccurrence < j.spec.Occurrences {
			kept = append(kept, j)
		}
	}
	e.scheduled = kept
}

// Cancel cancels a job. It is answered when the cancellation is committed.
func (e *Engine) Cancel(now Time, to uint64, id ibisjob.ID) {
	e.now = now
	if _, ok := e.ended[id]; ok {
		e.send(Answer{To: to, Outcome: OK})
		return
	}
	j := e.jobs[id]
	if j == nil {
		e.send(Answer{To: to, Outcome: e.unknownJobOutcome()})
		return
	}
	if !j.state.Final() {
		j.log(e).WithField("AgeMS", now-j.acceptedAt).Info("JobCanceled")
		e.finish(j, ibisjob.Canceled)
	}
	e.markDirty(j, func() { e.send(Answer{To: to, Outcome: OK}) })
}

// Status answers with the state of an accepted job. A final state is reported only once it is committed.
func (e *Engine) Status(now Time, to uint64, id ibisjob.ID) {
	e.now = now
	a := Answer{To: to, Outcome: OK}
	if end, ok := e.ended[id]; ok {
		a.State = end.State
	} else if j := e.jobs[id]; j != nil && j.accepted {
		a.State = j.reportedState
	} else {
		a.Outcome = e.unknownJobOutcome()
	}
	e.send(a)
}

// unknownJobOutcome is the outcome for a job that this engine does not know. Without a recent commit,
// another daemon may have become the leader and accepted the job, so the caller's daemon must ask again.
func (e *Engine) unknownJobOutcome() Outcome {
	if e.now-e.lastCommit > recentCommitMS {
		return NotLeader
	}
	return NotFound
}

// tableUnavailable reports whether the commit in progress is failing or overdue.
func (e *Engine) tableUnavailable() bool {
	return e.journal.failing || e.journal.inFlight && e.now-e.journal.inFlightSince > commitOverdueMS
}
