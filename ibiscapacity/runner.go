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
	settleTime = 6 * time.Second // after a change of size, in which the daemons begin to move shards
	quietTime  = 2 * time.Second // without such a move until measuring begins
	windowTime = 5 * time.Second // of one measurement
)

// Runner measures slopes and prints them.
type Runner struct {
	Bin string // directory of the programs ibiscrank and ibisstandin
	Out io.Writer
}

// series is what one measurement gave at each size.
type series struct {
	size   string // what X counts
	points map[string][]Point
	loads  []string // the machine's load average at each size
}

func newSeries(size string) *series { return &series{size: size, points: make(map[string][]Point)} }

func (s *series) add(x float64, values map[string]float64) {
	for name, y := range values {
		s.points[name] = append(s.points[name], Point{X: x, Y: y})
	}
	s.loads = append(s.loads, loadAverage())
}

// measurement is one group of slopes.
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

// Names lists the measurements.
func Names() []string {
	names := make([]string, len(measurements))
	for i, m := range measurements {
		names[i] = m.name
	}
	return names
}

// Run takes the named measurements, or all when none is named.
func (r Runner) Run(ctx context.Context, names ...string) error {
	for _, name := range names {
		if !slices.Contains(Names(), name) {
			return Error.New("no measurement %q", name)
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

// print writes one line for each value that is not zero at every size.
func (r Runner) print(name string, s *series) {
	fmt.Fprintf(r.Out, "\n== %s (bin/ibiscapacity %s); load average at each size: %v\n", s.size, name, s.loads)
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

// window measures a cluster that has settled.
func (c *cluster) window(ctx context.Context) (map[string]float64, error) {
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	if err := c.quiet(ctx); err != nil {
		return nil, err
	}
	return c.measure(ctx)
}

// quiet waits until shards have stopped moving between daemons.
func (c *cluster) quiet(ctx context.Context) error {
	last := -1.0
	return await(ctx, "shards stay where they are", func() bool {
		s, err := c.sample(ctx)
		if err != nil || pause(ctx, quietTime) != nil {
			return false
		}
		moves := s.counters["RpcOutLocateCalls"] + s.counters["RpcOutShardsMovedCalls"]
		still := moves == last
		last = moves
		return still
	})
}

func (c *cluster) measure(ctx context.Context) (map[string]float64, error) {
	a, err := c.sample(ctx)
	if err != nil {
		return nil, err
	}
	if err := pause(ctx, windowTime); err != nil {
		return nil, err
	}
	b, err := c.sample(ctx)
	if err != nil {
		return nil, err
	}
	return rates(a, b, len(c.daemons)), nil
}
