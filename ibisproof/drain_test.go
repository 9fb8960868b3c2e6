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
	stop := p.stream(30*time.Millisecond, p.mixed)
	for _, d := range p.Daemons {
		p.awaitMore(30)
		long := p.longCalls(d.Index)
		d.Terminate()
		assert.NilError(t, d.AwaitEnd())
		long()
		p.awaitMore(10)
		d.Restart()
	}
	p.awaitMore(30)
	stop()
	p.allDone(nil)
	subs := p.Trace.Submissions()
	p.report("cut off", cutOff(subs))
	p.report("refused without the promise", mayHaveRun(subs))
	p.judge()
}

// longRunMS is longer than the daemon gives open connections once it has drained.
const longRunMS = 4000

// longCalls makes calls to a daemon that wait for long tasks, and returns once the tasks run. The result
// waits for the calls to be answered.
func (p *proof) longCalls(daemon int) (wait func()) {
	p.t.Helper()
	var wg sync.WaitGroup
	ids := map[ibiswork.ID]bool{}
	for range 3 {
		r := p.request(ibiswork.Interactive, false, longRunMS)
		ids[r.ID] = true
		wg.Go(func() {
			s := p.caller.Submit(context.Background(), r, daemon, 4*longRunMS*time.Millisecond)
			if !s.Accepted() {
				p.t.Errorf("a call that waited for its task got %+v %v", s.Refusal, s.Err)
			}
		})
	}
	ibisharness.Await(p.t, answerWithin, "the long tasks run", func() (bool, any) {
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
func mayHaveRun(subs []ibisharness.Submission) []string {
	var bad []string
	for _, s := range subs {
		if s.Refusal != nil && !s.Refusal.NotRun {
			bad = append(bad, s.Request.ID.Time().String()+" "+s.Refusal.Error())
		}
	}
	return bad
}
