package ibiscapacity

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sort"
	"text/tabwriter"
	"time"
)

const (
	settleDelay = 6 * time.Second // after a change of size; daemons begin to move shards within this time
	stableTime  = 2 * time.Second // time without shard moves before a measurement starts
	measureTime = 5 * time.Second // length of one measurement
)

// Runner takes measurements and prints a table for each.
type Runner struct {
	Bin string // directory that contains the programs ibiscrank and ibisstandin
	Out io.Writer
}

// series holds the values of one measurement at each size.
type series struct {
	sizeLabel    string             // what X counts
	points       map[string][]Point // by the name of the value
	loadAverages []string           // of the machine at each size, over one minute
}

func newSeries(sizeLabel string) *series {
	return &series{sizeLabel: sizeLabel, points: make(map[string][]Point)}
}

func (s *series) add(x float64, values map[string]float64) {
	for name, y := range values {
		s.points[name] = append(s.points[name], Point{X: x, Y: y})
	}
	s.loadAverages = append(s.loadAverages, loadAverage())
}

// measurement varies one size of the system and measures how the resource use depends on it.
type measurement struct {
	name string
	run  func(ctx context.Context, bin string) (*series, error)
}

var measurements = []measurement{
	{"servers", measureServers},
	{"tasks", measureTasks},
	{"teams", measureTeams},
	{"daemons", measureDaemons},
	{"starts", measureStarts},
	{"failures", measureFailures},
}

// Names returns the names of the measurements.
func Names() []string {
	names := make([]string, len(measurements))
	for i, m := range measurements {
		names[i] = m.name
	}
	return names
}

// Run takes the named measurements, or all when no name is given, and prints each when it is complete.
func (r Runner) Run(ctx context.Context, names ...string) error {
	for _, name := range names {
		if !slices.Contains(Names(), name) {
			return Error.New("unknown measurement %q, want one of %v", name, Names())
		}
	}
	for _, m := range measurements {
		if len(names) > 0 && !slices.Contains(names, m.name) {
			continue
		}
		s, err := m.run(ctx, r.Bin)
		if err != nil {
			return Error.Wrap(fmt.Errorf("%s: %w", m.name, err))
		}
		r.print(m.name, s)
	}
	return nil
}

// print writes one row for each value, with the line fitted through its points. It omits values that are zero
// at every size.
func (r Runner) print(name string, s *series) {
	fmt.Fprintf(r.Out, "\n== %s (bin/ibiscapacity %s); load average at each size: %v\n", s.sizeLabel, name, s.loadAverages)
	w := tabwriter.NewWriter(r.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "Value\tSlope\tAt zero\tR2\tLargest residual\tPoints")
	var values []string
	for v, points := range s.points {
		if slices.ContainsFunc(points, func(p Point) bool { return p.Y > 1e-9 }) {
			values = append(values, v)
		}
	}
	sort.Strings(values)
	for _, v := range values {
		l := Fit(s.points[v])
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.3f\t%.3g\t", v, l.Slope, l.Intercept, l.R2, l.Residual)
		for _, p := range s.points[v] {
			fmt.Fprintf(w, "%.4g:%.4g ", p.X, p.Y)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}

// measureSettled waits until the cluster has settled after a change of size and measures it.
func (c *cluster) measureSettled(ctx context.Context) (map[string]float64, error) {
	if err := pause(ctx, settleDelay); err != nil {
		return nil, err
	}
	if err := c.awaitStableShards(ctx); err != nil {
		return nil, err
	}
	return c.measure(ctx)
}

// awaitStableShards waits until no shard has moved between daemons for stableTime.
func (c *cluster) awaitStableShards(ctx context.Context) error {
	last := -1.0
	return await(ctx, "no shard moves between daemons", func() bool {
		s, err := c.takeSample(ctx)
		if err != nil || pause(ctx, stableTime) != nil {
			return false
		}
		// Daemons announce moves with ShardsMoved and search for the tasks of an acquired shard with Locate.
		moves := s.counters["RpcOutLocateCalls"] + s.counters["RpcOutShardsMovedCalls"]
		unchanged := moves == last
		last = moves
		return unchanged
	})
}

// measure returns the rates and the memory use over the next measureTime.
func (c *cluster) measure(ctx context.Context) (map[string]float64, error) {
	a, err := c.takeSample(ctx)
	if err != nil {
		return nil, err
	}
	if err := pause(ctx, measureTime); err != nil {
		return nil, err
	}
	b, err := c.takeSample(ctx)
	if err != nil {
		return nil, err
	}
	return rates(a, b, len(c.daemons)), nil
}
