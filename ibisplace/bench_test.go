package ibisplace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ibiscrank/ibisplace"
	"ibiscrank/ibiswork"
)

// benchSeed seeds all benchmarks except BenchmarkPacking, which uses the seed in the name of the
// sub-benchmark. Every run of -count uses the same seed.
const benchSeed = 20261203

// placer places single tasks, either with the indexed Fleet or with a baseline.
type placer interface {
	Place(a ibisplace.Request) (string, bool)
	AddUsage(name string, delta ibiswork.Resources)
}

// scanPlacer is the state of the baselines, which scan a list of servers without an index.
type scanPlacer struct {
	rng    *rand.Rand
	list   []*ibisplace.Server
	byName map[string]*ibisplace.Server
	choose func(p *scanPlacer, a ibisplace.Request) *ibisplace.Server
}

func (p *scanPlacer) Place(a ibisplace.Request) (string, bool) {
	if s := p.choose(p, a); s != nil {
		return s.Name, true
	}
	return "", false
}

func (p *scanPlacer) AddUsage(name string, d ibiswork.Resources) {
	p.byName[name].Used = p.byName[name].Used.Add(d)
}

// firstFrom returns the first server that fits, scanning from index start and wrapping around.
func (p *scanPlacer) firstFrom(start int, a ibisplace.Request) *ibisplace.Server {
	for i := range p.list {
		if s := p.list[(start+i)%len(p.list)]; a.Resources.FitsIn(s.Free()) {
			return s
		}
	}
	return nil
}

func firstFit(p *scanPlacer, a ibisplace.Request) *ibisplace.Server { return p.firstFrom(0, a) }

func randomFit(p *scanPlacer, a ibisplace.Request) *ibisplace.Server {
	return p.firstFrom(p.rng.IntN(len(p.list)), a)
}

func twoChoices(p *scanPlacer, a ibisplace.Request) *ibisplace.Server {
	x, y := randomFit(p, a), randomFit(p, a)
	if x != nil && y.Load() < x.Load() {
		return y
	}
	return x
}

func benchServers(n int) []ibisplace.Server {
	list := make([]ibisplace.Server, n)
	for i := range list {
		c := res(16000, 64000, 0, 32)
		if i%10 < 3 { // about 20,000 accelerators in total on 8,500 servers
			c.Accelerators = 8
		}
		list[i] = ibisplace.Server{
			Name:          fmt.Sprintf("w%05d", i),
			FailureDomain: fmt.Sprintf("d%02d", i/8%14),
			Rack:          fmt.Sprintf("r%04d", i/8),
			Capacity:      c,
		}
	}
	return list
}

func newPlacer(kind string, servers []ibisplace.Server, seed uint64) placer {
	if kind == "index" {
		var f ibisplace.Fleet
		for _, s := range servers {
			f.Put(s)
		}
		return &f
	}
	choose := map[string]func(*scanPlacer, ibisplace.Request) *ibisplace.Server{
		"first-fit": firstFit, "random": randomFit, "two-choices": twoChoices,
	}[kind]
	p := &scanPlacer{rng: rand.New(rand.NewPCG(seed, 2)), byName: map[string]*ibisplace.Server{}, choose: choose}
	for _, s := range servers {
		p.list = append(p.list, &s)
		p.byName[s.Name] = &s
	}
	return p
}

// nextRequest draws a task that needs about a twentieth of a server: half of the tasks are interactive, a fifth
// are services, the others batch.
func nextRequest(rng *rand.Rand) ibisplace.Request {
	a := ibisplace.Request{Team: "t", Class: ibiswork.Interactive, Resources: res(100+rng.Int64N(700), 200+rng.Int64N(3000), 0, 1)}
	switch p := rng.IntN(10); {
	case p < 2:
		a.Class = ibiswork.Service
		a.Spread = spreads[rng.IntN(len(spreads))]
	case p < 5:
		a.Class = ibiswork.Batch
		if rng.IntN(8) == 0 {
			a.Resources.Accelerators = 1
		}
	}
	return a
}

// spreads holds the Request.Spread maps of several services.
var spreads = func() []map[string]int {
	rng := rand.New(rand.NewPCG(benchSeed, 3))
	list := make([]map[string]int, 16)
	for i := range list {
		list[i] = map[string]int{}
		for d := range 14 {
			list[i][fmt.Sprintf("d%02d", d)] = rng.IntN(4)
		}
	}
	return list
}()

// churn keeps a number of tasks running; each step ends a random one and places another.
type churn struct {
	p       placer
	rng     *rand.Rand
	running []placedTask
}

type placedTask struct {
	name   string
	demand ibiswork.Resources
}

func (c *churn) fill(n int) {
	for len(c.running) < n {
		a := nextRequest(c.rng)
		name, ok := c.p.Place(a)
		if !ok {
			return
		}
		c.p.AddUsage(name, a.Resources)
		c.running = append(c.running, placedTask{name, a.Resources})
	}
}

func (c *churn) endOne() {
	i, last := c.rng.IntN(len(c.running)), len(c.running)-1
	t := c.running[i]
	c.running[i] = c.running[last]
	c.running = c.running[:last]
	c.p.AddUsage(t.name, ibiswork.Resources{}.Sub(t.demand))
}

func benchSizes() []struct{ servers, tasks int } {
	return []struct{ servers, tasks int }{{50, 850}, {8500, 30000}, {8500, 150000}}
}

// BenchmarkPlace measures one decision and the update of the used resources, in steady state.
func BenchmarkPlace(b *testing.B) {
	for _, size := range benchSizes() {
		for _, kind := range []string{"index", "first-fit", "random", "two-choices"} {
			b.Run(fmt.Sprintf("servers=%d/tasks=%d/%s", size.servers, size.tasks, kind), func(b *testing.B) {
				c := &churn{p: newPlacer(kind, benchServers(size.servers), benchSeed), rng: rand.New(rand.NewPCG(benchSeed, 1))}
				c.fill(size.tasks)
				times := hdrhistogram.New(1, int64(time.Second), 3)
				b.ReportAllocs()
				refused := 0
				for b.Loop() {
					c.endOne()
					a := nextRequest(c.rng)
					start := time.Now()
					name, ok := c.p.Place(a)
					if ok {
						c.p.AddUsage(name, a.Resources)
					}
					_ = times.RecordValue(int64(time.Since(start)))
					if !ok {
						refused++
						continue
					}
					c.running = append(c.running, placedTask{name, a.Resources})
				}
				b.ReportMetric(float64(times.ValueAtQuantile(99))/1e3, "p99-µs")
				b.ReportMetric(float64(times.ValueAtQuantile(99.9))/1e3, "p99.9-µs")
				b.ReportMetric(float64(len(c.running)), "running")
				b.ReportMetric(100*float64(refused)/float64(b.N), "%refused")
			})
		}
	}
}

// BenchmarkPlaceFull measures decisions on a full fleet, most of which find no server that fits.
func BenchmarkPlaceFull(b *testing.B) {
	for _, servers := range []int{50, 8500} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			p := newPlacer("index", benchServers(servers), benchSeed)
			c := &churn{p: p, rng: rand.New(rand.NewPCG(benchSeed, 1))}
			for range 20 { // repeated because fill stops at the first task that does not fit
				c.fill(servers * 40)
			}
			times := hdrhistogram.New(1, int64(time.Second), 3)
			refused := 0
			b.ReportAllocs()
			for b.Loop() {
				a := nextRequest(c.rng)
				start := time.Now()
				_, ok := p.Place(a)
				_ = times.RecordValue(int64(time.Since(start)))
				if !ok {
					refused++
				}
			}
			b.ReportMetric(float64(times.ValueAtQuantile(99))/1e3, "p99-µs")
			b.ReportMetric(100*float64(refused)/float64(b.N), "%refused")
		})
	}
}

// BenchmarkPlaceGang measures one decision on a gang in a fleet that is about two thirds full.
func BenchmarkPlaceGang(b *testing.B) {
	for _, size := range benchSizes() {
		for _, tasks := range []int{16, 256} {
			b.Run(fmt.Sprintf("servers=%d/tasks=%d/gang=%d", size.servers, size.tasks, tasks), func(b *testing.B) {
				f := newPlacer("index", benchServers(size.servers), benchSeed).(*ibisplace.Fleet)
				c := &churn{p: f, rng: rand.New(rand.NewPCG(benchSeed, 1))}
				c.fill(size.tasks)
				times := hdrhistogram.New(1, int64(time.Second), 3)
				a := ibisplace.Request{Class: ibiswork.Gang, Resources: res(500, 1000, 0, 1)}
				refused := 0
				for b.Loop() {
					start := time.Now()
					_, ok := f.PlaceGang(a, tasks)
					_ = times.RecordValue(int64(time.Since(start)))
					if !ok {
						refused++
					}
				}
				b.ReportMetric(float64(times.ValueAtQuantile(99))/1e3, "p99-µs")
				b.ReportMetric(100*float64(refused)/float64(b.N), "%refused")
			})
		}
	}
}

// BenchmarkPacking measures fragmentation. From an empty fleet it starts batch tasks of several shapes, ends
// and starts others at about 70 % load, counts the large tasks that still fit, then fills the fleet until 100
// tasks did not fit, and reports the used fraction of capacity.
func BenchmarkPacking(b *testing.B) {
	for seed := uint64(1); seed <= 5; seed++ {
		for _, kind := range []string{"index", "first-fit", "random", "two-choices"} {
			b.Run(fmt.Sprintf("seed=%d/%s", seed, kind), func(b *testing.B) {
				var p packing
				for b.Loop() {
					p = pack(kind, seed)
				}
				b.ReportMetric(100*p.usedWhenFull, "%dominant-full")
				b.ReportMetric(float64(p.large), "large-tasks-fit")
			})
		}
	}
}

type packing struct {
	usedWhenFull float64 // the larger of the used fractions of processors and memory
	large        int     // tasks of half a server that still fit at about 70 % load
}

// shapes holds the sizes of batch tasks: balanced, processor-heavy, memory-heavy, small.
var shapes = []ibiswork.Resources{res(4000, 16000, 0, 1), res(6000, 4000, 0, 1), res(1000, 20000, 0, 1), res(1000, 3000, 0, 1)}

func pack(kind string, seed uint64) packing {
	var p packing
	servers := benchServers(200)
	capacity := res(200*16000, 200*64000, 0, 0)
	c := &churn{p: newPlacer(kind, servers, seed), rng: rand.New(rand.NewPCG(seed, 1))}
	used := ibiswork.Resources{}
	put := func() bool {
		a := ibisplace.Request{Class: ibiswork.Batch, Resources: shapes[c.rng.IntN(len(shapes))]}
		name, ok := c.p.Place(a)
		if ok {
			c.p.AddUsage(name, a.Resources)
			c.running = append(c.running, placedTask{name, a.Resources})
			used = used.Add(a.Resources)
		}
		return ok
	}
	end := func() {
		before := c.running
		i := c.rng.IntN(len(before))
		t := before[i]
		before[i] = before[len(before)-1]
		c.running = before[:len(before)-1]
		used = used.Sub(t.demand)
		c.p.AddUsage(t.name, ibiswork.Resources{}.Sub(t.demand))
	}
	for range 4000 { // churn at about 70 % load
		if used.Dominant(capacity) < 0.7 {
			put()
		} else {
			end()
		}
	}
	large := ibisplace.Request{Class: ibiswork.Batch, Resources: res(8000, 32000, 0, 1)}
	var names []string
	for name, ok := c.p.Place(large); ok; name, ok = c.p.Place(large) {
		c.p.AddUsage(name, large.Resources)
		names = append(names, name)
	}
	p.large = len(names)
	for _, name := range names {
		c.p.AddUsage(name, ibiswork.Resources{}.Sub(large.Resources))
	}
	for misses := 0; misses < 100; {
		if !put() {
			misses++
		}
	}
	p.usedWhenFull = used.Dominant(capacity)
	return p
}

// BenchmarkVictims measures choosing the tasks to preempt among the running tasks of a full fleet.
func BenchmarkVictims(b *testing.B) {
	for _, size := range []struct{ servers, tasks int }{{50, 500}, {8500, 50000}} {
		b.Run(fmt.Sprintf("servers=%d/tasks=%d", size.servers, size.tasks), func(b *testing.B) {
			f := newPlacer("index", benchServers(size.servers), benchSeed).(*ibisplace.Fleet)
			c := &churn{p: f, rng: rand.New(rand.NewPCG(benchSeed, 1))}
			c.fill(size.servers * 40)
			running := make([]ibisplace.PreemptibleTask, size.tasks)
			for i := range running {
				t := c.running[i%len(c.running)]
				running[i] = ibisplace.PreemptibleTask{Server: t.name, Resources: t.demand, SinceCheckpoint: time.Duration(c.rng.IntN(600)) * time.Second}
			}
			a := ibisplace.Request{Class: ibiswork.Interactive, Resources: res(2000, 4000, 0, 1)}
			for b.Loop() {
				if _, _, ok := f.Victims(a, running); !ok {
					b.Fatal("no victims")
				}
			}
		})
	}
}
