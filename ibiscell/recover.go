package ibiscell

import (
	"cmp"
	"slices"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibisjob"
)

// Recover rebuilds the cell from the rows of its journal. It must be called after SetConfig and SetServers
// and before any other event. Rows that cannot be decoded are logged and left in the table.
func (e *Engine) Recover(now Time, jobs, progress, ended []Row) {
	e.now, e.lastCommit = now, now
	for _, row := range ended {
		var list []endedJob
		if err := cbor.Unmarshal(row.Value, &list); err != nil {
			e.logUnreadable(row, err)
			continue
		}
		e.trackEndedRow(row.Key, list)
		for _, j := range list {
			e.ended[j.ID] = j.End
		}
	}
	slices.SortFunc(e.journal.endedRows, func(a, b endedRow) int { return cmp.Compare(a.atMS, b.atMS) })
	records := make(map[string]Progress, len(progress))
	for _, row := range progress {
		if e.removeEnded(row) {
			continue
		}
		var p Progress
		if err := cbor.Unmarshal(row.Value, &p); err != nil {
			e.logUnreadable(row, err)
			continue
		}
		records[row.Key] = p
	}
	for _, row := range jobs {
		if e.removeEnded(row) {
			continue
		}
		var spec ibisjob.Job
		err := cbor.Unmarshal(row.Value, &spec)
		if err == nil {
			err = spec.Check()
		}
		if err != nil {
			e.logUnreadable(row, err)
			continue
		}
		p, ok := records[row.Key]
		e.recoverJob(spec, p, ok)
	}
	e.log.WithFields(log.Fields{"Jobs": len(e.jobs), "Ended": len(e.ended), "Epoch": e.settings.Epoch}).Info("CellRecovered")
}

// removeEnded queues a row for removal if it belongs to a job that has ended, and reports whether it does.
// A previous leader may have left such rows.
func (e *Engine) removeEnded(row Row) bool {
	if _, ok := e.ended[ibisjob.ID(row.Key)]; !ok {
		return false
	}
	e.journal.removes = append(e.journal.removes, Row{Table: row.Table, Key: row.Key})
	return true
}

func (e *Engine) logUnreadable(row Row, err error) {
	e.log.WithFields(log.Fields{"Table": row.Table, "Key": row.Key}).WithError(err).Error("JournalRowUnreadable")
}

func (e *Engine) recoverJob(spec ibisjob.Job, p Progress, hasProgress bool) {
	j := &job{spec: spec, state: ibisjob.Queued, accepted: true, acceptedAt: spec.AcceptedMS - e.unixOffset}
	if p.Started {
		j.state, j.started = ibisjob.Active, true
	}
	j.reportedState = j.state
	e.jobs[spec.ID] = j
	if !hasProgress {
		e.beginJob(j)
		return
	}
	j.nextOccurrence, j.assigned = p.NextOccurrence, true
	for _, rec := range p.Occurrences {
		occ := e.newOccurrence(j, rec.N)
		for n := range rec.Steps {
			if n < len(occ.steps) {
				e.recoverStep(occ.steps[n], rec.Steps[n], p.Servers)
			}
		}
		for _, st := range occ.steps {
			if st.unfinished == 0 {
				occ.unfinished--
			}
		}
		if occ.unfinished == 0 {
			e.occurrenceDone(occ)
			continue
		}
		e.openSteps(occ)
	}
	if !spec.RunsOnce() && j.nextOccurrence < spec.Occurrences {
		e.scheduled = append(e.scheduled, j)
	}
}

func (e *Engine) recoverStep(st *step, rec StepRec, servers []ServerRef) {
	st.failures = rec.Fails
	if rec.Done {
		st.unfinished = 0
		for _, t := range st.tasks {
			t.done = true
		}
		return
	}
	for k, tr := range rec.Tasks {
		if k >= len(st.tasks) {
			break
		}
		t := st.tasks[k]
		t.done, t.lastRun, t.failures, t.checkpoint = tr.Done, tr.Run, tr.Fails, tr.Checkpoint
		if t.done {
			st.unfinished--
			continue
		}
		if tr.Server >= 1 && tr.Server <= len(servers) {
			e.recoverRun(t, servers[tr.Server-1])
		}
	}
}

// recoverRun restores a run that a previous leader assigned. The server's report decides what became of it,
// even if the server now runs as a later incarnation: the start order may have reached that one.
func (e *Engine) recoverRun(t *task, ref ServerRef) {
	s := e.servers[ref.ID]
	if s == nil {
		s = e.addServer(ServerInfo{Target: Target{ID: ref.ID, Incarnation: ref.Incarnation}})
	}
	e.newRun(t, s, t.lastRun, runRecovered)
}
