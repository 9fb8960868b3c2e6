package ibisload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ibiscrank/ibisclient"
	"ibiscrank/ibiswork"
)

// Bounds of the histograms, in microseconds.
const (
	lowestUS          = 1
	highestUS         = 60 * 60 * 1_000_000
	significantDigits = 3
)

// tally gathers what comes of the requests while the load runs.
type tally struct {
	mix Mix

	mu      sync.Mutex
	kinds   []*row // by the index of the kind
	open    map[ibiswork.ID]int
	records []Record
}

// row counts the requests of one kind.
type row struct {
	counts       Counts
	wait, answer *hdrhistogram.Histogram
}

func newRow() *row {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestUS, highestUS, significantDigits) }
	return &row{counts: Counts{RefusedBy: map[ibiswork.Code]int64{}}, wait: newHistogram(), answer: newHistogram()}
}

func newTally(m Mix) *tally {
	t := &tally{mix: m, open: make(map[ibiswork.ID]int)}
	for range m.Kinds {
		t.kinds = append(t.kinds, newRow())
	}
	return t
}

// opened notes the kind of a request that is about to be sent.
func (t *tally) opened(id ibiswork.ID, kind int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[id] = kind
	t.kinds[kind].counts.Offered++
}

// notSent notes an arrival that found too many requests outstanding.
func (t *tally) notSent(a arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kinds[a.kind].counts.Offered++
	t.kinds[a.kind].counts.NotSent++
}

// observe counts the attempts that repeat an earlier one.
func (t *tally) observe(a ibisclient.Attempt) {
	if a.Number == 1 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if kind, ok := t.open[a.ID]; ok {
		t.kinds[kind].counts.Retries++
	}
}

// closed notes the end of a request.
func (t *tally) closed(kind int, rec Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, rec.ID)
	t.records = append(t.records, rec)
	t.kinds[kind].add(rec)
}

func (r *row) add(rec Record) {
	c := &r.counts
	if rec.End != Refused {
		c.Accepted++
	}
	if rec.Duplicated {
		c.Duplicated++
	}
	if rec.Code != "" {
		c.RefusedBy[rec.Code]++
	}
	switch rec.End {
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

func (r *row) addAnswer(rec Record) {
	switch rec.Outcome {
	case ibiswork.Done:
		r.counts.Done++
	case ibiswork.Cancelled:
		r.counts.Cancelled++
		return // has no times worth comparing
	default:
		r.counts.Failed++
	}
	// Values outside the histogram's bounds are clamped into them.
	_ = r.wait.RecordValue(clampUS(rec.WaitMS))
	_ = r.answer.RecordValue(clampUS(rec.AnswerMS))
}

func clampUS(ms float64) int64 { return min(max(int64(ms*1000), lowestUS), highestUS) }

// merge adds the counts and times of o.
func (r *row) merge(o *row) {
	r.counts.add(o.counts)
	r.wait.Merge(o.wait)
	r.answer.Merge(o.answer)
}

// report is the whole report.
func (t *tally) report(opts Options, took time.Duration) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	rep := Report{Mix: t.mix.Name, Seed: opts.Seed, Rate: opts.Rate, DurationMS: opts.Duration.Milliseconds(), TookMS: took.Milliseconds(), Records: t.records}
	total, classes := newRow(), make(map[ibiswork.Class]*row)
	for i, k := range t.mix.Kinds {
		r := t.kinds[i]
		rep.Kinds = append(rep.Kinds, r.line(k.Name))
		if classes[k.Class] == nil {
			classes[k.Class] = newRow()
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

func (r *row) line(name string) Line {
	return Line{Name: name, Counts: r.counts, Wait: percentiles(r.wait), Answer: percentiles(r.answer)}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	return Percentiles{P50MS: at(50), P90MS: at(90), P99MS: at(99), MaxMS: float64(h.Max()) / 1000}
}
