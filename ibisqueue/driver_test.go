package ibisqueue_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ibiscrank/ibisplace"
	"ibiscrank/ibisqueue"
	"ibiscrank/ibiswork"
)

// tick is the step of a driver's clock.
const tick = 100 * time.Millisecond

// owner is one owner of backend servers in a driver: a queue, its servers and what runs there.
type owner struct {
	index int
	queue line
	fleet ibisplace.Fleet
	ends  endHeap
	used  map[string]ibiswork.Resources // by team, here
	began map[ibiswork.ID]time.Time
	told  map[string]ibiswork.Resources // what the last digest said of used
}

// line is a queue of an owner, ours or the baseline's.
type line interface {
	Push(ibisqueue.Item)
	Round(time.Time, func(ibisqueue.Item) ibisqueue.Verdict) int
	TeamLen(string) int
	SetTeam(string, float64, ibiswork.Resources)
	Charge(string, ibiswork.Resources)
	SetCapacity(ibiswork.Resources)
}

// fifo is the baseline: items in order of arrival, those that find no room passed over.
type fifo struct {
	items []ibisqueue.Item
	teams map[string]int
}

func (f *fifo) Push(i ibisqueue.Item)                       { f.items = append(f.items, i); f.teams[i.Team]++ }
func (f *fifo) TeamLen(team string) int                     { return f.teams[team] }
func (f *fifo) SetTeam(string, float64, ibiswork.Resources) {}
func (f *fifo) Charge(string, ibiswork.Resources)           {}
func (f *fifo) SetCapacity(ibiswork.Resources)              {}
func (f *fifo) Round(_ time.Time, try func(ibisqueue.Item) ibisqueue.Verdict) int {
	left := f.items[:0]
	taken := 0
	for _, i := range f.items {
		if try(i) == ibisqueue.Taken {
			f.teams[i.Team]--
			taken++
			continue
		}
		left = append(left, i)
	}
	f.items = left
	return taken
}

type ending struct {
	at     time.Time
	server string
	item   ibisqueue.Item
	each   ibiswork.Resources
}

type endHeap []ending

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(ending)) }
func (h *endHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func newOwner(index, servers int, c ibiswork.Resources) *owner {
	o := &owner{index: index, queue: &ibisqueue.Queue{}, used: map[string]ibiswork.Resources{}, began: map[ibiswork.ID]time.Time{}, told: map[string]ibiswork.Resources{}}
	for n := range servers {
		o.fleet.Put(ibisplace.Server{
			Name: fmt.Sprintf("w%d-%d", index, n), FailureDomain: fmt.Sprintf("d%d", n%3), Rack: fmt.Sprintf("r%d", n/8), Capacity: c,
		})
	}
	return o
}

// try places an item for the time that its RunTime says, or runTime when it says none.
func (o *owner) try(now time.Time, runTime func(ibisqueue.Item) time.Duration) func(ibisqueue.Item) ibisqueue.Verdict {
	return func(i ibisqueue.Item) ibisqueue.Verdict {
		names, ok := o.fleet.PlaceGang(ibisplace.Ask{Class: i.Class, Resources: i.Each}, max(i.Tasks, 1))
		if i.Class != ibiswork.Gang {
			var name string
			name, ok = o.fleet.Place(ibisplace.Ask{Class: i.Class, Resources: i.Each})
			names = []string{name}
		}
		if !ok {
			return ibisqueue.NoRoom
		}
		end := now.Add(runTime(i))
		for _, name := range names {
			o.fleet.Use(name, i.Each)
			heap.Push(&o.ends, ending{end, name, i, i.Each})
		}
		o.used[i.Team] = o.used[i.Team].Add(i.Total())
		o.queue.Charge(i.Team, i.Total())
		o.began[i.ID] = now
		return ibisqueue.Taken
	}
}

func (o *owner) end(now time.Time) {
	for len(o.ends) > 0 && !o.ends[0].at.After(now) {
		e := heap.Pop(&o.ends).(ending)
		back := ibiswork.Resources{}.Sub(e.each)
		o.fleet.Use(e.server, back)
		o.used[e.item.Team] = o.used[e.item.Team].Add(back)
		o.queue.Charge(e.item.Team, back)
	}
}

// shareRun is one run of several owners that are kept full by all teams.
type shareRun struct {
	owners  int
	servers int // of each owner
	weights []float64
	age     time.Duration // between digests
	plain   bool          // without extrapolation between digests
	uneven  bool          // most teams submit through half of the owners
	fifo    bool          // the baseline: items in order of arrival
	meanRun time.Duration
	length  time.Duration
	seed    uint64
}

// shareResult is how far the shares were from the entitlements while the fleet was full.
type shareResult struct {
	largest float64 // of all teams and moments after the first quarter, in parts of the fleet
	mean    float64 // over teams and moments
	idle    float64 // mean part of the fleet that was not in use
}

func teamName(n int) string { return fmt.Sprintf("t%02d", n) }

// run keeps a backlog of every team at every owner. Sizes and run times differ by team.
func (s shareRun) run() shareResult {
	rng := rand.New(rand.NewPCG(s.seed, 7))
	each := res(16000, 64000, 0, 8)
	total := each.Times(int64(s.owners * s.servers))
	owners := make([]*owner, s.owners)
	for i := range owners {
		owners[i] = newOwner(i, s.servers, each)
		if s.fifo {
			owners[i].queue = &fifo{teams: map[string]int{}}
		}
		owners[i].queue.SetCapacity(total)
	}
	var result shareResult
	samples, serial := 0, 0
	runTime := func(ibisqueue.Item) time.Duration {
		return time.Duration(rng.ExpFloat64() * float64(s.meanRun))
	}
	next := make([]time.Time, s.owners)
	for now := start; now.Before(start.Add(s.length)); now = now.Add(tick) {
		for i, o := range owners {
			o.end(now)
			if !now.Before(next[i]) {
				s.exchange(owners, i)
				next[i] = now.Add(s.age)
				if next[i].Sub(start) <= s.age { // owners exchange at different moments
					next[i] = now.Add(time.Duration(rng.Float64() * float64(s.age)))
				}
			}
			serial = s.backlog(o, now, rng, serial)
			o.queue.Round(now, o.try(now, runTime))
		}
		if now.Sub(start) > s.length/4 {
			s.sample(owners, total, &result)
			samples++
		}
	}
	result.mean /= float64(samples * len(s.weights))
	result.idle /= float64(samples)
	return result
}

// exchange gives owner i what the others used when they last told, and lets it tell.
func (s shareRun) exchange(owners []*owner, i int) {
	for t, w := range s.weights {
		name := teamName(t)
		owners[i].told[name] = owners[i].used[name]
		sum := owners[i].used[name]
		for j, o := range owners {
			if j != i {
				sum = sum.Add(o.told[name])
			}
		}
		owners[i].queue.SetTeam(name, w, sum)
		if q, ok := owners[i].queue.(*ibisqueue.Queue); ok && !s.plain {
			q.SetLocal(name, owners[i].used[name], s.owners)
		}
	}
}

// backlog keeps items of each team waiting, of some teams three times as many as of others.
func (s shareRun) backlog(o *owner, now time.Time, rng *rand.Rand, serial int) int {
	for t := range s.weights {
		if s.uneven && t%3 != 2 && o.index%2 != t%2 {
			continue
		}
		for o.queue.TeamLen(teamName(t)) < 20*(1+t%3) {
			serial++
			i := ibisqueue.Item{ID: ibiswork.ID(fmt.Sprintf("%09d", serial)), Team: teamName(t), Class: ibiswork.Batch, Tasks: 1, Enqueued: now}
			i.Each = [...]ibiswork.Resources{res(2000, 8000, 0, 1), res(4000, 4000, 0, 1), res(1000, 12000, 0, 1)}[(t+rng.IntN(2))%3]
			o.queue.Push(i)
		}
	}
	return serial
}

func (s shareRun) sample(owners []*owner, total ibiswork.Resources, r *shareResult) {
	sum, all := 0.0, ibiswork.Resources{}
	for _, w := range s.weights {
		sum += w
	}
	shares, highest := make([]float64, len(s.weights)), 0.0
	for t, w := range s.weights {
		var used ibiswork.Resources
		for _, o := range owners {
			used = used.Add(o.used[teamName(t)])
		}
		all = all.Add(used)
		shares[t] = used.Dominant(total) / w
		highest += shares[t] * w
	}
	// Dominant shares of unlike teams add up to more than one, so each is compared with its part of
	// their sum.
	for t, w := range s.weights {
		d := math.Abs(shares[t]*w - highest*w/sum)
		r.largest = max(r.largest, d)
		r.mean += d
	}
	r.idle += 1 - all.Dominant(total)
}
