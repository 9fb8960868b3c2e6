package ibisholder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibischart"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// TestChartAllowsFiredEvents lists, for each state of a request, the events that the code fires in it. The
// chart must allow each of them.
func TestChartAllowsFiredEvents(t *testing.T) {
	path := map[string][]string{
		stateAccepted: {},
		stateQueued:   {"Commit"},
		stateReserved: {"Commit", "Reserve"},
		stateStarting: {"Commit", "Reserve", "Intend"},
		stateRunning:  {"Commit", "Dispatch"},
		stateLocating: {"Commit", "Dispatch", "Lose"},
		stateEnded:    {"Commit", "Refuse"},
	}
	fired := map[string][]string{
		stateAccepted: {"Commit", "Refuse"},
		stateQueued:   {"Reserve", "Dispatch", "Cancel", "Refuse"}, // requestPlaces, gather, evaluateEvents, endIfCancelledOrExpired
		stateReserved: {"Intend", "Requeue", "Cancel", "Refuse"},   // commitIntent
		stateStarting: {"Dispatch", "Requeue", "Lose"},             // startTasks
		stateRunning:  {"Finish", "Requeue", "Lose"},               // watchTasks, endAttempt, handlePlaceFailure
		stateLocating: {"Dispatch", "Requeue", "Finish"},           // locate, resolveAttempt, refuseIfExpired
		stateEnded:    {"Finish", "Cancel"},                        // late answers
	}
	for state, events := range path {
		for _, event := range fired[state] {
			m := ibischart.New(ibischart.Task)
			for _, step := range events {
				assert.NilError(t, m.Fire(step))
			}
			assert.Equal(t, m.State(), state)
			assert.NilError(t, m.Fire(event), "%s in %s", event, state)
		}
	}
}

func TestNewRestoredEntry(t *testing.T) {
	place := []ibiswire.Place{{Server: "server-1"}}
	for _, tc := range []struct {
		name string
		s    savedEntry
		want string
	}{
		{"Accepted", savedEntry{Attempt: 1}, stateQueued},
		{"IntentCommitted", savedEntry{Attempt: 2, Places: place}, stateLocating},
		{"CancelledAfterIntent", savedEntry{Attempt: 1, Places: place, Cancelled: true}, stateLocating},
		{"Answered", savedEntry{Attempt: 1, Places: place, Answer: &ibiswork.Answer{Outcome: ibiswork.Done}, EndedMS: 5}, stateEnded},
		{"Refused", savedEntry{Attempt: 1, Refusal: &ibiswork.Refusal{Code: ibiswork.CodeOutcomeUnknown}, EndedMS: 5}, stateEnded},
	} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprint(tc.name, idempotent), func(t *testing.T) {
				s := tc.s
				s.Epoch, s.Rev, s.Request = 3, 7, testRequest(ibiswork.Batch, idempotent)
				e := newRestoredEntry(servingShard(9), s, time.Now())
				assert.Equal(t, e.state(), tc.want)
				assert.Equal(t, e.saved.Epoch, int64(9))
				assert.Equal(t, e.saved.Attempt, tc.s.Attempt, "the search is for the attempt of the journalled intent")
				assert.Equal(t, e.cancelRequested, tc.s.Cancelled)
				<-e.acceptanceDecided
				if tc.want == stateEnded {
					<-e.done
					st, err := e.status()
					assert.Assert(t, err != nil || st.Answer == tc.s.Answer)
					assert.Equal(t, e.deliverEvent(event(e, "owner-a", ibiswire.TaskDone, true)), ibiswire.Recorded)
					assert.Equal(t, e.deliverEvent(event(e, "owner-a", ibiswire.TaskRunning, true)), ibiswire.Orphan)
				}
			})
		}
	}
}

func TestDuplicateSubmissions(t *testing.T) {
	sh := servingShard(2)
	r := testRequest(ibiswork.Batch, false)
	e, added, err := sh.add(r, true)
	assert.NilError(t, err)
	assert.Assert(t, added)
	otherWork := r
	otherWork.Payload = []byte("other work")
	otherTeam := r
	otherTeam.Team = "mandacaru"
	step := func(name string) {
		t.Helper()
		got, err := sh.find(r)
		assert.NilError(t, err, name)
		assert.Assert(t, got == e, name)
		_, err = sh.find(otherTeam)
		assert.Equal(t, ibiswork.AsRefusal(err).Code, ibiswork.CodeForbidden, name)
	}
	step("while it is being accepted")
	_, err = sh.find(otherWork)
	assert.Equal(t, ibiswork.AsRefusal(err).Code, ibiswork.CodeConflict)
	e.fire("Commit")
	step("queued")
	e.markDispatched(time.Now())
	step("running")
	e.finish("Finish", &ibiswork.Answer{ID: r.ID, Outcome: ibiswork.Done}, nil, time.Now())
	e.finish("Finish", &ibiswork.Answer{ID: r.ID, Outcome: ibiswork.Failed}, nil, time.Now())
	step("ended")
	st, err := e.status()
	assert.NilError(t, err)
	assert.Equal(t, st.Answer.Outcome, ibiswork.Done, "the first outcome counts")
}

func TestUnknownRequestNeedsCoveredShard(t *testing.T) {
	sh := servingShard(2)
	r := testRequest(ibiswork.Interactive, true)
	_, _, err := sh.add(r, false)
	assert.Equal(t, ibiswork.AsRefusal(err).Code, ibiswork.CodeRecovering)
	assert.Assert(t, !ibiswork.AsRefusal(err).NotRun)
	sh.covered = true
	_, added, err := sh.add(r, false)
	assert.NilError(t, err)
	assert.Assert(t, added)
}

// TestAdoptedTask checks that a request is not run again if it is submitted after its task was found.
func TestAdoptedTask(t *testing.T) {
	h := newTestHolder(t, newJournalFake())
	sh := h.shards[0]
	r := testRequest(ibiswork.Interactive, true)
	unadopted := newEntry(sh, r, time.Now())
	ev := event(unadopted, "owner-a", ibiswire.TaskRunning, true)
	ev.Meta = ibiswire.Meta{Team: testTeam, Class: ibiswork.Interactive, Idempotent: true, Tasks: 1}
	assert.Equal(t, h.deliverEvent(ev), ibiswire.Recorded)
	e, _ := sh.get(r.ID)
	found, err := sh.find(r)
	assert.NilError(t, err)
	assert.Assert(t, found == e && e.requestKnown)
	ev.State, ev.Result = ibiswire.TaskDone, []byte("7")
	assert.Equal(t, h.deliverEvent(ev), ibiswire.Recorded)
	<-e.done
	st, err := e.status()
	assert.NilError(t, err)
	assert.Equal(t, string(st.Answer.Result), "7")
}

func TestRestoredEntryOfStaleEpochIsNotAdded(t *testing.T) {
	sh := servingShard(3)
	r := testRequest(ibiswork.Batch, true)
	stale := newRestoredEntry(sh, savedEntry{Attempt: 1, Request: r}, time.Now())
	sh.stopAndReset(shardRecovering, 5)
	current := newRestoredEntry(sh, savedEntry{Attempt: 1, Request: r}, time.Now())
	sh.put(current)
	sh.put(stale) // by the recovery under epoch 3; it would never get a driver
	e, _ := sh.get(r.ID)
	assert.Assert(t, e == current)
}
