// Package ibiscommit makes conditional writes to the table service harmless to repeat, and settles those
// whose reply was lost.
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
	// Conflict says that a row other than the fence has changed; the writes have no effect later.
	Conflict = errs.Class("commit conflict")
	// Fenced says that the row of the fence has changed; the writes have no effect later.
	Fenced = errs.Class("commit fenced")
	// Unavailable says that the writes had no effect and will have none.
	Unavailable = errs.Class("commit unavailable")
	// Unknown says that the writes may have taken effect, or may still do so.
	Unknown = errs.Class("commit outcome unknown")
)

// Bounds on the repetition of one commit.
const (
	firstPause     = 10 * time.Millisecond
	longestPause   = time.Second
	attemptTimeout = 2 * time.Second
)

// Attempt is one transaction that may be tried several times and takes effect at most once. Each write
// has a condition on a version, and each value differs from what the row held before.
type Attempt struct {
	table   ibistable.Table
	fence   ibistable.Write
	writes  []ibistable.Write
	unknown bool
	maybe   bool
}

// New makes an attempt. A fence without a key is left out.
func New(t ibistable.Table, fence ibistable.Write, writes ...ibistable.Write) *Attempt {
	return &Attempt{table: t, fence: fence, writes: writes}
}

// MaybeApplied reports, after Conflict or Fenced, that an earlier try may have taken effect before other
// writes replaced it.
func (a *Attempt) MaybeApplied() bool { return a.maybe }

// Try sends the transaction once. The version is that of the rows written. After Unknown the caller
// tries again; every other error is final, and Unavailable is only returned when no try was Unknown.
func (a *Attempt) Try(ctx context.Context) (int64, error) {
	writes := a.writes
	if a.fence.Key != "" {
		writes = append([]ibistable.Write{a.fence}, a.writes...)
	}
	version, err := a.table.Commit(ctx, writes...)
	switch {
	case err == nil:
		return version, nil
	case ibistable.Conflict.Has(err):
		return a.resolve(ctx, err)
	case ibistable.Unavailable.Has(err) && !a.unknown:
		return 0, Unavailable.Wrap(err)
	default:
		a.unknown = true
		return 0, Unknown.Wrap(err)
	}
}

// resolve reads the rows concerned after a conflict, to find what became of earlier tries.
func (a *Attempt) resolve(ctx context.Context, cause error) (int64, error) {
	applied, unchanged, broken, version := true, false, false, int64(0)
	for _, w := range a.writes {
		row, err := a.read(ctx, w.Key)
		if err != nil {
			return 0, Unknown.Wrap(err)
		}
		broken = broken || row.Version != w.IfVersion
		unchanged = unchanged || (row.Version == w.IfVersion && w.IfVersion > 0)
		switch {
		case w.Delete:
			applied = applied && row.Version == 0
		case w.Value != nil:
			applied = applied && row.Version > 0 && bytes.Equal(row.Value, w.Value)
			version = row.Version
		}
	}
	if a.unknown && applied {
		return version, nil
	}
	if a.fence.Key != "" {
		row, err := a.read(ctx, a.fence.Key)
		if err != nil {
			return 0, Unknown.Wrap(err)
		}
		if row.Version != a.fence.IfVersion {
			a.maybe = a.unknown && !unchanged
			return 0, Fenced.Wrap(cause)
		}
	}
	if !broken {
		return 0, Unknown.Wrap(cause) // every condition holds, so trying again may succeed
	}
	a.maybe = a.unknown && !unchanged
	return 0, Conflict.Wrap(cause)
}

// read is Get with a zero row for an absent one.
func (a *Attempt) read(ctx context.Context, key string) (ibistable.Row, error) {
	row, err := a.table.Get(ctx, key)
	if ibistable.NotFound.Has(err) {
		return ibistable.Row{}, nil
	}
	return row, err
}

// Commit tries a transaction until its outcome is known or ctx has ended, in which case it returns
// Unknown. It returns Unavailable at once when the first try had no effect.
func Commit(ctx context.Context, t ibistable.Table, fence ibistable.Write, writes ...ibistable.Write) (int64, error) {
	return New(t, fence, writes...).Run(ctx)
}

// Run repeats Try until the outcome is known or ctx has ended.
func (a *Attempt) Run(ctx context.Context) (int64, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longestPause
	for {
		tctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		version, err := a.Try(tctx)
		cancel()
		if !Unknown.Has(err) {
			return version, err
		}
		timer := time.NewTimer(pause.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return 0, err
		case <-timer.C:
		}
	}
}
