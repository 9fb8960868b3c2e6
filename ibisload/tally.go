package ibisload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ibiscrank/ibisclient"
	"ibiscrank/ibiswork"
)

// Range and precision of the latency histograms. US stands for microseconds.
const (
	minLatencyUS      = 1
	maxLatencyUS      = 60 * 60 * 1_000_000
	significantDigits = 3
)

// tally collects the outcomes of requests while the load runs.
type tally struct {
	mix Mix

	mu       sync.Mutex
	kinds    []*requestStats     // by the index of the kind
	inFlight map[ibiswork.ID]int // index of the kind of each request without an outcome
	records  []Record
}

// requestStats holds the counts and latencies of one kind, one class or all requests.
type requestStats struct {
	counts       Counts
	wait, answer *hdrhistogram.Histogram
}

func newRequestStats() *requestStats {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minLatencyUS, maxLatencyUS, significantDigits) }
	return &requestStats{counts: Counts{RefusedBy: map[ibiswork.Code]int64{}}, wait: newHistogram(), answer: newHistogram()}
}

func newTally(m Mix) *tally {
	t := &tally{mix: m, inFlight: make(map[ibiswork.ID]int)}
	for range m.Kinds {
		t.kinds = append(t.kinds, newRequestStats())
	}
	return t
}

// recordOffered counts a request that is about to be sent.
func (t *tally) recordOffered(id ibiswork.ID, kind int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[id] = kind
	t.kinds[kind].counts.Offered++
}

// recordNotSent counts an arrival that was dropped because MaxOutstanding was reached.
func (t *tally) recordNotSent(a arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kinds[a.kind].counts.Offered++
	t.kinds[a.kind].counts.NotSent++
}

// observe counts retries: every attempt of a call but the first.
func (t *tally) observe(a ibisclient.Attempt) {
	if a.Number == 1 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if kind, ok := t.inFlight[a.ID]; ok {
		t.kinds[kind].counts.Retries++
	}
}

// recordFinished records the outcome of a request.
func (t *tally) recordFinished(kind int, rec Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, rec.ID)
	t.records = append(t.records, rec)
	t.kinds[kind].add(rec)
}

func (r *requestStats) add(rec Record) {
	c := &r.counts
	if rec.FinalState != Refused {
		c.Accepted++
	}
	if rec.Duplicated {
		c.Duplicated++
	}
	if rec.Code != "" {
		c.RefusedBy[rec.Code]++
	}
	switch rec.FinalState {
	case Refused:
		c.Refused++
		if rec.NotRun {
			c.NotRun++
		}
	case GivenUp:
		c.GivenUp++
	case Lost:
		c.Lost++
	case Damaged:
		c.Damaged++
	case Answered:
		r.addAnswer(rec)
	}
}

func (r *requestStats) addAnswer(rec Record) {
	switch rec.Outcome {
	case ibiswork.Done:
		r.counts.Done++
	case ibiswork.Cancelled:
		r.counts.Cancelled++
		return // the time until a cancellation says nothing about latency
	default:
		r.counts.Failed++
	}
	// RecordValue fails only for values out of range, and these are clamped into it.
	_ = r.wait.RecordValue(clampUS(rec.WaitMS))
	_ = r.answer.RecordValue(clampUS(rec.AnswerMS))
}

func clampUS(ms float64) int64 { return min(max(int64(ms*1000), minLatencyUS), maxLatencyUS) }

// merge adds the counts and latencies of o.
func (r *requestStats) merge(o *requestStats) {
	r.counts.add(o.counts)
	r.wait.Merge(o.wait)
	r.answer.Merge(o.answer)
}

// report builds the report of the load, which took the given time.
func (t *tally) report(opts Options, took time.Duration) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	rep := Report{Mix: t.mix.Name, Seed: opts.Seed, Rate: opts.Rate, DurationMS: opts.Duration.Milliseconds(), TookMS: took.Milliseconds(), Records: t.records}
	total, classes := newRequestStats(), make(map[ibiswork.Class]*requestStats)
	for i, k := range t.mix.Kinds {
		r := t.kinds[i]
		rep.Kinds = append(rep.Kinds, r.line(k.Name))
		if classes[k.Class] == nil {
			classes[k.Class] = newRequestStats()
		}
		classes[k.Class].merge(r)
		total.merge(r)
	}
	for _, c := range ibiswork.Classes {
		if r := classes[c]; r != nil {
			rep.Classes = append(rep.Classes, r.line(string(c)))
		}
	}
	rep.Total = total.line("total")
	return rep
}

func (r *requestStats) line(name string) Line {
	return Line{Name: name, Counts: r.counts, Wait: percentiles(r.wait), Answer: percentiles(r.answer)}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	quantileMS := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	return Percentiles{P50MS: quantileMS(50), P90MS: quantileMS(90), P99MS: quantileMS(99), MaxMS: float64(h.Max()) / 1000}
}
