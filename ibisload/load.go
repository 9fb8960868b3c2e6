// Package ibisload is an open-loop load generator: requests arrive as a Poisson process, independent of how
// fast the system responds, and every latency is measured from the scheduled arrival. A slow system therefore
// can't hide its delays by slowing the load down (coordinated omission). Command ibiscrank runs it.
//
// The payloads are instructions for the simulated backend servers of package ibisstandin. Their results echo
// the request, which lets the generator detect a corrupt result or the result of another request.
//
// Verify compares the outcomes with the run history of the simulated servers and finds duplicate runs.
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
	"fmt"
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

// Team is one client account that submits requests, either with a key or through an open queue, which needs
// no key.
type Team struct {
	Name   string
	Key    string
	Queue  string
	Weight float64 // relative share of the arrivals; zero means 1
}

func (t Team) weight() float64 {
	if t.Weight == 0 {
		return 1
	}
	return t.Weight
}

// Options describes one load run. Daemons, Teams, Mix, Rate and Duration are required.
type Options struct {
	Daemons  []string // addresses or URLs
	Teams    []Team
	Mix      Mix
	Rate     float64       // arrivals per second
	Duration time.Duration // time during which requests arrive
	Seed     uint64

	// Grace is the time after Duration until accepted requests without an outcome count as lost; zero means
	// DefaultGrace.
	Grace time.Duration
	// MaxOutstanding limits the concurrent requests; arrivals above it count as not sent. Zero means
	// DefaultMaxOutstanding.
	MaxOutstanding int
	// RepeatFraction is the fraction, 0 to 1, of the durable requests that are submitted twice concurrently. A
	// request is durable when it is journalled before it is acknowledged.
	RepeatFraction float64
	TimeScale      float64 // factor on all run times; zero means 1
	Attempts       int     // limit of HTTP requests for one call; zero means ibisclient.DefaultAttempts
}

// Check validates the options and reports all problems in one error.
func (o Options) Check() error {
	var bad []string
	if len(o.Daemons) == 0 {
		bad = append(bad, "no daemon is given")
	}
	if len(o.Teams) == 0 {
		bad = append(bad, "no team is given")
	}
	if !(o.Rate > 0) || o.Duration <= 0 {
		bad = append(bad, fmt.Sprintf("the rate (%g arrivals/s) and the duration (%v) must be above zero", o.Rate, o.Duration))
	}
	if o.Grace < 0 || o.MaxOutstanding < 0 || o.TimeScale < 0 || o.RepeatFraction < 0 || o.RepeatFraction > 1 {
		bad = append(bad, fmt.Sprintf("the grace (%v), the outstanding requests (%d) and the time scale (%g) must not be negative, and the repeat fraction (%g) must be from 0 to 1",
			o.Grace, o.MaxOutstanding, o.TimeScale, o.RepeatFraction))
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

// Run generates the load. It returns once every request has an outcome, at the latest after Duration plus
// Grace or when ctx ends. It returns an error only for invalid options; every failure of a request is in the
// report.
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

// generator sends the requests of one load run.
type generator struct {
	opts    Options
	client  *http.Client
	callers [][]*ibisclient.Caller // by the index of the team, then of the daemon that is tried first
	tally   *tally
	slots   chan struct{} // holds one element for each outstanding request
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
		g.callers = append(g.callers, g.newCallers(t))
	}
	return g
}

func (g *generator) newCallers(t Team) []*ibisclient.Caller {
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

// generate sends each request at its scheduled time, never earlier. When it is behind schedule it sends all
// overdue requests immediately.
func (g *generator) generate(ctx context.Context, start time.Time) {
	plan := newPlanner(g.opts)
	for a, ok := plan.next(); ok; a, ok = plan.next() {
		scheduled := start.Add(a.offset)
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
			g.tally.recordNotSent(a)
		}
	}
}

// waitUntil waits until t. It returns false when ctx ends first.
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

// send submits one request, or the same request twice concurrently, and records the outcome.
func (g *generator) send(ctx context.Context, a arrival, scheduled time.Time) {
	a.request.ID = ibiswork.NewID()
	rec := Record{ID: a.request.ID, Team: g.opts.Teams[a.team].Name, Kind: a.request.Kind, Class: a.request.Class, Idempotent: a.request.Idempotent}
	g.tally.recordOffered(rec.ID, a.kind)
	if a.repeat {
		repeated := make(chan outcome, 1)
		go func() { repeated <- g.submitAndWait(ctx, a, a.daemon+1) }()
		first := g.submitAndWait(ctx, a, a.daemon)
		second := <-repeated
		rec.finish(a.request, first.combine(second), scheduled)
		rec.compareAnswers(first, second)
	} else {
		rec.finish(a.request, g.submitAndWait(ctx, a, a.daemon), scheduled)
	}
	g.tally.recordFinished(a.kind, rec)
}

// outcome is the result of one submission: an answer or an error.
type outcome struct {
	accepted bool
	answer   *ibiswork.Answer
	err      error
	endedAt  time.Time
}

// combine returns the outcome of two submissions of the same ID. A refusal of one submission doesn't mean that
// the other was refused, and the request counts as not run only when both refusals say so.
func (o outcome) combine(second outcome) outcome {
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

// submitAndWait submits the request and waits for its outcome.
func (g *generator) submitAndWait(ctx context.Context, a arrival, daemon int) (o outcome) {
	defer func() { o.endedAt = time.Now() }()
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
		// When the cancellation fails, the request continues and its normal outcome is recorded.
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

// submitWait returns how long the submission itself waits for the answer: as long as the daemon chooses for
// interactive requests, not at all for others.
func submitWait(r ibiswork.Request) time.Duration {
	const daemonDecides = -1
	if r.Class == ibiswork.Interactive {
		return daemonDecides
	}
	return 0
}
