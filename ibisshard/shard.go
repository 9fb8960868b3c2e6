// Package ibisshard records in the table which incarnation of a daemon holds each shard of the requests. A
// shard changes its holder by a conditional write that raises the shard's epoch and lists the incarnations
// whose journals still hold records of it. Package ibisholder acquires and releases shards through it.
//
// Usage:
//
//	rows, err := ibisshard.List(ctx, table, shards)
//	row, err := ibisshard.Acquire(ctx, table, inc.Fence(), rows[3], inc.ID())
//	// copy the shard's records from the journals of row.Sources to the holder's own journal, then
//	row, err = ibisshard.MarkImported(ctx, table, inc.Fence(), row)
//
// A holder serves a shard, and forgets requests of it, only after MarkImported has returned: until then a
// forgotten request would be recovered again from the journal of a previous holder.
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
	// Error is the class of all errors without a more specific class.
	Error = errs.Class("shard")
	// Conflict means that the row has changed since it was read; the caller lists the rows again.
	Conflict = errs.Class("shard conflict")
	// Fenced means that the caller's incarnation is no longer live.
	Fenced = errs.Class("shard fenced")
	// Unavailable means that the table service is unavailable and nothing was written.
	Unavailable = errs.Class("shard unavailable")
	// Unknown means that the write may have taken effect; the caller lists the rows again.
	Unknown = errs.Class("shard outcome unknown")
)

const (
	keyPrefix    = "shard/"
	scanPageRows = 256
	maxTxRows    = 16 // rows per transaction
)

// Row is the stored state of one shard.
type Row struct {
	Shard  int    `json:"Shard"`
	Holder string `json:"Holder,omitempty"` // incarnation ID, or empty if no incarnation holds the shard
	Epoch  int64  `json:"Epoch"`            // raised by each Acquire
	// Base is the epoch of the last holder that completed its import. Records of the shard with a lower
	// epoch are invalid in every journal.
	Base int64 `json:"Base,omitempty"`
	// Sources lists the incarnations whose journals still hold records of the shard that the holder has
	// not imported. It includes the holder itself if it held the shard before.
	Sources []string `json:"Sources,omitempty"`
	Version int64    `json:"-"` // of the table row, zero if the row does not exist
}

// rowFields has the fields of Row but not its methods, so that decoding does not recurse.
type rowFields Row

// Check validates the row.
func (r Row) Check() error {
	if r.Shard < 0 || r.Epoch < 0 || r.Base < 0 || r.Base > r.Epoch {
		return Error.New("invalid row of shard %d: epoch %d, base %d; want shard >= 0 and 0 <= base <= epoch", r.Shard, r.Epoch, r.Base)
	}
	return nil
}

// UnmarshalCBOR decodes and validates a row.
func (r *Row) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*rowFields)(r)); err != nil {
		return Error.Wrap(err)
	}
	return r.Check()
}

// Key returns the table key of a shard's row.
func Key(shard int) string { return fmt.Sprintf("%s%04d", keyPrefix, shard) }

// List returns the rows of shards 0 to n-1. A shard that was never acquired has a row with only its number.
func List(ctx context.Context, t ibistable.Table, n int) ([]Row, error) {
	list := make([]Row, n)
	for s := range list {
		list[s].Shard = s
	}
	for row, err := range ibistable.ScanPrefix(ctx, t, keyPrefix, scanPageRows) {
		if err != nil {
			return nil, classifyError(err)
		}
		r, err := decode(row)
		if err != nil {
			return nil, err
		}
		if r.Shard >= n || Key(r.Shard) != row.Key {
			return nil, Error.New("row %s describes shard %d; want the shard of its key, below %d", row.Key, r.Shard, n)
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

// withHolder returns r with self as the holder under the next epoch. The previous holder is added to the
// sources even if it is self: the import is complete only when it has all records of the shard under the
// new epoch.
func (r Row) withHolder(self string) Row {
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

// Acquire makes self the holder if the row is still at r.Version, and returns the row as written.
func Acquire(ctx context.Context, t ibistable.Table, fence ibistable.Write, r Row, self string) (Row, error) {
	rows, err := write(ctx, t, fence, r.withHolder(self))
	if err != nil {
		return Row{}, err
	}
	return rows[0], nil
}

// AcquireMany acquires shards in transactions of at most 16 rows. After a conflict, the rows of that
// transaction are written one by one, and rows that another daemon has changed are skipped. It returns the
// acquired rows, also together with an error.
func AcquireMany(ctx context.Context, t ibistable.Table, fence ibistable.Write, rows []Row, self string) ([]Row, error) {
	var acquired []Row
	for chunk := range slices.Chunk(rows, maxTxRows) {
		updated := make([]Row, len(chunk))
		for i, r := range chunk {
			updated[i] = r.withHolder(self)
		}
		written, err := write(ctx, t, fence, updated...)
		if Conflict.Has(err) {
			written, err = writeEach(ctx, t, fence, updated)
		}
		acquired = append(acquired, written...)
		if err != nil {
			return acquired, err
		}
	}
	return acquired, nil
}

// writeEach writes each row in its own transaction and skips those that conflict.
func writeEach(ctx context.Context, t ibistable.Table, fence ibistable.Write, rows []Row) ([]Row, error) {
	var written []Row
	for _, r := range rows {
		one, err := write(ctx, t, fence, r)
		if err != nil && !Conflict.Has(err) {
			return written, err
		}
		written = append(written, one...)
	}
	return written, nil
}

// MarkImported records that the holder's own journal holds every live record of the shard.
func MarkImported(ctx context.Context, t ibistable.Table, fence ibistable.Write, r Row) (Row, error) {
	r.Sources, r.Base = nil, r.Epoch
	rows, err := write(ctx, t, fence, r)
	if err != nil {
		return Row{}, err
	}
	return rows[0], nil
}

// Release clears the holder of the shard and keeps the holder's journal among the sources.
func Release(ctx context.Context, t ibistable.Table, fence ibistable.Write, r Row) (Row, error) {
	r.Sources, r.Holder = r.withSource(r.Holder), ""
	rows, err := write(ctx, t, fence, r)
	if err != nil {
		return Row{}, err
	}
	return rows[0], nil
}

// write writes rows in one transaction, each conditional on its version.
func write(ctx context.Context, t ibistable.Table, fence ibistable.Write, rows ...Row) ([]Row, error) {
	writes := make([]ibistable.Write, len(rows))
	for i, r := range rows {
		value, err := cbor.Marshal(rowFields(r))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		writes[i] = ibistable.Put(Key(r.Shard), r.Version, value)
	}
	version, err := ibiscommit.Commit(ctx, t, fence, writes...)
	if ibiscommit.Conflict.Has(err) && len(rows) == 1 {
		version, err = confirmWritten(ctx, t, writes[0], err)
	}
	if err != nil {
		return nil, classifyError(err)
	}
	for i := range rows {
		rows[i].Version = version
	}
	return rows, nil
}

// confirmWritten turns a conflict into success if the row already has the value to be written: an earlier
// call took effect and its reply was lost.
func confirmWritten(ctx context.Context, t ibistable.Table, w ibistable.Write, conflict error) (int64, error) {
	row, err := t.Get(ctx, w.Key)
	if err != nil || !bytes.Equal(row.Value, w.Value) {
		return 0, conflict
	}
	return row.Version, nil
}

// classifyError converts errors of the table and of commits to the classes of this package.
func classifyError(err error) error {
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
