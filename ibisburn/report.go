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

// Rule is a multi-window burn-rate alert. An objective is in the state Name while its burn rate is at least
// Threshold in both windows and the long window has at least MinBad bad requests.
type Rule struct {
	Name      State   `json:"Name"`
	Short     Window  `json:"Short"`
	Long      Window  `json:"Long"`
	Threshold float64 `json:"Threshold"` // burn rate; 1 uses up exactly the error budget
	MinBad    int64   `json:"MinBad"`
}

var (
	// Rules are evaluated in order, most urgent first. The first that fires decides.
	Rules = mustLoad[Rule]("rules")
	// Defaults are the objectives of the classes for which a team has none of its own.
	Defaults = mustLoad[ibisconfig.Objective]("objectives")
)

// mustLoad decodes an embedded JSON file.
func mustLoad[T any](name string) []T {
	b, err := files.ReadFile("data/" + name + ".json")
	if err != nil {
		panic(err)
	}
	var list []T
	if err := json.Unmarshal(b, &list); err != nil {
		panic(fmt.Sprintf("data/%s.json: %v", name, err))
	}
	return list
}

// State is the alert state of an objective.
type State string

// The states of an objective.
const (
	Page   State = "Page"
	Ticket State = "Ticket"
	OK     State = "OK"
	NoData State = "NoData"
)

// stateRank sorts lines, most urgent first.
var stateRank = map[State]int{Page: 0, Ticket: 1, OK: 2, NoData: 3}

// Line is the evaluation of one objective of one team.
type Line struct {
	SeriesKey
	Goal  float64 `json:"Goal"`
	State State   `json:"State"`
	// Burn is the burn rate by window: 1 uses up exactly the error budget.
	Burn       map[string]float64 `json:"Burn"`
	BudgetLeft float64            `json:"BudgetLeft"` // fraction of the budget of six hours, negative if overspent
	Last6h     Count              `json:"Last6h"`
	P50MS      float64            `json:"P50MS"` // quantile of the wait times, as the upper bound of its bucket
	P99MS      float64            `json:"P99MS"`
}

// Report is the evaluation of every objective, over the daemons that answered.
type Report struct {
	At       time.Time `json:"At"`
	Answered []string  `json:"Answered"`
	Missing  []string  `json:"Missing,omitempty"` // daemons that did not answer; their requests are not counted
	Complete bool      `json:"Complete"`          // whether some daemon answered, none is missing and nothing lost
	Lost     int64     `json:"Lost,omitempty"`    // requests that were not counted because of too many series
	Lines    []Line    `json:"Lines"`             // most urgent first
}

// Evaluate returns the report on every objective of the configuration. missing lists the daemons that did not
// answer.
func Evaluate(snap *ibisconfig.Snapshot, m Merged, missing []string, now time.Time) Report {
	r := Report{At: now, Answered: m.Daemons, Missing: slices.Sorted(slices.Values(missing)), Lost: m.Lost}
	r.Complete = len(missing) == 0 && len(m.Daemons) > 0 && m.Lost == 0
	for _, name := range slices.Sorted(maps.Keys(snap.Teams)) {
		for _, o := range ObjectivesOf(snap.Teams[name]) {
			r.Lines = append(r.Lines, evaluate(m, name, o))
		}
	}
	slices.SortStableFunc(r.Lines, compareLines)
	return r
}

// ObjectivesOf returns the objectives of a team, and the defaults for the classes for which it has none.
func ObjectivesOf(t ibisconfig.Team) []ibisconfig.Objective {
	list := slices.Clone(t.Objectives)
	for _, d := range Defaults {
		sameClass := func(o ibisconfig.Objective) bool { return o.Class == d.Class }
		if !slices.ContainsFunc(t.Objectives, sameClass) {
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
		l.Burn[w.String()] = burnRate(s.Windows[w], o.Goal)
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

// fires reports whether the rule applies to an objective.
func (r Rule) fires(l Line, s Series) bool {
	return s.Windows[r.Long].Bad >= r.MinBad &&
		l.Burn[r.Short.String()] >= r.Threshold && l.Burn[r.Long.String()] >= r.Threshold
}

// burnRate returns the fraction of bad requests divided by the fraction that the goal allows.
func burnRate(c Count, goal float64) float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total()) / (1 - goal)
}

// compareLines orders lines by state, burn rate over one hour and over six hours, highest first, and key.
func compareLines(a, b Line) int {
	return cmp.Or(
		cmp.Compare(stateRank[a.State], stateRank[b.State]),
		cmp.Compare(b.Burn["1h"], a.Burn["1h"]),
		cmp.Compare(b.Burn["6h"], a.Burn["6h"]),
		a.Compare(b.SeriesKey),
	)
}

// Worst returns the first n lines with bad requests in six hours.
func (r Report) Worst(n int) []Line {
	var worst []Line
	for _, l := range r.Lines {
		if l.Last6h.Bad > 0 && len(worst) < n {
			worst = append(worst, l)
		}
	}
	return worst
}

// Target describes the target, such as "started within 1.7s".
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

// WriteTable writes the report as a text table. Objectives without requests are only counted.
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
	idle := 0
	for _, l := range r.Lines {
		if l.State == NoData {
			idle++
			continue
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%g\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f%%\t%d/%d\t%s\t%s\n",
			l.State, l.Team, l.Class, l.Target(), l.Goal, l.Burn["5m"], l.Burn["30m"], l.Burn["1h"], l.Burn["6h"],
			100*l.BudgetLeft, l.Last6h.Bad, l.Last6h.Total(), formatMS(l.P50MS), formatMS(l.P99MS))
	}
	if err := tw.Flush(); err != nil {
		return Error.Wrap(err)
	}
	if idle > 0 {
		fmt.Fprintf(w, "%d objectives had no requests in 6 h\n", idle)
	}
	return nil
}

// formatMS formats milliseconds, rounded down, as a duration.
func formatMS(ms float64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Millisecond).String()
}
