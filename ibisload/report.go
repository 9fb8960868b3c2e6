package ibisload

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"ibiscrank/ibiswork"
)

// Counts holds the number of requests by their final state. Offered is the sum of NotSent, Refused and
// Accepted. Accepted is the sum of Done, Failed, Cancelled, GivenUp, Lost and Damaged.
type Counts struct {
	Offered    int64                   `json:"Offered"`
	NotSent    int64                   `json:"NotSent"` // the generator had reached MaxOutstanding
	Accepted   int64                   `json:"Accepted"`
	Done       int64                   `json:"Done"`
	Failed     int64                   `json:"Failed"`
	Cancelled  int64                   `json:"Cancelled"`
	GivenUp    int64                   `json:"GivenUp"`    // accepted, then refused with a final code
	Lost       int64                   `json:"Lost"`       // accepted, but no outcome was received
	Damaged    int64                   `json:"Damaged"`    // answered with an incomplete or corrupt result, or that of another request
	Duplicated int64                   `json:"Duplicated"` // two submissions of one ID got different answers
	Refused    int64                   `json:"Refused"`
	NotRun     int64                   `json:"NotRun"` // refusals which guarantee that the request was not run
	RefusedBy  map[ibiswork.Code]int64 `json:"RefusedBy,omitempty"`
	Retries    int64                   `json:"Retries"` // HTTP requests after the first of a call
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

// Percentiles holds percentiles of a latency in milliseconds.
type Percentiles struct {
	P50MS float64 `json:"P50MS"`
	P90MS float64 `json:"P90MS"`
	P99MS float64 `json:"P99MS"`
	MaxMS float64 `json:"MaxMS"`
}

// Line holds the results of one kind, one class or all requests. Answer is the time from the scheduled arrival
// to the answer; Wait is the same without the run time.
type Line struct {
	Name string `json:"Name"`
	Counts
	Wait   Percentiles `json:"Wait"`
	Answer Percentiles `json:"Answer"`
}

// Report holds the results of one load run.
type Report struct {
	Mix        string   `json:"Mix"`
	Seed       uint64   `json:"Seed"`
	Rate       float64  `json:"Rate"` // arrivals per second, as requested
	DurationMS int64    `json:"DurationMS"`
	TookMS     int64    `json:"TookMS"`
	Total      Line     `json:"Total"`
	Classes    []Line   `json:"Classes"`
	Kinds      []Line   `json:"Kinds"`
	Verdict    *Verdict `json:"Verdict,omitempty"` // set when the history of the backend servers was read
	Records    []Record `json:"-"`
}

// NotRunIDs returns the requests whose refusal guarantees that they were not run.
func (r Report) NotRunIDs() []ibiswork.ID {
	var ids []ibiswork.ID
	for _, rec := range r.Records {
		if rec.NotRun {
			ids = append(ids, rec.ID)
		}
	}
	return ids
}

// Duplicated returns the number of observed violations of at-most-once execution: different answers to one ID,
// damaged answers, repeated runs of requests that are not idempotent, and overlapping runs.
func (r Report) Duplicated() int64 {
	n := r.Total.Duplicated + r.Total.Damaged
	if r.Verdict != nil {
		n += int64(len(r.Verdict.RunTwice) + len(r.Verdict.Overlapping))
	}
	return n
}

// Err returns an error when a request was lost, duplicated or answered with a wrong result, or when it was run
// although its refusal guaranteed that it was not.
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

// WriteTable writes the report as text tables: the final states, the latencies in milliseconds and the
// refusals.
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
