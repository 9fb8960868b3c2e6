package ibisestimate

import (
	"math"
	"slices"
)

const (
	windowSize        = 32   // observations kept; half of them are new after 16 steps, while the mean is known to a tenth
	priorWeight       = 4    // observations that the assumed spreads count for
	priorRunSpread    = 1.0  // assumed spread of run times, wide so that few of them do not outweigh the declared value
	priorErrorSpread  = 0.4  // assumed error of declared values, small for the same reason
	minSpread         = 0.1  // smallest spread, since no estimate is exact
	quartilesToSpread = 1.35 // distance of the quartiles of a normal distribution, in standard deviations
)

// sample is one observation, in natural logarithms.
type sample struct {
	run   float32 // of the run time in milliseconds
	err   float32 // of the run time divided by the declared one; NaN if none was declared
	owner string  // team; set in windows over all teams only
}

// window holds the latest observations. The zero value is empty.
type window struct {
	samples []sample // oldest first
	current summary
	valid   bool // current describes the samples
}

// summary describes the observations of a window.
type summary struct {
	runs, errs moments
	owners     int
}

// moments is the mean and variance of a distribution of logarithms.
type moments struct {
	n              int
	mean, variance float64
}

// add adds v in place of the oldest observation if the window is full, or of the oldest of its owner if that has limit of
// them.
func (w *window) add(v sample, limit int) {
	w.valid = false
	count, oldest := 0, 0
	for k := len(w.samples) - 1; k >= 0; k-- {
		if w.samples[k].owner == v.owner {
			count, oldest = count+1, k
		}
	}
	switch {
	case count >= limit:
		w.samples = slices.Delete(w.samples, oldest, oldest+1)
	case len(w.samples) >= windowSize:
		w.samples = slices.Delete(w.samples, 0, 1)
	}
	w.samples = append(w.samples, v)
}

func (w *window) summary() *summary {
	if !w.valid {
		var runs, errs []float64
		owners := make(map[string]bool)
		for _, s := range w.samples {
			owners[s.owner] = true
			runs = append(runs, float64(s.run))
			if err := float64(s.err); !math.IsNaN(err) {
				errs = append(errs, err)
			}
		}
		w.current = summary{runs: momentsOf(runs, priorRunSpread), errs: momentsOf(errs, priorErrorSpread), owners: len(owners)}
		w.valid = true
	}
	return &w.current
}

// momentsOf returns the mean of the middle half of values, and the variance by the distance of their quartiles, so that
// wild values have no effect as long as they are fewer than a quarter. The variance is drawn towards the assumed one.
func momentsOf(values []float64, priorSpread float64) moments {
	m := moments{n: len(values), variance: priorSpread * priorSpread}
	if m.n == 0 {
		return m
	}
	slices.Sort(values)
	cut := m.n / 4
	middle := values[cut : m.n-cut]
	for _, v := range middle {
		m.mean += v / float64(len(middle))
	}
	spread := max((middle[len(middle)-1]-middle[0])/quartilesToSpread, minSpread)
	n := float64(m.n)
	m.variance = (n*spread*spread + priorWeight*m.variance) / (n + priorWeight)
	return m
}
