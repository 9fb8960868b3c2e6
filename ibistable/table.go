// Package ibistable defines the interfaces of the platform's transactional table service (versioned rows,
// conditional writes, scans of key ranges) and of its object store, and implements a client for both. All
// durable state of the daemons of package ibisdaemon is kept there.
//
// Usage:
//
//	t := ibistable.NewClient("http://127.0.0.1:7000", nil)
//	row, err := t.Get(ctx, "team/tuul-floor")
//	version, err := t.Commit(ctx, ibistable.Put("team/tuul-floor", row.Version, value))
//
// A write whose reply was lost fails with Unknown: it may have taken effect. Writers therefore make their
// writes idempotent, by a condition on the version that a write replaces.
package ibistable

import (
	"context"

	"github.com/zeebo/errs"
)

// Error classes of the table service.
var (
	// Error is the class of all other errors of this package, for example a rejected request.
	Error = errs.Class("table")
	// Conflict means that a condition on a row's version did not hold; nothing was written.
	Conflict = errs.Class("table conflict")
	// Unavailable means that the service refused the request or could not be reached; nothing was written.
	Unavailable = errs.Class("table unavailable")
	// Unknown means that the request was sent but no valid reply arrived; the write may have taken effect.
	Unknown = errs.Class("table outcome unknown")
	// NotFound means that the row or object does not exist.
	NotFound = errs.Class("table not found")
)

// Special values of Write.IfVersion.
const (
	// Absent requires that the row does not exist.
	Absent int64 = 0
	// Any puts no condition on the row.
	Any int64 = -1
)

// Row is one row as it was read. Version is positive and increases with each write to the table.
type Row struct {
	Key     string `json:"Key"`
	Version int64  `json:"Version"`
	Value   []byte `json:"Value,omitempty"`
}

// Write is one operation of a transaction: a condition on a row's version, and what to do with the row if all
// conditions of the transaction hold. A Write with neither Value nor Delete only checks its condition.
type Write struct {
	Key       string `json:"Key"`
	IfVersion int64  `json:"IfVersion"` // a version, Absent or Any
	Value     []byte `json:"Value,omitempty"`
	Delete    bool   `json:"Delete,omitempty"`
}

// Put writes value if the row has version ifVersion. Value must not be empty, since the service treats a Write
// without a value as a mere check.
func Put(key string, ifVersion int64, value []byte) Write {
	return Write{Key: key, IfVersion: ifVersion, Value: value}
}

// Delete removes the row if it has version ifVersion.
func Delete(key string, ifVersion int64) Write {
	return Write{Key: key, IfVersion: ifVersion, Delete: true}
}

// Check requires that the row has version ifVersion and doesn't change it.
func Check(key string, ifVersion int64) Write {
	return Write{Key: key, IfVersion: ifVersion}
}

// Table is the transactional table service. The error classes of its methods are those of this package; reads
// never fail with Unknown.
type Table interface {
	// Get returns the row with the given key, or fails with NotFound or Unavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows with from <= key < to in order of their keys, or fails with Unavailable.
	Scan(ctx context.Context, from, to string, limit int) ([]Row, error)
	// Commit applies all writes or none, and returns the new version, which all written rows share. It fails
	// with Conflict, Unavailable or Unknown.
	Commit(ctx context.Context, writes ...Write) (version int64, err error)
}

// PrefixEnd returns the smallest key above all keys that begin with prefix, as the end of a Scan. If prefix is
// empty or consists of 0xff bytes, it returns "\xff".
func PrefixEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return "\xff"
}
