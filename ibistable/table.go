// Package ibistable is the project's view of the platform's transactional table service and object
// store: rows with versions, conditional writes and reads by key range.
//
// Usage:
//
//	t := ibistable.NewClient("http://127.0.0.1:7000", nil)
//	row, err := t.Get(ctx, "team/tuul-floor")
//	err = t.Commit(ctx, ibistable.Put("team/tuul-floor", row.Version, value))
//
// A write whose reply was lost returns Unknown: it may or may not have taken effect. Every writer makes
// its writes harmless to repeat, by a condition on the version that it replaces.
package ibistable

import (
	"context"

	"github.com/zeebo/errs"
)

// Error classes of the table service.
var (
	// Error is the class of errors of this package that no other class names.
	Error = errs.Class("table")
	// Conflict says that a condition did not hold; nothing was written.
	Conflict = errs.Class("table conflict")
	// Unavailable says that the service refused or could not be reached; nothing was written.
	Unavailable = errs.Class("table unavailable")
	// Unknown says that no reply came after the request was sent; it may have taken effect.
	Unknown = errs.Class("table outcome unknown")
	// NotFound says that there is no such row or object.
	NotFound = errs.Class("table not found")
)

// Versions with a meaning of their own in the condition of a Write.
const (
	// Absent requires that the row does not exist.
	Absent int64 = 0
	// Any puts no condition on the row.
	Any int64 = -1
)

// Row is one row as it was read. Version is above zero and grows with each write of the table.
type Row struct {
	Key     string `json:"Key"`
	Version int64  `json:"Version"`
	Value   []byte `json:"Value,omitempty"`
}

// Write is one part of a transaction: a condition on a row's version and what to do when all
// conditions of the transaction hold. A Write with neither Value nor Delete only checks.
type Write struct {
	Key       string `json:"Key"`
	IfVersion int64  `json:"IfVersion"` // a version, Absent or Any
	Value     []byte `json:"Value,omitempty"`
	Delete    bool   `json:"Delete,omitempty"`
}

// Put writes value when the row has the given version.
func Put(key string, ifVersion int64, value []byte) Write {
	return Write{Key: key, IfVersion: ifVersion, Value: value}
}

// Delete removes the row when it has the given version.
func Delete(key string, ifVersion int64) Write {
	return Write{Key: key, IfVersion: ifVersion, Delete: true}
}

// Check only requires that the row has the given version.
func Check(key string, ifVersion int64) Write {
	return Write{Key: key, IfVersion: ifVersion}
}

// Table is what the project requires of the table service. Commit applies all writes or none; it
// returns the version that every written row now has.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows with from <= key < to in order of their keys.
	Scan(ctx context.Context, from, to string, limit int) ([]Row, error)
	Commit(ctx context.Context, writes ...Write) (version int64, err error)
}

// PrefixEnd is the first key after every key that begins with prefix.
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
