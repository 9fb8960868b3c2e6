package ibiscell

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibisjob"
)

// The tables of a cell. A job has one row in each of the first two while it lives, and one in the third
// afterwards.
const (
	TableJobs     = "Jobs"     // the job as it was accepted
	TableProgress = "Progress" // what has become of its tasks
	TableEnded    = "Ended"    // final states, a row for each batch that had some
)

// Row is one row of the journal.
type Row struct {
	Table string
	Key   string
	Value []byte
}

// Batch is a set of changes that are committed together or not at all.
type Batch struct {
	Puts    []Row
	Removes []Row // without values
	ended   []endedJob
	jobs    []*job
	effects []func()
}

// MaxBatchRows bounds the rows of a batch; the platform takes 100 entries in a transaction, two of which
// are the leader's own.
const MaxBatchRows = 96

// endedRow is a row of ended jobs, kept until the last of them may be forgotten.
type endedRow struct {
	key  string
	ids  []ibisjob.ID
	atMS int64 // Unix time of the last end
}

const (
	keepEndedMS   = 600_000 // callers are shown a job's end for 120 s at least, from the platform's page
	forgetEveryMS = 5_000
)

// forgetEnded drops jobs that ended long ago, and has their rows removed.
func (e *Engine) forgetEnded() {
	if e.now < e.journal.forgetAt {
		return
	}
	e.journal.forgetAt = e.now + forgetEveryMS
	rows := e.journal.endedRows
	n := 0
	for n < len(rows) && rows[n].atMS < e.unixOffset+e.now-keepEndedMS {
		for _, id := range rows[n].ids {
			delete(e.ended, id)
		}
		e.journal.removes = append(e.journal.removes, Row{Table: TableEnded, Key: rows[n].key})
		n++
	}
	e.journal.endedRows = append([]endedRow(nil), rows[n:]...)
}

// noteEndedRow keeps in mind which jobs a row of ended jobs holds.
func (e *Engine) noteEndedRow(key string, list []endedJob) {
	row := endedRow{key: key}
	for _, j := range list {
		row.ids = append(row.ids, j.ID)
		row.atMS = max(row.atMS, j.End.AtMS)
	}
	e.journal.endedRows = append(e.journal.endedRows, row)
}

// rowsOfJob is the most rows that one job adds to a batch.
const rowsOfJob = 2

// maxBatchBytes bounds the values of a batch; the platform takes 1 MB in a call, in base64.
const maxBatchBytes = 600_000

// Progress is the journal's record of a job's tasks.
type Progress struct {
	Servers     []ServerRef     `cbor:"1,keyasint,omitempty"`
	Occurrences []OccurrenceRec `cbor:"2,keyasint,omitempty"`
	NextTime    int             `cbor:"3,keyasint,omitempty"`
	Started     bool            `cbor:"4,keyasint,omitempty"`
}

// ServerRef names one life of a backend server.
type ServerRef struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64
}

// OccurrenceRec is the record of one occurrence.
type OccurrenceRec struct {
	_     struct{} `cbor:",toarray"`
	N     int
	Steps []StepRec
}

// StepRec is the record of one step; a step of which no task has started has no tasks.
type StepRec struct {
	_     struct{} `cbor:",toarray"`
	Fails int
	Done  bool
	Tasks []TaskRec
}

// TaskRec is the record of one task. Server counts from 1 into Progress.Servers; 0 means that no run is
// under way.
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

// Ended is the record of a job that has ended.
type Ended struct {
	_     struct{} `cbor:",toarray"`
	State ibisjob.State
	Queue string
	Team  string
	AtMS  int64 // Unix time
}

// journal orders the changes that wait for a commit. Changes are numbered; jobs are written in the order of
// their first uncommitted change.
type journal struct {
	lastChange  int64
	queue       []*job
	removes     []Row // rows of ended jobs, removed when a batch has room
	batches     int64 // with ended jobs, of this leader
	endedRows   []endedRow
	forgetAt    Time
	flying      bool
	flyingSince Time
	failing     bool
}

// dirt is what of a job is not committed.
type dirt struct {
	queued  bool
	change  int64 // the first uncommitted one
	job     bool  // the job's own row is to be written
	effects []func()
}

// touch notes that j has changed; effect runs when the change is committed.
func (e *Engine) touch(j *job, effect func()) {
	e.journal.lastChange++
	if !j.dirt.queued {
		j.dirt.queued, j.dirt.change = true, e.journal.lastChange
		e.journal.queue = append(e.journal.queue, j)
	}
	if effect != nil {
		j.dirt.effects = append(j.dirt.effects, effect)
	}
}

// committed is the number of the last change up to which all are committed.
func (jn *journal) committed() int64 {
	if jn.flying {
		return -1 // known again when the batch is back
	}
	if len(jn.queue) > 0 {
		return jn.queue[0].dirt.change - 1
	}
	return jn.lastChange
}

// Dirty reports whether anything waits for a commit.
func (e *Engine) Dirty() bool { return len(e.journal.queue) > 0 || len(e.journal.removes) > 0 }

// TakeBatch takes the changes that are to be committed next, or nil. One batch is under way at a time:
// Committed or NotCommitted must follow.
func (e *Engine) TakeBatch(now Time) *Batch {
	e.now = now
	if e.journal.flying || !e.Dirty() {
		return nil
	}
	b := &Batch{}
	var left []*job
	size := 0
	for _, j := range e.journal.queue {
		full := len(b.Puts)+rowsOfJob+1 > MaxBatchRows || size > maxBatchBytes
		if full && !j.state.Final() { // all ends share a row
			left = append(left, j)
			continue
		}
		size += e.addRows(b, j)
	}
	e.journal.queue = left
	if len(b.ended) > 0 {
		e.journal.batches++
		key := fmt.Sprintf("%010d-%010d", e.set.Epoch, e.journal.batches)
		b.Puts = append(b.Puts, Row{TableEnded, key, encode(b.ended)})
		e.noteEndedRow(key, b.ended)
	}
	gone := min(MaxBatchRows-len(b.Puts), len(e.journal.removes))
	b.Removes = append(b.Removes, e.journal.removes[:gone]...)
	e.journal.removes = append([]Row(nil), e.journal.removes[gone:]...)
	e.journal.flying, e.journal.flyingSince = true, now
	return b
}

// addRows adds the rows of j to b, and returns the bytes of their values.
func (e *Engine) addRows(b *Batch, j *job) int {
	key := string(j.spec.ID)
	before := len(b.Puts)
	switch {
	case j.state.Final():
		b.ended = append(b.ended, endedJob{ID: j.spec.ID, End: j.end(e.unixOffset + e.now)})
		if j.accepted {
			e.journal.removes = append(e.journal.removes, Row{Table: TableJobs, Key: key})
			if j.assigned {
				e.journal.removes = append(e.journal.removes, Row{Table: TableProgress, Key: key})
			}
		}
	case j.dirt.job:
		b.Puts = append(b.Puts, Row{TableJobs, key, encode(j.spec)})
		if j.assigned {
			b.Puts = append(b.Puts, Row{TableProgress, key, encode(j.progress())})
		}
	default:
		b.Puts = append(b.Puts, Row{TableProgress, key, encode(j.progress())})
	}
	b.jobs = append(b.jobs, j)
	b.effects = append(b.effects, j.dirt.effects...)
	j.dirt = dirt{}
	size := 0
	for _, row := range b.Puts[before:] {
		size += len(row.Value)
	}
	return size
}

// encode cannot fail for the record types of this package.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(Error.Wrap(err))
	}
	return b
}

// Committed says that b is in the table, and runs what waited for that.
func (e *Engine) Committed(now Time, b *Batch) {
	e.now = now
	e.journal.flying, e.journal.failing = false, false
	e.lastCommit = now
	for _, effect := range b.effects {
		effect()
	}
	for _, s := range e.sortedServers() {
		e.acknowledge(s)
	}
}

// Confirmed says that the table has just taken a write of this leader that carried no batch.
func (e *Engine) Confirmed(now Time) {
	e.now, e.lastCommit = now, now
	e.journal.failing = false
}

// CommitFailing says that the table does not take the batch that is under way, which is tried again.
func (e *Engine) CommitFailing(now Time) {
	e.now = now
	e.journal.failing = true
	e.rejectUnwritten()
}

func (j *job) end(unixMS int64) Ended {
	return Ended{State: j.state, Queue: j.spec.Queue, Team: j.spec.Team, AtMS: unixMS}
}

// progress is the record of j as it is now.
func (j *job) progress() Progress {
	p := Progress{NextTime: j.nextTime, Started: j.started}
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
	rec := StepRec{Fails: st.fails, Done: st.left == 0}
	if !st.open || rec.Done {
		return rec
	}
	for _, t := range st.tasks {
		tr := TaskRec{Done: t.done, Run: t.lastRun, Fails: t.fails, Checkpoint: t.checkpoint}
		if t.run != nil && t.run.state != runReserved {
			n, ok := refs[t.run.server]
			if !ok {
				p.Servers = append(p.Servers, ServerRef{ID: t.run.server.info.ID, Born: t.run.server.info.Born})
				n = len(p.Servers)
				refs[t.run.server] = n
			}
			tr.Server = n
		}
		rec.Tasks = append(rec.Tasks, tr)
	}
	return rec
}
