// Package ibisclient is the Go client of a daemon's HTTP interface.
//
// A Caller submits requests and asks for their answers. It repeats what may be repeated under the same
// request ID, waits as long as a refusal says, and moves between the addresses of several daemons.
//
// Usage:
//
//	c := ibisclient.NewCaller([]string{"10.0.0.1:8080", "10.0.0.2:8080"}, key)
//	answer, err := c.Run(ctx, ibiswork.Request{ID: ibiswork.NewID(), Class: ibiswork.Batch, Payload: data})
//	if refusal := ibiswork.AsRefusal(err); err != nil && refusal.NotRun {
//		// The request was not run by any of the submissions that the Caller made.
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

// Defaults of a Caller.
const (
	DefaultAttempts    = 20
	DefaultAnswerGrace = 3 * time.Second
	// pollWait is how long one question for an answer waits at the daemon.
	pollWait    = 10 * time.Second
	dialTimeout = time.Second
	// longestWait is the most that a daemon makes a caller wait when the caller leaves the time to it.
	longestWait = time.Minute
)

// Attempt is one HTTP request that a Caller made.
type Attempt struct {
	ID      ibiswork.ID
	Daemon  string
	Number  int               // from one, within one call
	Refusal *ibiswork.Refusal // nil on success
}

// Caller submits requests with one key. It is safe for concurrent use.
type Caller struct {
	key      string
	daemons  []string // URLs without a path
	at       atomic.Uint64
	client   *http.Client
	attempts int
	grace    time.Duration
	observe  func(Attempt)
	sleep    func(ctx context.Context, d time.Duration) error
	jitter   func() float64 // from 0 to 1
	now      func() time.Time
}

// CallerOption changes a default of a Caller.
type CallerOption func(*Caller)

// WithAttempts bounds the HTTP requests of one call.
func WithAttempts(n int) CallerOption { return func(c *Caller) { c.attempts = max(1, n) } }

// WithAnswerGrace sets how long after the end of its waiting a daemon may take to answer before it is
// taken for silent.
func WithAnswerGrace(d time.Duration) CallerOption { return func(c *Caller) { c.grace = d } }

// WithHTTPClient replaces the HTTP client.
func WithHTTPClient(h *http.Client) CallerOption { return func(c *Caller) { c.client = h } }

// WithObserver calls f after each HTTP request.
func WithObserver(f func(Attempt)) CallerOption { return func(c *Caller) { c.observe = f } }

// WithFirstDaemon sets which of the daemons is asked first.
func WithFirstDaemon(i int) CallerOption { return func(c *Caller) { c.at.Store(uint64(max(0, i))) } }

// NewCaller makes a caller of the daemons, each an address or a URL. The key may be empty for open queues.
func NewCaller(daemons []string, key string, opts ...CallerOption) *Caller {
	c := &Caller{
		key:      key,
		client:   &http.Client{Transport: NewTransport()},
		attempts: DefaultAttempts,
		grace:    DefaultAnswerGrace,
		observe:  func(Attempt) {},
		sleep:    sleep,
		jitter:   rand.Float64,
		now:      time.Now,
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

// NewTransport makes an HTTP transport that gives up early on daemons that cannot be reached.
func NewTransport() *http.Transport {
	const idlePerDaemon = 256
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerDaemon,
		IdleConnTimeout:     time.Minute,
	}
}

// Submit submits r and waits at most wait for its end. A negative wait leaves the time to the daemon.
// A request without an ID is given one, so that every attempt carries the same. Its deadline counts from
// the first attempt.
// Any error is a *ibiswork.Refusal; NotRun holds for all submissions that were made.
func (c *Caller) Submit(ctx context.Context, r ibiswork.Request, wait time.Duration) (ibiswork.Status, error) {
	if r.ID == "" {
		r.ID = ibiswork.NewID()
	}
	path := "/v1/requests"
	if wait >= 0 {
		path += "?WaitMS=" + strconv.FormatInt(wait.Milliseconds(), 10)
	} else {
		wait = longestWait
	}
	return c.call(ctx, exchange{method: http.MethodPost, path: path, request: &r, id: r.ID, wait: wait, begin: c.now()})
}

// Status asks for the state of a request and waits at most wait for its end.
func (c *Caller) Status(ctx context.Context, id ibiswork.ID, wait time.Duration) (ibiswork.Status, error) {
	path := "/v1/requests/" + string(id) + "?WaitMS=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return c.call(ctx, exchange{method: http.MethodGet, path: path, id: id, wait: wait})
}

// Cancel cancels a request.
func (c *Caller) Cancel(ctx context.Context, id ibiswork.ID) (ibiswork.Status, error) {
	return c.call(ctx, exchange{method: http.MethodDelete, path: "/v1/requests/" + string(id), id: id})
}

// Run submits r and waits for its answer until ctx ends.
func (c *Caller) Run(ctx context.Context, r ibiswork.Request) (ibiswork.Answer, error) {
	st, err := c.Submit(ctx, r, pollWait)
	if err != nil {
		return ibiswork.Answer{}, err
	}
	if st.Stage == ibiswork.Ended {
		return answerOf(st)
	}
	return c.Wait(ctx, st.ID)
}

// Wait waits for the answer of an accepted request until ctx ends.
func (c *Caller) Wait(ctx context.Context, id ibiswork.ID) (ibiswork.Answer, error) {
	for {
		st, err := c.Status(ctx, id, pollWait)
		if err != nil {
			return ibiswork.Answer{}, err
		}
		if st.Stage == ibiswork.Ended {
			return answerOf(st)
		}
	}
}

func answerOf(st ibiswork.Status) (ibiswork.Answer, error) {
	if st.Answer == nil || st.Answer.ID != st.ID {
		return ibiswork.Answer{}, CallerError.New("request %s ended without an answer of its own", st.ID)
	}
	return *st.Answer, nil
}
