// Package ibisincarnation keeps one row for each start of a daemon. Every write of a daemon is
// conditional on its own row being unchanged, so that a daemon that was revoked can write nothing.
//
// Usage:
//
//	inc, err := ibisincarnation.Register(ctx, table, ibisincarnation.Row{ID: id, Address: addr, State: ibisincarnation.Live})
//	_, err = table.Commit(ctx, inc.Fence(), ibistable.Put(key, version, value))
//	err = inc.End(ctx)
package ibisincarnation

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"ibiscrank/ibiscommit"
	"ibiscrank/ibistable"
)

// Error classes of this package.
var (
	// Error is the class of errors that no other class names.
	Error = errs.Class("incarnation")
	// Fenced says that the incarnation is no longer live.
	Fenced = errs.Class("incarnation fenced")
	// Unavailable says that the table service is away and nothing was written.
	Unavailable = errs.Class("incarnation unavailable")
	// Unknown says that the write may have taken effect; repeating the call is harmless.
	Unknown = errs.Class("incarnation outcome unknown")
)

const (
	prefix   = "incarnation/"
	scanPage = 256 // rows
)

var idForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// State is the state of an incarnation.
type State string

// The states of an incarnation. Every state but Live is final.
const (
	Live    State = "Live"
	Revoked State = "Revoked" // by another daemon, which found it dead
	Ended   State = "Ended"   // by itself
)

// Row is what is kept of one incarnation.
type Row struct {
	ID            string    `json:"ID"`
	Address       string    `json:"Address"` // of gRPC
	HTTPAddress   string    `json:"HTTPAddress"`
	FailureDomain string    `json:"FailureDomain,omitempty"`
	Region        string    `json:"Region,omitempty"`
	StartedAt     time.Time `json:"StartedAt"`
	State         State     `json:"State"`
	Reason        string    `json:"Reason,omitempty"`
}

// Check reports a fault of the row.
func (r Row) Check() error {
	if !idForm.MatchString(r.ID) {
		return Error.New("ID: %q has other characters than letters, digits, '.', '_' and '-', or is empty or too long", r.ID)
	}
	switch r.State {
	case Live, Revoked, Ended:
		return nil
	}
	return Error.New("State: %q is not one of Live, Revoked, Ended", string(r.State))
}

// plain drops the methods of Row, so that decoding it does not recurse.
type plain Row

// UnmarshalCBOR decodes and checks a row.
func (r *Row) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*plain)(r)); err != nil {
		return Error.Wrap(err)
	}
	return r.Check()
}

var encoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (r Row) encode() ([]byte, error) {
	r.StartedAt = r.StartedAt.UTC()
	b, err := encoding.Marshal(plain(r))
	return b, Error.Wrap(err)
}

// Key is the key of the row of one incarnation.
func Key(id string) string { return prefix + id }

// Incarnation is this daemon's own row.
type Incarnation struct {
	t       ibistable.Table
	row     Row
	version int64
}

// Register creates the row of a new incarnation; an empty State means Live. The ID is one that no other
// start of a daemon ever uses. A repeated call with the same row is harmless.
func Register(ctx context.Context, t ibistable.Table, r Row) (*Incarnation, error) {
	if r.State == "" {
		r.State = Live
	}
	if err := r.Check(); err != nil {
		return nil, err
	}
	value, err := r.encode()
	if err != nil {
		return nil, err
	}
	version, err := ibiscommit.Commit(ctx, t, ibistable.Write{}, ibistable.Put(Key(r.ID), ibistable.Absent, value))
	if ibiscommit.Conflict.Has(err) {
		version, err = registered(ctx, t, r.ID, value)
	}
	if err != nil {
		return nil, classify(err)
	}
	return &Incarnation{t: t, row: r, version: version}, nil
}

// registered finds the version of a row that an earlier call has created.
func registered(ctx context.Context, t ibistable.Table, id string, value []byte) (int64, error) {
	row, err := t.Get(ctx, Key(id))
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(row.Value, value) {
		return 0, Fenced.New("%s is taken or no longer live", id)
	}
	return row.Version, nil
}

// ID is the incarnation's ID.
func (i *Incarnation) ID() string { return i.row.ID }

// Row is the row as it was registered.
func (i *Incarnation) Row() Row { return i.row }

// Fence is the condition that every write of this daemon carries.
func (i *Incarnation) Fence() ibistable.Write { return ibistable.Check(Key(i.row.ID), i.version) }

// Valid reads the row again and returns Fenced when this incarnation is no longer live.
func (i *Incarnation) Valid(ctx context.Context) error {
	row, err := i.t.Get(ctx, Key(i.row.ID))
	if ibistable.NotFound.Has(err) || (err == nil && row.Version != i.version) {
		return Fenced.New("%s", i.row.ID)
	}
	return classify(err)
}

// End marks the incarnation as ended by itself; afterwards its fence holds no more. It returns Fenced
// when the incarnation was revoked before.
func (i *Incarnation) End(ctx context.Context) error {
	r := i.row
	r.State, r.Reason = Ended, "ended by itself"
	value, err := r.encode()
	if err != nil {
		return err
	}
	_, err = ibiscommit.Commit(ctx, i.t, ibistable.Write{}, ibistable.Put(Key(r.ID), i.version, value))
	if ibiscommit.Conflict.Has(err) {
		_, now, gerr := get(ctx, i.t, r.ID)
		switch {
		case gerr == nil && now.State == Ended:
			return nil
		case gerr == nil || ibistable.NotFound.Has(gerr):
			return Fenced.Wrap(err)
		}
		return Unknown.Wrap(gerr)
	}
	return classify(err)
}

// Revoke ends the incarnation of that ID from outside. It returns nil as well when the incarnation has
// ended, was revoked before, or has no row. The conditions, usually the caller's own fence, must hold
// when the row is written; Fenced says that one of them did not.
func Revoke(ctx context.Context, t ibistable.Table, id, reason string, conditions ...ibistable.Write) error {
	for {
		row, r, err := get(ctx, t, id)
		if ibistable.NotFound.Has(err) || (err == nil && r.State != Live) {
			return nil
		}
		if err != nil {
			return classify(err)
		}
		r.State, r.Reason = Revoked, reason
		value, err := r.encode()
		if err != nil {
			return err
		}
		writes := append(append([]ibistable.Write(nil), conditions...), ibistable.Put(Key(id), row.Version, value))
		_, err = ibiscommit.Commit(ctx, t, ibistable.Write{}, writes...)
		if !ibiscommit.Conflict.Has(err) {
			return classify(err)
		}
		if err := hold(ctx, t, conditions); err != nil {
			return err
		}
	}
}

// hold returns Fenced when one of the conditions does not hold.
func hold(ctx context.Context, t ibistable.Table, conditions []ibistable.Write) error {
	for _, c := range conditions {
		row, err := t.Get(ctx, c.Key)
		if err != nil && !ibistable.NotFound.Has(err) {
			return classify(err)
		}
		if row.Version != c.IfVersion {
			return Fenced.New("%s has version %d, not %d", c.Key, row.Version, c.IfVersion)
		}
	}
	return nil
}

// List returns every row, in the order of the IDs.
func List(ctx context.Context, t ibistable.Table) ([]Row, error) {
	var list []Row
	for row, err := range ibistable.ScanPrefix(ctx, t, prefix, scanPage) {
		if err != nil {
			return nil, classify(err)
		}
		var r Row
		if err := cbor.Unmarshal(row.Value, &r); err != nil {
			return nil, Error.Wrap(fmt.Errorf("%s: %w", row.Key, err))
		}
		list = append(list, r)
	}
	return list, nil
}

// IsOver reports whether the incarnation has ended or was revoked, or has no row any more. That is final:
// no ID is ever used again, and an incarnation writes nothing before it has a row.
func IsOver(ctx context.Context, t ibistable.Table, id string) (bool, error) {
	_, r, err := get(ctx, t, id)
	if ibistable.NotFound.Has(err) {
		return true, nil
	}
	return r.State != Live, classify(err)
}

// Delete removes the row of an incarnation that has ended or was revoked; it is an error when it is live.
// Call it only when nothing refers to the incarnation any more.
func Delete(ctx context.Context, t ibistable.Table, id string) error {
	row, r, err := get(ctx, t, id)
	if ibistable.NotFound.Has(err) {
		return nil
	}
	if err != nil {
		return classify(err)
	}
	if r.State == Live {
		return Error.New("%s is live", id)
	}
	_, err = ibiscommit.Commit(ctx, t, ibistable.Write{}, ibistable.Delete(Key(id), row.Version))
	if ibiscommit.Conflict.Has(err) {
		return nil // a finished row is changed by nothing but another Delete
	}
	return classify(err)
}

func get(ctx context.Context, t ibistable.Table, id string) (ibistable.Row, Row, error) {
	row, err := t.Get(ctx, Key(id))
	if err != nil {
		return ibistable.Row{}, Row{}, err
	}
	var r Row
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return ibistable.Row{}, Row{}, Error.Wrap(fmt.Errorf("%s: %w", row.Key, err))
	}
	return row, r, nil
}

// classify turns errors from below into those of this package.
func classify(err error) error {
	switch {
	case err == nil:
		return nil
	case Error.Has(err), Fenced.Has(err), Unavailable.Has(err), Unknown.Has(err):
		return err
	case ibiscommit.Unavailable.Has(err), ibistable.Unavailable.Has(err):
		return Unavailable.Wrap(err)
	case ibiscommit.Unknown.Has(err), ibistable.Unknown.Has(err):
		return Unknown.Wrap(err)
	}
	return Error.Wrap(err)
}
