package ibiscell

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibisjob"
)

// The tables of a cell. The journal is a log: each batch adds rows to Changes that hold only what has changed.
const (
	TableChanges = "Changes" // accepted jobs and the progress of their tasks
	TableEnded   = "Ended"   // final states; one row for each batch in which jobs ended
	TablePaces   = "Paces"   // what is known of the paces of servers, in one row

	TableSilences = "Silences" // by when the leases of servers that do not answer have ended; one row for each

	// Written by earlier versions, and replaced by rows of Changes after a change of leader.
	TableJobs     = "Jobs"     // one row for each job, as accepted
	TableProgress = "Progress" // one row for each job, with the progress of all its tasks
)

// Tables returns the names of all tables from which Recover rebuilds a cell.
func Tables() []string {
	return []string{TableChanges, TableEnded, TablePaces, TableSilences, TableJobs, TableProgress}
}

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
	onCommit []func()
}

const (
	// MaxBatchRows limits the rows of a batch. The platform accepts 100 entries per transaction, two of which
	// are reserved for the leader's own rows.
	MaxBatchRows = 96
	// maxBatchBytes limits the size of the values in a batch, ended jobs left out. The platform accepts 1 MB per
	// call, encoded in base64.
	maxBatchBytes = 200_000

	maxChangeRows     = 800     // rows of Changes above which the oldest are rewritten, since a new leader reads them all
	minRewriteAgeMS   = 5_000   // a younger row is not rewritten, since most of its jobs end soon
	maxChangeRowAgeMS = 300_000 // milliseconds after which a row is rewritten, within endedRetentionMS
	maxRewriteBytes   = 30_000  // of rewritten changes in one batch
	maxEndedInRow     = 400     // ended jobs in a row of Ended
	clockSkewMS       = 10_000  // by which the clocks of two leaders may differ, twice what the platform allows
	endedRetentionMS  = 600_000 // the platform requires that the end of a job can be queried for at least 120 s
	purgeIntervalMS   = 5_000
	commitWeight      = 0.3 // of one commit in the moving average of their times
)

// endedRow describes a row of ended jobs, which is kept until the last of them may be forgotten.
type endedRow struct {
	key  string
	ids  []ibisjob.ID
	atMS int64 // Unix time of the last end
}

// changeRowRef describes a row of the journal that jobs which have not ended depend on.
type changeRowRef struct {
	table string
	key   string
	atMS  int64           // Unix time at which it was written or recovered
	since int64           // Unix time before which it was not written
	jobs  []*job          // whose changes it contains
	kept  []*keptSettings // whose settings it contains
	live  int             // number of jobs and settings that still depend on it
}

// journal tracks uncommitted changes. Changes are numbered in order; jobs are written in the order of their
// first uncommitted change.
type journal struct {
	lastChange       int64
	queue            []*job
	settings         []*keptSettings // those that may have changed since they were written
	rows             []*changeRowRef // rows of Changes, oldest first; those without live jobs are dropped lazily
	liveRows         int             // rows with live jobs
	writtenRows      int64           // rows of Changes written by this leader
	removes          []Row           // rows to remove when a batch has space for them
	endedRowsWritten int64           // rows of Ended written by this leader
	endedRows        []endedRow
	silences         []*server // whose records are to be written or removed
	nextPurge        Time
	inFlight         bool
	inFlightSince    Time
	commitMS         float64 // moving average of the time that a commit takes
	failing          bool
}

// uncommitted describes a job's changes that are not committed.
type uncommitted struct {
	queued   bool
	change   int64 // number of the first uncommitted change
	job      bool  // the job itself has not been written
	onCommit []func()
}

// purgeEnded forgets jobs that ended more than endedRetentionMS ago and queues their rows for removal. An ended
// job is remembered as long as a row of Changes may contain it: a new leader would take it for unfinished.
func (e *Engine) purgeEnded() {
	if e.now < e.journal.nextPurge {
		return
	}
	e.journal.nextPurge = e.now + purgeIntervalMS
	before := e.unixOffset + e.now - endedRetentionMS
	if r := e.journal.oldest(); r != nil {
		before = min(before, r.since)
	}
	rows := e.journal.endedRows
	n := 0
	for n < len(rows) && rows[n].atMS < before {
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

// HasUncommitted reports whether there are changes that are not part of a batch yet, or rows to rewrite.
func (e *Engine) HasUncommitted() bool {
	return len(e.journal.queue) > 0 || len(e.journal.settings) > 0 || len(e.journal.removes) > 0 || len(e.journal.silences) > 0 || e.rowToRewrite() != nil
}

// TakeBatch returns the changes to commit next, or nil if there are none or a batch is in flight. The
// caller writes the batch until it succeeds, reports failing writes with CommitRetrying, and then calls
// Committed.
func (e *Engine) TakeBatch(now Time) *Batch {
	e.now = now
	if e.journal.inFlight || !e.HasUncommitted() {
		return nil
	}
	b := &Batch{}
	w := changeWriter{}
	var remaining []*job
	for _, j := range e.journal.queue {
		if w.bytes > maxBatchBytes && !j.state.Final() { // all ended jobs share one row
			remaining = append(remaining, j)
			continue
		}
		e.addChanges(b, &w, j)
	}
	e.journal.queue = remaining
	for list := range slices.Chunk(b.ended, maxEndedInRow) {
		e.journal.endedRowsWritten++
		key := fmt.Sprintf("%010d-%010d", e.settings.Epoch, e.journal.endedRowsWritten)
		b.Puts = append(b.Puts, Row{TableEnded, key, encode(list)})
		e.trackEndedRow(key, list)
	}
	e.addChangedSettings(&w)
	e.rewriteOldest(&w)
	e.putChanges(b, &w)
	e.addSilences(b)
	e.addPaces(b)
	removed := min(max(MaxBatchRows-len(b.Puts)-len(b.Removes), 0), len(e.journal.removes))
	b.Removes = append(b.Removes, e.journal.removes[:removed]...)
	e.journal.removes = append([]Row(nil), e.journal.removes[removed:]...)
	e.journal.inFlight, e.journal.inFlightSince = true, now
	return b
}

// addChanges adds the uncommitted changes of j to the batch.
func (e *Engine) addChanges(b *Batch, w *changeWriter, j *job) {
	if j.state.Final() {
		b.ended = append(b.ended, endedJob{ID: j.spec.ID, End: j.endedRecord(e.unixOffset + e.now)})
		e.releaseRows(j)
		e.dropSettings(j)
	} else {
		if !j.written {
			e.releaseRows(j)
			e.keepSettings(w, j)
		}
		w.addJob(j)
	}
	b.onCommit = append(b.onCommit, j.uncommitted.onCommit...)
	j.uncommitted = uncommitted{}
}

// putChanges adds the rows of w to the batch.
func (e *Engine) putChanges(b *Batch, w *changeWriter) {
	for n := range w.rows {
		e.journal.writtenRows++
		ref := &changeRowRef{
			table: TableChanges, key: fmt.Sprintf("%010d-%010d", e.settings.Epoch, e.journal.writtenRows),
			atMS: e.unixOffset + e.now, since: e.unixOffset + e.now,
		}
		for _, j := range w.jobs[n] {
			ref.add(j)
		}
		for _, k := range w.kept[n] {
			k.row = ref
			ref.addSettings(k)
		}
		e.journal.track(ref)
		b.Puts = append(b.Puts, Row{TableChanges, ref.key, encode(w.rows[n])})
	}
}

// track adds a row to those that live jobs depend on.
func (jn *journal) track(ref *changeRowRef) {
	jn.rows = append(jn.rows, ref)
	jn.liveRows++
}

// add records that j depends on the row.
func (r *changeRowRef) add(j *job) {
	j.rows = append(j.rows, r)
	r.jobs = append(r.jobs, j)
	r.live++
}

// addSettings records that the settings of k depend on the row.
func (r *changeRowRef) addSettings(k *keptSettings) {
	r.kept = append(r.kept, k)
	r.live++
}

// releaseRows records that j no longer depends on the rows written so far, and queues those for removal that no
// other job depends on. The batch that is being made must make them obsolete.
func (e *Engine) releaseRows(j *job) {
	for _, r := range j.rows {
		e.releaseRow(r)
	}
	j.rows = nil
}

func (e *Engine) releaseRow(r *changeRowRef) {
	if r.live--; r.live == 0 {
		r.jobs, r.kept = nil, nil
		e.journal.liveRows--
		e.journal.removes = append(e.journal.removes, Row{Table: r.table, Key: r.key})
	}
}

// oldest returns the oldest row that a live job depends on, or nil.
func (jn *journal) oldest() *changeRowRef {
	n := 0
	for n < len(jn.rows) && jn.rows[n].live == 0 {
		n++
	}
	jn.rows = jn.rows[n:]
	if len(jn.rows) == 0 {
		return nil
	}
	return jn.rows[0]
}

// rowToRewrite returns the oldest row if it is too old, or if there are too many rows, else nil.
func (e *Engine) rowToRewrite() *changeRowRef {
	r := e.journal.oldest()
	if r == nil {
		return nil
	}
	age := e.unixOffset + e.now - r.atMS
	if age > maxChangeRowAgeMS || e.journal.liveRows > maxChangeRows && age > minRewriteAgeMS {
		return r
	}
	return nil
}

// rewriteOldest writes the jobs and settings again that depend on the oldest rows, so that these can be removed.
func (e *Engine) rewriteOldest(w *changeWriter) {
	limit := w.bytes + maxRewriteBytes
	for r := e.rowToRewrite(); r != nil && w.bytes < limit; r = e.rowToRewrite() {
		for _, j := range r.jobs {
			if !slices.Contains(j.rows, r) {
				continue
			}
			e.releaseRows(j)
			j.written = false
			w.addJob(j)
		}
		for _, k := range r.kept {
			if k.row == r {
				e.addSettings(w, k)
			}
		}
	}
}

// expectedWait returns the time in which a change made now is expected to be committed, in milliseconds.
func (jn *journal) expectedWait(now Time) int64 {
	wait := int64(jn.commitMS)
	if jn.inFlight {
		wait += max(int64(jn.commitMS)-(now-jn.inFlightSince), 0)
	}
	return wait
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
	e.journal.commitMS += commitWeight * (float64(now-e.journal.inFlightSince) - e.journal.commitMS)
	e.journal.inFlight, e.journal.failing = false, false
	e.lastCommit, e.ledAt = now, e.journal.inFlightSince
	for _, fn := range b.onCommit {
		fn()
	}
	e.renewTickets()
	for _, s := range e.sortedServers() {
		e.acknowledge(s)
	}
}

// WriteConfirmed reports that the table has accepted a write of this leader that carried no batch, and when that began.
func (e *Engine) WriteConfirmed(now, began Time) {
	e.now, e.lastCommit, e.ledAt = now, now, began
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
