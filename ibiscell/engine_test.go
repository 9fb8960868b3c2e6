package ibiscell_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
)

func steps(s ...ibisjob.Step) []ibisjob.Step { return s }

func TestJobRunsToItsEnd(t *testing.T) {
	w := newWorld(t, 4)
	w.run(50)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "quick", Spec: "200", Steps: steps(ibisjob.Step{Tasks: 2, Size: size(1000, 100), EstimateMS: 200})})
	w.run(60)
	assert.Equal(t, w.answers[1].Outcome, ibiscell.OK)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Active)
	w.run(400)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
	assert.Equal(t, len(w.table[ibiscell.TableChanges]), 0)
	assert.Equal(t, len(w.table[ibiscell.TableEnded]), 1)
}

func TestStepsWaitForTheirDependencies(t *testing.T) {
	w := newWorld(t, 4)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "bulk", Spec: "100", Steps: steps(
		ibisjob.Step{Tasks: 3, Size: size(1000, 100)},
		ibisjob.Step{Tasks: 2, Size: size(1000, 100), DependsOn: []int{0}},
	)})
	w.run(120)
	for _, s := range w.starts {
		assert.Equal(t, s.Name.Task[len(jobID(1)):len(jobID(1))+4], ".0.0")
	}
	w.run(600)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

// TestGangStartsTogetherAndCompletes checks that all tasks of a gang start as the same run, each with a
// ticket, and that the gang completes.
func TestGangStartsTogetherAndCompletes(t *testing.T) {
	w := newWorld(t, 8)
	w.denied = func(_, server string) bool { return server < "s04" }
	w.run(20)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "wide", Spec: "500", Steps: steps(ibisjob.Step{Tasks: 10, Size: size(4500, 17000), Gang: true, EstimateMS: 500})})
	w.run(300)
	assert.Equal(t, len(w.starts), 10)
	for _, s := range w.starts {
		assert.Equal(t, s.Name.Run, int64(1))
		assert.Equal(t, s.Ticket, "t")
	}
	w.run(1000)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

// TestServerCapacityIsNeverExceeded checks that the tasks on a server never need more than its capacity.
func TestServerCapacityIsNeverExceeded(t *testing.T) {
	w := newWorld(t, 1)
	w.run(20)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "bulk", Spec: "300", Steps: steps(ibisjob.Step{Tasks: 9, Size: size(5000, 100)})})
	for range 300 {
		w.run(10)
		assert.Assert(t, len(w.servers["s00"].runs) <= 3)
	}
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

func TestUpperLimitOfTeam(t *testing.T) {
	w := newWorld(t, 4)
	w.configure(w.cfg.Queues, []ibisjob.Team{{Name: "a", Weight: 1, UpperLimit: size(4000, 0)}})
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "bulk", Spec: "200", Steps: steps(ibisjob.Step{Tasks: 8, Size: size(1500, 10)})})
	for range 200 {
		w.run(10)
		n := 0
		for _, s := range w.servers {
			n += len(s.runs)
		}
		assert.Assert(t, n <= 2)
	}
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	w := newWorld(t, 3)
	for _, s := range w.servers {
		s.fails = true
	}
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "quick", Spec: "50", Steps: steps(ibisjob.Step{Tasks: 1, Size: size(100, 10)})})
	w.run(4000)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Failed)
	assert.Equal(t, len(w.starts), 2)
}

func TestCancelStopsWhatRuns(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "bulk", Spec: "5000", Steps: steps(ibisjob.Step{Tasks: 4, Size: size(100, 10)})})
	w.run(200)
	w.e.Cancel(w.now, 2, jobID(1))
	w.run(200)
	assert.Equal(t, w.answers[2].Outcome, ibiscell.OK)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Canceled)
	for _, s := range w.servers {
		assert.Equal(t, len(s.runs), 0)
	}
}

func TestNewLeaderKeepsRunningTasks(t *testing.T) {
	w := newWorld(t, 4)
	w.run(20)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "bulk", Spec: "1500", Steps: steps(ibisjob.Step{Tasks: 6, Size: size(1000, 10)})})
	w.submit(2, ibisjob.Job{ID: jobID(2), Queue: "wide", Spec: "1500", Steps: steps(ibisjob.Step{Tasks: 4, Size: size(4500, 17000), Gang: true})})
	w.run(300)
	n := len(w.starts)
	w.newLeader()
	w.run(3000)
	assert.Equal(t, len(w.starts), n, "running tasks were started again")
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
	assert.Equal(t, w.state(jobID(2)), ibisjob.Completed)
}

// TestTakeoverInEveryMoment changes the leader at many moments of a short job: an accepted job must complete.
func TestTakeoverInEveryMoment(t *testing.T) {
	for delayMS := int64(1); delayMS < 200; delayMS += 3 {
		w := newWorld(t, 2)
		w.run(20)
		w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "quick", Spec: "60", Steps: steps(ibisjob.Step{Tasks: 3, Size: size(1000, 10)}, ibisjob.Step{Tasks: 2, Size: size(1000, 10), DependsOn: []int{0}})})
		w.run(delayMS)
		w.newLeader()
		w.run(1500)
		if _, accepted := w.answers[1]; accepted {
			assert.Equal(t, w.state(jobID(1)), ibisjob.Completed, "takeover after %d ms", delayMS)
		}
	}
}

func TestPartitionedServerKeepsTasksUntilLeasesExpire(t *testing.T) {
	w := newWorld(t, 2)
	w.run(20)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "bulk", Spec: "20000", Steps: steps(ibisjob.Step{Tasks: 2, Size: size(15000, 10), EstimateMS: 100})})
	w.run(300)
	w.servers["s00"].partitioned = true
	w.run(5000)
	assert.Equal(t, len(w.starts), 2)
	delete(w.servers, "s01") // its VM is lost as well
	w.sendServerList()
	w.run(12000) // fakeServer.start checks that no task runs twice
	w.servers["s00"].partitioned = false
	w.run(4000)
	assert.Assert(t, len(w.starts) > 2)
}

func TestOrdersWithoutReplyAreRepeated(t *testing.T) {
	w := newWorld(t, 1)
	w.run(20)
	w.servers["s00"].dropReplies = true
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "quick", Spec: "300", Steps: steps(ibisjob.Step{Tasks: 2, Size: size(1000, 10)})})
	w.run(1000)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

func TestServerThatFailsEverythingIsSetAside(t *testing.T) {
	w := newWorld(t, 6)
	w.servers["s00"].fails = true
	w.run(20)
	for n := range 60 {
		w.submit(uint64(n), ibisjob.Job{ID: jobID(n), Queue: "quick", Spec: "40", Steps: steps(ibisjob.Step{Tasks: 1, Size: size(3000, 10)})})
		w.run(25)
	}
	w.run(3000)
	failed := 0
	for n := range 60 {
		if w.state(jobID(n)) == ibisjob.Failed {
			failed++
		}
	}
	assert.Equal(t, failed, 0)
}

func TestJobIsRejectedWhileTableIsUnavailable(t *testing.T) {
	w := newWorld(t, 1)
	w.run(20)
	w.e.CommitRetrying(w.now)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "quick", Steps: steps(ibisjob.Step{Tasks: 1, Size: size(1, 1)})})
	w.run(1)
	assert.Equal(t, w.answers[1].Outcome, ibiscell.Rejected)
	assert.Assert(t, w.answers[1].RetryMS > 0)
}

func TestGangIsNotStarvedBySmallTasks(t *testing.T) {
	w := newWorld(t, 4)
	w.denied = func(_, server string) bool { return server == "s00" }
	n := 100
	feed := func(ms int64) {
		for range ms / 50 {
			n++
			w.submit(uint64(n), ibisjob.Job{ID: jobID(n), Queue: "bulk", Team: "b", Spec: "1000", Steps: steps(ibisjob.Step{Tasks: 4, Size: size(2000, 10), EstimateMS: 1000})})
			w.run(50)
		}
	}
	feed(2000)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "wide", Spec: "500", Steps: steps(ibisjob.Step{Tasks: 9, Size: size(4500, 17000), Gang: true, EstimateMS: 500})})
	feed(4000)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

func TestOccurrencesStartAtTheirTimes(t *testing.T) {
	w := newWorld(t, 2)
	w.run(20)
	w.submit(1, ibisjob.Job{
		ID: jobID(1), Queue: "quick", Spec: "50", Occurrences: 3, StartAtMS: w.now + 1_000_000 + 500, IntervalMS: 300,
		Steps: steps(ibisjob.Step{Tasks: 1, Size: size(1, 1)}),
	})
	w.run(400)
	assert.Equal(t, len(w.starts), 0)
	w.run(800)
	assert.Equal(t, len(w.starts), 3)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

func TestLongRunningTasksStartAgain(t *testing.T) {
	w := newWorld(t, 2)
	w.allowRerun = true
	w.run(20)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "bulk", Spec: "400", Steps: steps(ibisjob.Step{Tasks: 1, Size: size(1, 1), LongRunning: true})})
	w.run(3000)
	assert.Assert(t, len(w.starts) >= 3)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Active)
}

// TestLeaderWithoutFreshCommitDeniesNoJob checks that a leader whose last commit is old does not report a job as
// unknown: another daemon may have become the leader and accepted it.
func TestLeaderWithoutFreshCommitDeniesNoJob(t *testing.T) {
	w := newWorld(t, 1)
	w.run(20)
	status := func() ibiscell.Outcome {
		w.e.Status(w.now, 7, jobID(1))
		for _, c := range w.e.Commands() {
			w.execute(c)
		}
		return w.answers[7].Outcome
	}
	w.e.WriteConfirmed(w.now, w.now)
	assert.Equal(t, status(), ibiscell.NotFound)
	w.now += 4000 // the VM was suspended; another daemon may have become the leader
	assert.Equal(t, status(), ibiscell.NotLeader)
	w.e.WriteConfirmed(w.now, w.now)
	assert.Equal(t, status(), ibiscell.NotFound)
}
