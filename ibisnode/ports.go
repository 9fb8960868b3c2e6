package ibisnode

import (
	"context"

	"github.com/zeebo/errs"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
)

// Error classes of this package and of the ports that it uses.
var (
	// Error is the class of errors of this package that no other class names.
	Error = errs.Class("node")
	// Unavailable says that a call was not carried out and never will be.
	Unavailable = errs.Class("node unavailable")
	// Unknown says that no reply came: the call may have been carried out, or may be later.
	Unknown = errs.Class("node outcome unknown")
)

// Row is a row of the table service with its version.
type Row struct {
	Key     string
	Value   []byte
	Version int64
}

// Tx is a transaction on one part of the table: its writes are applied together if the row Table/Key has
// the version that is expected, 0 meaning that it must be absent.
type Tx struct {
	Part     string
	Table    string
	Key      string
	Expected int64
	Value    []byte // the new value of the row
	Puts     []ibiscell.Row
	Removes  []ibiscell.Row
}

// Table is the platform's table service.
type Table interface {
	// Commit applies tx and returns the version of its row. When the condition does not hold it returns a
	// *ConflictError; other errors are of class Unavailable or Unknown.
	Commit(ctx context.Context, tx Tx) (version int64, err error)
	// Get returns a row; one that is absent has the version 0.
	Get(ctx context.Context, table, part, key string) (Row, error)
	// Scan returns all rows of a part.
	Scan(ctx context.Context, table, part string) ([]Row, error)
}

// ConflictError says that a condition did not hold, and how the row is now.
type ConflictError struct{ Row Row }

// Error implements error.
func (e *ConflictError) Error() string { return "the row has changed" }

// Directory is what operators and backend servers write into the platform.
type Directory interface {
	// Config returns the newest configuration, or nil when there is none yet. While its version is still
	// known, it may return the same value again.
	Config(ctx context.Context) (*ibisjob.Config, error)
	// Servers lists all backend servers.
	Servers(ctx context.Context) ([]ibiscell.ServerInfo, error)
}

// BackendServers carries orders to backend servers. The outcome is OrderUnknown when no reply came.
type BackendServers interface {
	Start(ctx context.Context, c ibiscell.Start) ibiscell.OrderOutcome
	Stop(ctx context.Context, c ibiscell.Stop) ibiscell.OrderOutcome
	Hold(ctx context.Context, c ibiscell.Hold) (ibiscell.Report, ibiscell.OrderOutcome)
}

// Advisor asks the advice service which backend servers may run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, servers []string) (approved []ibiscell.Ticket, validMS int64, err error)
}

// Clock tells the time.
type Clock interface {
	Now() ibiscell.Time // in milliseconds; goes on while the VM is suspended
	UnixMS() int64
}
