// Package ibisjournal stores records of requests durably in the table service by group commit. One table row
// holds one batch of records, and each journal has exactly one incarnation as its writer. Rows are
// overwritten once their records are replaced or forgotten, so that the size of a journal is bounded by its
// live records. Package ibisholder keeps accepted durable requests in one.
//
// Usage:
//
//	j, stop := ibisjournal.Open(table, inc.Fence(), inc.ID())
//	defer stop()
//	err := j.Append(ctx, ibisjournal.Record{Request: id, Shard: 3, Epoch: row.Epoch, Body: body})
//
// Once that incarnation is revoked or has ended, another incarnation reads its journal:
//
//	records, err := ibisjournal.Read(ctx, table, id)
package ibisjournal

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"ibiscrank/ibistable"
	"ibiscrank/ibiswork"
)

// Error classes of this package.
var (
	// Error is the class of all errors without a more specific class.
	Error = errs.Class("journal")
	// Fenced means that the incarnation was revoked or has ended, and that nothing more can be written. If
	// the error is also Unknown, the record itself may have been written before.
	Fenced = errs.Class("journal fenced")
	// Unavailable means that the record is not written and will not be.
	Unavailable = errs.Class("journal unavailable")
	// Full, in addition to Unavailable, means that too many records are queued.
	Full = errs.Class("journal full")
	// Unknown means that the record may have been written or may still be written.
	Unknown = errs.Class("journal outcome unknown")
)

// Defaults of the options.
const (
	DefaultInterval       = 25 * time.Millisecond
	DefaultMaxBatchBytes  = 512 << 10 // bytes
	DefaultMaxQueued      = 16384     // records
	DefaultInitialBackoff = 20 * time.Millisecond
	DefaultMaxBackoff     = time.Second
	// The timeout of one try starts at initialTimeout and doubles with each retry of the same write, up to
	// maxTimeout.
	initialTimeout = time.Second
	maxTimeout     = 16 * time.Second
)

// Option configures a journal.
type Option func(*Journal)

// WithInterval sets the minimum interval between the starts of two row writes. f is called before each write.
func WithInterval(f func() time.Duration) Option { return func(j *Journal) { j.interval = f } }

// WithMaxBatchBytes sets the approximate limit on the bytes of records in one row. The records of one Append
// stay in one row even if they exceed it.
func WithMaxBatchBytes(n int) Option { return func(j *Journal) { j.maxBatchBytes = n } }

// WithMaxQueued sets how many records may be queued for writing.
func WithMaxQueued(n int) Option { return func(j *Journal) { j.maxQueued = n } }

// WithBackoff sets the initial and the maximum backoff between retries while the table service is unavailable.
func WithBackoff(initial, limit time.Duration) Option {
	return func(j *Journal) { j.initialBackoff, j.maxBackoff = initial, limit }
}

// Journal is the journal that this incarnation writes. Its methods are safe for concurrent use.
type Journal struct {
	t              ibistable.Table
	fence          ibistable.Write
	incarnation    string
	interval       func() time.Duration
	maxBatchBytes  int
	maxQueued      int
	initialBackoff time.Duration
	maxBackoff     time.Duration

	wake chan struct{}

	mu             sync.Mutex
	queue          []*appendCall
	queuedRecords  int   // records in queue
	unavailableErr error // returned by Append while the table service is unavailable
	finalErr       error // returned by Append once the journal is fenced or stopped
	stats          Stats

	// Owned by the goroutine of run.
	ring           ring
	seq            int64
	batchNumber    int64
	compactionOnly bool // the last write contained no new records
	lastWrite      time.Time
}

// appendCall is one call of Append and its result.
type appendCall struct {
	records []Record
	size    int // bytes, approximate
	done    chan error
}

// Stats holds the sizes and counters of a journal.
type Stats struct {
	Rows      int   `json:"Rows"`      // in the table
	RowBytes  int   `json:"RowBytes"`  // bytes of these rows
	Live      int   `json:"Live"`      // records that Read would return
	LiveBytes int   `json:"LiveBytes"` // approximate bytes of these records
	Writes    int64 `json:"Writes"`    // row writes that took effect
	Bytes     int64 `json:"Bytes"`     // bytes of these writes
	Records   int64 `json:"Records"`   // appended durably
	Waiting   int   `json:"Waiting"`   // records queued and not yet in a write
}

// Open starts the journal of a new incarnation, whose ID no journal has used before. The returned function
// stops the journal, and queued calls of Append then fail.
func Open(t ibistable.Table, fence ibistable.Write, incarnation string, opts ...Option) (*Journal, func()) {
	j := &Journal{
		t:              t,
		fence:          fence,
		incarnation:    incarnation,
		interval:       func() time.Duration { return DefaultInterval },
		maxBatchBytes:  DefaultMaxBatchBytes,
		maxQueued:      DefaultMaxQueued,
		initialBackoff: DefaultInitialBackoff,
		maxBackoff:     DefaultMaxBackoff,
		wake:           make(chan struct{}, 1),
		ring:           ring{minRows: minRows},
	}
	for _, o := range opts {
		o(j)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		j.run(ctx)
	}()
	return j, func() {
		cancel()
		<-stopped
	}
}

// Append writes the records and returns nil only once they are durable. They become durable together, in the
// order of the calls. The caller must not modify the records' bodies afterwards. Errors are Fenced, which is
// final; Unavailable if the records are not written and will not be; and Unknown if ctx ended or the journal
// was stopped while they were being written.
func (j *Journal) Append(ctx context.Context, records ...Record) error {
	if len(records) == 0 {
		return nil
	}
	call := &appendCall{records: append([]Record(nil), records...), done: make(chan error, 1)}
	for _, r := range records {
		if r.Request == "" || r.Shard < 0 {
			return Error.New("invalid record of request %q: shard %d; want a request ID and shard >= 0", r.Request, r.Shard)
		}
		call.size += r.size()
	}
	if err := j.enqueue(call); err != nil {
		return err
	}
	select {
	case err := <-call.done:
		return err
	case <-ctx.Done():
	}
	if j.dequeue(call) {
		return Unavailable.Wrap(ctx.Err())
	}
	select {
	case err := <-call.done:
		return err
	default:
		return Unknown.Wrap(ctx.Err())
	}
}

func (j *Journal) enqueue(call *appendCall) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.finalErr != nil {
		return j.finalErr
	}
	if j.unavailableErr != nil {
		return j.unavailableErr
	}
	if j.queuedRecords > 0 && j.queuedRecords+len(call.records) > j.maxQueued {
		return Unavailable.Wrap(Full.New("%d records are queued, the limit is %d", j.queuedRecords, j.maxQueued))
	}
	j.queue = append(j.queue, call)
	j.queuedRecords += len(call.records)
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return nil
}

// dequeue removes a call from the queue. It reports false if the call's records are already in a write.
func (j *Journal) dequeue(call *appendCall) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, queued := range j.queue {
		if queued == call {
			j.queue = append(j.queue[:i:i], j.queue[i+1:]...)
			j.queuedRecords -= len(call.records)
			return true
		}
	}
	return false
}

// Healthy reports whether Append currently accepts records for writing.
func (j *Journal) Healthy() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.unavailableErr == nil && j.finalErr == nil
}

// Stats returns the journal's current sizes and counters.
func (j *Journal) Stats() Stats {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stats
	s.Waiting = j.queuedRecords
	return s
}

// takeBatch removes the calls that fit into freeBytes from the queue, but at least one if allowOversize is set.
// It also returns the set of requests that these calls update.
func (j *Journal) takeBatch(freeBytes int, allowOversize bool) (calls []*appendCall, updated map[ibiswork.ID]bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	updated = make(map[ibiswork.ID]bool)
	for len(j.queue) > 0 {
		call := j.queue[0]
		if call.size > freeBytes && (!allowOversize || len(calls) > 0) {
			break
		}
		freeBytes -= call.size
		j.queue[0] = nil
		j.queue = j.queue[1:]
		j.queuedRecords -= len(call.records)
		calls = append(calls, call)
		for _, r := range call.records {
			updated[r.Request] = true
		}
	}
	return calls, updated
}

// setUnavailable makes Append and all queued calls fail at once with err. A nil err lets Append write again.
func (j *Journal) setUnavailable(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.unavailableErr = err
	if err != nil {
		j.failQueued(err)
	}
}

// setFinalErr makes every current and future call of Append fail with err.
func (j *Journal) setFinalErr(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.finalErr = err
	j.failQueued(err)
}

// failQueued completes all queued calls with err. The caller holds j.mu.
func (j *Journal) failQueued(err error) {
	complete(j.queue, err)
	j.queue, j.queuedRecords = nil, 0
}

func (j *Journal) queueEmpty() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.queue) == 0
}

func complete(calls []*appendCall, err error) {
	for _, call := range calls {
		call.done <- err
	}
}
