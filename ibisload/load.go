// Package ibisload is an open-loop load generator: requests arrive by a Poisson process whatever the
// system does, and every time is counted from the scheduled arrival, so that a slow system cannot
// hide its delays by slowing the load down.
//
// The payloads are those of the stand-in of a backend server, whose results echo their request.
//
// Usage:
//
//	mix, err := ibisload.NamedMix("tuul")
//	report, err := ibisload.Run(ctx, ibisload.Options{
//		Daemons:  []string{"127.0.0.1:8080"},
//		Teams:    []ibisload.Team{{Name: "tuul-floor", Key: key}},
//		Mix:      mix,
//		Rate:     100, // requests per second
//		Duration: 10 * time.Second,
//		Seed:     1,
//	})
//	report.WriteTable(os.Stdout)
package ibisload

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"ibiscrank/ibisclient"
	"ibiscrank/ibiswork"
)

// Error is the class of errors of this package.
var Error = errs.Class("load")

// Defaults of Options.
const (
	DefaultGrace          = 30 * time.Second
	DefaultMaxOutstanding = 20_000
)

// Team is one submitter of the load: a key, or an open queue.
type Team struct {
	Name   string
	Key    string
	Queue  string
	Weight float64 // of its part in the arrivals; 1 when zero
}

func (t Team) weight() float64 {
	if t.Weight == 0 {
		return 1
	}
	return t.Weight
}

// Options is one load. Daemons, Teams, Mix, Rate and Duration are needed.
type Options struct {
	Daemons  []string
	Teams    []Team
	Mix      Mix
	Rate     float64       // arrivals per second
	Duration time.Duration // of the arrivals
	Seed     uint64

	Grace          time.Duration // after the last arrival until accepted requests that have not ended are lost
	MaxOutstanding int           // requests at once; further arrivals are counted as not sent
	RepeatFraction float64       // of the durable requests that are submitted twice at once
	TimeScale      float64       // of run times; 1 when zero
	Attempts       int           // HTTP requests of one call; the client's default when zero
}

// Check reports every fault of the options at once.
func (o Options) Check() error {
	var bad []string
	if len(o.Daemons) == 0 {
		bad = append(bad, "no daemon is given")
	}
	if len(o.Teams) == 0 {
		bad = append(bad, "no team is given")
	}
	if !(o.Rate > 0) || o.Duration <= 0 {
		bad = append(bad, "the rate and the duration must be above zero")
	}
	if o.Grace < 0 || o.MaxOutstanding < 0 || o.TimeScale < 0 || o.RepeatFraction < 0 || o.RepeatFraction > 1 {
		bad = append(bad, "a bound is below zero, or the repeat fraction above one")
	}
	if err := o.Mix.Check(); err != nil {
		bad = append(bad, err.Error())
	}
	if len(bad) > 0 {
		return Error.New("%s", strings.Join(bad, "; "))
	}
	return nil
}

func (o Options) withDefaults() Options {
	if o.Grace == 0 {
		o.Grace = DefaultGrace
	}
	if o.MaxOutstanding == 0 {
		o.MaxOutstanding = DefaultMaxOutstanding
	}
	if o.Attempts == 0 {
		o.Attempts = ibisclient.DefaultAttempts
	}
	return o
}

func (o Options) timeScale() float64 {
	if o.TimeScale == 0 {
		return 1
	}
	return o.TimeScale
}

// Run generates the load and returns once every request has ended, Grace after the last arrival or
// when ctx ends. Its errors are faults of the options only; everything else is in the report.
func Run(ctx context.Context, opts Options) (Report, error) {
	if err := opts.Check(); err != nil {
		return Report{}, err
	}
	opts = opts.withDefaults()
	g := newGenerator(opts)
	defer g.client.CloseIdleConnections()
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(opts.Duration+opts.Grace))
	defer cancel()
	g.generate(ctx, start)
	g.wg.Wait()
	return g.tally.report(opts, time.Since(start)), nil
}

// generator sends the arrivals of one load.
type generator struct {
	opts    Options
	client  *http.Client
	callers [][]*ibisclient.Caller // by team and first daemon
	tally   *tally
	slots   chan struct{} // one for each outstanding request
	wg      sync.WaitGroup
}

func newGenerator(opts Options) *generator {
	transport := ibisclient.NewTransport()
	transport.MaxIdleConnsPerHost = opts.MaxOutstanding
	g := &generator{
		opts:   opts,
		client: &http.Client{Transport: transport},
		tally:  newTally(opts.Mix),
		slots:  make(chan struct{}, opts.MaxOutstanding),
	}
	for _, t := range opts.Teams {
		g.callers = append(g.callers, g.callersOf(t))
	}
	return g
}

func (g *generator) callersOf(t Team) []*ibisclient.Caller {
	callers := make([]*ibisclient.Caller, len(g.opts.Daemons))
	for i := range callers {
		callers[i] = ibisclient.NewCaller(g.opts.Daemons, t.Key,
			ibisclient.WithFirstDaemon(i),
			ibisclient.WithHTTPClient(g.client),
			ibisclient.WithAttempts(g.opts.Attempts),
			ibisclient.WithObserver(g.tally.observe))
	}
	return callers
}

// generate starts each arrival at its time, never earlier; when it is late it catches up at once.
func (g *generator) generate(ctx context.Context, start time.Time) {
	plan := newPlanner(g.opts)
	for a, ok := plan.next(); ok; a, ok = plan.next() {
		scheduled := start.Add(a.at)
		if !waitUntil(ctx, scheduled) {
			return
		}
		select {
		case g.slots <- struct{}{}:
			g.wg.Go(func() {
				defer func() { <-g.slots }()
				g.send(ctx, a, scheduled)
			})
		default:
			g.tally.notSent(a)
		}
	}
}

// waitUntil waits for t and reports false when ctx ends first.
func waitUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send carries one request from its arrival to its end.
func (g *generator) send(ctx context.Context, a arrival, scheduled time.Time) {
	a.request.ID = ibiswork.NewID()
	rec := Record{ID: a.request.ID, Team: g.opts.Teams[a.team].Name, Kind: a.request.Kind, Class: a.request.Class, Idempotent: a.request.Idempotent}
	g.tally.opened(rec.ID, a.kind)
	if a.repeat {
		repeated := make(chan outcome, 1)
		go func() { repeated <- g.follow(ctx, a, a.daemon+1) }()
		first := g.follow(ctx, a, a.daemon)
		second := <-repeated
		rec.finish(a.request, first.or(second), scheduled)
		rec.compare(first, second)
	} else {
		rec.finish(a.request, g.follow(ctx, a, a.daemon), scheduled)
	}
	g.tally.closed(a.kind, rec)
}

// outcome is what came of one submission.
type outcome struct {
	accepted bool
	answer   *ibiswork.Answer
	err      error
	at       time.Time
}

// or is the outcome of two submissions of one ID together: a refusal of one says nothing of the other.
func (o outcome) or(second outcome) outcome {
	if o.accepted || o.answer != nil {
		return o
	}
	if second.accepted || second.answer != nil {
		return second
	}
	if !ibiswork.AsRefusal(second.err).NotRun {
		o.err = ibiswork.AsRefusal(o.err).WithMaybeRun()
	}
	return o
}

// follow submits the request and stays with it until it has ended.
func (g *generator) follow(ctx context.Context, a arrival, daemon int) (o outcome) {
	defer func() { o.at = time.Now() }()
	c := g.callers[a.team][daemon%len(g.opts.Daemons)]
	st, err := c.Submit(ctx, a.request, submitWait(a.request))
	if err != nil {
		o.err = err
		return o
	}
	o.accepted = true
	if st.Stage == ibiswork.Ended {
		o.answer = st.Answer
		return o
	}
	if a.cancel {
		// When the cancellation fails, the request goes on to its end.
		_, _ = c.Cancel(ctx, a.request.ID)
	}
	answer, err := c.Wait(ctx, a.request.ID)
	if err != nil {
		o.err = err
		return o
	}
	o.answer = &answer
	return o
}

// submitWait makes interactive requests wait for their answer in the submission.
func submitWait(r ibiswork.Request) time.Duration {
	const daemonDecides = -1
	if r.Class == ibiswork.Interactive {
		return daemonDecides
	}
	return 0
}
