package ibisburn

import (
	"cmp"
	"embed"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"ibiscrank/ibisconfig"
)

//go:embed data/*.json
var files embed.FS

// Rule raises a line to its name when both windows burn at the threshold or faster.
type Rule struct {
	Name      State   `json:"Name"`
	Short     Window  `json:"Short"`
	Long      Window  `json:"Long"`
	Threshold float64 `json:"Threshold"` // burn rate; 1 uses up exactly the budget
	MinBad    int64   `json:"MinBad"`    // bad requests in the long window
}

// Rules are tried in order, the gravest first. Defaults are the objectives of the classes for which a
// team has none of its own.
var (
	Rules    = mustLoad[Rule]("rules")
	Defaults = mustLoad[ibisconfig.Objective]("objectives")
)

func mustLoad[T any](name string) []T {
	b, err := files.ReadFile("data/" + name + ".json")
	if err != nil {
		panic(err)
	}
	var list []T
	if err := json.Unmarshal(b, &list); err != nil {
		panic(fmt.Sprintf("%s: %v", name, err))
	}
	return list
}

// State is the verdict on one objective.
type State string

// The states of an objective.
const (
	Page   State = "Page"
	Ticket State = "Ticket"
	OK     State = "OK"
	NoData State = "NoData"
)

var gravity = map[State]int{Page: 0, Ticket: 1, OK: 2, NoData: 3}

// Line is the verdict on one objective of one team.
type Line struct {
	SeriesKey
	Goal  float64 `json:"Goal"`
	State State   `json:"State"`
	// Burn is the burn rate by window: 1 uses up exactly the error budget.
	Burn       map[string]float64 `json:"Burn"`
	BudgetLeft float64            `json:"BudgetLeft"` // part of the budget of six hours, below zero when overspent
	Last6h     Count              `json:"Last6h"`
	P50MS      float64            `json:"P50MS"` // of the waits, as the upper bound of a bucket
	P99MS      float64            `json:"P99MS"`
}

// Report is the burn of every objective, over the daemons that answered.
type Report struct {
	At       time.Time `json:"At"`
	Answered []string  `json:"Answered"`
	Missing  []string  `json:"Missing,omitempty"` // daemons that did not answer; their requests are not in it
	Complete bool      `json:"Complete"`
	Lost     int64     `json:"Lost,omitempty"` // requests that were not counted
	Lines    []Line    `json:"Lines"`          // the worst first
}

// Evaluate judges every objective of the configuration.
func Evaluate(snap *ibisconfig.Snapshot, m Merged, missing []string, now time.Time) Report {
	r := Report{At: now, Answered: m.Daemons, Missing: slices.Sorted(slices.Values(missing)), Lost: m.Lost}
	r.Complete = len(missing) == 0 && len(m.Daemons) > 0 && m.Lost == 0
	for _, name := range slices.Sorted(maps.Keys(snap.Teams)) {
		for _, o := range ObjectivesOf(snap.Teams[name]) {
			r.Lines = append(r.Lines, evaluate(m, name, o))
		}
	}
	slices.SortStableFunc(r.Lines, worseFirst)
	return r
}

// ObjectivesOf is the objectives of a team, with the defaults of the classes for which it has none.
func ObjectivesOf(t ibisconfig.Team) []ibisconfig.Objective {
	list := slices.Clone(t.Objectives)
	for _, d := range Defaults {
		own := func(o ibisconfig.Objective) bool { return o.Class == d.Class }
		if !slices.ContainsFunc(t.Objectives, own) {
			list = append(list, d)
		}
	}
	return list
}

func evaluate(m Merged, team string, o ibisconfig.Objective) Line {
	key := SeriesKey{Team: team, Class: o.Class, TargetMS: o.TargetMS}
	s := m.Series[key]
	l := Line{SeriesKey: key, Goal: o.Goal, State: OK, Burn: make(map[string]float64), Last6h: s.Windows[Hours6]}
	for w := range windowCount {
		l.Burn[w.String()] = burn(s.Windows[w], o.Goal)
	}
	l.BudgetLeft = 1 - l.Burn[Hours6.String()]
	l.P50MS, l.P99MS = quantileMS(s.Waits, 0.5), quantileMS(s.Waits, 0.99)
	if l.Last6h.Total() == 0 {
		l.State = NoData
		return l
	}
	for _, rule := range Rules {
		if rule.fires(l, s) {
			l.State = rule.Name
			break
		}
	}
	return l
}

func (r Rule) fires(l Line, s Series) bool {
	return s.Windows[r.Long].Bad >= r.MinBad &&
		l.Burn[r.Short.String()] >= r.Threshold && l.Burn[r.Long.String()] >= r.Threshold
}

// burn is the part of requests that were bad, in relation to the part that may be.
func burn(c Count, goal float64) float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total()) / (1 - goal)
}

func worseFirst(a, b Line) int {
	return cmp.Or(
		cmp.Compare(gravity[a.State], gravity[b.State]),
		cmp.Compare(b.Burn["1h"], a.Burn["1h"]),
		cmp.Compare(b.Burn["6h"], a.Burn["6h"]),
		a.Compare(b.SeriesKey),
	)
}

// Worst is the first n lines that had bad requests.
func (r Report) Worst(n int) []Line {
	var worst []Line
	for _, l := range r.Lines {
		if l.Last6h.Bad > 0 && len(worst) < n {
			worst = append(worst, l)
		}
	}
	return worst
}

// Target is the target in words.
func (l Line) Target() string {
	if l.TargetMS == 0 {
		return "answered"
	}
	d := (time.Duration(l.TargetMS) * time.Millisecond).String()
	if strings.HasSuffix(d, "m0s") {
		d = strings.TrimSuffix(d, "0s")
	}
	if strings.HasSuffix(d, "h0m") {
		d = strings.TrimSuffix(d, "0m")
	}
	return "started within " + d
}

// WriteTable writes the report as text. Objectives without any request are left out and counted.
func (r Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "Service-level burn at %s over %d daemons\n", r.At.UTC().Format(time.RFC3339), len(r.Answered))
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, "INCOMPLETE: no answer from %s; their requests are not counted\n", strings.Join(r.Missing, ", "))
	}
	if len(r.Answered) == 0 {
		fmt.Fprintln(w, "INCOMPLETE: no daemon answered")
	}
	if r.Lost > 0 {
		fmt.Fprintf(w, "INCOMPLETE: %d requests were not counted, there are too many series\n", r.Lost)
	}
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "STATE\tTEAM\tCLASS\tTARGET\tGOAL\t5m\t30m\t1h\t6h\tBUDGET LEFT\tBAD/ALL 6h\tP50\tP99")
	silent := 0
	for _, l := range r.Lines {
		if l.State == NoData {
			silent++
			continue
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%g\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f%%\t%d/%d\t%s\t%s\n",
			l.State, l.Team, l.Class, l.Target(), l.Goal, l.Burn["5m"], l.Burn["30m"], l.Burn["1h"], l.Burn["6h"],
			100*l.BudgetLeft, l.Last6h.Bad, l.Last6h.Total(), millis(l.P50MS), millis(l.P99MS))
	}
	if err := tw.Flush(); err != nil {
		return Error.Wrap(err)
	}
	if silent > 0 {
		fmt.Fprintf(w, "%d objectives had no requests in 6 h\n", silent)
	}
	return nil
}

func millis(ms float64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Millisecond).String()
}
