// Package ibisburn measures how fast each team uses up the error budgets of its service-level objectives.
// Package ibisdaemon collects the counts, and package ibisadmin shows the report.
//
// Every daemon records, for each team, class and target, the number of good and bad requests in each minute
// of the last six hours, and their wait times. The counts of all daemons are merged by addition. Wait times
// are kept in histograms with fixed buckets, because an HdrHistogram per series and half hour would take
// tens of kilobytes.
//
// Usage:
//
//	rec.Observe(time.Now(), team, ibiswork.Interactive, wait, true)
//	counts, missing := source.Collect(ctx)
//	report := ibisburn.Evaluate(snapshot, ibisburn.Merge(counts...), missing, time.Now())
//	err := report.WriteTable(os.Stdout)
package ibisburn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

// Error is the class of errors of this package.
var Error = errs.Class("burn")

// Limits and layout of a Recorder.
const (
	// MaxSeries limits the combinations of team, class and target in one recorder.
	MaxSeries = 2048

	minutesKept      = 6 * 60
	histogramMinutes = 30 // covered by one wait histogram
	histogramsKept   = minutesKept/histogramMinutes + 1
	shards           = 16
	maxPerShard      = MaxSeries / shards
	expiryMinutes    = minutesKept + histogramMinutes // without observations until a series is removed
)

// SeriesKey identifies a series. TargetMS is the longest good wait in milliseconds, 0 for none.
type SeriesKey struct {
	Team     string         `json:"Team"`
	Class    ibiswork.Class `json:"Class"`
	TargetMS int64          `json:"TargetMS"`
}

// Compare orders keys by team, class and target.
func (k SeriesKey) Compare(o SeriesKey) int {
	return cmp.Or(cmp.Compare(k.Team, o.Team), cmp.Compare(k.Class, o.Class), cmp.Compare(k.TargetMS, o.TargetMS))
}

// Count holds the numbers of good and bad requests.
type Count struct {
	Good int64 `json:"Good"`
	Bad  int64 `json:"Bad"`
}

// Add returns the sum of c and o.
func (c Count) Add(o Count) Count { return Count{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// Total returns the number of all requests.
func (c Count) Total() int64 { return c.Good + c.Bad }

// minuteCount counts the requests of one minute.
type minuteCount struct {
	number    int64 // minutes since the Unix epoch
	good, bad uint32
}

// periodWaits is the wait histogram of one period of histogramMinutes.
type periodWaits struct {
	number int64 // periods since the Unix epoch
	waits  histogram
}

// series holds the observations of one SeriesKey in two ring buffers, by minute and by period.
type series struct {
	last    int64 // minute of the newest observation
	minutes [minutesKept]minuteCount
	periods [histogramsKept]periodWaits
}

// observe counts a request in minute m. An entry of a ring buffer that holds an older minute or period is reset.
func (s *series) observe(m int64, wait time.Duration, good bool) {
	s.last = max(s.last, m)
	b := &s.minutes[m%minutesKept]
	if b.number > m {
		return // at least six hours older than the entry that took its place
	}
	if b.number != m {
		*b = minuteCount{number: m}
	}
	if good {
		b.good++
	} else {
		b.bad++
	}
	n := m / histogramMinutes
	h := &s.periods[n%histogramsKept]
	if h.number > n {
		return
	}
	if h.number != n {
		*h = periodWaits{number: n}
	}
	h.waits.add(wait)
}

// window returns the sum over the n minutes that end with minute m.
func (s *series) window(m int64, n int) Count {
	var c Count
	for i := range s.minutes {
		b := &s.minutes[i]
		if b.number > m-int64(n) && b.number <= m {
			c = c.Add(Count{Good: int64(b.good), Bad: int64(b.bad)})
		}
	}
	return c
}

// shard holds the series of some of the teams, to reduce lock contention.
type shard struct {
	mu        sync.Mutex
	series    map[SeriesKey]*series
	uncounted int64 // observations dropped because the shard was full
}

// Recorder counts the requests of one daemon. The zero value is ready to use. It is safe for concurrent use.
type Recorder struct {
	shards [shards]shard
}

// Observe counts one request of a team and the time that it waited until it started, under each objective that
// the team has for the class, or under the default objectives of the class if it has none. answered is false
// if the system refused the request or lost its outcome.
func (r *Recorder) Observe(now time.Time, team ibisconfig.Team, class ibiswork.Class, wait time.Duration, answered bool) {
	m := now.Unix() / 60
	sh := &r.shards[shardOf(team.Name)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	found := false
	for _, o := range team.Objectives {
		if o.Class == class {
			found = true
			sh.observe(m, team.Name, o, wait, answered)
		}
	}
	if found {
		return
	}
	for _, o := range Defaults {
		if o.Class == class {
			sh.observe(m, team.Name, o, wait, answered)
		}
	}
}

// shardOf returns the shard index of a team, by its 32-bit FNV-1a hash.
func shardOf(team string) int {
	h := uint32(2166136261)
	for i := range len(team) {
		h = (h ^ uint32(team[i])) * 16777619
	}
	return int(h % shards)
}

// observe counts a request for one objective. A full shard drops it if no series has expired.
func (sh *shard) observe(m int64, team string, o ibisconfig.Objective, wait time.Duration, answered bool) {
	key := SeriesKey{Team: team, Class: o.Class, TargetMS: o.TargetMS}
	s, ok := sh.series[key]
	if !ok {
		if len(sh.series) >= maxPerShard {
			sh.expire(m)
		}
		if len(sh.series) >= maxPerShard {
			sh.uncounted++
			return
		}
		if sh.series == nil {
			sh.series = make(map[SeriesKey]*series)
		}
		s = new(series)
		sh.series[key] = s
	}
	good := answered && (o.TargetMS == 0 || wait <= time.Duration(o.TargetMS)*time.Millisecond)
	s.observe(m, wait, good)
}

// expire removes the series without observations in the last expiryMinutes before minute m.
func (sh *shard) expire(m int64) {
	for key, s := range sh.series {
		if s.last < m-expiryMinutes {
			delete(sh.series, key)
		}
	}
}

// Counts returns the current counts of the daemon, to be merged with those of other daemons.
func (r *Recorder) Counts(daemon string, now time.Time) DaemonCounts {
	m := now.Unix() / 60
	p := DaemonCounts{Daemon: daemon, At: now}
	for i := range r.shards {
		r.shards[i].addTo(m, &p)
	}
	slices.SortFunc(p.Series, func(a, b Series) int { return a.Key.Compare(b.Key) })
	return p
}

// addTo adds the series and the uncounted observations of the shard to p.
func (sh *shard) addTo(m int64, p *DaemonCounts) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.expire(m)
	p.Lost += sh.uncounted
	for key, s := range sh.series {
		out := Series{Key: key}
		for w, n := range windowMinutes {
			out.Windows[w] = s.window(m, n)
		}
		var waits histogram
		for j := range s.periods {
			if s.periods[j].number > m/histogramMinutes-histogramsKept {
				waits.merge(&s.periods[j].waits)
			}
		}
		out.Waits = waits.trimmed()
		p.Series = append(p.Series, out)
	}
}
