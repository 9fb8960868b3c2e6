// Package ibisadmin serves the operators: an HTTP API with JSON under /v1/admin and a page for a phone
// under /ops, from any daemon.
//
// Operators present their key as a bearer token. The page keeps it in an HttpOnly, SameSite=Strict
// cookie, so that every daemon can check a session without state of its own and a withdrawn key ends
// the session. Actions of the page need a token that is derived from the key and a request from the
// same origin.
//
// Usage:
//
//	admin := ibisadmin.New(ibisadmin.Deps{Config: store, Withdrawer: peers, Fleet: fleet, Queues: owners, Burn: source})
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

// collectTimeout bounds how long one request waits for news of the fleet.
const collectTimeout = 3 * time.Second

// Config is the configuration that operators change.
type Config interface {
	Snapshot() *ibisconfig.Snapshot
	Apply(ctx context.Context, c ibisconfig.Change) (ibisconfig.Result, error)
	// ApplyLater keeps a withdrawal that is in force already until the table is back.
	ApplyLater(h ibisconfig.KeyHash, c ibisconfig.Change)
	Audit(ctx context.Context, limit int) ([]ibisconfig.AuditEntry, error)
}

// Withdrawer denies a key at all daemons at once, also while the store is away. It returns nil only
// when the withdrawal is in force.
type Withdrawer interface {
	Withdraw(ctx context.Context, h ibisconfig.KeyHash) error
}

// Fleet tells the state of the fleet.
type Fleet interface {
	Overview(ctx context.Context) (Overview, error)
}

// Queues cancels what a team has waiting in the whole fleet.
type Queues interface {
	CancelQueue(ctx context.Context, team string) (cancelled int, err error)
}

// Deps is what an Admin needs. Fields after Burn may be left zero.
type Deps struct {
	Config         Config
	Withdrawer     Withdrawer
	Fleet          Fleet
	Queues         Queues
	Burn           ibisburn.Source
	Daemon         string           // the name of this daemon, shown on the page
	TrustedOrigins []string         // besides the host that the request names, for example https://ops.example.org
	Now            func() time.Time // time.Now when nil
}

// Admin serves operators.
type Admin struct {
	Deps
	crossOrigin *http.CrossOriginProtection
}

// New makes an Admin. It returns an error when an origin is not valid.
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

// Register adds the routes of the API and of the page.
func (a *Admin) Register(r *mux.Router) {
	a.registerAPI(r.PathPrefix("/v1/admin").Subrouter())
	a.registerPage(r.PathPrefix("/ops").Subrouter())
}

// View is everything that the page and the alerts are made from.
type View struct {
	Config   *ibisconfig.Snapshot
	Overview Overview
	Burn     ibisburn.Report
	FleetErr string // why the overview could not be had
}

// view collects the state of the fleet and the burn at the same time.
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

func (a *Admin) burn(ctx context.Context, snap *ibisconfig.Snapshot) ibisburn.Report {
	parts, missing := a.Burn.Collect(ctx)
	return ibisburn.Evaluate(snap, ibisburn.Merge(parts...), missing, a.Now())
}
