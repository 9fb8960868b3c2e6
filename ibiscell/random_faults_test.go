package ibiscell_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
)

// TestRandomFaultsKeepTheRules strikes servers, table and leader at random while jobs run, some of whose runs fail, and judges
// what the servers have done by the platform's rules TWICE, BUDGET and LOST (shown as failed without cause).
func TestRandomFaultsKeepTheRules(t *testing.T) {
	seeds := []uint64{41, 89} // a job was given up for crashes of its servers, which the check took for no cause
	for seed := range uint64(24) {
		seeds = append(seeds, seed+1)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { testRandomFaults(t, seed) })
	}
}

func testRandomFaults(t *testing.T, seed uint64) {
	const jobs, attempts = 50, 2
	rng := rand.New(rand.NewPCG(seed, 0))
	w := newWorld(t, 6)
	w.allowRerun = true // the end of a run on a server that is lost cannot be known
	w.limitAttempts(attempts)
	w.run(20)
	ids := slices.Sorted(maps.Keys(w.servers))
	gangs := map[string]bool{} // names of steps
	for n := range jobs {
		first := ibisjob.Step{Tasks: 1 + rng.IntN(5), Size: size(500+rng.Int64N(3000), 10), Gang: rng.IntN(3) == 0}
		gangs[fmt.Sprintf("%s.0.0", jobID(n))] = first.Gang
		w.submit(uint64(n), ibisjob.Job{ID: jobID(n), Queue: "bulk", Spec: fmt.Sprint(50 + rng.IntN(6000)), Steps: steps(
			first, ibisjob.Step{Tasks: 1 + rng.IntN(3), Size: size(500, 10), DependsOn: []int{0}})})
		w.lead(rng.Int64N(1500))
		s := w.servers[ids[rng.IntN(len(ids))]]
		switch rng.IntN(10) {
		case 0, 1, 2, 3:
			s.partitioned = !s.partitioned
		case 4, 5:
			s.fails = !s.fails
		case 6:
			s.dropReplies = !s.dropReplies
		case 7:
			s.reboot(w)
			w.sendServerList()
		case 8:
			w.newLeader()
		case 9:
			w.tableDown = !w.tableDown
		}
	}
	w.tableDown = false
	for _, s := range w.servers {
		s.partitioned, s.fails, s.dropReplies = false, false, false
	}
	w.lead(60_000)
	w.checkJobs(jobs, attempts, gangs)
	w.checkStarts(attempts)
}

// checkJobs checks that the accepted jobs have ended, and that those that are shown as failed have a cause.
func (w *world) checkJobs(jobs, attempts int, gangs map[string]bool) {
	for n := range jobs {
		if a, ok := w.answers[uint64(n)]; !ok || a.Outcome != ibiscell.OK {
			continue
		}
		state := w.state(jobID(n))
		assert.Check(w.t, state.Final(), "LOST: job %d: %s", n, state)
		if state == ibisjob.Failed {
			assert.Check(w.t, w.hasCause(jobID(n), attempts, gangs), "LOST: job %d is shown as failed without cause", n)
		}
	}
}

// lead runs the world for ms milliseconds, in which the leader writes to the table four times a second.
func (w *world) lead(ms int64) {
	for end := w.now + ms; w.now < end; {
		w.run(min(250, end-w.now))
		if !w.tableDown {
			w.e.WriteConfirmed(w.now, w.now)
		}
	}
}

// hasCause reports whether a task or a gang of the job has failed as often as is allowed, or servers have crashed under
// crashesBeforeGivingUp runs of it. Both are counted in what the servers have done, by runs.
func (w *world) hasCause(id ibisjob.ID, attempts int, gangs map[string]bool) bool {
	failed, crashed := map[string]map[int64]bool{}, map[string]map[int64]bool{} // runs, by task or gang
	for _, ev := range w.record {
		runs, limit := failed, attempts
		switch {
		case ev.what == runCrashed:
			runs, limit = crashed, crashesBeforeGivingUp
		case ev.what != runEnded || ev.end != ibiscell.RunFailed:
			continue
		}
		if !strings.HasPrefix(ev.name.Task, string(id)) {
			continue
		}
		name := ev.name.Task
		if step := name[:strings.LastIndexByte(name, '.')]; gangs[step] {
			name = step
		}
		if runs[name] == nil {
			runs[name] = map[int64]bool{}
		}
		runs[name][ev.name.Run] = true
		if len(runs[name]) >= limit {
			return true
		}
	}
	return false
}

// checkStarts checks that no run has started after one of the same task was done, or after as many have failed as is
// allowed. An end counts from its time if it was acknowledged then or later; from its acknowledgement, if the server's
// leases had lapsed in between, so that the leader could not know it.
func (w *world) checkStarts(attempts int) {
	done := map[string]int64{}
	failed := map[string][]int64{}
	for _, ev := range w.record {
		if ev.what != endAcknowledged {
			continue
		}
		since, task := ev.endAt, ev.name.Task
		if ev.lapsed {
			since = ev.at
		}
		switch ev.end {
		case ibiscell.RunDone:
			if at, ok := done[task]; !ok || since < at {
				done[task] = since
			}
		case ibiscell.RunFailed:
			failed[task] = append(failed[task], since)
		}
	}
	for _, ev := range w.record {
		if ev.what != runStarted {
			continue
		}
		at, ok := done[ev.name.Task]
		assert.Check(w.t, !ok || ev.at <= at, "TWICE: %v starts at %d, done since %d", ev.name, ev.at, at)
		ends := failed[ev.name.Task]
		slices.Sort(ends)
		assert.Check(w.t, len(ends) < attempts || ev.at <= ends[attempts-1], "BUDGET: %v starts at %d, failed since %v", ev.name, ev.at, ends)
	}
}
