package ibisclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ibiscrank/ibiswork"
)

// Bounds of the time between two attempts.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// quickBackoff bounds the backoff from refusals that pass without fewer requests being sent.
	quickBackoff = 500 * time.Millisecond
	// unreachableRetry is when a daemon that could not be reached may be tried again.
	unreachableRetry = 100 * time.Millisecond
)

// exchange is one call, made anew at each attempt.
type exchange struct {
	method, path string
	request      *ibiswork.Request // of a submission
	id           ibiswork.ID
	wait         time.Duration
	begin        time.Time // of the first attempt at a submission
}

// body is what an attempt at that moment sends: the request with what is left of its deadline, but one
// millisecond at least, so that it is the daemon that answers a request whose deadline has passed.
func (e exchange) body(now time.Time) ([]byte, error) {
	if e.request == nil {
		return nil, nil
	}
	r := *e.request
	if r.DeadlineMS > 0 {
		r.DeadlineMS = max(1, r.DeadlineMS-now.Sub(e.begin).Milliseconds())
	}
	return json.Marshal(r)
}

// tooLate reports whether the deadline of a submission has passed at t.
func (e exchange) tooLate(t time.Time) bool {
	if e.request == nil || e.request.DeadlineMS == 0 {
		return false
	}
	return t.Sub(e.begin) >= time.Duration(e.request.DeadlineMS)*time.Millisecond
}

// call makes attempts until one succeeds, a refusal says that no retry helps, the next would come after
// the deadline, ctx ends or the attempts are used up.
func (c *Caller) call(ctx context.Context, e exchange) (ibiswork.Status, error) {
	if len(c.daemons) == 0 {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeUnreachable, "no daemon is known")
	}
	next := newBackoff()
	maybeRun := false
	for n := 1; ; n++ {
		at := c.at.Load()
		daemon := c.daemons[at%uint64(len(c.daemons))]
		st, refusal := c.try(ctx, daemon, e)
		c.observe(Attempt{ID: e.id, Daemon: daemon, Number: n, Refusal: refusal})
		if refusal == nil {
			return st, nil
		}
		maybeRun = maybeRun || !refusal.NotRun
		if maybeRun {
			refusal = refusal.WithMaybeRun()
		}
		if !retryable(refusal) || n >= c.attempts || ctx.Err() != nil {
			return ibiswork.Status{}, refusal
		}
		moved := c.moveOn(at, refusal)
		if moved && n < len(c.daemons) {
			continue
		}
		pause := c.pause(next, refusal)
		if e.tooLate(c.now().Add(pause)) || c.sleep(ctx, pause) != nil {
			return ibiswork.Status{}, refusal
		}
	}
}

// retryable reports whether the same ID may get another answer later. A deadline that has passed stays
// so: the time to come back is for another request.
func retryable(r *ibiswork.Refusal) bool {
	return r.RetryAfterMS > 0 && r.Code != ibiswork.CodeDeadline
}

// moveOn makes the next daemon the one to ask, unless another call has done so already. It reports
// whether the refusal concerns only the daemon that gave it.
func (c *Caller) moveOn(at uint64, refusal *ibiswork.Refusal) bool {
	c.at.CompareAndSwap(at, at+1)
	switch refusal.Code {
	case ibiswork.CodeDraining, ibiswork.CodeCutOff, ibiswork.CodeUnreachable, ibiswork.CodeOutcomeUnknown:
		return len(c.daemons) > 1
	}
	return false
}

func newBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = maxBackoff
	return b
}

// pause is the time until the next attempt: never before the refusal allows, and up to half as long
// again, so that refused callers do not come back together.
func (c *Caller) pause(next backoff.BackOff, refusal *ibiswork.Refusal) time.Duration {
	least := time.Duration(refusal.RetryAfterMS) * time.Millisecond
	d := next.NextBackOff()
	if !overloaded(refusal) {
		d = min(d, quickBackoff)
	}
	d = max(least, d)
	return d + time.Duration(c.jitter()*float64(d)/2)
}

// overloaded reports whether the refusal asks for fewer requests.
func overloaded(r *ibiswork.Refusal) bool {
	switch r.Code {
	case ibiswork.CodeOverloaded, ibiswork.CodeOverLimit, ibiswork.CodeInternal:
		return true
	}
	return false
}

// try makes one attempt.
func (c *Caller) try(ctx context.Context, daemon string, e exchange) (ibiswork.Status, *ibiswork.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, e.wait+c.grace)
	defer cancel()
	body, err := e.body(c.now())
	if err != nil {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeBadRequest, "%v", err)
	}
	req, err := http.NewRequestWithContext(ctx, e.method, daemon+e.path, bytes.NewReader(body))
	if err != nil {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeBadRequest, "%v", err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return ibiswork.Status{}, unanswered(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return ibiswork.Status{}, unanswered(err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusAccepted {
		return ibiswork.Status{}, refusalIn(b, resp.Status)
	}
	return statusIn(b, e.id)
}

// unanswered is the refusal that stands for a failed attempt. Only a failure to connect shows that
// nothing was sent.
func unanswered(err error) *ibiswork.Refusal {
	r := ibiswork.Refuse(ibiswork.CodeOutcomeUnknown, "%v", err).WithRetryAfter(unreachableRetry).WithMaybeRun()
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		r.Code, r.NotRun = ibiswork.CodeUnreachable, true
	}
	return r
}

// refusalIn reads the refusal of an answer that is not a success. An answer that is not from a daemon
// promises nothing.
func refusalIn(b []byte, status string) *ibiswork.Refusal {
	var r ibiswork.Refusal
	if json.Unmarshal(b, &r) == nil && r.Code != "" {
		return &r
	}
	return ibiswork.Refuse(ibiswork.CodeOutcomeUnknown, "answered %s without a code", status).WithRetryAfter(unreachableRetry).WithMaybeRun()
}

// statusIn reads the status of a request; that of any other request is not taken.
func statusIn(b []byte, id ibiswork.ID) (ibiswork.Status, *ibiswork.Refusal) {
	var st ibiswork.Status
	if err := json.Unmarshal(b, &st); err != nil {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeOutcomeUnknown, "the answer is not valid: %v", err).WithRetryAfter(unreachableRetry).WithMaybeRun()
	}
	if id != "" && st.ID != id || st.Answer != nil && st.Answer.ID != st.ID {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeInternal, "the answer is that of another request").WithMaybeRun()
	}
	return st, nil
}

// sleep waits for d or for the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
