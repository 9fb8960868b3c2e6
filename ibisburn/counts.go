package ibisburn

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Window is a time window over which requests are counted.
type Window int

// The windows, from the shortest to the longest.
const (
	Minutes5 Window = iota
	Minutes30
	Hours1
	Hours6
	windowCount
)

var (
	windowMinutes = [windowCount]int{5, 30, 60, 360}
	windowNames   = [windowCount]string{"5m", "30m", "1h", "6h"}
)

// String returns the short form of the window, such as "30m".
func (w Window) String() string { return windowNames[w] }

// UnmarshalText decodes the short form.
func (w *Window) UnmarshalText(b []byte) error {
	i := slices.Index(windowNames[:], string(b))
	if i < 0 {
		return Error.New("unknown window %q", b)
	}
	*w = Window(i)
	return nil
}

// MarshalText encodes the short form.
func (w Window) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// Series holds the counts of one team, class and target.
type Series struct {
	Key     SeriesKey          `json:"Key"`
	Windows [windowCount]Count `json:"Windows"`
	Waits   []int64            `json:"Waits,omitempty"` // number of requests by bucket of wait time
}

// DaemonCounts holds the counts of one daemon.
type DaemonCounts struct {
	Daemon string    `json:"Daemon"` // incarnation
	At     time.Time `json:"At"`
	Series []Series  `json:"Series,omitempty"`
	Lost   int64     `json:"Lost,omitempty"` // requests that were not counted because of too many series
}

// daemonCountsFields has the fields of DaemonCounts but not its methods, so that decoding does not recurse.
type daemonCountsFields DaemonCounts

// UnmarshalJSON decodes and validates the counts.
func (p *DaemonCounts) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*daemonCountsFields)(p)); err != nil {
		return Error.Wrap(err)
	}
	return p.Check()
}

// UnmarshalCBOR decodes and validates the counts.
func (p *DaemonCounts) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*daemonCountsFields)(p)); err != nil {
		return Error.Wrap(err)
	}
	return p.Check()
}

// Check reports too many series or buckets, and negative counts in a window.
func (p *DaemonCounts) Check() error {
	if len(p.Series) > MaxSeries {
		return Error.New("counts of daemon %s: %d series, the limit is %d", p.Daemon, len(p.Series), MaxSeries)
	}
	for _, s := range p.Series {
		if len(s.Waits) > bucketCount {
			return Error.New("counts of daemon %s: %d buckets, the limit is %d", p.Daemon, len(s.Waits), bucketCount)
		}
		for _, c := range s.Windows {
			if c.Good < 0 || c.Bad < 0 {
				return Error.New("counts of daemon %s: negative count of team %s", p.Daemon, s.Key.Team)
			}
		}
	}
	return nil
}

// Source collects the counts of all daemons and the incarnations of the daemons that did not answer.
type Source interface {
	Collect(ctx context.Context) (counts []DaemonCounts, missing []string)
}

// Merged is the sum of the counts of several daemons.
type Merged struct {
	Daemons []string // the daemons included, sorted
	Series  map[SeriesKey]Series
	Lost    int64 // requests that were not counted because of too many series
}

// Merge returns the sum of the counts of several daemons. If there are several of one daemon, only the newest
// are included.
func Merge(counts ...DaemonCounts) Merged {
	newest := make(map[string]DaemonCounts)
	for _, p := range counts {
		if old, ok := newest[p.Daemon]; !ok || p.At.After(old.At) {
			newest[p.Daemon] = p
		}
	}
	m := Merged{Daemons: slices.Sorted(maps.Keys(newest)), Series: make(map[SeriesKey]Series)}
	for _, p := range newest {
		m.Lost += p.Lost
		for _, s := range p.Series {
			m.Series[s.Key] = m.Series[s.Key].add(s)
		}
	}
	return m
}

// add returns the sum of s and o with the key of o.
func (s Series) add(o Series) Series {
	sum := Series{Key: o.Key, Waits: make([]int64, max(len(s.Waits), len(o.Waits)))}
	for w := range sum.Windows {
		sum.Windows[w] = s.Windows[w].Add(o.Windows[w])
	}
	copy(sum.Waits, s.Waits)
	for i, n := range o.Waits {
		sum.Waits[i] += n
	}
	return sum
}
