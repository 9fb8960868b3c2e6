// Package ibisgate is the callers' HTTP interface: it authenticates a request by its key, bounds and
// checks it, hands it to the scheduler and writes the whole answer or a refusal as JSON.
//
// Answers are matched by request ID. A refusal carries a stable code, whether the request was run and
// when to come back; docs/API.md lists them all.
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
	"ibiscrank/ibiswork"
)

// Error is the class of errors of this package.
var Error = errs.Class("gate")

// Scheduler runs requests. The end of ctx ends the waiting only; work that was accepted goes on.
// Errors are *ibiswork.Refusal.
type Scheduler interface {
	// Submit accepts r and waits at most wait for its end.
	Submit(ctx context.Context, r ibiswork.Request, wait time.Duration) (ibiswork.Status, error)
	// Status waits at most wait for the end of a request of the team, or of the open queue of that name.
	Status(ctx context.Context, team string, id ibiswork.ID, wait time.Duration) (ibiswork.Status, error)
	// Cancel ends a request of the team, or of the open queue of that name.
	Cancel(ctx context.Context, team string, id ibiswork.ID) (ibiswork.Status, error)
}

// Config gives the newest configuration, or nil while there is none.
type Config interface {
	Snapshot() *ibisconfig.Snapshot
}

// Admission decides whether this daemon takes requests now. It returns a *ibiswork.Refusal while the
// daemon drains or joins, and for keyed work while it is cut off from all news.
type Admission interface {
	Accept(keyed bool) error
}

// Defaults and bounds of a Gate.
const (
	DefaultMaxInFlight     = 10_000
	DefaultMaxBodyBytes    = 1 << 20
	DefaultMaxWait         = 60 * time.Second
	DefaultDuplicateWindow = 15 * time.Minute
	// MaxPollWait bounds the waiting of one status request.
	MaxPollWait = 20 * time.Second
	// maxClockAhead is how far the time in a request ID may lie in the future.
	maxClockAhead = time.Minute
	// answerGrace is how long after the end of its waiting the scheduler may take to answer, and how
	// long an acceptance that is under way goes on after its caller has gone away.
	answerGrace = 10 * time.Second
	// finalStatusTimeout is how long the state of a request that draining cuts short may take to be found.
	finalStatusTimeout = 2 * time.Second
)

// Gate serves callers.
type Gate struct {
	scheduler Scheduler
	config    Config
	admission Admission

	flow            *flow
	maxBodyBytes    int64
	maxWait         time.Duration
	duplicateWindow time.Duration
	now             func() time.Time
	newID           func() ibiswork.ID
	registry        metrics.Registry
}

// Option changes a default of a Gate.
type Option func(*Gate)

// WithMaxInFlight bounds the requests in progress; further ones are refused as Overloaded.
func WithMaxInFlight(n int64) Option { return func(g *Gate) { g.flow.limit = n } }

// WithMaxBodyBytes bounds the body of a request.
func WithMaxBodyBytes(n int64) Option { return func(g *Gate) { g.maxBodyBytes = n } }

// WithMaxWait bounds how long a submission waits for its answer before the caller is told to ask later.
func WithMaxWait(d time.Duration) Option { return func(g *Gate) { g.maxWait = d } }

// WithDuplicateWindow sets the age at which a request ID is refused.
func WithDuplicateWindow(d time.Duration) Option { return func(g *Gate) { g.duplicateWindow = d } }

// WithClock replaces the clock against which request IDs are checked.
func WithClock(now func() time.Time) Option { return func(g *Gate) { g.now = now } }

// WithRegistry sets where the gate counts its answers; by default it is the default registry.
func WithRegistry(r metrics.Registry) Option { return func(g *Gate) { g.registry = r } }

// WithIDs sets how the ID of a request that came without one is made.
func WithIDs(newID func() ibiswork.ID) Option { return func(g *Gate) { g.newID = newID } }

// New makes a gate that hands requests to s.
func New(s Scheduler, c Config, a Admission, opts ...Option) *Gate {
	g := &Gate{
		scheduler:       s,
		config:          c,
		admission:       a,
		flow:            newFlow(DefaultMaxInFlight),
		maxBodyBytes:    DefaultMaxBodyBytes,
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

// Register adds the callers' routes to r, and JSON answers for unknown routes and methods.
func (g *Gate) Register(r *mux.Router) {
	r.HandleFunc("/v1/requests", g.endpoint(g.submit)).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}", g.endpoint(g.status)).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{id}", g.endpoint(g.cancel)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/health", g.health).Methods(http.MethodGet)
	r.HandleFunc("/v1/ready", g.ready).Methods(http.MethodGet)
	r.NotFoundHandler = g.constant(http.StatusNotFound, ibiswork.CodeNotFound, "there is no such route")
	r.MethodNotAllowedHandler = g.constant(http.StatusMethodNotAllowed, ibiswork.CodeBadRequest, "the route does not have this method")
}

// InFlight is the number of requests in progress.
func (g *Gate) InFlight() int64 { return g.flow.count() }

// Drain refuses new requests and waits until each request in progress has been answered, or returns an
// error of this package when ctx ends first. Questions are answered at once with what is known. When ctx
// has a deadline, submissions that still wait after three quarters of the time are answered the same way:
// durable ones with 202, so that their callers ask another daemon. It is not undone.
func (g *Gate) Drain(ctx context.Context) error {
	idle := g.flow.drain()
	if deadline, ok := ctx.Deadline(); ok {
		timer := time.AfterFunc(time.Until(deadline)*3/4, g.flow.endSubmissions)
		defer timer.Stop()
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return Error.New("%d requests still in progress: %v", g.InFlight(), context.Cause(ctx))
	}
}
