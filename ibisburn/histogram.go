package ibisburn

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling sets the bucket width: each bound is about 19% above the previous one.
	bucketsPerDoubling = 4
	// bucketCount covers waits up to 2^27 ms, or 37 hours. Longer waits count in the last bucket.
	bucketCount = 27*bucketsPerDoubling + 1
)

// histogram counts wait times in buckets with fixed bounds, so that any two histograms can be added.
type histogram [bucketCount]uint32

// bucketOf returns the bucket index of a wait time.
func bucketOf(wait time.Duration) int {
	ms := float64(wait) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log2(ms)*bucketsPerDoubling)), bucketCount-1)
}

// boundMS returns the upper bound of bucket i in milliseconds.
func boundMS(i int) float64 { return math.Exp2(float64(i) / bucketsPerDoubling) }

func (h *histogram) add(wait time.Duration) { h[bucketOf(wait)]++ }

func (h *histogram) merge(o *histogram) {
	for i, n := range o {
		h[i] += n
	}
}

// trimmed returns the counts without trailing zeros.
func (h *histogram) trimmed() []int64 {
	var out []int64
	for i, n := range h {
		if n > 0 {
			for len(out) <= i {
				out = append(out, 0)
			}
			out[i] = int64(n)
		}
	}
	return out
}

// quantileMS returns the upper bound, in milliseconds, of the bucket that contains the quantile q of counts. It
// is zero if counts is empty.
func quantileMS(counts []int64, q float64) float64 {
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return 0
	}
	rank := max(int64(math.Ceil(q*float64(total))), 1)
	for i, n := range counts {
		rank -= n
		if rank <= 0 {
			return boundMS(i)
		}
	}
	return boundMS(len(counts) - 1)
}
