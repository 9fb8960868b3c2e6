package ibisholder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisincarnation"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

const testTeam = "tuul"

var testSize = ibiswork.Resources{MilliCPU: 1000, MemoryMB: 100, Slots: 1}

func testRequest(class ibiswork.Class, idempotent bool) ibiswork.Request {
	return ibiswork.Request{ID: ibiswork.NewID(), Team: testTeam, Class: class, Resources: testSize, Idempotent: idempotent}
}

// servingShard returns a shard that accepts requests.
func servingShard(epoch int64) *shard {
	sh := newShard(0)
	sh.stopAndReset(shardServing, epoch)
	return sh
}

// runningEntry returns an entry whose only task runs on a server of owner.
func runningEntry(r ibiswork.Request, owner string) *entry {
	e := newEntry(servingShard(1), r, time.Now())
	e.fire("Commit")
	e.setPlaces([]ibiswire.Place{{Server: "server-1"}}, owner)
	e.markDispatched(time.Now())
	return e
}

func event(e *entry, owner string, state ibiswire.EventState, ran bool) ibiswire.TaskEvent {
	return ibiswire.TaskEvent{
		Task: ibisserver.TaskID{Request: e.id, Attempt: e.saved.Attempt}, Server: "server-1", Owner: owner, State: state, Ran: ran,
	}
}

func viewOf(ids ...string) *ibispeer.View {
	v := &ibispeer.View{Revoked: map[string]bool{}}
	for _, id := range ids {
		v.Members = append(v.Members, ibispeer.Member{Digest: ibispeer.Digest{Row: ibisincarnation.Row{ID: id}}})
	}
	return v
}

// TestLossReportedByStaleOwnerStartsSearch guards against ending a task that a previous owner reports as lost
// while the current owner renews its lease.
func TestLossReportedByStaleOwnerStartsSearch(t *testing.T) {
	e := runningEntry(testRequest(ibiswork.Batch, true), "owner-a")
	e.deliverEvent(event(e, "owner-b", ibiswire.TaskRunning, true)) // claimed the server from owner-a
	assert.Equal(t, e.deliverEvent(event(e, "owner-a", ibiswire.TaskLost, true)), ibiswire.Recorded)
	changed, _ := e.evaluateEvents(time.Now())
	assert.Assert(t, !changed, "the task was ended while owner-b may renew its lease")
	assert.Assert(t, e.detectLostOwner(viewOf("owner-a", "owner-b")))
	assert.Equal(t, e.state(), stateLocating)
	assert.Assert(t, e.saved.Ran)
}

func TestEndAttempt(t *testing.T) {
	type want struct{ state, outcome, code string }
	done, cancelled, failed := want{stateEnded, "Done", ""}, want{stateEnded, "Cancelled", ""}, want{stateEnded, "Failed", ""}
	requeued, unknown := want{stateQueued, "", ""}, want{stateEnded, "", "OutcomeUnknown"}
	for _, state := range []ibiswire.EventState{ibiswire.TaskDone, ibiswire.TaskFailed, ibiswire.TaskStopped, ibiswire.TaskExpired, ibiswire.TaskLost} {
		for flags := range 1 << 5 {
			idempotent, ran, cancel, blameless, failuresUsedUp := flags&1 > 0, flags&2 > 0, flags&4 > 0, flags&8 > 0, flags&16 > 0
			expect := unknown
			switch {
			case state == ibiswire.TaskDone:
				expect = done
			case cancel:
				expect = cancelled
			case state == ibiswire.TaskFailed && !blameless && failuresUsedUp:
				expect = failed
			case idempotent || !ran:
				expect = requeued
			case state == ibiswire.TaskFailed:
				expect = failed
			}
			t.Run(fmt.Sprintf("%s/%05b", state, flags), func(t *testing.T) {
				e := runningEntry(testRequest(ibiswork.Batch, idempotent), "owner-a")
				e.cancelRequested = cancel
				if failuresUsedUp {
					e.saved.Failures = maxFailures - 1
				}
				ev := event(e, "owner-a", state, ran)
				ev.Blameless = blameless
				e.deliverEvent(ev)
				changed, _ := e.evaluateEvents(time.Now())
				assert.Assert(t, changed)
				got := want{state: e.state()}
				if e.saved.Answer != nil {
					got.outcome = string(e.saved.Answer.Outcome)
				}
				if e.saved.Refusal != nil {
					got.code = string(e.saved.Refusal.Code)
					assert.Assert(t, !e.saved.Refusal.NotRun)
				}
				assert.Equal(t, got, expect)
			})
		}
	}
}

func TestNonIdempotentWorkThatRanIsNotRequeued(t *testing.T) {
	e := runningEntry(testRequest(ibiswork.Interactive, false), "owner-a")
	e.saved.Ran = true
	e.deliverEvent(event(e, "owner-a", ibiswire.TaskLost, false))
	_, _ = e.evaluateEvents(time.Now())
	assert.Equal(t, e.state(), stateEnded)
	assert.Equal(t, e.saved.Refusal.Code, ibiswork.CodeOutcomeUnknown)
	assert.Assert(t, !e.saved.Refusal.NotRun)
}
