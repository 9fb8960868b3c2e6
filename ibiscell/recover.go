package ibiscell

import (
	"cmp"
	"maps"
	"slices"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibisjob"
)

// jobRecord is what the journal contains of a job that has not ended.
type jobRecord struct {
	job            ibisjob.Job
	started        bool
	nextOccurrence int
	occurrences    map[int]map[int]*stepRecord // those that have begun and are not done, by number; steps by index
	rows           []*changeRowRef             // that contain the record
	outdated       bool                        // written by an earlier version, in other tables
}

// stepRecord is what the journal contains of a step.
type stepRecord struct {
	state stepState
	tasks map[int]taskState
}

// Recover rebuilds the cell from the rows of its journal, by table. It must be called after SetConfig and
// SetServers and before any other event. Rows that cannot be decoded are logged and left in the table.
func (e *Engine) Recover(now Time, tables map[string][]Row) {
	e.now, e.lastCommit, e.ledAt = now, now, now
	for _, row := range tables[TableEnded] {
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
	e.recoverPaces(tables[TablePaces])
	records := e.readOutdated(tables[TableJobs], tables[TableProgress])
	logged := e.readChanges(tables[TableChanges], records)
	e.recoverSettings(records, logged)
	for _, id := range slices.Sorted(maps.Keys(records)) {
		e.recoverJob(records[id])
	}
	e.recoverSilences(tables[TableSilences])
	e.trackSettings(logged)
	for _, r := range e.journal.rows {
		if r.live == 0 {
			e.journal.liveRows--
			e.journal.removes = append(e.journal.removes, Row{Table: r.table, Key: r.key})
		}
	}
	e.log.WithFields(log.Fields{
		"Jobs": len(e.jobs), "Ended": len(e.ended), "Epoch": e.settings.Epoch, "Rows": len(tables[TableChanges]), "EndedRows": len(tables[TableEnded]),
	}).Info("CellRecovered")
}

// readChanges applies the rows of Changes to the records, in order, and returns the last settings in them.
func (e *Engine) readChanges(rows []Row, records map[ibisjob.ID]*jobRecord) map[settingsKey]loggedSettings {
	logged := make(map[settingsKey]loggedSettings)
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	// A row was written after the jobs in the rows before it had been accepted.
	since := int64(0)
	incomplete := make(map[ibisjob.ID]Row) // jobs of which only later changes have been read
	for _, row := range rows {
		changes, err := decodeChangeRow(row.Value)
		if err != nil {
			e.logUnreadable(row, err)
			continue
		}
		for n := range changes.Jobs {
			if j := changes.Jobs[n].Job; j != nil {
				since = max(since, j.AcceptedMS-clockSkewMS)
			}
		}
		ref := &changeRowRef{table: row.Table, key: row.Key, atMS: e.unixOffset + e.now, since: since}
		e.journal.track(ref)
		for _, s := range changes.Settings {
			logged[settingsKey{s.Kind, s.Name}] = loggedSettings{value: s.Value, row: ref}
		}
		for n := range changes.Jobs {
			c := &changes.Jobs[n]
			if _, ended := e.ended[c.ID]; ended {
				continue
			}
			if records[c.ID] == nil && c.Job == nil {
				incomplete[c.ID] = row
				continue
			}
			if err := applyChange(records, c, changes.Servers, ref); err != nil {
				e.logUnreadable(row, err)
			}
		}
	}
	// A job that has been rewritten may have left changes in rows that other jobs depend on.
	for id, row := range incomplete {
		if records[id] == nil {
			e.logUnreadable(row, Error.New("no row describes job %s, which has changes", id))
		}
	}
	return logged
}

// applyChange applies one change of a job to its record. The job has a record, or the change describes all of it.
func applyChange(records map[ibisjob.ID]*jobRecord, c *jobChange, servers []ServerRef, ref *changeRowRef) error {
	rec := records[c.ID]
	if c.Job != nil {
		if err := c.Job.Check(); err != nil {
			return err
		}
		rec = &jobRecord{job: *c.Job, occurrences: make(map[int]map[int]*stepRecord)}
		records[c.ID] = rec
	}
	rec.rows = append(rec.rows, ref)
	rec.started, rec.nextOccurrence = c.Started, c.NextOccurrence
	for _, occ := range c.Occurrences {
		if occ.Done {
			delete(rec.occurrences, occ.N)
			continue
		}
		steps := rec.occurrences[occ.N]
		if steps == nil {
			steps = make(map[int]*stepRecord)
			rec.occurrences[occ.N] = steps
		}
		for _, sc := range occ.Steps {
			st := steps[sc.N]
			if st == nil {
				st = &stepRecord{tasks: make(map[int]taskState)}
				steps[sc.N] = st
			}
			st.state = stepState{failed: sc.Failed, crashes: sc.Crashes, done: sc.Done}
			for _, tc := range sc.Tasks {
				st.tasks[tc.N] = tc.State.decode(servers)
			}
		}
	}
	return nil
}

// decode returns the state that r records, given the servers of its row.
func (r *TaskRec) decode(servers []ServerRef) taskState {
	s := taskState{done: r.Done, run: r.Run, failed: r.Failed, crashes: r.Crashes, checkpoint: r.Checkpoint}
	if r.Server >= 1 && r.Server <= len(servers) {
		s.server = ServerRef{ID: servers[r.Server-1].ID, Incarnation: servers[r.Server-1].Incarnation}
	}
	return s
}

func (e *Engine) logUnreadable(row Row, err error) {
	e.log.WithFields(log.Fields{"Table": row.Table, "Key": row.Key}).WithError(err).Error("JournalRowUnreadable")
}

func (e *Engine) recoverJob(rec *jobRecord) {
	spec := rec.job
	j := &job{
		spec: spec, state: ibisjob.Queued, accepted: true, acceptedAt: spec.AcceptedMS - e.unixOffset,
		started: rec.started, nextOccurrence: rec.nextOccurrence, written: !rec.outdated,
	}
	j.savedStarted, j.savedOccurrence = j.started, j.nextOccurrence
	for _, r := range rec.rows {
		r.add(j)
	}
	if j.started {
		j.state = ibisjob.Active
	}
	j.reportedState = j.state
	e.jobs[spec.ID] = j
	if j.written {
		e.keepSettings(nil, j)
	}
	if rec.outdated {
		e.markDirty(j, nil)
	}
	var begun []*occurrence
	for _, n := range slices.Sorted(maps.Keys(rec.occurrences)) {
		occ := e.newOccurrence(j, n)
		occ.saved = true
		begun = append(begun, occ)
		for _, st := range occ.steps {
			if r := rec.occurrences[n][st.n]; r != nil {
				e.recoverStep(st, r)
			}
			if st.unfinished == 0 {
				occ.unfinished--
			}
		}
	}
	for _, occ := range begun {
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

func (e *Engine) recoverStep(st *step, rec *stepRecord) {
	st.failed, st.crashes, st.saved = rec.state.failed, rec.state.crashes, rec.state
	if rec.state.done {
		st.unfinished = 0
		for _, t := range st.tasks {
			t.done = true
		}
		return
	}
	for k, t := range st.tasks {
		s, ok := rec.tasks[k]
		if !ok {
			continue
		}
		t.saved = s
		t.done, t.lastRun, t.failed, t.crashes, t.checkpoint = s.done, s.run, s.failed, s.crashes, s.checkpoint
		if t.done {
			st.unfinished--
			continue
		}
		if s.server.ID != "" {
			e.recoverRun(t, s.server)
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
	r := e.newRun(t, s, t.lastRun, runRecovered)
	if s.info.Incarnation != 0 && ref.Incarnation != 0 && s.info.Incarnation > ref.Incarnation {
		r.crash = crashUncertain // the server has crashed meanwhile; the start order may not have been sent
		e.countCrash(r)
	}
}
