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

// Each daemon in turn is shut down gracefully under load. No request that was sent goes without an
// answer: callers try again only after a refusal that says "not run" or when no connection was got.
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
	p.reportViolations("cut off", unanswered(subs))
	p.reportViolations("refused without the promise", refusedWithoutNotRun(subs))
	p.checkInvariants()
}

// longRunMS is longer than the daemon gives open connections once it has drained.
const longTaskMS = 4000

// longCalls makes calls to a daemon that wait for long tasks, and returns once the tasks run. The result
// waits for the calls to be answered.
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
				p.t.Errorf("a call that waited for its task got %+v %v", s.Refusal, s.Err)
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

// mayHaveRun finds refusals that do not promise that the request is not run.
func refusedWithoutNotRun(subs []ibisharness.Submission) []string {
	var violations []string
	for _, s := range subs {
		if s.Refusal != nil && !s.Refusal.NotRun {
			violations = append(violations, s.Request.ID.Time().String()+" "+s.Refusal.Error())
		}
	}
	return violations
}
