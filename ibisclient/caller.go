// Package ibisclient is the Go client of a daemon's HTTP interface. Command ibiscrank and package ibisload
// use it.
//
// A Caller submits requests and queries their answers. It retries under the same request ID, backs off at
// least as long as a refusal asks for, and fails over between several daemons. An Admin does the same for
// operators, who read and change the configuration.
//
// A refusal is an error reply with a code, see ibiswork.Refusal. Its field NotRun guarantees that the request
// was not run and will not be run because of this submission.
//
// Usage:
//
//	c := ibisclient.NewCaller([]string{"10.0.0.1:8080", "10.0.0.2:8080"}, key)
//	answer, err := c.Run(ctx, ibiswork.Request{ID: ibiswork.NewID(), Class: ibiswork.Batch, Payload: data})
//	if refusal := ibiswork.AsRefusal(err); err != nil && refusal.NotRun {
//		// None of the attempts ran the request.
//	}
package ibisclient

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"ibiscrank/ibiswork"
)

// CallerError is the class of errors of a Caller that are not refusals.
var CallerError = errs.Class("caller")

// Defaults and limits of a Caller.
const (
	DefaultAttempts    = 20
	DefaultAnswerGrace = 3 * time.Second
	// pollWait is how long a daemon holds one query for an answer (long polling).
	pollWait    = 10 * time.Second
	dialTimeout = time.Second
	// maxDaemonWait is the longest that a daemon holds a submission when the caller leaves the wait to it.
	maxDaemonWait = time.Minute
)

// Attempt is one HTTP request that a Caller made.
type Attempt struct {
	ID      ibiswork.ID
	Daemon  string
	Number  int               // of the attempt within one call, starting at 1
	Refusal *ibiswork.Refusal // nil on success
}

// Caller submits requests with the key of one team. It is safe for concurrent use.
type Caller struct {
	key         string
	daemons     []string      // URLs without a path
	current     atomic.Uint64 // modulo the number of daemons, the index of the one to call
	client      *http.Client
	attempts    int
	answerGrace time.Duration
	observe     func(Attempt)
	sleep       func(ctx context.Context, d time.Duration) error
	jitter      func() float64 // returns a random number in [0, 1)
	now         func() time.Time
}

// CallerOption changes a default of a Caller.
type CallerOption func(*Caller)

// WithAttempts limits the HTTP requests of one call. Values below 1 count as 1.
func WithAttempts(n int) CallerOption { return func(c *Caller) { c.attempts = max(1, n) } }

// WithAnswerGrace sets how long after the requested wait a daemon may take to answer before the attempt times
// out.
func WithAnswerGrace(d time.Duration) CallerOption { return func(c *Caller) { c.answerGrace = d } }

// WithHTTPClient replaces the HTTP client.
func WithHTTPClient(h *http.Client) CallerOption { return func(c *Caller) { c.client = h } }

// WithObserver calls f after each HTTP request. Concurrent calls of the Caller call f concurrently.
func WithObserver(f func(Attempt)) CallerOption { return func(c *Caller) { c.observe = f } }

// WithFirstDaemon sets the index of the daemon that is called first.
func WithFirstDaemon(i int) CallerOption {
	return func(c *Caller) { c.current.Store(uint64(max(0, i))) }
}

// NewCaller returns a Caller for the daemons, each given as an address or a URL. The key may be empty for open
// queues.
func NewCaller(daemons []string, key string, opts ...CallerOption) *Caller {
	c := &Caller{
		key:         key,
		client:      &http.Client{Transport: NewTransport()},
		attempts:    DefaultAttempts,
		answerGrace: DefaultAnswerGrace,
		observe:     func(Attempt) {},
		sleep:       sleep,
		jitter:      rand.Float64,
		now:         time.Now,
	}
	for _, d := range daemons {
		if !strings.Contains(d, "://") {
			d = "http://" + d
		}
		c.daemons = append(c.daemons, strings.TrimRight(d, "/"))
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// NewTransport returns an HTTP transport with a short dial timeout, so that a call fails over quickly from an
// unreachable daemon.
func NewTransport() *http.Transport {
	const idlePerDaemon = 256
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerDaemon,
		IdleConnTimeout:     time.Minute,
	}
}

// Submit submits r and waits up to wait for its outcome. With a negative wait the daemon chooses the time. A
// request without an ID is given one, so that every attempt carries the same ID. The deadline of r counts from
// the first attempt.
//
// Any error is a *ibiswork.Refusal. Its NotRun is true only if no attempt can have run the request.
func (c *Caller) Submit(ctx context.Context, r ibiswork.Request, wait time.Duration) (ibiswork.Status, error) {
	if r.ID == "" {
		r.ID = ibiswork.NewID()
	}
	path := "/v1/requests"
	if wait >= 0 {
		path += "?WaitMS=" + strconv.FormatInt(wait.Milliseconds(), 10)
	} else {
		wait = maxDaemonWait
	}
	return c.call(ctx, operation{method: http.MethodPost, path: path, request: &r, id: r.ID, wait: wait, firstAttempt: c.now()})
}

// Status queries the state of a request and waits up to wait for its outcome. Any error is a
// *ibiswork.Refusal.
func (c *Caller) Status(ctx context.Context, id ibiswork.ID, wait time.Duration) (ibiswork.Status, error) {
	path := "/v1/requests/" + string(id) + "?WaitMS=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return c.call(ctx, operation{method: http.MethodGet, path: path, id: id, wait: wait})
}

// Cancel asks the daemon to cancel a request and returns its state. Any error is a *ibiswork.Refusal.
func (c *Caller) Cancel(ctx context.Context, id ibiswork.ID) (ibiswork.Status, error) {
	return c.call(ctx, operation{method: http.MethodDelete, path: "/v1/requests/" + string(id), id: id})
}

// Run submits r and waits for its answer until ctx ends. Errors are those of Submit and Wait.
func (c *Caller) Run(ctx context.Context, r ibiswork.Request) (ibiswork.Answer, error) {
	st, err := c.Submit(ctx, r, pollWait)
	if err != nil {
		return ibiswork.Answer{}, err
	}
	if st.Stage == ibiswork.Ended {
		return ownAnswer(st)
	}
	return c.Wait(ctx, st.ID)
}

// Wait waits for the answer of an accepted request until ctx ends. An error is a *ibiswork.Refusal, or a
// CallerError when the request ended without an answer.
func (c *Caller) Wait(ctx context.Context, id ibiswork.ID) (ibiswork.Answer, error) {
	for {
		st, err := c.Status(ctx, id, pollWait)
		if err != nil {
			return ibiswork.Answer{}, err
		}
		if st.Stage == ibiswork.Ended {
			return ownAnswer(st)
		}
	}
}

// ownAnswer returns the answer in st, if it belongs to the same request.
func ownAnswer(st ibiswork.Status) (ibiswork.Answer, error) {
	if st.Answer == nil || st.Answer.ID != st.ID {
		return ibiswork.Answer{}, CallerError.New("request %s ended without an answer of its own", st.ID)
	}
	return *st.Answer, nil
}
