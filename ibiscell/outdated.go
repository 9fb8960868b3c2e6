package ibiscell

import (
	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibisjob"
)

// The records of TableProgress, in which earlier versions kept the progress of each job in one row.
type (
	// Progress is the journal record of a job's tasks.
	Progress struct {
		Servers        []ServerRef     `cbor:"1,keyasint,omitempty"`
		Occurrences    []OccurrenceRec `cbor:"2,keyasint,omitempty"`
		NextOccurrence int             `cbor:"3,keyasint,omitempty"`
		Started        bool            `cbor:"4,keyasint,omitempty"`
	}

	// OccurrenceRec is the journal record of one occurrence.
	OccurrenceRec struct {
		_     struct{} `cbor:",toarray"`
		N     int
		Steps []StepRec
	}

	// StepRec is the journal record of one step. Tasks is empty if the step is done or not open yet.
	StepRec struct {
		_      struct{} `cbor:",toarray"`
		Failed failedRuns
		Done   bool
		Tasks  []TaskRec
	}
)

// readOutdated reads the rows that an earlier version has written. They are removed once the jobs have been written
// as changes.
func (e *Engine) readOutdated(jobs, progress []Row) map[ibisjob.ID]*jobRecord {
	records := make(map[ibisjob.ID]*jobRecord)
	for _, row := range jobs {
		if e.removeEnded(row) {
			continue
		}
		rec := &jobRecord{occurrences: make(map[int]map[int]*stepRecord), outdated: true}
		err := cbor.Unmarshal(row.Value, &rec.job)
		if err == nil {
			err = rec.job.Check()
		}
		if err != nil {
			e.logUnreadable(row, err)
			continue
		}
		if rec.job.RunsOnce() {
			rec.nextOccurrence = 1
			rec.occurrences[0] = nil
		}
		e.trackOutdated(rec, row)
		records[rec.job.ID] = rec
	}
	for _, row := range progress {
		if e.removeEnded(row) {
			continue
		}
		var p Progress
		if err := cbor.Unmarshal(row.Value, &p); err != nil {
			e.logUnreadable(row, err)
			continue
		}
		if rec := records[ibisjob.ID(row.Key)]; rec != nil {
			rec.addProgress(&p)
			e.trackOutdated(rec, row)
		}
	}
	return records
}

// trackOutdated makes the job depend on a row of an earlier version until it has been written as a change.
func (e *Engine) trackOutdated(rec *jobRecord, row Row) {
	ref := &changeRowRef{table: row.Table, key: row.Key, atMS: e.unixOffset + e.now}
	e.journal.track(ref)
	rec.rows = append(rec.rows, ref)
}

// removeEnded queues a row of an earlier version for removal if it belongs to a job that has ended, and reports
// whether it does.
func (e *Engine) removeEnded(row Row) bool {
	if _, ok := e.ended[ibisjob.ID(row.Key)]; !ok {
		return false
	}
	e.journal.removes = append(e.journal.removes, Row{Table: row.Table, Key: row.Key})
	return true
}

func (rec *jobRecord) addProgress(p *Progress) {
	rec.started, rec.nextOccurrence = p.Started, p.NextOccurrence
	clear(rec.occurrences)
	for _, occ := range p.Occurrences {
		steps := make(map[int]*stepRecord)
		rec.occurrences[occ.N] = steps
		for n, s := range occ.Steps {
			st := &stepRecord{state: stepState{failed: s.Failed, done: s.Done}, tasks: make(map[int]taskState)}
			for k := range s.Tasks {
				st.tasks[k] = s.Tasks[k].decode(p.Servers)
			}
			steps[n] = st
		}
	}
}
