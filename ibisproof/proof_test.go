package ibisproof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisharness"
	"ibiscrank/ibissettings"
	"ibiscrank/ibiswork"
)

const (
	// answerWithin bounds the whole life of one request of a proof, its caller's retries included.
	requestTimeout = 60 * time.Second
	// shownFaults is how many findings of one oracle are printed.
	maxShownViolations = 8
	// doubled is the distance between requests that two callers submit at once.
	duplicateEvery = 5
)

// quick shortens the times of a daemon, so that takeovers fit into a test.
func shortTimeouts(_ int, s *ibissettings.Settings) {
	s.HeartbeatMS, s.RevokeAfterMS, s.LeaseMS = 200, 1500, 4000
}

// proof is one test with its cluster, its team and the requests that were made.
type proof struct {
	*ibisharness.Cluster
	t      *testing.T
	team   string
	caller *ibisharness.Caller
	limits []limit

	wg      sync.WaitGroup
	mu      sync.Mutex
	created int
	results []callResult
}

// outcome is what a caller that kept trying got in the end.
type callResult struct {
	request ibiswork.Request
	status  *ibiswork.Status
	err     error
}

// newProof starts a cluster with one team without limits.
func newProof(t *testing.T, opt ibisharness.Options) *proof {
	t.Helper()
	if opt.Settings == nil {
		opt.Settings = shortTimeouts
	}
	p := &proof{t: t, team: "team", limits: []limit{{time.Now(), ibisharness.NoLimit}}}
	p.Cluster = ibisharness.New(t, opt)
	p.caller = p.NewCaller(p.AddTeam(ibisconfig.Team{Name: p.team, Share: 1, UpperLimit: ibisharness.NoLimit}))
	return p
}

// request makes a request of one slot whose task runs for runMS; the payload is unlike any other.
func (p *proof) newRequest(class ibiswork.Class, idempotent bool, runMS int) ibiswork.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.created++
	return ibiswork.Request{
		ID: ibiswork.NewID(), Class: class, Idempotent: idempotent, DeadlineMS: requestTimeout.Milliseconds(),
		Resources: ibiswork.Resources{MilliCPU: 500, MemoryMB: 64, Slots: 1},
		Payload:   fmt.Appendf(nil, `{"RunMS":%d,"ResultBytes":%d,"Nonce":%d}`, runMS, p.created%300, p.created),
	}
}

// mixed makes the i-th request of a mix of all classes, durable and not, idempotent and not.
func (p *proof) mixedRequest(i int) ibiswork.Request {
	switch i % 6 {
	case 0:
		return p.newRequest(ibiswork.Interactive, true, 100)
	case 1, 2:
		return p.newRequest(ibiswork.Interactive, false, 100+i%7*100)
	case 3:
		return p.newRequest(ibiswork.Batch, true, 800)
	case 4:
		return p.newRequest(ibiswork.Batch, false, 1200)
	}
	r := p.newRequest(ibiswork.Gang, true, 300)
	r.Tasks = 3
	return r
}

// submit lets callers bring r to its end in the background, beginning with the daemon first. Some
// requests are brought by two callers at once.
func (p *proof) submitInBackground(ctx context.Context, r ibiswork.Request, first int) {
	callers := 1
	if first%duplicateEvery == 0 {
		callers = 2
	}
	for i := range callers {
		p.wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			st, err := p.caller.Do(ctx, r, first+i)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.results = append(p.results, callResult{r, st, err})
		})
	}
}

// accept submits r until a daemon has accepted it.
func (p *proof) submitUntilAccepted(r ibiswork.Request, daemon int) {
	p.t.Helper()
	ibisharness.Await(p.t, requestTimeout, "a request is accepted", func() (bool, any) {
		s := p.caller.Submit(context.Background(), r, daemon, 0)
		return s.Accepted(), s.Refusal
	})
}

// stream submits the requests that next makes, one every gap, until stop is called.
func (p *proof) submitEvery(interval time.Duration, newRequest func(i int) ibiswork.Request) (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
				p.submitInBackground(context.Background(), newRequest(i), i)
			case <-quit:
				return
			}
		}
	}()
	var once sync.Once
	stop = func() { once.Do(func() { close(quit); <-done }) }
	p.t.Cleanup(func() { stop(); p.wg.Wait() })
	return stop
}

// ended is how many requests have been brought to their end or given up.
func (p *proof) finished() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.results)
}

// awaitMore waits until n more requests have ended.
func (p *proof) awaitFinished(n int) {
	p.t.Helper()
	want := p.finished() + n
	ibisharness.Await(p.t, requestTimeout, fmt.Sprintf("%d requests have ended", want), func() (bool, any) {
		got := p.finished()
		return got >= want, got
	})
}

// awaitRunning waits until at least n tasks run.
func (p *proof) awaitRunning(n int) {
	p.t.Helper()
	ibisharness.Await(p.t, requestTimeout, fmt.Sprintf("%d tasks run", n), func() (bool, any) {
		got := p.Platform.Running()
		return got >= n, got
	})
}

// allDone waits for every request and checks that each is done, but for those that excused allows.
func (p *proof) requireAllDone(excused func(callResult) bool) {
	p.t.Helper()
	p.wg.Wait()
	var violations []string
	for _, o := range p.results {
		done := o.err == nil && o.status.Answer != nil && o.status.Answer.Outcome == ibiswork.Done
		if !done && (excused == nil || !excused(o)) {
			violations = append(violations, fmt.Sprintf("%s %s idempotent=%t: %+v %v", o.request.ID, o.request.Class, o.request.Idempotent, o.status, o.err))
		}
	}
	p.reportViolations("not done", violations)
	p.t.Logf("%d requests, %d submissions, %d starts", len(p.results), len(p.Trace.Submissions()), p.totalStarts())
}

func (p *proof) totalStarts() int64 {
	n := int64(0)
	for _, s := range p.Platform.Stats() {
		n += s.Starts
	}
	return n
}

// followAccepted brings every durable request that was accepted to its end.
func (p *proof) followAccepted() {
	p.t.Helper()
	seen := map[ibiswork.ID]bool{}
	var wg sync.WaitGroup
	final, unknown := p.Trace.FinalStatuses(), p.Trace.UnknownOutcomes()
	for _, s := range p.Trace.Submissions() {
		id := s.Request.ID
		_, ended := final[id]
		if _, outcomeUnknown := unknown[id]; ended || outcomeUnknown || !s.Accepted() || seen[id] {
			continue
		}
		seen[id] = true
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			defer cancel()
			_, _ = p.caller.Follow(ctx, id, s.Daemon) // a request without an end is found by its oracle
		})
	}
	wg.Wait()
}

// judge lets every oracle look at the whole record of the test.
func (p *proof) checkInvariants() {
	p.t.Helper()
	p.followAccepted()
	history, subs, final := p.Platform.History(), p.Trace.Submissions(), p.Trace.FinalStatuses()
	p.reportViolations("overcommitted", overcommitted(history, p.Platform.Each))
	p.reportViolations("in two places", runningTwice(history))
	p.reportViolations("non-idempotent started twice", startedTwice(history, subs))
	p.reportViolations("accepted without an end", unfinished(subs, final, p.Trace.UnknownOutcomes()))
	p.reportViolations("untrue NotRun", falseNotRun(history, subs))
	p.reportViolations("above the upper limit", aboveLimit(history, p.team, p.limits))
	p.reportViolations("not its own whole answer", wrongAnswers(subs, final))
	p.reportViolations("untrue end", doneWithoutRun(history, subs, final))
	p.reportViolations("unlike answers", conflictingAnswers(subs, final))
}

// report fails the test when an oracle found anything.
func (p *proof) reportViolations(rule string, violations []string) {
	p.t.Helper()
	for i, b := range violations {
		if i == maxShownViolations {
			break
		}
		p.t.Logf("%s: %s", rule, b)
	}
	if len(violations) > 0 {
		p.t.Errorf("%s: %d cases", rule, len(violations))
	}
}
