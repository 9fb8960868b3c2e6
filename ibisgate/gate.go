// Package ibisgate is the HTTP API for callers: it limits the number of requests in progress, authenticates
// each request by its key, validates it, submits it to the scheduler and replies with a JSON body, either a
// status or a refusal. Package ibisdaemon runs it in every daemon, with package ibisroute as the scheduler.
//
// Answers are matched to requests by ID. A refusal carries a stable code, whether it is certain that the
// request was not run, and a delay before the next retry; docs/API.md lists all codes.
//
// Usage:
//
//	gate := ibisgate.New(scheduler, config, admission, ibisgate.WithMaxInFlight(5000))
//	router := mux.NewRouter()
//	gate.Register(router)
//	// On shutdown, before the HTTP server is closed:
//	err := gate.Drain(ctx)
package ibisgate

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibislimit"
	"ibiscrank/ibiswork"
)

// Error is the class of errors of this package.
var Error = errs.Class("gate")

// Scheduler runs requests. Cancelling ctx ends only the wait; accepted work continues.
// Errors are *ibiswork.Refusal.
type Scheduler interface {
	// Submit accepts r and waits up to wait for its outcome.
	Submit(ctx context.Context, r ibiswork.Request, wait time.Duration) (ibiswork.Status, error)
	// Status waits up to wait for the outcome of a request of the team. A request in an open queue has the
	// queue's name as its team.
	Status(ctx context.Context, team string, id ibiswork.ID, wait time.Duration) (ibiswork.Status, error)
	// Cancel cancels a request of the team; team is as for Status.
	Cancel(ctx context.Context, team string, id ibiswork.ID) (ibiswork.Status, error)
}

// Config returns the latest configuration, or nil before the first one is loaded.
type Config interface {
	Snapshot() *ibisconfig.Snapshot
}

// Admission decides whether this daemon accepts requests. Accept returns a *ibiswork.Refusal while the daemon
// is draining or joining, and for keyed requests, those with an API key, while the daemon is cut off from the
// table service and its peers.
type Admission interface {
	Accept(keyed bool) error
}

// Defaults and limits of a Gate.
const (
	DefaultMaxInFlight     = 10_000
	DefaultMaxBodyBytes    = 1 << 20
	DefaultBodyBudget      = 32 << 20 // of all bodies that are being read, in bytes
	DefaultMaxWait         = 60 * time.Second
	DefaultDuplicateWindow = 15 * time.Minute
	// MaxPollWait limits how long one status request waits.
	MaxPollWait = 20 * time.Second
	// maxClockSkew is how far the timestamp in a request ID may be in the future.
	maxClockSkew = time.Minute
	// answerGrace is how long the scheduler may take to answer after the wait is over, and how long a
	// submission or cancellation in progress continues after its caller has disconnected.
	answerGrace = 10 * time.Second
	// finalStatusTimeout limits the status query for a request whose wait is interrupted by draining.
	finalStatusTimeout = 2 * time.Second
)

// Gate serves the HTTP API for callers.
type Gate struct {
	scheduler Scheduler
	config    Config
	admission Admission

	limiter         *limiter
	maxBodyBytes    int64
	bodies          *ibislimit.Budget
	maxWait         time.Duration
	duplicateWindow time.Duration
	now             func() time.Time
	newID           func() ibiswork.ID
	registry        metrics.Registry
}

// Option changes a default of a Gate.
type Option func(*Gate)

// WithMaxInFlight limits the requests in progress; requests above the limit are refused as Overloaded.
func WithMaxInFlight(n int64) Option { return func(g *Gate) { g.limiter.limit = n } }

// WithMaxBodyBytes limits the size of a request body, in bytes.
func WithMaxBodyBytes(n int64) Option { return func(g *Gate) { g.maxBodyBytes = n } }

// WithBodyBudget limits the memory for all bodies that are being read, in bytes; requests above it are refused as Overloaded.
func WithBodyBudget(n int64) Option { return func(g *Gate) { g.bodies = ibislimit.NewBudget(n) } }

// WithMaxWait limits how long a submission waits for its answer before the caller gets 202 and has to poll.
func WithMaxWait(d time.Duration) Option { return func(g *Gate) { g.maxWait = d } }

// WithDuplicateWindow sets the age above which a request ID is refused as ExpiredID.
func WithDuplicateWindow(d time.Duration) Option { return func(g *Gate) { g.duplicateWindow = d } }

// WithClock sets the clock used to check the age of request IDs.
func WithClock(now func() time.Time) Option { return func(g *Gate) { g.now = now } }

// WithRegistry sets the registry for the gate's metrics; the default is metrics.DefaultRegistry.
func WithRegistry(r metrics.Registry) Option { return func(g *Gate) { g.registry = r } }

// WithIDs sets the generator of IDs for requests that are submitted without one.
func WithIDs(newID func() ibiswork.ID) Option { return func(g *Gate) { g.newID = newID } }

// New returns a gate that submits requests to s.
func New(s Scheduler, c Config, a Admission, opts ...Option) *Gate {
	g := &Gate{
		scheduler:       s,
		config:          c,
		admission:       a,
		limiter:         newLimiter(DefaultMaxInFlight),
		maxBodyBytes:    DefaultMaxBodyBytes,
		bodies:          ibislimit.NewBudget(DefaultBodyBudget),
		maxWait:         DefaultMaxWait,
		duplicateWindow: DefaultDuplicateWindow,
		now:             time.Now,
		newID:           ibiswork.NewID,
		registry:        metrics.DefaultRegistry,
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Register adds the API routes to r, and JSON replies for unknown routes and methods.
func (g *Gate) Register(r *mux.Router) {
	r.HandleFunc("/v1/requests", g.endpoint(g.submit)).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}", g.endpoint(g.status)).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{id}", g.endpoint(g.cancel)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/health", g.health).Methods(http.MethodGet)
	r.HandleFunc("/v1/ready", g.ready).Methods(http.MethodGet)
	r.NotFoundHandler = g.staticRefusal(http.StatusNotFound, ibiswork.CodeNotFound, "there is no such route")
	r.MethodNotAllowedHandler = g.staticRefusal(http.StatusMethodNotAllowed, ibiswork.CodeBadRequest, "the route does not support this method")
}

// InFlight returns the number of requests in progress.
func (g *Gate) InFlight() int64 { return g.limiter.count() }

// Drain refuses new requests and waits until all requests in progress have been answered; if ctx ends first,
// it returns an error of this package. Status requests are answered at once with the current status. When ctx
// has a deadline, submissions that are still waiting after three quarters of the time are interrupted too:
// those that are certainly recorded get 202, so that their callers poll another daemon, and the others are
// refused as Draining. Draining cannot be undone.
func (g *Gate) Drain(ctx context.Context) error {
	idle := g.limiter.drain()
	if deadline, ok := ctx.Deadline(); ok {
		timer := time.AfterFunc(time.Until(deadline)*3/4, g.limiter.cancelSubmissions)
		defer timer.Stop()
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return Error.New("%d requests still in progress: %v", g.InFlight(), context.Cause(ctx))
	}
}
