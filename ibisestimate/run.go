package ibisestimate

import "math"

const (
	minOwnSamples  = 5    // observations of a team and kind below which the other teams' are used
	minTeams       = 4    // teams below which a kind's observations say nothing about another team
	minPoolSamples = 12   // observations below which they say nothing
	maxTeamSamples = 4    // of one team among those of all teams: a third of minPoolSamples, so that none has its way alone
	maxDeviations  = 3    // standard deviations that a declared value counts for if it is noisier than the history
	maxDeclaredMS  = 1e10 // largest run time considered, four months
	maxOutside     = 4.0  // factor by which an expected value may lie outside of the declared one and the history
	offWeight      = 0.03 // of one observation in the moving averages of errors: about the last thirty count
	minExpectedMS  = 1.0  // shortest run time considered, in milliseconds
)

// Expectation is what is known about the run time of a task before it starts.
type Expectation struct {
	TypicalMS float64 // median
	MeanMS    float64 // mean, which is larger, since run times are skewed
}

// ObserveRun records how long a task has run. Tasks of one step take about the same time, so a step should be recorded
// once. The declared run time is 0 if there was none.
func (e *Estimator) ObserveRun(team, kind string, declaredMS, runMS float64) {
	if !(runMS > 0) {
		return
	}
	run := math.Log(min(max(runMS, minExpectedMS), maxDeclaredMS))
	s := sample{run: float32(run), err: float32(math.NaN())}
	if declared := checked(declaredMS); declared > 0 {
		s.err = float32(run - math.Log(declared))
		e.declaredOff += offWeight * (math.Abs(float64(s.err)) - e.declaredOff)
		expected := e.Expect(team, kind, declared).TypicalMS
		e.expectedOff += offWeight * (math.Abs(run-math.Log(expected)) - e.expectedOff)
	}
	e.runs.add(key{team, kind}, e.maxKinds()).add(s, windowSize)
	s.owner = team
	e.pools.add(kind, e.maxKinds()).add(s, maxTeamSamples)
}

// RunMS returns the expected run time of a task in milliseconds: its median, given the declared value and the run times of
// such tasks. It is the declared value while little is known.
func (e *Estimator) RunMS(team, kind string, declaredMS float64) float64 {
	return e.Expect(team, kind, declaredMS).TypicalMS
}

// Expect returns what is known about the run time of a task with the given declared run time, which is 0 if there is none.
func (e *Estimator) Expect(team, kind string, declaredMS float64) Expectation {
	declared := checked(declaredMS)
	s := e.known(team, kind)
	if s == nil {
		return Expectation{TypicalMS: declared, MeanMS: declared}
	}
	history := s.runs.mean
	variance := s.runs.variance * (1 + 1/float64(s.runs.n))
	typical := history
	if declared > 0 {
		errs := s.errs.variance
		n := float64(s.errs.n)
		difference := math.Log(declared) + s.errs.mean*n/(n+priorWeight) - history
		if errs > variance { // one wild declared value must not count for much
			limit := maxDeviations * math.Sqrt(errs+variance)
			difference = min(max(difference, -limit), limit)
		}
		typical += difference * variance / (variance + errs)
		variance = variance * errs / (variance + errs)
		low, high := min(math.Log(declared), history), max(math.Log(declared), history)
		typical = min(max(typical, low-math.Log(maxOutside)), high+math.Log(maxOutside))
	}
	median := math.Exp(typical)
	return Expectation{TypicalMS: median, MeanMS: median * min(math.Exp(variance/2), maxOutside)}
}

// known returns what has been observed of the team's tasks of the kind, or of all teams' if that is too little, or nil.
func (e *Estimator) known(team, kind string) *summary {
	if w := e.runs.get(key{team, kind}); w != nil && len(w.samples) >= minOwnSamples {
		return w.summary()
	}
	if w := e.pools.get(kind); w != nil && len(w.samples) >= minPoolSamples {
		if s := w.summary(); s.owners >= minTeams {
			return s
		}
	}
	return nil
}

// DeclaredOff returns the factor by which the declared run times have typically been off lately, at least 1.
func (e *Estimator) DeclaredOff() float64 { return math.Exp(e.declaredOff) }

// ExpectedOff returns the same for the expected run times.
func (e *Estimator) ExpectedOff() float64 { return math.Exp(e.expectedOff) }

// checked returns a declared run time within the range that is considered, or 0 if there is none.
func checked(ms float64) float64 {
	if !(ms > 0) {
		return 0
	}
	return min(max(ms, minExpectedMS), maxDeclaredMS)
}
