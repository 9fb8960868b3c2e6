package ibisplace_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibiscrank/ibisplace"
	"ibiscrank/ibisseed"
	"ibiscrank/ibiswork"
)

func TestMain(m *testing.M) { ibisseed.Main(m) }

func res(cpu, mem, acc, slots int64) ibiswork.Resources {
	return ibiswork.Resources{MilliCPU: cpu, MemoryMB: mem, Accelerators: acc, Slots: slots}
}

func server(i int, c ibiswork.Resources) ibisplace.Server {
	rack := i / 4
	return ibisplace.Server{
		Name:          fmt.Sprintf("w%03d", i),
		FailureDomain: fmt.Sprintf("d%d", rack%3),
		Rack:          fmt.Sprintf("r%d", rack),
		Capacity:      c,
	}
}

func fleetOf(n int, c ibiswork.Resources) *ibisplace.Fleet {
	var f ibisplace.Fleet
	for i := range n {
		f.Put(server(i, c))
	}
	return &f
}

func place(t *testing.T, f *ibisplace.Fleet, a ibisplace.Request) ibisplace.Server {
	t.Helper()
	name, ok := f.Place(a)
	assert.Assert(t, ok)
	f.AddUsage(name, a.Resources)
	s, _ := f.Server(name)
	return s
}

func TestServiceSpreadsOverDomainsAndRacks(t *testing.T) {
	f := fleetOf(24, res(16000, 64000, 0, 8))
	domains, racks := map[string]int{}, map[string]int{}
	for range 6 {
		s := place(t, f, ibisplace.Request{Class: ibiswork.Service, Resources: res(1000, 1000, 0, 1), Spread: domains, Racks: racks})
		domains[s.FailureDomain]++
		racks[s.Rack]++
	}
	assert.DeepEqual(t, domains, map[string]int{"d0": 2, "d1": 2, "d2": 2})
	assert.Equal(t, len(racks), 6)
}

func TestServiceTakesAFullerDomainWhenTheOthersAreClosed(t *testing.T) {
	f := fleetOf(8, res(16000, 64000, 0, 8)) // d0 and d1
	for i := range 4 {
		s, _ := f.Server(fmt.Sprintf("w%03d", i))
		s.Closed = true
		f.Put(s)
	}
	s := place(t, f, ibisplace.Request{Class: ibiswork.Service, Resources: res(1, 1, 0, 1), Spread: map[string]int{"d1": 7}})
	assert.Equal(t, s.FailureDomain, "d1")
}

func TestBatchPacks(t *testing.T) {
	f := fleetOf(12, res(16000, 64000, 0, 8))
	used := map[string]bool{}
	for range 16 {
		used[place(t, f, ibisplace.Request{Class: ibiswork.Batch, Resources: res(2000, 8000, 0, 1)}).Name] = true
	}
	assert.Equal(t, len(used), 2)
}

func TestInteractiveTakesTheLeastLoaded(t *testing.T) {
	f := fleetOf(12, res(16000, 64000, 0, 8))
	used := map[string]bool{}
	for range 12 {
		used[place(t, f, ibisplace.Request{Class: ibiswork.Interactive, Resources: res(2000, 8000, 0, 1)}).Name] = true
	}
	assert.Equal(t, len(used), 12)
}

func TestGangTakesFewRacks(t *testing.T) {
	f := fleetOf(24, res(16000, 64000, 0, 8))
	for _, c := range []struct{ tasks, racks, domains int }{{32, 1, 1}, {40, 2, 1}, {72, 3, 2}, {192, 6, 3}} {
		names, ok := f.PlaceGang(ibisplace.Request{Class: ibiswork.Gang, Resources: res(1000, 1000, 0, 1)}, c.tasks)
		assert.Assert(t, ok)
		racks, domains := map[string]bool{}, map[string]bool{}
		for _, name := range names {
			s, _ := f.Server(name)
			racks[s.Rack], domains[s.FailureDomain] = true, true
		}
		assert.Equal(t, len(names), c.tasks)
		assert.Equal(t, len(racks), c.racks, "tasks %d", c.tasks)
		assert.Equal(t, len(domains), c.domains, "tasks %d", c.tasks)
	}
	_, ok := f.PlaceGang(ibisplace.Request{Class: ibiswork.Gang, Resources: res(1000, 1000, 0, 1)}, 193)
	assert.Assert(t, !ok)
}

func TestEverFits(t *testing.T) {
	f := fleetOf(2, res(16000, 64000, 0, 8))
	assert.Assert(t, f.EverFits(res(16000, 64000, 0, 8)))
	assert.Assert(t, !f.EverFits(res(16001, 1, 0, 1)))
	assert.Assert(t, !f.EverFits(res(1, 1, 1, 1)))
	f.Put(ibisplace.Server{Name: "gpu", Capacity: res(1000, 1000, 4, 8), Closed: true})
	assert.Assert(t, f.EverFits(res(1, 1, 1, 1)))
	f.Remove("gpu")
	assert.Assert(t, !f.EverFits(res(1, 1, 1, 1)))
}

func TestPolicyOfAClassCanBeReplaced(t *testing.T) {
	f := fleetOf(3, res(16000, 64000, 0, 8))
	f.Policies = map[ibiswork.Class]ibisplace.Policy{ibiswork.Batch: {
		Scorer: ibisplace.ScorerFunc(func(c ibisplace.Candidate, _ *ibisplace.Request) float64 {
			if c.Server.Name == "w001" {
				return 1
			}
			return 0
		}),
	}}
	assert.Equal(t, place(t, f, ibisplace.Request{Class: ibiswork.Batch, Resources: res(1, 1, 0, 1)}).Name, "w001")
}

// TestDecisionsDoNotAllocate checks that Place and AddUsage do not allocate, whatever the number of running
// tasks.
func TestDecisionsDoNotAllocate(t *testing.T) {
	for _, running := range []int{0, 50, 150} {
		f := fleetOf(24, res(16000, 64000, 0, 8))
		a := ibisplace.Request{Class: ibiswork.Interactive, Resources: res(1000, 1000, 0, 1), Spread: map[string]int{"d0": 1}}
		for range running {
			place(t, f, a)
		}
		for _, a.Class = range ibiswork.Classes {
			allocs := testing.AllocsPerRun(100, func() {
				if name, ok := f.Place(a); ok {
					f.AddUsage(name, a.Resources)
					f.AddUsage(name, ibiswork.Resources{}.Sub(a.Resources))
				}
			})
			assert.Equal(t, allocs, 0.0, "%s beside %d tasks", a.Class, running)
		}
	}
}

func drawResources(t *rapid.T, label string, most int64) ibiswork.Resources {
	n := func(name string) int64 { return rapid.Int64Range(0, most).Draw(t, label+name) }
	return res(n("CPU"), n("Mem"), n("Acc"), n("Slots"))
}

// model holds the servers without an index, as a reference for Fleet.
type model map[string]ibisplace.Server

// fitCount returns how many tasks of a fit on a server, but at most bound.
func (m model) fitCount(a ibisplace.Request, name string, s ibisplace.Server, bound int) int {
	n := 0
	for !s.Closed && !a.Avoid[name] && n < bound && a.Resources.Times(int64(n+1)).FitsIn(s.Free()) {
		n++
	}
	return n
}

// total returns how many tasks of a fit on all servers, counting at most bound on each.
func (m model) total(a ibisplace.Request, bound int) int {
	sum := 0
	for name, s := range m {
		sum += m.fitCount(a, name, s, bound)
	}
	return sum
}

// TestFleetAgreesWithAModel checks after each random step that Place finds a server if and only if one fits,
// that a gang is placed whole or not at all, that no placement exceeds the capacity of a server, and that
// the sums of capacity and usage agree with the model.
func TestFleetAgreesWithAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f ibisplace.Fleet
		m := model{}
		name := func() string { return fmt.Sprintf("w%d", rapid.IntRange(0, 12).Draw(t, "name")) }
		ask := func() ibisplace.Request {
			return ibisplace.Request{
				Class:     rapid.SampledFrom(ibiswork.Classes).Draw(t, "class"),
				Resources: drawResources(t, "ask", 4),
				Spread:    map[string]int{"d0": rapid.IntRange(0, 2).Draw(t, "spread")},
				Avoid:     map[string]bool{name(): true},
			}
		}
		use := func(a ibisplace.Request, name string) {
			s := m[name]
			if s.Closed || a.Avoid[name] || !a.Resources.FitsIn(s.Free()) {
				t.Fatalf("placed on %s, which is closed, to be avoided or too small for %+v", name, a)
			}
			s.Used = s.Used.Add(a.Resources)
			m[name] = s
			f.AddUsage(name, a.Resources)
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				s := ibisplace.Server{
					Name:          name(),
					FailureDomain: fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "domain")),
					Rack:          fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(t, "rack")),
					Capacity:      drawResources(t, "capacity", 8),
					Used:          drawResources(t, "used", 6),
					Closed:        rapid.IntRange(0, 4).Draw(t, "closed") == 0,
				}
				m[s.Name] = s
				f.Put(s)
			},
			"remove": func(*rapid.T) {
				n := name()
				delete(m, n)
				f.Remove(n)
			},
			"free": func(t *rapid.T) {
				n := name()
				if s, ok := m[n]; ok {
					d := drawResources(t, "freed", 3).Min(s.Used)
					s.Used = s.Used.Sub(d)
					m[n] = s
					f.AddUsage(n, ibiswork.Resources{}.Sub(d))
				}
			},
			"place": func(t *rapid.T) {
				a := ask()
				n, ok := f.Place(a)
				if want := m.total(a, 1) > 0; ok != want {
					t.Fatalf("Place %+v: %v, want %v", a, ok, want)
				}
				if ok {
					use(a, n)
				}
			},
			"gang": func(t *rapid.T) {
				a, n := ask(), rapid.IntRange(1, 12).Draw(t, "tasks")
				names, ok := f.PlaceGang(a, n)
				if want := m.total(a, n) >= n; ok != want {
					t.Fatalf("PlaceGang %+v of %d: %v, want %v", a, n, ok, want)
				}
				if ok != (len(names) == n) || (!ok && len(names) != 0) {
					t.Fatalf("PlaceGang returned %d servers for a gang of %d", len(names), n)
				}
				for _, name := range names {
					use(a, name)
				}
			},
			"": func(t *rapid.T) {
				var capacity, used ibiswork.Resources
				for n, s := range m {
					got, _ := f.Server(n)
					assert.DeepEqual(t, got, s)
					if !s.Closed {
						capacity, used = capacity.Add(s.Capacity), used.Add(s.Used)
					}
				}
				assert.Equal(t, f.Capacity(), capacity)
				assert.Equal(t, f.Used(), used)
				assert.Equal(t, f.Len(), len(m))
			},
		})
	})
}

func TestServicesCounts(t *testing.T) {
	var s ibisplace.Services
	a, b := server(0, res(1, 1, 0, 1)), server(4, res(1, 1, 0, 1))
	s.Add("t", "web", a, 1)
	s.Add("t", "web", b, 2)
	s.Add("t", "other", b, 1)
	domains, racks := s.Counts("t", "web")
	assert.DeepEqual(t, domains, map[string]int{"d0": 1, "d1": 2})
	assert.DeepEqual(t, racks, map[string]int{"r0": 1, "r1": 2})
	s.Add("t", "web", a, -1)
	domains, _ = s.Counts("t", "web")
	assert.DeepEqual(t, domains, map[string]int{"d1": 2})
	s.Add("t", "web", b, -2)
	domains, _ = s.Counts("t", "web")
	assert.Equal(t, len(domains), 0)
}
