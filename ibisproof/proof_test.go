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
	// requestTimeout is the deadline of a request, and the maximum time that its caller keeps retrying.
	requestTimeout = 60 * time.Second
	// maxShownViolations is the maximum number of violations printed for one oracle.
	maxShownViolations = 8
	// duplicateEvery is the interval, in requests, at which two callers submit the same request concurrently.
	duplicateEvery = 5
)

// shortTimeouts shortens the heartbeat, revocation and lease times of a daemon, so that a takeover fits into
// a test.
func shortTimeouts(_ int, s *ibissettings.Settings) {
	s.HeartbeatMS, s.RevokeAfterMS, s.LeaseMS = 200, 1500, 4000
}

// proof holds the cluster, the team and the requests of one test.
type proof struct {
	*ibisharness.Cluster
	t      *testing.T
	team   string
	caller *ibisharness.Caller
	limits []limit // upper limits of the team, oldest first

	wg      sync.WaitGroup
	mu      sync.Mutex
	created int // number of requests created
	results []callResult
}

// callResult is the final status or error that a caller received after all its retries.
type callResult struct {
	request ibiswork.Request
	status  *ibiswork.Status
	err     error
}

// newProof starts a cluster with one team that has no effective limit. The default settings are
// shortTimeouts.
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

// newRequest returns a request for one slot whose task runs for runMS milliseconds, with a unique payload.
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

// mixedRequest returns the i-th request of a mix of all classes, durable and not, idempotent and not.
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

// submitInBackground submits r in the background, starting with the daemon first, and retries until it has
// ended. Every duplicateEvery-th request is submitted by two callers concurrently, which start with different
// daemons.
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

// submitUntilAccepted submits r to one daemon repeatedly until the daemon accepts it.
func (p *proof) submitUntilAccepted(r ibiswork.Request, daemon int) {
	p.t.Helper()
	ibisharness.Await(p.t, requestTimeout, "the request is accepted", func() (bool, any) {
		s := p.caller.Submit(context.Background(), r, daemon, 0)
		return s.Accepted(), s.Refusal
	})
}

// submitEvery submits one request from newRequest in the background per interval, until stop is called.
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

// finished returns the number of calls whose request has ended, or whose caller has given up.
func (p *proof) finished() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.results)
}

// awaitFinished waits until n more calls have finished.
func (p *proof) awaitFinished(n int) {
	p.t.Helper()
	want := p.finished() + n
	ibisharness.Await(p.t, requestTimeout, fmt.Sprintf("%d calls have finished", want), func() (bool, any) {
		got := p.finished()
		return got >= want, got
	})
}

// awaitRunning waits until at least n tasks run at the same time.
func (p *proof) awaitRunning(n int) {
	p.t.Helper()
	ibisharness.Await(p.t, requestTimeout, fmt.Sprintf("%d tasks run", n), func() (bool, any) {
		got := p.Platform.Running()
		return got >= n, got
	})
}

// requireAllDone waits for all calls and fails the test if any request is not done, except for those that
// excused allows. A nil excused allows none.
func (p *proof) requireAllDone(excused func(callResult) bool) {
	p.t.Helper()
	p.wg.Wait()
	var violations []string
	for _, r := range p.results {
		done := r.err == nil && r.status.Answer != nil && r.status.Answer.Outcome == ibiswork.Done
		if !done && (excused == nil || !excused(r)) {
			violations = append(violations, fmt.Sprintf("%s %s idempotent=%t: %+v %v", r.request.ID, r.request.Class, r.request.Idempotent, r.status, r.err))
		}
	}
	p.reportViolations("not done", violations)
	p.t.Logf("%d requests, %d submissions, %d starts", len(p.results), len(p.Trace.Submissions()), p.totalStarts())
}

// totalStarts returns the number of task starts on all backend servers.
func (p *proof) totalStarts() int64 {
	n := int64(0)
	for _, s := range p.Platform.Stats() {
		n += s.Starts
	}
	return n
}

// followAccepted waits for the end of every accepted request that has no final status yet and no unknown
// outcome.
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
			_, _ = p.caller.Follow(ctx, id, s.Daemon) // the unfinished oracle reports a request that does not end
		})
	}
	wg.Wait()
}

// checkInvariants runs every oracle on the complete history and trace of the test.
func (p *proof) checkInvariants() {
	p.t.Helper()
	p.followAccepted()
	history, subs, final := p.Platform.History(), p.Trace.Submissions(), p.Trace.FinalStatuses()
	p.reportViolations("server overcommitted", overcommitted(history, p.Platform.Capacity))
	p.reportViolations("task running twice at once", runningTwice(history))
	p.reportViolations("non-idempotent task started twice", startedTwice(history, subs))
	p.reportViolations("accepted but never ended", unfinished(subs, final, p.Trace.UnknownOutcomes()))
	p.reportViolations("started despite NotRun", falseNotRun(history, subs))
	p.reportViolations("started above the upper limit", aboveLimit(history, p.team, p.limits))
	p.reportViolations("wrong or incomplete answer", wrongAnswers(subs, final))
	p.reportViolations("answered Done without a run", doneWithoutRun(history, subs, final))
	p.reportViolations("conflicting answers", conflictingAnswers(subs, final))
}

// reportViolations fails the test if there are violations of rule, and prints the first maxShownViolations.
func (p *proof) reportViolations(rule string, violations []string) {
	p.t.Helper()
	for i, v := range violations {
		if i == maxShownViolations {
			break
		}
		p.t.Logf("%s: %s", rule, v)
	}
	if len(violations) > 0 {
		p.t.Errorf("%s: %d violations", rule, len(violations))
	}
}
