package ibisestimate

import "math"

// Resolution, range and decay of a histogram.
const (
	stepsPerOctave = 8   // adjacent buckets differ by a factor of about 1.09
	bucketCount    = 264 // 33 octaves
	maxWeight      = 512 // total weight at which all counts are halved, so that old observations lose influence
)

// histogram counts positive values in exponential buckets. Its methods take the upper bound of the lowest
// bucket, which must be the same in all calls. The zero value is empty.
type histogram struct {
	counts [bucketCount]uint16
	weight int
}

func bucketOf(v, lowest float64) int {
	if !(v > lowest) {
		return 0
	}
	return min(int(math.Log2(v/lowest)*stepsPerOctave)+1, bucketCount-1)
}

// upperBound returns the upper bound of bucket i.
func upperBound(i int, lowest float64) float64 { return lowest * math.Exp2(float64(i)/stepsPerOctave) }

func (h *histogram) add(v, lowest float64, n int) {
	h.counts[bucketOf(v, lowest)] += uint16(n)
	h.weight += n
	if h.weight >= maxWeight {
		h.halve()
	}
}

func (h *histogram) halve() {
	h.weight = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.weight += int(h.counts[i])
	}
}

// quantile returns the upper bound of the bucket that contains the q-quantile, or zero when h is empty.
func (h *histogram) quantile(q, lowest float64) float64 {
	if h.weight == 0 {
		return 0
	}
	rank := int(math.Ceil(q * float64(h.weight)))
	cumulative := 0
	for i, n := range h.counts {
		if cumulative += int(n); cumulative >= rank {
			return upperBound(i, lowest)
		}
	}
	return upperBound(bucketCount-1, lowest)
}
