// Package ibiscommit retries conditional writes to the table service so that they take effect at most once,
// and determines the outcome of writes whose reply was lost. Packages ibisallot, ibisincarnation, ibisjournal
// and ibisshard write through it.
//
// A transaction may include a fence: a condition on a row that changes when the writer's incarnation (one
// start of a daemon) is revoked. From then on the writes of that incarnation fail with Fenced.
//
// Usage:
//
//	version, err := ibiscommit.Commit(ctx, table, fence, ibistable.Put(key, row.Version, value))
//	if ibiscommit.Fenced.Has(err) {
//		return err // this incarnation was revoked
//	}
package ibiscommit

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/zeebo/errs"

	"ibiscrank/ibistable"
)

// Error classes of a commit.
var (
	// Conflict means that a row other than the fence's has changed. The writes cannot take effect any more,
	// but an earlier try may have done so: see Transaction.MaybeApplied.
	Conflict = errs.Class("commit conflict")
	// Fenced means that the fence's row has changed. The writes cannot take effect any more, but an earlier
	// try may have done so: see Transaction.MaybeApplied.
	Fenced = errs.Class("commit fenced")
	// Unavailable means that the writes had no effect and will have none.
	Unavailable = errs.Class("commit unavailable")
	// Unknown means that the writes may have taken effect, or may still do so.
	Unknown = errs.Class("commit outcome unknown")
)

// Backoff between attempts, and the timeout of one attempt.
const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
	tryTimeout     = 2 * time.Second
)

// Transaction is an atomic set of writes that may be tried several times and takes effect at most once. Every
// write must have a condition on a version, and every value must differ from the row's previous one, so that
// reading the rows shows whether the transaction was applied.
type Transaction struct {
	table        ibistable.Table
	fence        ibistable.Write
	writes       []ibistable.Write
	unresolved   bool // an earlier try may have taken effect, or may still do so
	maybeApplied bool // see MaybeApplied
}

// New returns a transaction of writes on t, under the condition of fence. A fence without a key is omitted.
func New(t ibistable.Table, fence ibistable.Write, writes ...ibistable.Write) *Transaction {
	return &Transaction{table: t, fence: fence, writes: writes}
}

// MaybeApplied reports, after Conflict or Fenced, whether an earlier try may have taken effect before others
// overwrote its rows.
func (tx *Transaction) MaybeApplied() bool { return tx.maybeApplied }

// Try sends the transaction once and returns the version of the rows written. After Unknown the caller may try
// again; every other error is final. Unavailable is returned only if no earlier try can have taken effect.
func (tx *Transaction) Try(ctx context.Context) (int64, error) {
	writes := tx.writes
	if tx.fence.Key != "" {
		writes = append([]ibistable.Write{tx.fence}, tx.writes...)
	}
	version, err := tx.table.Commit(ctx, writes...)
	switch {
	case err == nil:
		return version, nil
	case ibistable.Conflict.Has(err):
		return tx.resolveConflict(ctx, err)
	case ibistable.Unavailable.Has(err) && !tx.unresolved:
		return 0, Unavailable.Wrap(err)
	default:
		tx.unresolved = true
		return 0, Unknown.Wrap(err)
	}
}

// resolveConflict reads the rows of the transaction after a conflict, to find out whether an earlier try was
// applied. Since the transaction is atomic, one row that still has its old version shows that it was not.
func (tx *Transaction) resolveConflict(ctx context.Context, cause error) (int64, error) {
	applied, anyUnchanged, conflicting, version := true, false, false, int64(0)
	for _, w := range tx.writes {
		row, err := tx.readRow(ctx, w.Key)
		if err != nil {
			return 0, Unknown.Wrap(err)
		}
		conflicting = conflicting || row.Version != w.IfVersion
		anyUnchanged = anyUnchanged || (row.Version == w.IfVersion && w.IfVersion > 0)
		switch {
		case w.Delete:
			applied = applied && row.Version == 0
		case w.Value != nil:
			applied = applied && row.Version > 0 && bytes.Equal(row.Value, w.Value)
			version = row.Version
		}
	}
	if tx.unresolved && applied {
		return version, nil
	}
	if tx.fence.Key != "" {
		row, err := tx.readRow(ctx, tx.fence.Key)
		if err != nil {
			return 0, Unknown.Wrap(err)
		}
		if row.Version != tx.fence.IfVersion {
			tx.maybeApplied = tx.unresolved && !anyUnchanged
			return 0, Fenced.Wrap(cause)
		}
	}
	if !conflicting {
		return 0, Unknown.Wrap(cause) // all conditions hold, so a retry may succeed
	}
	tx.maybeApplied = tx.unresolved && !anyUnchanged
	return 0, Conflict.Wrap(cause)
}

// readRow reads a row, or returns a zero Row if it does not exist.
func (tx *Transaction) readRow(ctx context.Context, key string) (ibistable.Row, error) {
	row, err := tx.table.Get(ctx, key)
	if ibistable.NotFound.Has(err) {
		return ibistable.Row{}, nil
	}
	return row, err
}

// Commit tries a transaction until its outcome is known, and returns the version of the rows written. It
// returns Conflict, Fenced, Unavailable (at once, if no earlier try can have taken effect) or, if ctx ends
// before the outcome is known, Unknown.
func Commit(ctx context.Context, t ibistable.Table, fence ibistable.Write, writes ...ibistable.Write) (int64, error) {
	return New(t, fence, writes...).Run(ctx)
}

// Run calls Try, with backoff, until the outcome is known or ctx ends, and returns the result of the last try.
func (tx *Transaction) Run(ctx context.Context) (int64, error) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = initialBackoff, maxBackoff
	for {
		tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		version, err := tx.Try(tryCtx)
		cancel()
		if !Unknown.Has(err) {
			return version, err
		}
		timer := time.NewTimer(bo.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return 0, err
		case <-timer.C:
		}
	}
}
