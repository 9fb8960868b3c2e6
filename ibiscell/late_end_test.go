package ibiscell_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
)

// lapseAfterDone runs tasks of 4 s on s00, which is cut off until all of its leases have lapsed and the tasks have
// ended there.
func lapseAfterDone(w *world, s ibisjob.Step) {
	w.run(20)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "bulk", Spec: "4000", Steps: steps(s)})
	w.run(300)
	assert.Equal(w.t, len(w.servers["s00"].runs), s.Tasks)
	w.servers["s00"].partitioned = true
	w.run(12_000) // a new leader waits for the longest leases that its predecessor can have granted
	assert.Equal(w.t, len(w.servers["s00"].ended), s.Tasks)
	for _, end := range w.servers["s00"].ended {
		assert.Equal(w.t, end.Outcome, ibiscell.RunDone)
	}
}

// Guards against TWICE: a task is started after its end as done, reported once its leases had lapsed, was acknowledged.
func TestDoneRunReportedAfterLeasesLapsedIsNotStartedAgain(t *testing.T) {
	for _, gang := range []bool{false, true} {
		w := newWorld(t, 1)
		lapseAfterDone(w, ibisjob.Step{Tasks: 3, Size: size(4000, 10), Gang: gang})
		w.servers["s00"].partitioned = false
		w.run(3000) // fakeServer.start checks that no task runs again after it was done
		assert.Equal(t, len(w.starts), 3)
		assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
		assert.Equal(t, len(w.servers["s00"].ended), 0, "the ends were not acknowledged")
	}
}

// Guards against TWICE: the next leader acknowledges the end of a run that its predecessor took for lapsed, and starts it.
func TestDoneRunReportedToTheNextLeaderIsNotStartedAgain(t *testing.T) {
	w := newWorld(t, 1)
	lapseAfterDone(w, ibisjob.Step{Tasks: 3, Size: size(4000, 10)})
	w.newLeader()
	w.servers["s00"].partitioned = false
	w.run(3000)
	assert.Equal(t, len(w.starts), 3)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

// Guards against TWICE: the second run goes on after the end of the first as done was acknowledged.
func TestSecondRunIsStoppedWhenTheFirstWasDone(t *testing.T) {
	w := newWorld(t, 2)
	w.allowRerun = true // when the tasks start again, nothing is known of the end of the first run
	w.servers["s01"].info.Leaving = true
	w.sendServerList()
	lapseAfterDone(w, ibisjob.Step{Tasks: 2, Size: size(4000, 10)})
	w.servers["s01"].info.Leaving = false
	w.sendServerList()
	w.run(200)
	assert.Equal(t, len(w.servers["s01"].runs), 2)
	w.servers["s00"].partitioned = false
	for n := 0; n < 3000 && len(w.servers["s00"].ended) > 0; n++ {
		w.run(1)
	}
	assert.Equal(t, len(w.servers["s00"].ended), 0)
	w.run(100)
	assert.Equal(t, len(w.servers["s01"].runs), 0)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

// Guards against BUDGET: a task is started after as many runs have failed as its queue allows, because the end of one of
// them, reported once its leases had lapsed, was acknowledged and not counted.
func TestFailedRunReportedAfterLeasesLapsedIsAnAttempt(t *testing.T) {
	w := newWorld(t, 1)
	s := w.servers["s00"]
	s.fails = true
	w.run(20)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "quick", Spec: "4000", Steps: steps(ibisjob.Step{Tasks: 1, Size: size(4000, 10)})})
	w.run(300)
	assert.Equal(t, len(s.runs), 1)
	s.partitioned = true
	w.run(12_000)
	assert.Equal(t, s.ended[0].Outcome, ibiscell.RunFailed)
	s.partitioned = false
	w.run(20_000)
	assert.Equal(t, len(s.ended), 0, "the ends were not acknowledged")
	assert.Equal(t, w.state(jobID(1)), ibisjob.Failed)
	assert.Equal(t, len(w.starts), 2, "the queue allows two attempts")
}
