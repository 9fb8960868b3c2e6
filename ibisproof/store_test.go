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
	// tableDownFor is how long the table service is down.
	outageDuration = 11 * time.Second
	// refusedWithin is how long a refusal of what cannot be recorded may take, far below the deadline.
	maxRefusalTime = 3 * time.Second
	// writesBound is the most writes a second that all daemons together may make.
	maxWritesPerSecond = 300
)

// The table service is down under load. Idempotent requests are served; what would have to be recorded
// is refused at once, truly, with a time to come back; what runs goes on; after it all work is taken.
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
	p.reportViolations("did not go on", notStartedOnce(p.Platform.History(), longRequests))
	p.Platform.TableFaults(ibisstandin.TableFaults{})
	for i, class := range []ibiswork.Class{ibiswork.Batch, ibiswork.Interactive, ibiswork.Batch} {
		p.submitUntilAccepted(p.newRequest(class, false, 100), i)
	}
	stop()
	p.requireAllDone(nil)
	p.checkInvariants()
	p.reportViolations("did not go on", notStartedOnce(p.Platform.History(), longRequests))
	assert.Assert(t, p.Platform.TableStats().MaxWritesInSecond < maxWritesPerSecond)
}

// outage submits small requests of each kind to each daemon while the table is down.
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
	p.reportViolations("wrong answer while the table is down", violations)
	assert.Assert(p.t, len(served) > 0)
}

// checkOutage checks the answer to a submission while the table service is down.
func checkOutage(s ibisharness.Submission) error {
	took := s.Received.Sub(s.Sent)
	what := fmt.Sprintf("%s idempotent=%t to daemon %d after %v", s.Request.Class, s.Request.Idempotent, s.Daemon, took)
	switch {
	case !s.Request.Durable() && (!s.Ended() || s.Status.Answer.Outcome != ibiswork.Done):
		return fmt.Errorf("%s was not served: %v %v", what, s.Refusal, s.Err)
	case !s.Request.Durable():
		return nil
	case s.Refusal == nil:
		return fmt.Errorf("%s was not refused: %+v %v", what, s.Status, s.Err)
	case s.Refusal.Code != ibiswork.CodeStoreUnavailable || s.Refusal.RetryAfterMS == 0:
		return fmt.Errorf("%s was refused as %+v", what, *s.Refusal)
	case took > maxRefusalTime:
		return fmt.Errorf("%s was refused late", what)
	}
	return nil
}

// notRunningOn finds requests that have not exactly one start.
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

// Seven daemons under full load of work that must be recorded stay below the bound on writes.
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
