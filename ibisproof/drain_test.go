package ibisproof

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisharness"
)

// Each daemon in turn is shut down gracefully under load. No request that was sent goes without an
// answer: callers try again only after a refusal that says "not run" or when no connection was got.
func TestGracefulShutdown(t *testing.T) {
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8})
	stop := p.stream(30*time.Millisecond, p.mixed)
	for _, d := range p.Daemons {
		p.awaitMore(30)
		d.Terminate()
		assert.NilError(t, d.AwaitEnd())
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
