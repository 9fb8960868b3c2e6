package ibisload

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"ibiscrank/ibiswork"
)

// Counts is how many requests came to which end. Offered is the sum of NotSent, Refused and Accepted;
// Accepted is that of Done, Failed, Cancelled, GivenUp, Lost and Damaged.
type Counts struct {
	Offered    int64                   `json:"Offered"`
	NotSent    int64                   `json:"NotSent"` // the generator had too many outstanding
	Accepted   int64                   `json:"Accepted"`
	Done       int64                   `json:"Done"`
	Failed     int64                   `json:"Failed"`
	Cancelled  int64                   `json:"Cancelled"`
	GivenUp    int64                   `json:"GivenUp"` // accepted, then ended with a refusal
	Lost       int64                   `json:"Lost"`    // accepted, and no end was seen
	Damaged    int64                   `json:"Damaged"` // answered with something else than the own whole result
	Duplicated int64                   `json:"Duplicated"`
	Refused    int64                   `json:"Refused"`
	NotRun     int64                   `json:"NotRun"` // refusals that promise that the request was not run
	RefusedBy  map[ibiswork.Code]int64 `json:"RefusedBy,omitempty"`
	Retries    int64                   `json:"Retries"`
}

func (c *Counts) add(o Counts) {
	c.Offered += o.Offered
	c.NotSent += o.NotSent
	c.Accepted += o.Accepted
	c.Done += o.Done
	c.Failed += o.Failed
	c.Cancelled += o.Cancelled
	c.GivenUp += o.GivenUp
	c.Lost += o.Lost
	c.Damaged += o.Damaged
	c.Duplicated += o.Duplicated
	c.Refused += o.Refused
	c.NotRun += o.NotRun
	c.Retries += o.Retries
	for code, n := range o.RefusedBy {
		c.RefusedBy[code] += n
	}
}

// Percentiles of a time in milliseconds.
type Percentiles struct {
	P50MS float64 `json:"P50MS"`
	P90MS float64 `json:"P90MS"`
	P99MS float64 `json:"P99MS"`
	MaxMS float64 `json:"MaxMS"`
}

// Line is the result for one kind, one class or all requests. Wait is from the scheduled arrival to the
// answer without the run itself; Answer is the whole time from the scheduled arrival to the answer.
type Line struct {
	Name string `json:"Name"`
	Counts
	Wait   Percentiles `json:"Wait"`
	Answer Percentiles `json:"Answer"`
}

// Report is the result of one load.
type Report struct {
	Mix        string   `json:"Mix"`
	Seed       uint64   `json:"Seed"`
	Rate       float64  `json:"Rate"` // arrivals per second, as asked for
	DurationMS int64    `json:"DurationMS"`
	TookMS     int64    `json:"TookMS"`
	Total      Line     `json:"Total"`
	Classes    []Line   `json:"Classes"`
	Kinds      []Line   `json:"Kinds"`
	Verdict    *Verdict `json:"Verdict,omitempty"` // when the history of the backend servers was read
	Records    []Record `json:"-"`
}

// NotRunIDs lists the requests that were refused with the promise that they were not run.
func (r Report) NotRunIDs() []ibiswork.ID {
	var ids []ibiswork.ID
	for _, rec := range r.Records {
		if rec.NotRun {
			ids = append(ids, rec.ID)
		}
	}
	return ids
}

// Duplicated is the number of requests that were run twice against their marking, as far as is known.
func (r Report) Duplicated() int64 {
	n := r.Total.Duplicated + r.Total.Damaged
	if r.Verdict != nil {
		n += int64(len(r.Verdict.RunTwice) + len(r.Verdict.Overlapping))
	}
	return n
}

// Err is an error when a request was lost, duplicated or answered wrongly, or a promise was broken.
func (r Report) Err() error {
	var bad []string
	add := func(n int64, what string) {
		if n > 0 {
			bad = append(bad, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(r.Total.Lost, "lost")
	add(r.Total.Damaged, "answered with a wrong result")
	add(r.Total.Duplicated, "answered twice differently")
	if r.Verdict != nil {
		add(int64(len(r.Verdict.RunTwice)), "not idempotent and run twice")
		add(int64(len(r.Verdict.Overlapping)), "run in two places at once")
		add(int64(len(r.Verdict.FalseNotRun)), "run although refused as not run")
	}
	if len(bad) > 0 {
		return Error.New("%s", strings.Join(bad, ", "))
	}
	return nil
}

// WriteTable writes the report for people: what came of the requests, then how long it took.
func (r Report) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "mix %s, seed %d, %.6g arrivals/s for %.6g s; took %.1f s\n\n", r.Mix, r.Seed, r.Rate, float64(r.DurationMS)/1000, float64(r.TookMS)/1000)
	lines := append(append(append([]Line{}, r.Classes...), r.Kinds...), r.Total)
	writeCounts(w, lines)
	fmt.Fprintln(w)
	writeTimes(w, lines)
	r.writeRefusals(w)
}

func newTable(w io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(w, 0, 0, padding, ' ', tabwriter.AlignRight)
}

func writeCounts(w io.Writer, lines []Line) {
	tw := newTable(w)
	defer tw.Flush()
	fmt.Fprintln(tw, "requests\toffered\tdone\tfailed\tcancelled\tgiven up\trefused\tretries\tlost\tduplicated\t")
	for _, l := range lines {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", l.Name, l.Offered, l.Done, l.Failed, l.Cancelled, l.GivenUp, l.Refused+l.NotSent, l.Retries, l.Lost, l.Duplicated+l.Damaged)
	}
}

func writeTimes(w io.Writer, lines []Line) {
	tw := newTable(w)
	defer tw.Flush()
	fmt.Fprintln(tw, "milliseconds\twait p50\tp90\tp99\tmax\tanswer p50\tp90\tp99\tmax\t")
	for _, l := range lines {
		a, b := l.Wait, l.Answer
		fmt.Fprintf(tw, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", l.Name, a.P50MS, a.P90MS, a.P99MS, a.MaxMS, b.P50MS, b.P90MS, b.P99MS, b.MaxMS)
	}
}

func (r Report) writeRefusals(w io.Writer) {
	var codes []string
	for code, n := range r.Total.RefusedBy {
		codes = append(codes, fmt.Sprintf("%s=%d", code, n))
	}
	sort.Strings(codes)
	if r.Total.NotSent > 0 {
		codes = append(codes, fmt.Sprintf("not sent=%d", r.Total.NotSent))
	}
	if len(codes) > 0 {
		fmt.Fprintf(w, "\nrefusals: %s\n", strings.Join(codes, " "))
	}
	if v := r.Verdict; v != nil {
		fmt.Fprintf(w, "\nbackend servers: runs=%d run twice=%d overlapping=%d false NotRun=%d\n", v.Runs, len(v.RunTwice), len(v.Overlapping), len(v.FalseNotRun))
	}
}
