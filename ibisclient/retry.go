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

	"ibiscrank/ibishttp"
	"ibiscrank/ibiswork"
)

// Limits of the delay between two attempts.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// maxTransientBackoff limits the backoff after refusals whose reason goes away without a lower request
	// rate.
	maxTransientBackoff = 500 * time.Millisecond
	// unreachableRetryAfter is the minimum delay after an attempt that got no valid reply.
	unreachableRetryAfter = 100 * time.Millisecond
)

// operation is one call of the Caller, which may take several attempts.
type operation struct {
	method, path string
	request      *ibiswork.Request // nil unless the operation is a submission
	id           ibiswork.ID
	wait         time.Duration // how long the daemon may hold the request before it answers
	firstAttempt time.Time     // start of the first attempt of a submission
}

// body encodes the request for an attempt at the time now, with the time that remains until its deadline. The
// minimum is one millisecond, so that the daemon and not the client refuses a request past its deadline.
func (op operation) body(now time.Time) ([]byte, error) {
	if op.request == nil {
		return nil, nil
	}
	r := *op.request
	if r.DeadlineMS > 0 {
		r.DeadlineMS = max(1, r.DeadlineMS-now.Sub(op.firstAttempt).Milliseconds())
	}
	return json.Marshal(r)
}

// deadlinePassed reports whether the deadline of a submission has passed at t.
func (op operation) deadlinePassed(t time.Time) bool {
	if op.request == nil || op.request.DeadlineMS == 0 {
		return false
	}
	return t.Sub(op.firstAttempt) >= time.Duration(op.request.DeadlineMS)*time.Millisecond
}

// call makes attempts until one succeeds, a refusal is not retryable, the next attempt would start after the
// deadline, ctx ends or the limit of attempts is reached. A refusal that concerns only the daemon that
// returned it leads to an attempt at the next daemon without a delay, as long as there were fewer attempts
// than daemons.
func (c *Caller) call(ctx context.Context, op operation) (ibiswork.Status, error) {
	if len(c.daemons) == 0 {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeUnreachable, "no daemon address is given")
	}
	retryBackoff := newBackoff()
	maybeRun := false
	for n := 1; ; n++ {
		current := c.current.Load()
		daemon := c.daemons[current%uint64(len(c.daemons))]
		st, refusal := c.attempt(ctx, daemon, op)
		c.observe(Attempt{ID: op.id, Daemon: daemon, Number: n, Refusal: refusal})
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
		onlyThisDaemon := c.switchDaemon(current, refusal)
		if onlyThisDaemon && n < len(c.daemons) {
			continue
		}
		delay := c.retryDelay(retryBackoff, refusal)
		if op.deadlinePassed(c.now().Add(delay)) || c.sleep(ctx, delay) != nil {
			return ibiswork.Status{}, refusal
		}
	}
}

// retryable reports whether a retry under the same ID may get another answer. A passed deadline is final: its
// retry delay is meant for a new request.
func retryable(r *ibiswork.Refusal) bool {
	return r.RetryAfterMS > 0 && r.Code != ibiswork.CodeDeadline
}

// switchDaemon makes the next daemon the current one, unless a concurrent call already did. It reports whether
// the refusal concerns only the daemon that returned it and there is another one to try.
func (c *Caller) switchDaemon(current uint64, refusal *ibiswork.Refusal) bool {
	c.current.CompareAndSwap(current, current+1)
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

// retryDelay returns the delay before the next attempt: at least the retry delay of the refusal, plus up to
// 50 % of jitter, so that refused callers don't retry at the same time.
func (c *Caller) retryDelay(retryBackoff backoff.BackOff, refusal *ibiswork.Refusal) time.Duration {
	minDelay := time.Duration(refusal.RetryAfterMS) * time.Millisecond
	d := retryBackoff.NextBackOff()
	if !signalsOverload(refusal) {
		d = min(d, maxTransientBackoff)
	}
	d = max(minDelay, d)
	return d + time.Duration(c.jitter()*float64(d)/2)
}

// signalsOverload reports whether the refusal asks for a lower request rate.
func signalsOverload(r *ibiswork.Refusal) bool {
	switch r.Code {
	case ibiswork.CodeOverloaded, ibiswork.CodeOverLimit, ibiswork.CodeInternal:
		return true
	}
	return false
}

// attempt makes one HTTP request. It times out after the requested wait plus answerGrace.
func (c *Caller) attempt(ctx context.Context, daemon string, op operation) (ibiswork.Status, *ibiswork.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, op.wait+c.answerGrace)
	defer cancel()
	body, err := op.body(c.now())
	if err != nil {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeBadRequest, "%v", err)
	}
	req, err := http.NewRequestWithContext(ctx, op.method, daemon+op.path, bytes.NewReader(body))
	if err != nil {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeBadRequest, "%v", err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return ibiswork.Status{}, transportRefusal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return ibiswork.Status{}, transportRefusal(err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusAccepted {
		refusal := decodeRefusal(b, resp.Status)
		if op.request != nil && resp.StatusCode == ibishttp.StatusNotRead && refusal.Code == ibiswork.CodeDraining {
			refusal.NotRun = true
		}
		return ibiswork.Status{}, refusal
	}
	return decodeStatus(b, op.id)
}

// transportRefusal converts the transport error of a failed attempt to a refusal. Only a failure to connect
// proves that nothing was sent.
func transportRefusal(err error) *ibiswork.Refusal {
	r := ibiswork.Refuse(ibiswork.CodeOutcomeUnknown, "%v", err).WithRetryAfter(unreachableRetryAfter).WithMaybeRun()
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		r.Code, r.NotRun = ibiswork.CodeUnreachable, true
	}
	return r
}

// decodeRefusal decodes the refusal in an unsuccessful reply. A reply without one may come from a proxy or
// load balancer and says nothing about whether the request was run.
func decodeRefusal(b []byte, status string) *ibiswork.Refusal {
	var r ibiswork.Refusal
	if json.Unmarshal(b, &r) == nil && r.Code != "" {
		return &r
	}
	return ibiswork.Refuse(ibiswork.CodeOutcomeUnknown, "HTTP status %s without a refusal code", status).WithRetryAfter(unreachableRetryAfter).WithMaybeRun()
}

// decodeStatus decodes the status of a request. It refuses the status or answer of any other request.
func decodeStatus(b []byte, id ibiswork.ID) (ibiswork.Status, *ibiswork.Refusal) {
	var st ibiswork.Status
	if err := json.Unmarshal(b, &st); err != nil {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeOutcomeUnknown, "the reply is not a valid request status: %v", err).WithRetryAfter(unreachableRetryAfter).WithMaybeRun()
	}
	if id != "" && st.ID != id || st.Answer != nil && st.Answer.ID != st.ID {
		return ibiswork.Status{}, ibiswork.Refuse(ibiswork.CodeInternal, "the reply holds the status or answer of another request").WithMaybeRun()
	}
	return st, nil
}

// sleep waits for d. It returns the error of ctx when ctx ends first.
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
