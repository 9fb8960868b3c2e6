package ibisburn

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Window is one of the windows over which requests are counted.
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

// String is the usual short form of the window.
func (w Window) String() string { return windowNames[w] }

// UnmarshalText reads the short form.
func (w *Window) UnmarshalText(b []byte) error {
	i := slices.Index(windowNames[:], string(b))
	if i < 0 {
		return Error.New("%q is not a window", b)
	}
	*w = Window(i)
	return nil
}

// MarshalText writes the short form.
func (w Window) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// Series is what was counted for one team, class and target.
type Series struct {
	Key     SeriesKey          `json:"Key"`
	Windows [windowCount]Count `json:"Windows"`
	Waits   []int64            `json:"Waits,omitempty"` // counts by the fixed bounds
}

// Part is what one daemon counted.
type Part struct {
	Daemon string    `json:"Daemon"`
	At     time.Time `json:"At"`
	Series []Series  `json:"Series,omitempty"`
	Lost   int64     `json:"Lost,omitempty"` // requests that were not counted because there were too many series
}

type plainPart Part

// UnmarshalJSON decodes and checks a part.
func (p *Part) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*plainPart)(p)); err != nil {
		return Error.Wrap(err)
	}
	return p.Check()
}

// UnmarshalCBOR decodes and checks a part.
func (p *Part) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*plainPart)(p)); err != nil {
		return Error.Wrap(err)
	}
	return p.Check()
}

// Check reports counts that cannot be.
func (p *Part) Check() error {
	if len(p.Series) > MaxSeries {
		return Error.New("part of %s: %d series", p.Daemon, len(p.Series))
	}
	for _, s := range p.Series {
		if len(s.Waits) > bucketCount {
			return Error.New("part of %s: %d buckets", p.Daemon, len(s.Waits))
		}
		for _, c := range s.Windows {
			if c.Good < 0 || c.Bad < 0 {
				return Error.New("part of %s: a count below zero", p.Daemon)
			}
		}
	}
	return nil
}

// Source collects the parts of all daemons and names those that did not answer.
type Source interface {
	Collect(ctx context.Context) (parts []Part, missing []string)
}

// Merged is the sum of the parts of several daemons.
type Merged struct {
	Daemons []string // that are in it, in order
	Series  map[SeriesKey]Series
	Lost    int64
}

// Merge adds parts up. Of two parts of one daemon, only the newer counts.
func Merge(parts ...Part) Merged {
	newest := make(map[string]Part)
	for _, p := range parts {
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
