package ibiscell

import (
	"github.com/apex/log"

	"ibiscrank/ibisjob"
)

const (
	tableRetryMS  = 1500 // callers come back after this time while the table cannot be written
	tableSilentMS = 700  // without a commit that was due: the table counts as away
	freshCommitMS = 800  // a leader commits four times a second
	allowanceS    = 2    // seconds of a team's rate that it may submit at once
	fullBacklogMS = 1200 // of waiting work: about the slack of the most urgent jobs
	fullRetryMS   = 2000
)

// Submit takes a job of a caller. The answer follows the commit. A job that is there already is answered
// by what is known of it.
func (e *Engine) Submit(now Time, to uint64, spec ibisjob.Job) {
	e.now = now
	if _, ok := e.ended[spec.ID]; ok {
		e.send(Answer{To: to, Outcome: OK})
		return
	}
	if j := e.jobs[spec.ID]; j != nil {
		e.repeated(j, to)
		return
	}
	if e.tableAway() {
		e.log.WithFields(log.Fields{"Job": string(spec.ID), "LastCommitMSAgo": now - e.lastCommit}).Info("JobRefusedTableAway")
		e.send(Answer{To: to, Outcome: Rejected, RetryMS: tableRetryMS})
		return
	}
	if retry, full := e.beyondShare(spec.Team); full {
		e.log.WithFields(log.Fields{"Job": string(spec.ID), "Team": spec.Team, "BacklogMS": e.backlogMS}).Info("JobRefusedBeyondShare")
		e.send(Answer{To: to, Outcome: Rejected, RetryMS: retry})
		return
	}
	spec.AcceptedMS = e.unixOffset + now
	j := &job{spec: spec, state: ibisjob.Queued, shown: ibisjob.Queued, acceptedAt: now, waiters: []uint64{to}}
	e.jobs[spec.ID] = j
	e.touch(j, func() { e.accepted(j) })
	j.dirt.job = true
	e.begin(j) // advice is asked for while the row is written; no task starts before that
}

// beyondShare reports whether the cell is so full that a team may not submit more than its weight in jobs a
// second, and this one does. It counts the job against the team's allowance.
func (e *Engine) beyondShare(name string) (retryMS int64, full bool) {
	t := e.team(name)
	most := max(t.weight*allowanceS, 1)
	t.allowance = min(t.allowance+t.weight*float64(e.now-t.allowanceAt)/1000, most)
	if t.allowanceAt == 0 {
		t.allowance = most
	}
	t.allowanceAt = e.now
	if t.allowance < 1 {
		if e.backlogMS > fullBacklogMS {
			return fullRetryMS, true
		}
		return 0, false
	}
	t.allowance--
	return 0, false
}

// repeated answers a submission of a job that is there: at once when it is committed, else with the commit.
func (e *Engine) repeated(j *job, to uint64) {
	if j.accepted {
		e.send(Answer{To: to, Outcome: OK})
		return
	}
	j.waiters = append(j.waiters, to)
}

// rejectUnwritten refuses the jobs that no write to the table has contained yet.
func (e *Engine) rejectUnwritten() {
	kept := e.journal.queue[:0]
	for _, j := range e.journal.queue {
		if j.accepted || !j.dirt.job || j.state.Final() {
			kept = append(kept, j)
			continue
		}
		j.log(e).WithField("AgeMS", e.now-j.acceptedAt).Info("JobRefusedNotWritten")
		delete(e.jobs, j.spec.ID)
		j.state = ibisjob.Canceled // nothing of it has been started
		e.releaseAll(j)
		for _, to := range j.waiters {
			e.send(Answer{To: to, Outcome: Rejected, RetryMS: tableRetryMS})
		}
	}
	e.journal.queue = kept
}

// releaseAll gives up the room that a job keeps whose tasks have not been started.
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

func (e *Engine) accepted(j *job) {
	j.accepted = true
	j.log(e).WithFields(log.Fields{"Steps": len(j.spec.Steps), "CommitMS": e.now - j.acceptedAt}).Info("JobAccepted")
	for _, to := range j.waiters {
		e.send(Answer{To: to, Outcome: OK})
	}
	j.waiters = nil
}

// begin opens the steps of a job, or waits for its first time.
func (e *Engine) begin(j *job) {
	if j.spec.RunsOnce() {
		j.nextTime = 1
		e.openSteps(e.newOccurrence(j, 0))
		return
	}
	e.timed = append(e.timed, j)
}

// startOccurrences begins the occurrences whose time has come.
func (e *Engine) startOccurrences() {
	kept := e.timed[:0]
	for _, j := range e.timed {
		for !j.state.Final() && j.nextTime < j.spec.Occurrences {
			due := j.spec.StartAtMS + int64(j.nextTime)*j.spec.IntervalMS
			if e.unixOffset+e.now < due {
				break
			}
			e.openSteps(e.newOccurrence(j, j.nextTime))
			j.nextTime++
			e.touch(j, nil)
		}
		if !j.state.Final() && j.nextTime < j.spec.Occurrences {
			kept = append(kept, j)
		}
	}
	e.timed = kept
}

// Cancel cancels a job. The answer follows the commit.
func (e *Engine) Cancel(now Time, to uint64, id ibisjob.ID) {
	e.now = now
	if _, ok := e.ended[id]; ok {
		e.send(Answer{To: to, Outcome: OK})
		return
	}
	j := e.jobs[id]
	if j == nil {
		e.send(Answer{To: to, Outcome: e.absent()})
		return
	}
	if !j.state.Final() {
		j.log(e).WithField("AgeMS", now-j.acceptedAt).Info("JobCanceled")
		e.finish(j, ibisjob.Canceled)
	}
	e.touch(j, func() { e.send(Answer{To: to, Outcome: OK}) })
}

// Status answers with the state of a job as it is committed.
func (e *Engine) Status(now Time, to uint64, id ibisjob.ID) {
	e.now = now
	a := Answer{To: to, Outcome: OK}
	if end, ok := e.ended[id]; ok {
		a.State = end.State
	} else if j := e.jobs[id]; j != nil && j.accepted {
		a.State = j.shown
	} else {
		a.Outcome = e.absent()
	}
	e.send(a)
}

// absent is the answer about a job that is not here. Without a commit in the last while, another daemon may
// lead and have accepted it: then the caller's daemon asks again.
func (e *Engine) absent() Outcome {
	if e.now-e.lastCommit > freshCommitMS {
		return Moved
	}
	return NotFound
}

// tableAway reports whether commits that were due have not come back for long.
func (e *Engine) tableAway() bool {
	return e.journal.failing || e.journal.flying && e.now-e.journal.flyingSince > tableSilentMS
}
