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

// run writes the journal's rows until ctx ends or the journal is fenced. No other goroutine writes them.
func (j *Journal) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-j.wake:
			j.drainQueue(ctx)
		}
		if j.stopped() {
			return
		}
	}
	j.setFinalErr(Unavailable.New("journal of incarnation %s is stopped", j.incarnation))
}

// stopped reports whether the journal can write nothing more.
func (j *Journal) stopped() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.finalErr != nil
}

// drainQueue writes rows until the queue is empty.
func (j *Journal) drainQueue(ctx context.Context) {
	for !j.stopped() {
		if j.queueEmpty() || !sleep(ctx, time.Until(j.lastWrite.Add(j.interval()))) {
			return
		}
		j.lastWrite = time.Now()
		j.writeRow(ctx)
	}
}

// writeRow writes one row with the live records of the row that it overwrites and the queued calls that fit.
func (j *Journal) writeRow(ctx context.Context) {
	overwritten := j.ring.nextOverwrite(j.maxBatchBytes)
	freeBytes := j.maxBatchBytes
	if overwritten != nil {
		freeBytes -= overwritten.liveBytes
	}
	calls, updated := j.takeBatch(freeBytes, overwritten == nil || overwritten.liveBytes == 0)
	if len(calls) == 0 && overwritten != nil && j.compactionOnly {
		// The last write freed no space either, so add a row to keep large records from waiting long.
		overwritten = nil
		calls, updated = j.takeBatch(j.maxBatchBytes, true)
	}
	if len(calls) == 0 && (overwritten == nil || j.queueEmpty()) {
		return
	}
	var records []Record
	if overwritten != nil {
		records = overwritten.liveExcept(updated)
	}
	for _, call := range calls {
		for _, r := range call.records {
			j.seq++
			r.Seq = j.seq
			records = append(records, r)
		}
	}
	j.batchNumber++
	value, err := cbor.Marshal(batch{Number: j.batchNumber, Records: records})
	if err != nil {
		complete(calls, Error.Wrap(err))
		return
	}
	put := ibistable.Put(rowKey(j.incarnation, len(j.ring.rows)), ibistable.Absent, value)
	if overwritten != nil {
		put = ibistable.Put(rowKey(j.incarnation, overwritten.number), overwritten.version, value)
	}
	version, err := j.commit(ctx, put)
	if err == nil {
		j.compactionOnly = len(calls) == 0
		j.ring.applyWrite(overwritten, version, records, len(value))
		j.recordWrite(calls, len(value))
	}
	complete(calls, err)
	if Unavailable.Has(err) {
		j.awaitAvailable(ctx)
	}
}

// recordWrite updates the statistics after a write.
func (j *Journal) recordWrite(calls []*appendCall, bytes int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stats.Writes++
	j.stats.Bytes += int64(bytes)
	for _, call := range calls {
		j.stats.Records += int64(len(call.records))
	}
	j.stats.Rows, j.stats.RowBytes = len(j.ring.rows), j.ring.rowBytes
	j.stats.Live, j.stats.LiveBytes = len(j.ring.index), j.ring.liveBytes
}

// commit writes one row and retries until the outcome is known, without a time limit, unless the journal is
// stopped. After a second try with an unknown outcome, or once the outcome is Unavailable, Append fails at once.
func (j *Journal) commit(ctx context.Context, put ibistable.Write) (int64, error) {
	transaction := ibiscommit.New(j.t, j.fence, put)
	retryBackoff := j.newBackoff()
	timeout := initialTimeout
	for tries := 1; ; tries++ {
		tctx, cancel := context.WithTimeout(ctx, timeout)
		version, err := transaction.Try(tctx)
		cancel()
		switch {
		case err == nil:
			if tries > 1 {
				j.markAvailable()
			}
			return version, nil
		case ibiscommit.Unavailable.Has(err):
			err = Unavailable.Wrap(err)
			j.markUnavailable(err)
			return 0, err
		case !ibiscommit.Unknown.Has(err):
			return 0, j.failConflict(transaction, err)
		}
		if tries > 1 {
			j.markUnavailable(Unavailable.Wrap(err))
		}
		if !sleep(ctx, retryBackoff.NextBackOff()) {
			return 0, Unknown.Wrap(err)
		}
		timeout = min(2*timeout, maxTimeout)
	}
}

// failConflict stops the journal after a conflict, which means that the incarnation is no longer live: only then
// do others change its rows. The error is also Unknown if an earlier try may have taken effect.
func (j *Journal) failConflict(transaction *ibiscommit.Transaction, cause error) error {
	err := Fenced.Wrap(cause)
	log.WithFields(log.Fields{"incarnation": j.incarnation, "error": cause}).Warn("JournalFenced")
	j.setFinalErr(err)
	if transaction.MaybeApplied() {
		return Fenced.Wrap(Unknown.Wrap(cause))
	}
	return err
}

// markUnavailable makes Append fail at once and logs the start of an outage of the table service.
func (j *Journal) markUnavailable(err error) {
	if j.Healthy() {
		log.WithFields(log.Fields{"incarnation": j.incarnation, "error": err}).Warn("JournalAway")
	}
	j.setUnavailable(err)
}

// markAvailable logs the end of an outage of the table service and lets Append write again.
func (j *Journal) markAvailable() {
	j.mu.Lock()
	wasUnavailable := j.unavailableErr != nil
	j.mu.Unlock()
	if wasUnavailable {
		log.WithFields(log.Fields{"incarnation": j.incarnation}).Info("JournalBack")
		j.setUnavailable(nil)
	}
}

// awaitAvailable polls the incarnation's row until the table service answers. A changed row fences the journal.
func (j *Journal) awaitAvailable(ctx context.Context) {
	retryBackoff := j.newBackoff()
	for sleep(ctx, retryBackoff.NextBackOff()) {
		tctx, cancel := context.WithTimeout(ctx, initialTimeout)
		row, err := j.t.Get(tctx, j.fence.Key)
		cancel()
		if ibistable.NotFound.Has(err) || (err == nil && row.Version != j.fence.IfVersion) {
			j.setFinalErr(Fenced.New("row %s has version %d, want %d", j.fence.Key, row.Version, j.fence.IfVersion))
			return
		}
		if err == nil {
			j.markAvailable()
			return
		}
	}
}

func (j *Journal) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = j.initialBackoff, j.maxBackoff
	return b
}

// sleep waits for d and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
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
