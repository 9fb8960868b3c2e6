package ibisestimate

import "math"

// Resolution and range of a histogram.
const (
	stepsPerOctave = 8   // a step is a factor of about 1.09
	bucketCount    = 264 // 33 octaves
	halveAt        = 512 // weight at which all counts are halved, so that old observations fade
)

// histogram counts positive values in steps of equal ratio from low up. The zero value is empty.
type histogram struct {
	counts [bucketCount]uint16
	weight int
}

func bucketOf(v, low float64) int {
	if !(v > low) {
		return 0
	}
	return min(int(math.Log2(v/low)*stepsPerOctave)+1, bucketCount-1)
}

// upper is the upper end of a bucket.
func upper(i int, low float64) float64 { return low * math.Exp2(float64(i)/stepsPerOctave) }

func (h *histogram) add(v, low float64, n int) {
	h.counts[bucketOf(v, low)] += uint16(n)
	h.weight += n
	if h.weight >= halveAt {
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

// quantile is the upper end of the bucket that holds the q-quantile, or zero when h is empty.
func (h *histogram) quantile(q, low float64) float64 {
	if h.weight == 0 {
		return 0
	}
	rank := int(math.Ceil(q * float64(h.weight)))
	seen := 0
	for i, n := range h.counts {
		if seen += int(n); seen >= rank {
			return upper(i, low)
		}
	}
	return upper(bucketCount-1, low)
}
