package ibisjournal

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibiscommit"
	"ibiscrank/ibistable"
)

// run is the only writer of the journal.
func (j *Journal) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-j.wake:
			j.drain(ctx)
		}
		if j.fenced() {
			return
		}
	}
	j.setFinal(Unavailable.New("stopped"))
}

func (j *Journal) fenced() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.final != nil
}

// drain writes rows until nothing waits.
func (j *Journal) drain(ctx context.Context) {
	for !j.fenced() {
		if j.idle() || !pause(ctx, time.Until(j.last.Add(j.interval()))) {
			return
		}
		j.last = time.Now()
		j.writeRow(ctx)
	}
}

// writeRow writes one row, with what it keeps of the row that it overwrites and what fits of the queue.
func (j *Journal) writeRow(ctx context.Context) {
	s := j.ring.next(j.maxBatch)
	room := j.maxBatch
	if s != nil {
		room -= s.size
	}
	ws, fresh := j.take(room, s == nil || s.size == 0)
	if len(ws) == 0 && s != nil && j.compacted {
		// The last write made no room either: add a row, so that large records do not wait for long.
		s = nil
		ws, fresh = j.take(j.maxBatch, true)
	}
	if len(ws) == 0 && (s == nil || j.idle()) {
		return
	}
	var records []Record
	if s != nil {
		records = s.carry(fresh)
	}
	for _, w := range ws {
		for _, r := range w.records {
			j.seq++
			r.Seq = j.seq
			records = append(records, r)
		}
	}
	j.number++
	value, err := cbor.Marshal(batch{Number: j.number, Records: records})
	if err != nil {
		finish(ws, Error.Wrap(err))
		return
	}
	put := ibistable.Put(rowKey(j.incarnation, len(j.ring.rows)), ibistable.Absent, value)
	if s != nil {
		put = ibistable.Put(rowKey(j.incarnation, s.number), s.version, value)
	}
	version, err := j.commit(ctx, put)
	if err == nil {
		j.compacted = len(ws) == 0
		j.ring.written(s, version, records, len(value))
		j.count(ws, len(value))
	}
	finish(ws, err)
	if Unavailable.Has(err) {
		j.probe(ctx)
	}
}

func (j *Journal) count(ws []*waiter, bytes int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stats.Writes++
	j.stats.Bytes += int64(bytes)
	for _, w := range ws {
		j.stats.Records += int64(len(w.records))
	}
	j.stats.Rows, j.stats.RowBytes = len(j.ring.rows), j.ring.bytes
	j.stats.Live, j.stats.LiveBytes = len(j.ring.index), j.ring.size
}

// commit writes one row and settles the outcome, however long that takes, unless the journal is stopped.
// While the outcome stays unknown, or once it is Unavailable, Append fails at once.
func (j *Journal) commit(ctx context.Context, put ibistable.Write) (int64, error) {
	attempt := ibiscommit.New(j.t, j.fence, put)
	pauses := j.pauses()
	timeout := firstTimeout
	for try := 1; ; try++ {
		tctx, cancel := context.WithTimeout(ctx, timeout)
		version, err := attempt.Try(tctx)
		cancel()
		switch {
		case err == nil:
			if try > 1 {
				j.back()
			}
			return version, nil
		case ibiscommit.Unavailable.Has(err):
			err = Unavailable.Wrap(err)
			j.leave(err)
			return 0, err
		case !ibiscommit.Unknown.Has(err):
			return 0, j.conflict(attempt, err)
		}
		if try > 1 {
			j.leave(Unavailable.Wrap(err))
		}
		if !pause(ctx, pauses.NextBackOff()) {
			return 0, Unknown.Wrap(err)
		}
		timeout = min(2*timeout, longestTimeout)
	}
}

// conflict ends the journal after a conflict: nobody but a revocation changes the rows concerned.
func (j *Journal) conflict(attempt *ibiscommit.Attempt, cause error) error {
	err := Fenced.Wrap(cause)
	log.WithFields(log.Fields{"incarnation": j.incarnation, "error": cause}).Warn("JournalFenced")
	j.setFinal(err)
	if attempt.MaybeApplied() {
		return Fenced.Wrap(Unknown.Wrap(cause))
	}
	return err
}

// leave notes that the table service is away.
func (j *Journal) leave(err error) {
	if j.Healthy() {
		log.WithFields(log.Fields{"incarnation": j.incarnation, "error": err}).Warn("JournalAway")
	}
	j.setAway(err)
}

// back notes that the table service is back.
func (j *Journal) back() {
	j.mu.Lock()
	was := j.away != nil
	j.mu.Unlock()
	if was {
		log.WithFields(log.Fields{"incarnation": j.incarnation}).Info("JournalBack")
		j.setAway(nil)
	}
}

// probe waits until the table service answers.
func (j *Journal) probe(ctx context.Context) {
	pauses := j.pauses()
	for pause(ctx, pauses.NextBackOff()) {
		tctx, cancel := context.WithTimeout(ctx, firstTimeout)
		row, err := j.t.Get(tctx, j.fence.Key)
		cancel()
		if ibistable.NotFound.Has(err) || (err == nil && row.Version != j.fence.IfVersion) {
			j.setFinal(Fenced.New("%s has version %d, not %d", j.fence.Key, row.Version, j.fence.IfVersion))
			return
		}
		if err == nil {
			j.back()
			return
		}
	}
}

func (j *Journal) pauses() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = j.firstPause, j.longestPause
	return b
}

// pause waits for d and reports whether ctx is still valid.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
