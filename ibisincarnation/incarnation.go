// Package ibisincarnation manages the table rows of daemon incarnations. An incarnation is one start of a
// daemon. Every write of a daemon is conditional on its own row being unchanged (its fence), so that a
// revoked daemon can write nothing. Package ibisdaemon registers its incarnation when it starts.
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
	// Error is the class of all errors without a more specific class.
	Error = errs.Class("incarnation")
	// Fenced means that the incarnation is no longer live.
	Fenced = errs.Class("incarnation fenced")
	// Unavailable means that the table service is unavailable and nothing was written.
	Unavailable = errs.Class("incarnation unavailable")
	// Unknown means that the write may have taken effect; the call can safely be repeated.
	Unknown = errs.Class("incarnation outcome unknown")
)

const (
	keyPrefix    = "incarnation/"
	scanPageRows = 256
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// State is the state of an incarnation.
type State string

// The states of an incarnation. All states except Live are final.
const (
	Live    State = "Live"
	Revoked State = "Revoked" // by another daemon that found it unresponsive
	Ended   State = "Ended"   // by itself
)

// Row is the stored state of one incarnation.
type Row struct {
	ID            string    `json:"ID"`
	Address       string    `json:"Address"` // host:port of the gRPC server
	HTTPAddress   string    `json:"HTTPAddress"`
	FailureDomain string    `json:"FailureDomain,omitempty"`
	Region        string    `json:"Region,omitempty"`
	StartedAt     time.Time `json:"StartedAt"`
	State         State     `json:"State"`
	Reason        string    `json:"Reason,omitempty"`
}

// Check validates the row.
func (r Row) Check() error {
	if !idPattern.MatchString(r.ID) {
		return Error.New("ID: %q is not 1 to 64 letters, digits, '.', '_' and '-' that start with a letter or digit", r.ID)
	}
	switch r.State {
	case Live, Revoked, Ended:
		return nil
	}
	return Error.New("State: %q is not one of Live, Revoked, Ended", string(r.State))
}

// rowFields has the fields of Row but not its methods, so that decoding does not recurse.
type rowFields Row

// UnmarshalCBOR decodes and validates a row.
func (r *Row) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*rowFields)(r)); err != nil {
		return Error.Wrap(err)
	}
	return r.Check()
}

var rowEncMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (r Row) encode() ([]byte, error) {
	r.StartedAt = r.StartedAt.UTC()
	b, err := rowEncMode.Marshal(rowFields(r))
	return b, Error.Wrap(err)
}

// Key returns the table key of an incarnation's row.
func Key(id string) string { return keyPrefix + id }

// Incarnation is the registered incarnation of this daemon.
type Incarnation struct {
	t       ibistable.Table
	row     Row
	version int64
}

// Register creates the row of a new incarnation; an empty State means Live. The ID must be unique among all
// starts of all daemons. The call can be repeated with the same row.
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
		version, err = confirmRegistered(ctx, t, r.ID, value)
	}
	if err != nil {
		return nil, classifyError(err)
	}
	return &Incarnation{t: t, row: r, version: version}, nil
}

// confirmRegistered returns the version of the row if an earlier call has created it with the same value.
func confirmRegistered(ctx context.Context, t ibistable.Table, id string, value []byte) (int64, error) {
	row, err := t.Get(ctx, Key(id))
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(row.Value, value) {
		return 0, Fenced.New("incarnation %s is registered with other values or is no longer live", id)
	}
	return row.Version, nil
}

// ID returns the incarnation's ID.
func (i *Incarnation) ID() string { return i.row.ID }

// Row returns the row as it was registered.
func (i *Incarnation) Row() Row { return i.row }

// Fence returns the condition that every write of this daemon must include.
func (i *Incarnation) Fence() ibistable.Write { return ibistable.Check(Key(i.row.ID), i.version) }

// Valid reads the row again and returns Fenced when this incarnation is no longer live.
func (i *Incarnation) Valid(ctx context.Context) error {
	row, err := i.t.Get(ctx, Key(i.row.ID))
	if ibistable.NotFound.Has(err) || (err == nil && row.Version != i.version) {
		return Fenced.New("the row of incarnation %s was changed or deleted", i.row.ID)
	}
	return classifyError(err)
}

// End marks the incarnation as ended by itself, which invalidates its fence. It returns Fenced if the
// incarnation was revoked before.
func (i *Incarnation) End(ctx context.Context) error {
	r := i.row
	r.State, r.Reason = Ended, "ended by itself"
	value, err := r.encode()
	if err != nil {
		return err
	}
	_, err = ibiscommit.Commit(ctx, i.t, ibistable.Write{}, ibistable.Put(Key(r.ID), i.version, value))
	if ibiscommit.Conflict.Has(err) {
		_, current, getErr := getRow(ctx, i.t, r.ID)
		switch {
		case getErr == nil && current.State == Ended:
			return nil
		case getErr == nil || ibistable.NotFound.Has(getErr):
			return Fenced.Wrap(err)
		}
		return Unknown.Wrap(getErr)
	}
	return classifyError(err)
}

// Revoke marks another daemon's incarnation as revoked. It also returns nil if the incarnation has already
// ended, was already revoked, or has no row. The conditions, usually the caller's own fence, must hold when the
// row is written; otherwise Revoke returns Fenced.
func Revoke(ctx context.Context, t ibistable.Table, id, reason string, conditions ...ibistable.Write) error {
	for {
		row, r, err := getRow(ctx, t, id)
		if ibistable.NotFound.Has(err) || (err == nil && r.State != Live) {
			return nil
		}
		if err != nil {
			return classifyError(err)
		}
		r.State, r.Reason = Revoked, reason
		value, err := r.encode()
		if err != nil {
			return err
		}
		writes := append(append([]ibistable.Write(nil), conditions...), ibistable.Put(Key(id), row.Version, value))
		_, err = ibiscommit.Commit(ctx, t, ibistable.Write{}, writes...)
		if !ibiscommit.Conflict.Has(err) {
			return classifyError(err)
		}
		if err := checkConditions(ctx, t, conditions); err != nil {
			return err
		}
	}
}

// checkConditions returns Fenced if one of the conditions does not hold.
func checkConditions(ctx context.Context, t ibistable.Table, conditions []ibistable.Write) error {
	for _, c := range conditions {
		row, err := t.Get(ctx, c.Key)
		if err != nil && !ibistable.NotFound.Has(err) {
			return classifyError(err)
		}
		if row.Version != c.IfVersion {
			return Fenced.New("row %s has version %d, want %d", c.Key, row.Version, c.IfVersion)
		}
	}
	return nil
}

// List returns all rows in the order of their IDs.
func List(ctx context.Context, t ibistable.Table) ([]Row, error) {
	var list []Row
	for row, err := range ibistable.ScanPrefix(ctx, t, keyPrefix, scanPageRows) {
		if err != nil {
			return nil, classifyError(err)
		}
		var r Row
		if err := cbor.Unmarshal(row.Value, &r); err != nil {
			return nil, Error.Wrap(fmt.Errorf("%s: %w", row.Key, err))
		}
		list = append(list, r)
	}
	return list, nil
}

// IsOver reports whether the incarnation has ended, was revoked, or has no row. This is final, because IDs are
// never reused and an incarnation writes nothing before it has a row.
func IsOver(ctx context.Context, t ibistable.Table, id string) (bool, error) {
	_, r, err := getRow(ctx, t, id)
	if ibistable.NotFound.Has(err) {
		return true, nil
	}
	return r.State != Live, classifyError(err)
}

// Delete removes the row of an incarnation that has ended or was revoked. It returns an error if the incarnation
// is live. Call it only when nothing refers to the incarnation any more.
func Delete(ctx context.Context, t ibistable.Table, id string) error {
	row, r, err := getRow(ctx, t, id)
	if ibistable.NotFound.Has(err) {
		return nil
	}
	if err != nil {
		return classifyError(err)
	}
	if r.State == Live {
		return Error.New("cannot delete incarnation %s: it is live", id)
	}
	_, err = ibiscommit.Commit(ctx, t, ibistable.Write{}, ibistable.Delete(Key(id), row.Version))
	if ibiscommit.Conflict.Has(err) {
		return nil // only another Delete changes the row of an incarnation that is over
	}
	return classifyError(err)
}

func getRow(ctx context.Context, t ibistable.Table, id string) (ibistable.Row, Row, error) {
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

// classifyError converts errors of the table and of commits to the classes of this package.
func classifyError(err error) error {
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
