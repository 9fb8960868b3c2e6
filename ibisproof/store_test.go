package ibisproof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisharness"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

const (
	// outageDuration is how long the table service is down.
	outageDuration = 11 * time.Second
	// maxRefusalTime is the maximum time to refuse a durable request, far below the deadline of the request.
	maxRefusalTime = 3 * time.Second
	// maxWritesPerSecond is the upper bound, exclusive, on the table writes of all daemons in one second.
	maxWritesPerSecond = 300
)

// TestTableDown guards against an outage of the table service that stops work which needs no table. Requests
// that are not durable must be served; durable ones, which would have to be recorded in the table, must be
// refused at once, with a delay for the retry; running tasks must continue. After the outage all requests must
// be accepted again.
func TestTableDown(t *testing.T) {
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8})
	var longRequests []ibiswork.Request
	for i := range 6 {
		r := p.newRequest(ibiswork.Batch, i%2 == 0, 15_000)
		longRequests = append(longRequests, r)
		p.submitUntilAccepted(r, i%3)
	}
	p.awaitRunning(len(longRequests))
	stop := p.submitEvery(100*time.Millisecond, p.mixedRequest)
	p.awaitFinished(20)
	p.Platform.TableFaults(ibisstandin.TableFaults{Down: true})
	downSince := time.Now()
	p.submitDuringOutage(downSince)
	p.reportViolations("running task did not continue", notStartedOnce(p.Platform.History(), longRequests))
	p.Platform.TableFaults(ibisstandin.TableFaults{})
	for i, class := range []ibiswork.Class{ibiswork.Batch, ibiswork.Interactive, ibiswork.Batch} {
		p.submitUntilAccepted(p.newRequest(class, false, 100), i)
	}
	stop()
	p.requireAllDone(nil)
	p.checkInvariants()
	p.reportViolations("running task did not continue", notStartedOnce(p.Platform.History(), longRequests))
	assert.Assert(t, p.Platform.TableStats().MaxWritesInSecond < maxWritesPerSecond)
}

// submitDuringOutage submits small requests of each kind to each daemon while the table is down, and checks
// the replies.
func (p *proof) submitDuringOutage(downSince time.Time) {
	p.t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var served, violations []string
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; time.Since(downSince) < outageDuration; i++ {
		for daemon := range p.Daemons {
			r := p.newRequest(ibiswork.Interactive, true, 10)
			if i%2 == 1 {
				r = p.newRequest([]ibiswork.Class{ibiswork.Interactive, ibiswork.Batch}[i/2%2], i%4 == 3, 10)
			}
			wg.Go(func() {
				s := p.caller.Submit(context.Background(), r, daemon, requestTimeout/2)
				mu.Lock()
				defer mu.Unlock()
				if err := checkOutage(s); err != nil {
					violations = append(violations, err.Error())
				} else if s.Ended() {
					served = append(served, string(s.Request.ID))
				}
			})
		}
		<-ticker.C
	}
	wg.Wait()
	p.reportViolations("wrong reply while the table is down", violations)
	assert.Assert(p.t, len(served) > 0)
}

// checkOutage checks the reply to a submission while the table service is down.
func checkOutage(s ibisharness.Submission) error {
	took := s.Received.Sub(s.Sent)
	what := fmt.Sprintf("%s idempotent=%t to daemon %d after %v", s.Request.Class, s.Request.Idempotent, s.Daemon, took)
	switch {
	case !s.Request.Durable() && (!s.Ended() || s.Status.Answer.Outcome != ibiswork.Done):
		return fmt.Errorf("%s was not served: refusal %v, error %v", what, s.Refusal, s.Err)
	case !s.Request.Durable():
		return nil
	case s.Refusal == nil:
		return fmt.Errorf("%s was not refused: status %+v, error %v", what, s.Status, s.Err)
	case s.Refusal.Code != ibiswork.CodeStoreUnavailable || s.Refusal.RetryAfterMS == 0:
		return fmt.Errorf("%s was refused with the wrong code or without a retry delay: %+v", what, *s.Refusal)
	case took > maxRefusalTime:
		return fmt.Errorf("%s was refused later than maxRefusalTime", what)
	}
	return nil
}

// notStartedOnce finds requests that were not started exactly once.
func notStartedOnce(history []ibisstandin.Entry, rs []ibiswork.Request) []string {
	starts := map[ibiswork.ID]int{}
	for _, e := range history {
		if e.Event == ibisstandin.Start {
			starts[e.TaskID.Request]++
		}
	}
	var violations []string
	for _, r := range rs {
		if n := starts[r.ID]; n != 1 {
			violations = append(violations, fmt.Sprintf("%s was started %d times", r.ID, n))
		}
	}
	return violations
}

// TestTableWrites guards against overload of the table service. Seven daemons under full load of durable
// requests must together stay below maxWritesPerSecond.
func TestTableWrites(t *testing.T) {
	p := newProof(t, ibisharness.Options{
		Daemons: 7, Servers: 12, Capacity: ibiswork.Resources{MilliCPU: 64000, MemoryMB: 65536, Slots: 64},
	})
	stop := p.submitEvery(3*time.Millisecond, func(i int) ibiswork.Request {
		if i%2 == 0 {
			return p.newRequest(ibiswork.Interactive, false, 50)
		}
		return p.newRequest(ibiswork.Batch, true, 300)
	})
	p.awaitFinished(1500)
	stop()
	p.requireAllDone(nil)
	p.checkInvariants()
	stats := p.Platform.TableStats()
	t.Logf("%+v", stats)
	assert.Assert(t, stats.MaxWritesInSecond < maxWritesPerSecond, "%+v", stats)
}
