// Package ibisshard keeps which incarnation holds which shard of the requests. A shard moves by a
// conditional write that raises its epoch and remembers whose journals still hold records of it.
//
// Usage:
//
//	rows, err := ibisshard.List(ctx, table, shards)
//	row, err := ibisshard.Acquire(ctx, table, inc.Fence(), rows[3], inc.ID())
//	// read the journals of row.Sources and append what they hold to the own journal, then
//	row, err = ibisshard.Imported(ctx, table, inc.Fence(), row)
//
// A holder serves a shard, and forgets requests of it, only once Imported has returned: before that a
// request that it forgot would come back from the journal of an earlier holder.
package ibisshard

import (
	"bytes"
	"context"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"ibiscrank/ibiscommit"
	"ibiscrank/ibistable"
)

// Error classes of this package.
var (
	// Error is the class of errors that no other class names.
	Error = errs.Class("shard")
	// Conflict says that the row has changed since it was read; list it again.
	Conflict = errs.Class("shard conflict")
	// Fenced says that the caller's incarnation is no longer live.
	Fenced = errs.Class("shard fenced")
	// Unavailable says that the table service is away and nothing was written.
	Unavailable = errs.Class("shard unavailable")
	// Unknown says that the write may have taken effect; list the rows again.
	Unknown = errs.Class("shard outcome unknown")
)

const (
	prefix    = "shard/"
	scanPage  = 256 // rows
	batchRows = 16  // rows of one transaction
)

// Row is what is kept of one shard.
type Row struct {
	Shard  int    `json:"Shard"`
	Holder string `json:"Holder,omitempty"` // an incarnation, or empty when the last one gave it up
	Epoch  int64  `json:"Epoch"`            // raised by each Acquire
	// Base is the epoch of the last holder whose import was complete. Records of the shard that were
	// written under a lower epoch are void, in whatever journal they stand.
	Base int64 `json:"Base,omitempty"`
	// Sources names the incarnations whose journals still hold records of the shard that the holder has
	// not imported. The holder itself is among them when it held the shard before.
	Sources []string `json:"Sources,omitempty"`
	Version int64    `json:"-"` // of the table row, zero when there is none
}

// plain drops the methods of Row, so that decoding it does not recurse.
type plain Row

// Check reports a fault of the row.
func (r Row) Check() error {
	if r.Shard < 0 || r.Epoch < 0 || r.Base < 0 || r.Base > r.Epoch {
		return Error.New("shard %d: epoch %d, base %d", r.Shard, r.Epoch, r.Base)
	}
	return nil
}

// UnmarshalCBOR decodes and checks a row.
func (r *Row) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*plain)(r)); err != nil {
		return Error.Wrap(err)
	}
	return r.Check()
}

// Key is the key of the row of one shard.
func Key(shard int) string { return fmt.Sprintf("%s%04d", prefix, shard) }

// List returns the rows of shards 0 to n-1, with zero rows for those that were never taken.
func List(ctx context.Context, t ibistable.Table, n int) ([]Row, error) {
	list := make([]Row, n)
	for s := range list {
		list[s].Shard = s
	}
	for row, err := range ibistable.ScanPrefix(ctx, t, prefix, scanPage) {
		if err != nil {
			return nil, classify(err)
		}
		r, err := decode(row)
		if err != nil {
			return nil, err
		}
		if r.Shard >= n || Key(r.Shard) != row.Key {
			return nil, Error.New("%s holds shard %d of %d", row.Key, r.Shard, n)
		}
		list[r.Shard] = r
	}
	return list, nil
}

func decode(row ibistable.Row) (Row, error) {
	var r Row
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return Row{}, Error.Wrap(fmt.Errorf("%s: %w", row.Key, err))
	}
	r.Version = row.Version
	return r, nil
}

// taken is r with self as its holder. The earlier holder joins the sources even when it is self, because
// the import that follows is complete only when it has all records of the shard under the new epoch.
func (r Row) taken(self string) Row {
	r.Sources = r.withSource(r.Holder)
	r.Holder = self
	r.Epoch++
	return r
}

func (r Row) withSource(id string) []string {
	if id == "" || slices.Contains(r.Sources, id) {
		return r.Sources
	}
	return append(slices.Clone(r.Sources), id)
}

// Acquire makes self the holder, if the row is still at r.Version, and returns the row as written.
func Acquire(ctx context.Context, t ibistable.Table, fence ibistable.Write, r Row, self string) (Row, error) {
	rows, err := write(ctx, t, fence, r.taken(self))
	if err != nil {
		return Row{}, err
	}
	return rows[0], nil
}

// AcquireMany acquires shards in transactions of at most 16 rows; a transaction that meets a conflict is
// done again row by row, and the rows that others have changed are left out. It returns the rows that
// were acquired, also beside an error.
func AcquireMany(ctx context.Context, t ibistable.Table, fence ibistable.Write, rows []Row, self string) ([]Row, error) {
	var got []Row
	for part := range slices.Chunk(rows, batchRows) {
		next := make([]Row, len(part))
		for i, r := range part {
			next[i] = r.taken(self)
		}
		done, err := write(ctx, t, fence, next...)
		if Conflict.Has(err) {
			done, err = oneByOne(ctx, t, fence, next)
		}
		got = append(got, done...)
		if err != nil {
			return got, err
		}
	}
	return got, nil
}

func oneByOne(ctx context.Context, t ibistable.Table, fence ibistable.Write, next []Row) ([]Row, error) {
	var got []Row
	for _, r := range next {
		done, err := write(ctx, t, fence, r)
		if err != nil && !Conflict.Has(err) {
			return got, err
		}
		got = append(got, done...)
	}
	return got, nil
}

// Imported records that the holder's own journal has every live record of the shard.
func Imported(ctx context.Context, t ibistable.Table, fence ibistable.Write, r Row) (Row, error) {
	r.Sources, r.Base = nil, r.Epoch
	rows, err := write(ctx, t, fence, r)
	if err != nil {
		return Row{}, err
	}
	return rows[0], nil
}

// Release gives the shard up; the holder's journal stays among the sources.
func Release(ctx context.Context, t ibistable.Table, fence ibistable.Write, r Row) (Row, error) {
	r.Sources, r.Holder = r.withSource(r.Holder), ""
	rows, err := write(ctx, t, fence, r)
	if err != nil {
		return Row{}, err
	}
	return rows[0], nil
}

// write puts rows in one transaction, each conditional on its version.
func write(ctx context.Context, t ibistable.Table, fence ibistable.Write, rows ...Row) ([]Row, error) {
	writes := make([]ibistable.Write, len(rows))
	for i, r := range rows {
		value, err := cbor.Marshal(plain(r))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		writes[i] = ibistable.Put(Key(r.Shard), r.Version, value)
	}
	version, err := ibiscommit.Commit(ctx, t, fence, writes...)
	if ibiscommit.Conflict.Has(err) && len(rows) == 1 {
		version, err = written(ctx, t, writes[0], err)
	}
	if err != nil {
		return nil, classify(err)
	}
	for i := range rows {
		rows[i].Version = version
	}
	return rows, nil
}

// written turns a conflict into success when the row already says what was to be written: then an
// earlier call took effect and its reply was lost.
func written(ctx context.Context, t ibistable.Table, w ibistable.Write, conflict error) (int64, error) {
	row, err := t.Get(ctx, w.Key)
	if err != nil || !bytes.Equal(row.Value, w.Value) {
		return 0, conflict
	}
	return row.Version, nil
}

// classify turns errors from below into those of this package.
func classify(err error) error {
	switch {
	case ibiscommit.Conflict.Has(err):
		return Conflict.Wrap(err)
	case ibiscommit.Fenced.Has(err):
		return Fenced.Wrap(err)
	case ibiscommit.Unavailable.Has(err), ibistable.Unavailable.Has(err):
		return Unavailable.Wrap(err)
	case ibiscommit.Unknown.Has(err), ibistable.Unknown.Has(err):
		return Unknown.Wrap(err)
	}
	return Error.Wrap(err)
}
