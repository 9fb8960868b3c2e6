package ibisnode

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
)

// Error classes of this package and of the ports that it uses.
var (
	// Error is the class of all other errors of this package.
	Error = errs.Class("node")
	// Unavailable is the class of calls that have not taken effect and never will.
	Unavailable = errs.Class("node unavailable")
	// Unknown is the class of calls without a conclusive reply: they may have taken effect, or may do so later.
	Unknown = errs.Class("node outcome unknown")
)

// Row is a row of the table service with its version.
type Row struct {
	Key     string
	Value   []byte
	Version int64
}

// Tx is a transaction on one partition of the table service. Its writes are applied atomically, if the row
// Table/Key has the expected version.
type Tx struct {
	Partition string
	Table     string
	Key       string
	Expected  int64          // version of the row Table/Key; 0: the row must be absent
	Value     []byte         // the new value of the row Table/Key
	Puts      []ibiscell.Row // further rows to write
	Removes   []ibiscell.Row // rows to delete
}

// Table is the platform's table service.
type Table interface {
	// Commit applies tx and returns the new version of the row Table/Key. When that row doesn't have the expected
	// version, it returns a *ConflictError; other errors are of class Unavailable or Unknown.
	Commit(ctx context.Context, tx Tx) (version int64, err error)
	// Get returns a row; the version of an absent row is 0.
	Get(ctx context.Context, table, part, key string) (Row, error)
	// Scan returns all rows of a table in one partition. It fails when the table stops answering, and not because there is
	// much to read; it leaves room on the daemon's link for commits.
	Scan(ctx context.Context, table, part string) ([]Row, error)
}

// ConflictError reports that a row didn't have the expected version. Row is its present state.
type ConflictError struct{ Row Row }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the row is at version %d (0: absent), not at the expected one", e.Row.Version)
}

// Directory reads what operators and backend servers have registered with the platform.
type Directory interface {
	// Config returns the newest configuration, or nil when there is none yet. It may return the same pointer
	// again while the version is unchanged, so that the value must not be modified. Changes made within lag before the
	// call may be missing. It returns an error when the platform is silent for readTimeout: ctx may leave a large
	// configuration the time to arrive over a slow link.
	Config(ctx context.Context) (cfg *ibisjob.Config, lag time.Duration, err error)
	// Servers lists all registered backend servers.
	Servers(ctx context.Context) ([]ibiscell.ServerInfo, error)
	// Evacuations lists the failure domains that operators have evacuated.
	Evacuations(ctx context.Context) ([]string, error)
}

// BackendServers sends orders to backend servers. The outcome is OrderUnknown when there was no reply.
type BackendServers interface {
	Start(ctx context.Context, c ibiscell.Start) ibiscell.StartReply
	Stop(ctx context.Context, c ibiscell.Stop) ibiscell.OrderOutcome
	// Renew renews leases, acknowledges ended runs and returns the server's report, which the server may keep
	// back for the order's WaitMS until there is something new.
	Renew(ctx context.Context, c ibiscell.Renew) (ibiscell.Report, ibiscell.OrderOutcome)
}

// Advisor asks the advice service which backend servers may run a step of a job.
type Advisor interface {
	// Advise returns tickets for the approved ones of servers, and how long these are valid, in milliseconds.
	Advise(ctx context.Context, step string, servers []string) (approved []ibiscell.Ticket, validMS int64, err error)
}

// Clock reads the daemon's clocks, in milliseconds.
type Clock interface {
	Now() ibiscell.Time // monotonic; keeps running while the VM is suspended
	UnixMS() int64      // Unix time
}
