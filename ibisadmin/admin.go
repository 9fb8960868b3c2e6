// Package ibisadmin serves cluster operators from every daemon: a JSON API under /v1/admin and web pages,
// laid out for phones, under /ops. Package ibisdaemon registers it on the router of each daemon.
//
// Operators authenticate with their key as a bearer token. The pages keep the key in an HttpOnly,
// SameSite=Strict cookie, so that any daemon can check a session without server-side session state, and
// withdrawing the key ends the session. Actions on the pages require a form token derived from the key
// and a same-origin request.
//
// A backend server is set aside by an operator, or after repeated task failures by its owner, the daemon that
// starts tasks on it. It then gets no new work. Neither do the servers of a failure domain that an operator evacuates.
//
// Usage:
//
//	admin, err := ibisadmin.New(ibisadmin.Deps{
//		Config: store, Withdrawer: peers, Fleet: fleet, Domains: fleet, Queues: owners, Burn: source,
//	})
//	admin.Register(router)
package ibisadmin

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"ibiscrank/ibisburn"
	"ibiscrank/ibisconfig"
)

// Error is the class of errors of this package.
var Error = errs.Class("admin")

// collectTimeout bounds how long one request waits for the state of the fleet and the burn report.
const collectTimeout = 3 * time.Second

// Config reads and changes the cluster configuration.
type Config interface {
	Snapshot() *ibisconfig.Snapshot
	Apply(ctx context.Context, c ibisconfig.Change) (ibisconfig.Result, error)
	// DeferWithdrawal queues a key withdrawal that is already in force at the daemons, to be written once the
	// table service is available again.
	DeferWithdrawal(h ibisconfig.KeyHash, c ibisconfig.Change)
	Audit(ctx context.Context, limit int) ([]ibisconfig.AuditEntry, error)
}

// Withdrawer makes all daemons deny a key immediately, even while the table service is unavailable.
// Withdraw returns nil only when the withdrawal is in force.
type Withdrawer interface {
	Withdraw(ctx context.Context, h ibisconfig.KeyHash) error
}

// Fleet reports the state of the fleet.
type Fleet interface {
	Overview(ctx context.Context) (Overview, error)
}

// Queues cancels all queued requests of a team, in the whole fleet. If some daemons fail, CancelQueue returns an
// error together with the number of requests that the others cancelled.
type Queues interface {
	CancelQueue(ctx context.Context, team string) (cancelled int, err error)
}

// Deps holds the dependencies and options of an Admin. Fields after Burn are optional.
type Deps struct {
	Config         Config
	Withdrawer     Withdrawer
	Fleet          Fleet
	Domains        Domains
	Queues         Queues
	Burn           ibisburn.Source
	Daemon         string           // name of this daemon, shown on the pages
	TrustedOrigins []string         // in addition to the host of the request, for example https://ops.example.org
	Now            func() time.Time // time.Now when nil
}

// Admin serves the operator API and pages.
type Admin struct {
	Deps
	crossOrigin *http.CrossOriginProtection
}

// New returns an Admin, or an error if one of the trusted origins is invalid.
func New(d Deps) (*Admin, error) {
	if d.Now == nil {
		d.Now = time.Now
	}
	a := &Admin{Deps: d, crossOrigin: http.NewCrossOriginProtection()}
	for _, origin := range d.TrustedOrigins {
		if err := a.crossOrigin.AddTrustedOrigin(origin); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return a, nil
}

// Register adds the routes of the API and of the pages.
func (a *Admin) Register(r *mux.Router) {
	a.registerAPI(r.PathPrefix("/v1/admin").Subrouter())
	a.registerPage(r.PathPrefix("/ops").Subrouter())
}

// View is the input of the pages and of the alert conditions.
type View struct {
	Config   *ibisconfig.Snapshot
	Overview Overview
	Burn     ibisburn.Report
	FleetErr string // why the overview is missing; empty if it was collected
}

// view collects the overview of the fleet and the burn report concurrently and adds the alerts that fire.
func (a *Admin) view(ctx context.Context) View {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	v := View{Config: a.Config.Snapshot()}
	var g errgroup.Group
	g.Go(func() error {
		o, err := a.Fleet.Overview(ctx)
		v.Overview = o
		return err
	})
	g.Go(func() error {
		v.Burn = a.burn(ctx, v.Config)
		return nil
	})
	if err := g.Wait(); err != nil {
		v.FleetErr = err.Error()
	}
	v.Overview = v.Overview.sorted()
	v.Overview.Alerts = sortedAlerts(append(slices.Clone(v.Overview.Alerts), evaluateAlerts(v)...))
	return v
}

// burn collects the counts of all daemons and evaluates the objectives of every team.
func (a *Admin) burn(ctx context.Context, snap *ibisconfig.Snapshot) ibisburn.Report {
	counts, missing := a.Burn.Collect(ctx)
	return ibisburn.Evaluate(snap, ibisburn.Merge(counts...), missing, a.Now())
}
