// Package ibisjournal keeps records of requests durably in the table service by group commit: one row is
// one batch of records, and one incarnation writes each journal. Rows whose records are replaced or
// forgotten are overwritten, so that a journal takes no more space than its live records justify.
//
// Usage:
//
//	j, stop := ibisjournal.Open(table, inc.Fence(), inc.ID())
//	defer stop()
//	err := j.Append(ctx, ibisjournal.Record{Request: id, Shard: 3, Epoch: row.Epoch, Body: body})
//
// and, once that incarnation is revoked, by another one:
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
	// Error is the class of errors that no other class names.
	Error = errs.Class("journal")
	// Fenced says that the incarnation was revoked or has ended; nothing more is ever written. An error
	// that is also Unknown tells that the record itself may have been written before.
	Fenced = errs.Class("journal fenced")
	// Unavailable says that the record is not written and will not be.
	Unavailable = errs.Class("journal unavailable")
	// Full is the class, beside Unavailable, of a refusal because too many records wait.
	Full = errs.Class("journal full")
	// Unknown says that the record may have been written or may still be.
	Unknown = errs.Class("journal outcome unknown")
)

// Defaults of the options.
const (
	DefaultInterval      = 25 * time.Millisecond
	DefaultMaxBatchBytes = 512 << 10
	DefaultMaxWaiting    = 16384 // records
	DefaultFirstPause    = 20 * time.Millisecond
	DefaultLongestPause  = time.Second
	// firstTimeout and longestTimeout bound one try; the bound doubles with each try of the same write.
	firstTimeout   = time.Second
	longestTimeout = 16 * time.Second
)

// Option changes how a journal works.
type Option func(*Journal)

// WithInterval sets the least time from the start of one row write to the next. It is asked before each.
func WithInterval(f func() time.Duration) Option { return func(j *Journal) { j.interval = f } }

// WithMaxBatchBytes sets about how many bytes of records one row has at most. The records of one Append
// stay together, also when they are more.
func WithMaxBatchBytes(n int) Option { return func(j *Journal) { j.maxBatch = n } }

// WithMaxWaiting sets how many records may wait to be written.
func WithMaxWaiting(n int) Option { return func(j *Journal) { j.maxWaiting = n } }

// WithPauses sets the first and the longest pause between tries while the table service is away.
func WithPauses(first, longest time.Duration) Option {
	return func(j *Journal) { j.firstPause, j.longestPause = first, longest }
}

// Journal is the journal of this incarnation. Its methods may be called from any goroutine.
type Journal struct {
	t            ibistable.Table
	fence        ibistable.Write
	incarnation  string
	interval     func() time.Duration
	maxBatch     int
	maxWaiting   int
	firstPause   time.Duration
	longestPause time.Duration

	wake chan struct{}

	mu      sync.Mutex
	queue   []*waiter
	waiting int   // records in queue
	away    error // why Append fails at once, until the table service is back
	final   error // why Append fails for good
	stats   Stats

	// The writer's own.
	ring      ring
	seq       int64
	number    int64
	compacted bool // the last write had no new records
	last      time.Time
}

// waiter is one call of Append.
type waiter struct {
	records []Record
	size    int
	done    chan error
}

// Stats are the journal's sizes and counts.
type Stats struct {
	Rows      int   `json:"Rows"`      // in the table
	RowBytes  int   `json:"RowBytes"`  // of these rows
	Live      int   `json:"Live"`      // records that Read would return
	LiveBytes int   `json:"LiveBytes"` // about, of these records
	Writes    int64 `json:"Writes"`    // row writes that took effect
	Bytes     int64 `json:"Bytes"`     // of these writes
	Records   int64 `json:"Records"`   // appended durably
	Waiting   int   `json:"Waiting"`   // records not yet in a write
}

// Open starts the journal of a new incarnation, whose ID no journal ever had. The function that it
// returns stops it: calls of Append that wait then fail.
func Open(t ibistable.Table, fence ibistable.Write, incarnation string, opts ...Option) (*Journal, func()) {
	j := &Journal{
		t:            t,
		fence:        fence,
		incarnation:  incarnation,
		interval:     func() time.Duration { return DefaultInterval },
		maxBatch:     DefaultMaxBatchBytes,
		maxWaiting:   DefaultMaxWaiting,
		firstPause:   DefaultFirstPause,
		longestPause: DefaultLongestPause,
		wake:         make(chan struct{}, 1),
		ring:         ring{least: minRows},
	}
	for _, o := range opts {
		o(j)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		j.run(ctx)
	}()
	return j, func() {
		cancel()
		<-ended
	}
}

// Append returns nil only when the records are durable. They become durable together, in the order of
// the calls. The records' bodies are not changed afterwards. Errors: Fenced, which is final; Unavailable,
// when they are certainly not written, now or later; Unknown, when ctx or the journal ended while they
// were being written.
func (j *Journal) Append(ctx context.Context, records ...Record) error {
	if len(records) == 0 {
		return nil
	}
	w := &waiter{records: append([]Record(nil), records...), done: make(chan error, 1)}
	for _, r := range records {
		if r.Request == "" || r.Shard < 0 {
			return Error.New("record of %q, shard %d", r.Request, r.Shard)
		}
		w.size += r.size()
	}
	if err := j.enqueue(w); err != nil {
		return err
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
	}
	if j.withdraw(w) {
		return Unavailable.Wrap(ctx.Err())
	}
	select {
	case err := <-w.done:
		return err
	default:
		return Unknown.Wrap(ctx.Err())
	}
}

func (j *Journal) enqueue(w *waiter) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.final != nil {
		return j.final
	}
	if j.away != nil {
		return j.away
	}
	if j.waiting > 0 && j.waiting+len(w.records) > j.maxWaiting {
		return Unavailable.Wrap(Full.New("%d records wait", j.waiting))
	}
	j.queue = append(j.queue, w)
	j.waiting += len(w.records)
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return nil
}

// withdraw takes a waiter out of the queue; it reports false when its records are in a write.
func (j *Journal) withdraw(w *waiter) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, o := range j.queue {
		if o == w {
			j.queue = append(j.queue[:i:i], j.queue[i+1:]...)
			j.waiting -= len(w.records)
			return true
		}
	}
	return false
}

// Healthy reports whether Append would at present try to write.
func (j *Journal) Healthy() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.away == nil && j.final == nil
}

// Stats returns the journal's present sizes and counts.
func (j *Journal) Stats() Stats {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stats
	s.Waiting = j.waiting
	return s
}

// take removes from the queue what fits into room bytes, at least one waiter when whole is set.
func (j *Journal) take(room int, whole bool) (ws []*waiter, fresh map[ibiswork.ID]bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fresh = make(map[ibiswork.ID]bool)
	for len(j.queue) > 0 {
		w := j.queue[0]
		if w.size > room && (!whole || len(ws) > 0) {
			break
		}
		room -= w.size
		j.queue[0] = nil
		j.queue = j.queue[1:]
		j.waiting -= len(w.records)
		ws = append(ws, w)
		for _, r := range w.records {
			fresh[r.Request] = true
		}
	}
	return ws, fresh
}

// setAway makes Append fail at once with err, and those that wait in the queue; nil ends that.
func (j *Journal) setAway(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.away = err
	if err != nil {
		j.flush(err)
	}
}

// setFinal makes every Append fail for good.
func (j *Journal) setFinal(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.final = err
	j.flush(err)
}

func (j *Journal) flush(err error) {
	finish(j.queue, err)
	j.queue, j.waiting = nil, 0
}

func (j *Journal) idle() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.queue) == 0
}

func finish(ws []*waiter, err error) {
	for _, w := range ws {
		w.done <- err
	}
}
