package ibiscell_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
)

// longestLeaseMS is the longest time for which a lease lasts that was granted before a server fell silent: 6 s on a clock that
// may be 2 % slow.
const longestLeaseMS = 6200

// runsOn returns the server that runs a task, or nil.
func (w *world) runsOn(task string) *fakeServer {
	for _, s := range w.servers {
		for name := range s.runs {
			if name.Task == task {
				return s
			}
		}
	}
	return nil
}

// loseForGood ends the process of a server, whose VM refuses connections from then on.
func loseForGood(s *fakeServer) {
	onEnd := s.onEnd
	s.down, s.onEnd = true, nil
	clear(s.runs)
	if onEnd != nil {
		onEnd() // the long poll ends with the connection
	}
}

// cutOff makes a server unreachable; its runs go on until their leases end.
func cutOff(s *fakeServer) { s.partitioned = true }

// Guards against tasks of lost servers that stand still (LOST) because each new leader waits anew for the longest leases that
// could have been granted: 16.2 s after each change of leader.
func TestTasksOfALostServerDoNotWaitAnewForEachLeader(t *testing.T) {
	for name, tc := range map[string]struct {
		lose    func(s *fakeServer)
		changes []int64 // times of changes of the leader after the loss
		limitMS int64   // from the loss until the task runs elsewhere
	}{
		// The time in the last record, at most silenceRewriteMS old, counts from when the new leader reads it.
		"refuses, one change":     {loseForGood, []int64{1300}, 1300 + longestLeaseMS + 500},
		"refuses, two changes":    {loseForGood, []int64{1300, 2700}, 2700 + longestLeaseMS + 500},
		"refuses, late changes":   {loseForGood, []int64{1600, 3300, 5000}, 1500*3 + longestLeaseMS + 500},
		"silent, then one change": {cutOff, []int64{4000}, 4000 + longestLeaseMS - 1000},
		// Nothing is recorded: leases may be granted for 6 s after the last commit of the former leader.
		"silent, change at once": {cutOff, []int64{200}, 200 + 6000 + longestLeaseMS + 500},
		"silent, then a second":  {cutOff, []int64{200, 5000}, 5000 + 6000 + longestLeaseMS + 500 - 3000},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 4)
			w.run(200)
			w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "bulk", Spec: "600000", Steps: steps(ibisjob.Step{Tasks: 1, Size: size(1000, 10), LongRunning: true})})
			w.lead(3000)
			task := string(jobID(1)) + ".0.0.0"
			lost := w.runsOn(task)
			assert.Assert(t, lost != nil)
			began := w.now
			tc.lose(lost)
			for _, at := range tc.changes {
				w.lead(began + at - w.now)
				w.newLeader()
			}
			elsewhere := func() bool { s := w.runsOn(task); return s != nil && s != lost }
			for !elsewhere() && w.now < began+40_000 {
				w.lead(50)
			}
			t.Logf("runs elsewhere after %d ms", w.now-began)
			assert.Assert(t, w.now-began <= tc.limitMS, "the task runs elsewhere after %d ms, at most %d are allowed", w.now-began, tc.limitMS)
		})
	}
}

// Guards against a server that answers again and is not granted leases, so that its tasks end, and against records of
// silences that stay in the journal.
func TestServerThatAnswersAgainKeepsItsTasks(t *testing.T) {
	w := newWorld(t, 2)
	w.run(200)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "bulk", Spec: "60000", Steps: steps(ibisjob.Step{Tasks: 1, Size: size(1000, 10)})})
	w.lead(2000)
	s := w.runsOn(string(jobID(1)) + ".0.0.0")
	assert.Assert(t, s != nil)
	for _, change := range []bool{false, true} {
		s.partitioned = true
		w.lead(3000)
		assert.Equal(t, len(w.table[ibiscell.TableSilences]), 1, "%v", w.table[ibiscell.TableSilences])
		if change {
			w.newLeader()
		}
		s.partitioned = false
		w.lead(8000)
		assert.Equal(t, len(w.table[ibiscell.TableSilences]), 0)
	}
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, len(s.runs), 1)
}

// TestRandomSilencesKeepTheRules cuts servers off while leaders change and the table is slow or away, and judges what the
// servers have done by the platform's rule TWICE. Servers that are cut off run on until their leases end.
func TestRandomSilencesKeepTheRules(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { testRandomSilences(t, seed) })
	}
}

func testRandomSilences(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 37))
	w := newWorld(t, 5)
	w.allowRerun = true // the end of a run on a server that is lost cannot be known
	w.run(50)
	const jobs = 12
	for n := range jobs {
		w.submit(uint64(n), ibisjob.Job{ID: jobID(n), Queue: "bulk", Spec: fmt.Sprint(5000 + rng.IntN(20_000)), Steps: steps(
			ibisjob.Step{Tasks: 1 + rng.IntN(4), Size: size(500+rng.Int64N(2000), 10), Gang: rng.IntN(4) == 0})})
	}
	for range 60 {
		w.lead(rng.Int64N(1400))
		s := w.servers[fmt.Sprintf("s%02d", rng.IntN(len(w.servers)))]
		switch rng.IntN(9) {
		case 0, 1, 2, 3:
			s.partitioned = !s.partitioned
		case 4, 5, 6:
			w.newLeader()
		case 7:
			w.tableDown = !w.tableDown
		case 8:
			w.commitMS = []int64{12, 12, 300, 1200}[rng.IntN(4)]
		}
	}
	w.tableDown, w.commitMS = false, 12
	for _, s := range w.servers {
		s.partitioned = false
	}
	w.lead(60_000)
	for n := range jobs {
		if a, ok := w.answers[uint64(n)]; !ok || a.Outcome != ibiscell.OK {
			continue
		}
		assert.Check(t, w.state(jobID(n)).Final(), "LOST: job %d: %s", n, w.state(jobID(n)))
	}
	assert.Equal(t, len(w.table[ibiscell.TableSilences]), 0)
}
