package ibisproof

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisharness"
	"ibiscrank/ibiswork"
)

// TestGracefulShutdown guards against a graceful shutdown that loses replies. Each daemon in turn is shut
// down under load. Every submission that was sent must be answered, and every refusal must have NotRun set,
// so that callers can retry safely.
func TestGracefulShutdown(t *testing.T) {
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8})
	stop := p.submitEvery(30*time.Millisecond, p.mixedRequest)
	for _, d := range p.Daemons {
		p.awaitFinished(30)
		awaitLongCalls := p.startLongCalls(d.Index)
		d.Terminate()
		assert.NilError(t, d.AwaitExit())
		awaitLongCalls()
		p.awaitFinished(10)
		d.Restart()
	}
	p.awaitFinished(30)
	stop()
	p.requireAllDone(nil)
	subs := p.Trace.Submissions()
	p.reportViolations("sent but unanswered", unanswered(subs))
	p.reportViolations("refused without NotRun", refusedWithoutNotRun(subs))
	p.checkInvariants()
}

// longTaskMS, in milliseconds, is longer than the time for which a drained daemon keeps connections open.
const longTaskMS = 4000

// startLongCalls submits requests with long tasks to a daemon, and returns once the tasks run. The function
// that it returns waits until the calls are answered.
func (p *proof) startLongCalls(daemon int) (wait func()) {
	p.t.Helper()
	var wg sync.WaitGroup
	ids := map[ibiswork.ID]bool{}
	for range 3 {
		r := p.newRequest(ibiswork.Interactive, false, longTaskMS)
		ids[r.ID] = true
		wg.Go(func() {
			s := p.caller.Submit(context.Background(), r, daemon, 4*longTaskMS*time.Millisecond)
			if !s.Accepted() {
				p.t.Errorf("submission that waited for its task was not accepted: refusal %+v, error %v", s.Refusal, s.Err)
			}
		})
	}
	ibisharness.Await(p.t, requestTimeout, "the long tasks run", func() (bool, any) {
		n := 0
		for _, e := range p.Platform.History() {
			if ids[e.TaskID.Request] {
				n++
			}
		}
		return n >= len(ids), n
	})
	return wg.Wait
}

// refusedWithoutNotRun finds refusals that do not guarantee that the request does not run.
func refusedWithoutNotRun(subs []ibisharness.Submission) []string {
	var violations []string
	for _, s := range subs {
		if s.Refusal != nil && !s.Refusal.NotRun {
			violations = append(violations, s.Request.ID.Time().String()+" "+s.Refusal.Error())
		}
	}
	return violations
}
