// Package ibisburn measures how fast each team's service-level objectives use up their error budgets.
//
// Every daemon records, for each team, class and target, how many requests were good and bad in each
// minute of the last six hours, and how long they waited. Parts of all daemons add up. The waits are
// kept in a histogram with fixed bounds, because one HdrHistogram for each series and half hour would
// take tens of kilobytes.
//
// Usage:
//
//	rec.Observe(time.Now(), team, ibiswork.Interactive, wait, true)
//	parts, missing := source.Collect(ctx)
//	report := ibisburn.Evaluate(snapshot, ibisburn.Merge(parts...), missing, time.Now())
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

// Bounds on a recorder.
const (
	// MaxSeries is how many combinations of team, class and target one recorder keeps.
	MaxSeries = 2048

	minutesKept   = 6 * 60
	slotMinutes   = 30 // of one wait histogram
	slotsKept     = minutesKept/slotMinutes + 1
	shards        = 16
	maxPerShard   = MaxSeries / shards
	expiryMinutes = minutesKept + slotMinutes
)

// SeriesKey names one series.
type SeriesKey struct {
	Team     string         `json:"Team"`
	Class    ibiswork.Class `json:"Class"`
	TargetMS int64          `json:"TargetMS"`
}

// Compare orders keys by team, class and target.
func (k SeriesKey) Compare(o SeriesKey) int {
	return cmp.Or(cmp.Compare(k.Team, o.Team), cmp.Compare(k.Class, o.Class), cmp.Compare(k.TargetMS, o.TargetMS))
}

// Count is a number of good and of bad requests.
type Count struct {
	Good int64 `json:"Good"`
	Bad  int64 `json:"Bad"`
}

// Add is the sum of c and o.
func (c Count) Add(o Count) Count { return Count{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// Total is the number of all requests.
func (c Count) Total() int64 { return c.Good + c.Bad }

type minute struct {
	number    int64 // since the epoch
	good, bad uint32
}

type slot struct {
	number int64
	waits  histogram
}

type series struct {
	last    int64 // minute of the newest observation
	minutes [minutesKept]minute
	slots   [slotsKept]slot
}

func (s *series) observe(m int64, wait time.Duration, good bool) {
	s.last = max(s.last, m)
	b := &s.minutes[m%minutesKept]
	if b.number > m {
		return // more than six hours older than what is kept
	}
	if b.number != m {
		*b = minute{number: m}
	}
	if good {
		b.good++
	} else {
		b.bad++
	}
	n := m / slotMinutes
	h := &s.slots[n%slotsKept]
	if h.number > n {
		return
	}
	if h.number != n {
		*h = slot{number: n}
	}
	h.waits.add(wait)
}

// window is the sum over the n minutes that end with minute m.
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

type shard struct {
	mu     sync.Mutex
	series map[SeriesKey]*series
	lost   int64
}

// Recorder counts the requests of one daemon. Its zero value is ready for use, also by several
// goroutines at once.
type Recorder struct {
	shards [shards]shard
}

// Observe records one request of a team that waited so long before it started; answered is false when
// the system refused it or lost its outcome.
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

func shardOf(team string) int {
	h := uint32(2166136261)
	for i := range len(team) {
		h = (h ^ uint32(team[i])) * 16777619
	}
	return int(h % shards)
}

func (sh *shard) observe(m int64, team string, o ibisconfig.Objective, wait time.Duration, answered bool) {
	key := SeriesKey{Team: team, Class: o.Class, TargetMS: o.TargetMS}
	s, ok := sh.series[key]
	if !ok {
		if len(sh.series) >= maxPerShard {
			sh.expire(m)
		}
		if len(sh.series) >= maxPerShard {
			sh.lost++
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

// expire drops the series that hold nothing of the last six hours.
func (sh *shard) expire(m int64) {
	for key, s := range sh.series {
		if s.last < m-expiryMinutes {
			delete(sh.series, key)
		}
	}
}

// Part is the present state of the recorder, for merging with those of other daemons.
func (r *Recorder) Part(daemon string, now time.Time) Part {
	m := now.Unix() / 60
	p := Part{Daemon: daemon, At: now}
	for i := range r.shards {
		r.shards[i].part(m, &p)
	}
	slices.SortFunc(p.Series, func(a, b Series) int { return a.Key.Compare(b.Key) })
	return p
}

func (sh *shard) part(m int64, p *Part) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.expire(m)
	p.Lost += sh.lost
	for key, s := range sh.series {
		out := Series{Key: key}
		for w, n := range windowMinutes {
			out.Windows[w] = s.window(m, n)
		}
		var waits histogram
		for j := range s.slots {
			if s.slots[j].number > m/slotMinutes-slotsKept {
				waits.merge(&s.slots[j].waits)
			}
		}
		out.Waits = waits.trimmed()
		p.Series = append(p.Series, out)
	}
}
