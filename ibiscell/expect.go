package ibiscell

import (
	"slices"

	"ibiscrank/ibisestimate"
)

const (
	lengthsMaxAgeMS = 500  // after which expected lengths are computed again, since knowledge grows by hundreds of ends a second
	maxRunsKept     = 15   // latest run times of a step, whose median predicts the rest of it
	maxEstimated    = 4096 // teams and queues; their run times take 8 MB at most
)

// lengths is what is expected of the steps of an occurrence, in milliseconds.
type lengths struct {
	at        Time // when it was computed; 0: not yet, or a task has ended since
	critical  int64
	steps     []ibisestimate.Expectation
	remaining []int64 // longest chain of steps that begins with each one
}

// expected returns what is expected of a task of st: the median of the run times of its tasks that have ended, otherwise
// the estimate by the declared value and by the history of its team and queue.
func (e *Engine) expected(st *step) ibisestimate.Expectation {
	if len(st.ran) > 0 {
		ms := medianOf(st.ran)
		return ibisestimate.Expectation{TypicalMS: ms, MeanMS: ms}
	}
	j := st.occ.job
	return e.estimator.Expect(j.spec.Team, j.spec.Queue, float64(st.spec.EstimateMS))
}

// lengths returns the expected lengths of the steps of occ.
func (e *Engine) lengths(occ *occurrence) *lengths {
	l := &occ.lengths
	if l.at != 0 && e.now-l.at < lengthsMaxAgeMS {
		return l
	}
	if l.steps == nil {
		l.steps, l.remaining = make([]ibisestimate.Expectation, len(occ.steps)), make([]int64, len(occ.steps))
	}
	clear(l.remaining)
	l.at, l.critical = e.now, 1
	for n := len(occ.steps) - 1; n >= 0; n-- {
		st := occ.steps[n]
		l.steps[n] = e.expected(st)
		l.remaining[n] += int64(l.steps[n].TypicalMS)
		l.critical = max(l.critical, l.remaining[n])
		for _, d := range st.spec.DependsOn {
			l.remaining[d] = max(l.remaining[d], l.remaining[n])
		}
	}
	return l
}

// remainingMS returns the expected length of the longest chain of steps that begins with st.
func (e *Engine) remainingMS(st *step) int64 { return max(e.lengths(st.occ).remaining[st.n], 1) }

// meanTaskMS returns the expected mean run time of the tasks of st.
func (e *Engine) meanTaskMS(st *step) int64 {
	return max(int64(e.lengths(st.occ).steps[st.n].MeanMS), 1)
}

// observeRun learns from r, which is done. Only a run that this leader has started, by one order and without a checkpoint,
// tells how long its task takes.
func (e *Engine) observeRun(r *run) {
	st := r.task.step
	if st.spec.LongRunning || r.state != runRunning || r.sentAt == 0 || r.startedClockMS == 0 || r.ordersSent != 1 || r.resumed {
		return
	}
	st.ran = append(st.ran, e.runMS(r))
	if len(st.ran) > maxRunsKept {
		st.ran = slices.Delete(st.ran, 0, 1)
	}
	st.occ.lengths.at = 0
	if st.observed || !st.spec.Gang && 2*(len(st.tasks)-st.unfinished+1) < len(st.tasks) { // r is not counted yet
		return
	}
	st.observed = true
	j := st.occ.job
	e.estimator.ObserveRun(j.spec.Team, j.spec.Queue, float64(st.spec.EstimateMS), medianOf(st.ran))
}

// runMS returns how long r, which is done, has run. It includes the way of the start order and of the report.
func (e *Engine) runMS(r *run) float64 { return float64(e.now - r.sentAt) }

// countLateness counts the steps of each class for Load.
func (e *Engine) countLateness(list []rankedStep) {
	for n := range list {
		e.judged[list[n].late]++
	}
}

// medianOf returns the median of values, the lower one of two.
func medianOf(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
