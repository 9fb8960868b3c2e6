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
	answerWithin = 60 * time.Second
	// shownFaults is how many findings of one oracle are printed.
	shownFaults = 8
	// doubled is the distance between requests that two callers submit at once.
	doubled = 5
)

// quick shortens the times of a daemon, so that takeovers fit into a test.
func quick(_ int, s *ibissettings.Settings) {
	s.HeartbeatMS, s.RevokeAfterMS, s.LeaseMS = 200, 1500, 4000
}

// proof is one test with its cluster, its team and the requests that were made.
type proof struct {
	*ibisharness.Cluster
	t      *testing.T
	team   string
	caller *ibisharness.Caller
	limits []limit

	wg       sync.WaitGroup
	mu       sync.Mutex
	made     int
	outcomes []outcome
}

// outcome is what a caller that kept trying got in the end.
type outcome struct {
	request ibiswork.Request
	status  *ibiswork.Status
	err     error
}

// newProof starts a cluster with one team without limits.
func newProof(t *testing.T, opt ibisharness.Options) *proof {
	t.Helper()
	if opt.Settings == nil {
		opt.Settings = quick
	}
	p := &proof{t: t, team: "team", limits: []limit{{time.Now(), ibisharness.NoLimit}}}
	p.Cluster = ibisharness.New(t, opt)
	p.caller = p.Caller(p.Team(ibisconfig.Team{Name: p.team, Share: 1, UpperLimit: ibisharness.NoLimit}))
	return p
}

// request makes a request of one slot whose task runs for runMS; the payload is unlike any other.
func (p *proof) request(class ibiswork.Class, idempotent bool, runMS int) ibiswork.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.made++
	return ibiswork.Request{
		ID: ibiswork.NewID(), Class: class, Idempotent: idempotent, DeadlineMS: answerWithin.Milliseconds(),
		Resources: ibiswork.Resources{MilliCPU: 500, MemoryMB: 64, Slots: 1},
		Payload:   fmt.Appendf(nil, `{"RunMS":%d,"ResultBytes":%d,"Nonce":%d}`, runMS, p.made%300, p.made),
	}
}

// mixed makes the i-th request of a mix of all classes, durable and not, idempotent and not.
func (p *proof) mixed(i int) ibiswork.Request {
	switch i % 6 {
	case 0:
		return p.request(ibiswork.Interactive, true, 100)
	case 1, 2:
		return p.request(ibiswork.Interactive, false, 100+i%7*100)
	case 3:
		return p.request(ibiswork.Batch, true, 800)
	case 4:
		return p.request(ibiswork.Batch, false, 1200)
	}
	r := p.request(ibiswork.Gang, true, 300)
	r.Tasks = 3
	return r
}

// submit lets callers bring r to its end in the background, beginning with the daemon first. Some
// requests are brought by two callers at once.
func (p *proof) submit(ctx context.Context, r ibiswork.Request, first int) {
	callers := 1
	if first%doubled == 0 {
		callers = 2
	}
	for i := range callers {
		p.wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, answerWithin)
			defer cancel()
			st, err := p.caller.Do(ctx, r, first+i)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.outcomes = append(p.outcomes, outcome{r, st, err})
		})
	}
}

// accept submits r until a daemon has accepted it.
func (p *proof) accept(r ibiswork.Request, daemon int) {
	p.t.Helper()
	ibisharness.Await(p.t, answerWithin, "a request is accepted", func() (bool, any) {
		s := p.caller.Submit(context.Background(), r, daemon, 0)
		return s.Accepted(), s.Refusal
	})
}

// stream submits the requests that next makes, one every gap, until stop is called.
func (p *proof) stream(gap time.Duration, next func(i int) ibiswork.Request) (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(gap)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
				p.submit(context.Background(), next(i), i)
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
func (p *proof) ended() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.outcomes)
}

// awaitMore waits until n more requests have ended.
func (p *proof) awaitMore(n int) {
	p.t.Helper()
	want := p.ended() + n
	ibisharness.Await(p.t, answerWithin, fmt.Sprintf("%d requests have ended", want), func() (bool, any) {
		got := p.ended()
		return got >= want, got
	})
}

// awaitRunning waits until at least n tasks run.
func (p *proof) awaitRunning(n int) {
	p.t.Helper()
	ibisharness.Await(p.t, answerWithin, fmt.Sprintf("%d tasks run", n), func() (bool, any) {
		got := p.Platform.Running()
		return got >= n, got
	})
}

// allDone waits for every request and checks that each is done, but for those that excused allows.
func (p *proof) allDone(excused func(outcome) bool) {
	p.t.Helper()
	p.wg.Wait()
	var bad []string
	for _, o := range p.outcomes {
		done := o.err == nil && o.status.Answer != nil && o.status.Answer.Outcome == ibiswork.Done
		if !done && (excused == nil || !excused(o)) {
			bad = append(bad, fmt.Sprintf("%s %s idempotent=%t: %+v %v", o.request.ID, o.request.Class, o.request.Idempotent, o.status, o.err))
		}
	}
	p.report("not done", bad)
	p.t.Logf("%d requests, %d submissions, %d starts", len(p.outcomes), len(p.Trace.Submissions()), p.starts())
}

func (p *proof) starts() int64 {
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
	ends, unknown := p.Trace.Ends(), p.Trace.Unknown()
	for _, s := range p.Trace.Submissions() {
		id := s.Request.ID
		_, ended := ends[id]
		if _, lost := unknown[id]; ended || lost || !s.Accepted() || seen[id] {
			continue
		}
		seen[id] = true
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), answerWithin)
			defer cancel()
			_, _ = p.caller.Follow(ctx, id, s.Daemon) // a request without an end is found by its oracle
		})
	}
	wg.Wait()
}

// judge lets every oracle look at the whole record of the test.
func (p *proof) judge() {
	p.t.Helper()
	p.followAccepted()
	history, subs, ends := p.Platform.History(), p.Trace.Submissions(), p.Trace.Ends()
	p.report("overcommitted", overcommitted(history, p.Platform.Each))
	p.report("in two places", inTwoPlaces(history))
	p.report("non-idempotent started twice", startedTwice(history, subs))
	p.report("accepted without an end", notEnded(subs, ends, p.Trace.Unknown()))
	p.report("untrue NotRun", untruths(history, subs))
	p.report("above the upper limit", aboveLimit(history, p.team, p.limits))
	p.report("not its own whole answer", notOwnAnswers(subs, ends))
	p.report("untrue end", untrueEnds(history, subs, ends))
	p.report("unlike answers", unlikeAnswers(subs, ends))
}

// report fails the test when an oracle found anything.
func (p *proof) report(what string, bad []string) {
	p.t.Helper()
	for i, b := range bad {
		if i == shownFaults {
			break
		}
		p.t.Logf("%s: %s", what, b)
	}
	if len(bad) > 0 {
		p.t.Errorf("%s: %d cases", what, len(bad))
	}
}
