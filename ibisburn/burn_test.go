package ibisburn

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

var start = time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)

// floorTeam is a team with one objective: interactive requests start within one second.
func floorTeam(goal float64) ibisconfig.Team {
	return ibisconfig.Team{Name: "tuul-floor", Share: 1, Objectives: []ibisconfig.Objective{{Class: ibiswork.Interactive, TargetMS: 1000, Goal: goal}}}
}

func snapshotOf(teams ...ibisconfig.Team) *ibisconfig.Snapshot {
	s := ibisconfig.Snapshot{Version: 1, Teams: make(map[string]ibisconfig.Team)}
	for _, t := range teams {
		s.Teams[t.Name] = t
	}
	return s.Indexed()
}

// record observes n requests per minute from `from` to `to`, of which bad are just over the target.
func record(r *Recorder, team ibisconfig.Team, from, to time.Time, n, bad int) {
	for at := from; at.Before(to); at = at.Add(time.Minute) {
		for i := range n {
			wait := 100 * time.Millisecond
			if i < bad {
				wait = 1001 * time.Millisecond
			}
			r.Observe(at, team, ibiswork.Interactive, wait, true)
		}
	}
}

func lineOf(t *testing.T, r Report, class ibiswork.Class) Line {
	t.Helper()
	for _, l := range r.Lines {
		if l.Class == class {
			return l
		}
	}
	t.Fatalf("no line of %s", class)
	return Line{}
}

func TestStates(t *testing.T) {
	team := floorTeam(0.99)
	now := start.Add(6 * time.Hour)
	for _, tc := range []struct {
		name   string
		record func(r *Recorder)
		want   State
	}{
		{"nothing", func(*Recorder) {}, NoData},
		{"all good", func(r *Recorder) { record(r, team, start, now, 10, 0) }, OK},
		{"an hour at 20 times", func(r *Recorder) {
			record(r, team, start, now.Add(-time.Hour), 10, 0)
			record(r, team, now.Add(-time.Hour), now.Add(time.Minute), 10, 2)
		}, Page},
		{"a burst that is over", func(r *Recorder) {
			record(r, team, now.Add(-50*time.Minute), now.Add(-40*time.Minute), 10, 10)
			record(r, team, now.Add(-40*time.Minute), now.Add(time.Minute), 10, 0)
		}, OK},
		{"six hours at 10 times", func(r *Recorder) { record(r, team, start, now.Add(time.Minute), 10, 1) }, Ticket},
		{"one bad of one", func(r *Recorder) { record(r, team, now, now.Add(time.Minute), 1, 1) }, OK},
	} {
		var r Recorder
		tc.record(&r)
		report := Evaluate(snapshotOf(team), Merge(r.Counts("a", now)), nil, now)
		assert.Check(t, lineOf(t, report, ibiswork.Interactive).State == tc.want, "%s: %+v", tc.name, report.Lines[0])
	}
}

func TestBudgetAndTargets(t *testing.T) {
	team := floorTeam(0.9)
	team.Objectives = append(team.Objectives, ibisconfig.Objective{Class: ibiswork.Interactive, Goal: 0.5})
	var r Recorder
	record(&r, team, start, start.Add(time.Minute), 100, 5)
	r.Observe(start, team, ibiswork.Interactive, 0, false)
	report := Evaluate(snapshotOf(team), Merge(r.Counts("a", start)), nil, start)
	late, answered := report.Lines[0], report.Lines[1]
	assert.Equal(t, late.Last6h, Count{Good: 95, Bad: 6})
	assert.Assert(t, late.BudgetLeft > 0.40 && late.BudgetLeft < 0.41, "%v", late.BudgetLeft)
	assert.Equal(t, answered.Last6h, Count{Good: 100, Bad: 1})
	assert.Assert(t, late.P50MS >= 100 && late.P50MS <= 120, "%v", late.P50MS)
	assert.Assert(t, late.P99MS >= 1001 && late.P99MS <= 1200, "%v", late.P99MS)
	assert.Equal(t, len(report.Worst(1)), 1)
}

// TestMergeEqualsOneRecorder checks that merging the counts of several daemons, each given twice, as recorded and
// after a CBOR round trip, yields the counts of one recorder with all observations.
func TestMergeEqualsOneRecorder(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	team := floorTeam(0.99)
	var one Recorder
	daemons := make([]Recorder, 5)
	now := start.Add(6 * time.Hour)
	for range 5000 {
		at := now.Add(-time.Duration(rnd.Int64N(int64(8 * time.Hour))))
		wait := time.Duration(rnd.Int64N(int64(2 * time.Second)))
		one.Observe(at, team, ibiswork.Interactive, wait, true)
		daemons[rnd.IntN(5)].Observe(at, team, ibiswork.Interactive, wait, true)
	}
	var counts []DaemonCounts
	for i := range daemons {
		p := daemons[i].Counts(fmt.Sprint(i), now)
		b, err := cbor.Marshal(p)
		assert.NilError(t, err)
		var q DaemonCounts
		assert.NilError(t, cbor.Unmarshal(b, &q))
		counts = append(counts, q, p)
	}
	want := Merge(one.Counts("one", now))
	assert.Equal(t, len(want.Series), 1)
	for key, s := range Merge(counts...).Series {
		assert.Equal(t, s.Windows, want.Series[key].Windows)
		assert.DeepEqual(t, s.Waits, want.Series[key].Waits)
	}
}

func TestMissingDaemonsAreReported(t *testing.T) {
	report := Evaluate(snapshotOf(floorTeam(0.99)), Merge(DaemonCounts{Daemon: "a"}), []string{"c", "b"}, start)
	assert.Assert(t, !report.Complete)
	var out bytes.Buffer
	assert.NilError(t, report.WriteTable(&out))
	assert.Assert(t, strings.Contains(out.String(), "INCOMPLETE: no answer from b, c"), out.String())
	b, err := json.Marshal(report)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(b), `"Missing":["b","c"]`), string(b))
	assert.Assert(t, !Evaluate(snapshotOf(), Merge(), nil, start).Complete, "a report of no daemon is complete")
}

func TestMemoryIsBounded(t *testing.T) {
	var r Recorder
	for i := range 3 * MaxSeries {
		team := floorTeam(0.99)
		team.Name = fmt.Sprint("team-", i)
		r.Observe(start, team, ibiswork.Interactive, 0, true)
	}
	p := r.Counts("a", start)
	assert.Assert(t, len(p.Series) <= MaxSeries && p.Lost > 0)
	later := r.Counts("a", start.Add(7*time.Hour))
	assert.Equal(t, len(later.Series), 0, "series without recent observations were kept")
}

func BenchmarkObserve(b *testing.B) {
	var r Recorder
	team := floorTeam(0.99)
	b.ReportAllocs()
	for b.Loop() {
		r.Observe(start, team, ibiswork.Interactive, 123*time.Millisecond, true)
	}
}

func TestTargetText(t *testing.T) {
	for ms, want := range map[int64]string{
		0: "answered", 1700: "started within 1.7s", 10_000: "started within 10s", 600_000: "started within 10m",
		3_600_000: "started within 1h", 5_400_000: "started within 1h30m", 3_605_000: "started within 1h0m5s",
	} {
		assert.Equal(t, Line{SeriesKey: SeriesKey{TargetMS: ms}}.Target(), want)
	}
}
