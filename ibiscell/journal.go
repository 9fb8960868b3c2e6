package ibiscell

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibisjob"
)

// The tables of a cell. A job has a row in Jobs and Progress until it ends, and an entry in a row of Ended
// afterwards.
const (
	TableJobs     = "Jobs"     // the job as accepted
	TableProgress = "Progress" // progress of its tasks
	TableEnded    = "Ended"    // final states; one row for each batch in which jobs ended
)

// Row is one row of the journal.
type Row struct {
	Table string
	Key   string
	Value []byte
}

// Batch is a set of changes that are committed atomically.
type Batch struct {
	Puts     []Row
	Removes  []Row // without values
	ended    []endedJob
	jobs     []*job
	onCommit []func()
}

// MaxBatchRows limits the rows of a batch. The platform accepts 100 entries per transaction, two of which
// are reserved for the leader's own rows.
const MaxBatchRows = 96

// endedRow describes a row of ended jobs, which is kept until the last of them may be forgotten.
type endedRow struct {
	key  string
	ids  []ibisjob.ID
	atMS int64 // Unix time of the last end
}

const (
	endedRetentionMS = 600_000 // the platform requires that the end of a job can be queried for at least 120 s
	purgeIntervalMS  = 5_000
)

// purgeEnded forgets jobs that ended more than endedRetentionMS ago and queues their rows for removal.
func (e *Engine) purgeEnded() {
	if e.now < e.journal.nextPurge {
		return
	}
	e.journal.nextPurge = e.now + purgeIntervalMS
	rows := e.journal.endedRows
	n := 0
	for n < len(rows) && rows[n].atMS < e.unixOffset+e.now-endedRetentionMS {
		for _, id := range rows[n].ids {
			delete(e.ended, id)
		}
		e.journal.removes = append(e.journal.removes, Row{Table: TableEnded, Key: rows[n].key})
		n++
	}
	e.journal.endedRows = append([]endedRow(nil), rows[n:]...)
}

// trackEndedRow remembers which jobs a row of ended jobs contains.
func (e *Engine) trackEndedRow(key string, list []endedJob) {
	row := endedRow{key: key}
	for _, j := range list {
		row.ids = append(row.ids, j.ID)
		row.atMS = max(row.atMS, j.End.AtMS)
	}
	e.journal.endedRows = append(e.journal.endedRows, row)
}

// maxRowsPerJob is the largest number of rows that one job adds to a batch.
const maxRowsPerJob = 2

// maxBatchBytes limits the size of the values in a batch. The platform accepts 1 MB per call, encoded in
// base64.
const maxBatchBytes = 600_000

// Progress is the journal record of a job's tasks.
type Progress struct {
	Servers        []ServerRef     `cbor:"1,keyasint,omitempty"`
	Occurrences    []OccurrenceRec `cbor:"2,keyasint,omitempty"`
	NextOccurrence int             `cbor:"3,keyasint,omitempty"`
	Started        bool            `cbor:"4,keyasint,omitempty"`
}

// ServerRef identifies one incarnation of a backend server.
type ServerRef struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
}

// OccurrenceRec is the journal record of one occurrence.
type OccurrenceRec struct {
	_     struct{} `cbor:",toarray"`
	N     int
	Steps []StepRec
}

// StepRec is the journal record of one step. Tasks is empty if the step is done or not open yet.
type StepRec struct {
	_     struct{} `cbor:",toarray"`
	Fails int
	Done  bool
	Tasks []TaskRec
}

// TaskRec is the journal record of one task. Server is an index from 1 into Progress.Servers, or 0 without
// a current run.
type TaskRec struct {
	_          struct{} `cbor:",toarray"`
	Done       bool
	Run        int64
	Server     int
	Fails      int
	Checkpoint string
}

// endedJob is one entry of a row of ended jobs.
type endedJob struct {
	_   struct{} `cbor:",toarray"`
	ID  ibisjob.ID
	End Ended
}

// Ended is the journal record of a job that has ended.
type Ended struct {
	_     struct{} `cbor:",toarray"`
	State ibisjob.State
	Queue string
	Team  string
	AtMS  int64 // Unix time
}

// journal tracks uncommitted changes. Changes are numbered in order; jobs are written in the order of their
// first uncommitted change.
type journal struct {
	lastChange    int64
	queue         []*job
	removes       []Row // rows to remove when a batch has space for them
	endedBatches  int64 // number of batches of this leader that contained ended jobs
	endedRows     []endedRow
	nextPurge     Time
	inFlight      bool
	inFlightSince Time
	failing       bool
}

// uncommitted describes a job's changes that are not committed.
type uncommitted struct {
	queued   bool
	change   int64 // number of the first uncommitted change
	job      bool  // the job's own row must be written
	onCommit []func()
}

// markDirty records a change of j. If fn is not nil, it is called when the change is committed.
func (e *Engine) markDirty(j *job, fn func()) {
	e.journal.lastChange++
	if !j.uncommitted.queued {
		j.uncommitted.queued, j.uncommitted.change = true, e.journal.lastChange
		e.journal.queue = append(e.journal.queue, j)
	}
	if fn != nil {
		j.uncommitted.onCommit = append(j.uncommitted.onCommit, fn)
	}
}

// committed returns the number of the last change up to which all changes are committed, or -1 while a
// batch is in flight.
func (jn *journal) committed() int64 {
	if jn.inFlight {
		return -1 // known again when the batch has been committed
	}
	if len(jn.queue) > 0 {
		return jn.queue[0].uncommitted.change - 1
	}
	return jn.lastChange
}

// HasUncommitted reports whether there are uncommitted changes that are not part of a batch yet.
func (e *Engine) HasUncommitted() bool { return len(e.journal.queue) > 0 || len(e.journal.removes) > 0 }

// TakeBatch returns the changes to commit next, or nil if there are none or a batch is in flight. The
// caller writes the batch until it succeeds, reports failing writes with CommitRetrying, and then calls
// Committed.
func (e *Engine) TakeBatch(now Time) *Batch {
	e.now = now
	if e.journal.inFlight || !e.HasUncommitted() {
		return nil
	}
	b := &Batch{}
	var remaining []*job
	size := 0
	for _, j := range e.journal.queue {
		full := len(b.Puts)+maxRowsPerJob+1 > MaxBatchRows || size > maxBatchBytes
		if full && !j.state.Final() { // all ended jobs share one row
			remaining = append(remaining, j)
			continue
		}
		size += e.addRows(b, j)
	}
	e.journal.queue = remaining
	if len(b.ended) > 0 {
		e.journal.endedBatches++
		key := fmt.Sprintf("%010d-%010d", e.settings.Epoch, e.journal.endedBatches)
		b.Puts = append(b.Puts, Row{TableEnded, key, encode(b.ended)})
		e.trackEndedRow(key, b.ended)
	}
	removed := min(MaxBatchRows-len(b.Puts), len(e.journal.removes))
	b.Removes = append(b.Removes, e.journal.removes[:removed]...)
	e.journal.removes = append([]Row(nil), e.journal.removes[removed:]...)
	e.journal.inFlight, e.journal.inFlightSince = true, now
	return b
}

// addRows adds the rows of j to b and returns the total size of their values in bytes.
func (e *Engine) addRows(b *Batch, j *job) int {
	key := string(j.spec.ID)
	before := len(b.Puts)
	switch {
	case j.state.Final():
		b.ended = append(b.ended, endedJob{ID: j.spec.ID, End: j.endedRecord(e.unixOffset + e.now)})
		if j.accepted {
			e.journal.removes = append(e.journal.removes, Row{Table: TableJobs, Key: key})
			if j.assigned {
				e.journal.removes = append(e.journal.removes, Row{Table: TableProgress, Key: key})
			}
		}
	case j.uncommitted.job:
		b.Puts = append(b.Puts, Row{TableJobs, key, encode(j.spec)})
		if j.assigned {
			b.Puts = append(b.Puts, Row{TableProgress, key, encode(j.progress())})
		}
	default:
		b.Puts = append(b.Puts, Row{TableProgress, key, encode(j.progress())})
	}
	b.jobs = append(b.jobs, j)
	b.onCommit = append(b.onCommit, j.uncommitted.onCommit...)
	j.uncommitted = uncommitted{}
	size := 0
	for _, row := range b.Puts[before:] {
		size += len(row.Value)
	}
	return size
}

// encode returns the CBOR encoding of v. Encoding the record types of this package cannot fail.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(Error.Wrap(err))
	}
	return b
}

// Committed reports that b has been written to the table, and runs its callbacks.
func (e *Engine) Committed(now Time, b *Batch) {
	e.now = now
	e.journal.inFlight, e.journal.failing = false, false
	e.lastCommit = now
	for _, fn := range b.onCommit {
		fn()
	}
	for _, s := range e.sortedServers() {
		e.acknowledge(s)
	}
}

// WriteConfirmed reports that the table has accepted a write of this leader that carried no batch.
func (e *Engine) WriteConfirmed(now Time) {
	e.now, e.lastCommit = now, now
	e.journal.failing = false
}

// CommitRetrying reports that the table does not accept the batch in flight, which is being retried.
func (e *Engine) CommitRetrying(now Time) {
	e.now = now
	e.journal.failing = true
	e.rejectUnwritten()
}

func (j *job) endedRecord(unixMS int64) Ended {
	return Ended{State: j.state, Queue: j.spec.Queue, Team: j.spec.Team, AtMS: unixMS}
}

// progress returns the journal record of the current state of j.
func (j *job) progress() Progress {
	p := Progress{NextOccurrence: j.nextOccurrence, Started: j.started}
	refs := make(map[*server]int)
	for _, occ := range j.occurrences {
		rec := OccurrenceRec{N: occ.n}
		for _, st := range occ.steps {
			rec.Steps = append(rec.Steps, st.record(&p, refs))
		}
		p.Occurrences = append(p.Occurrences, rec)
	}
	return p
}

func (st *step) record(p *Progress, refs map[*server]int) StepRec {
	rec := StepRec{Fails: st.failures, Done: st.unfinished == 0}
	if !st.open || rec.Done {
		return rec
	}
	for _, t := range st.tasks {
		tr := TaskRec{Done: t.done, Run: t.lastRun, Fails: t.failures, Checkpoint: t.checkpoint}
		if t.run != nil && t.run.state != runAwaitingTicket {
			n, ok := refs[t.run.server]
			if !ok {
				p.Servers = append(p.Servers, ServerRef{ID: t.run.server.info.ID, Incarnation: t.run.server.info.Incarnation})
				n = len(p.Servers)
				refs[t.run.server] = n
			}
			tr.Server = n
		}
		rec.Tasks = append(rec.Tasks, tr)
	}
	return rec
}
