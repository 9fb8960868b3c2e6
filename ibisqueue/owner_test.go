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

// tick is the step of the simulated clock.
const tick = 100 * time.Millisecond

// owner is a simulated owner of backend servers: a queue, its servers and the tasks that run there.
type owner struct {
	index        int
	queue        itemQueue
	fleet        ibisplace.Fleet
	runningTasks runningHeap
	used         map[string]ibiswork.Resources // by team, on this owner's servers
	startTimes   map[ibiswork.ID]time.Time
	reported     map[string]ibiswork.Resources // value of used in the last digest
}

// itemQueue is the queue of an owner, either a Queue or the baseline.
type itemQueue interface {
	Push(ibisqueue.Item)
	Round(time.Time, func(ibisqueue.Item) ibisqueue.Verdict) int
	TeamLen(string) int
	SetTeam(string, float64, ibiswork.Resources)
	Charge(string, ibiswork.Resources)
	SetCapacity(ibiswork.Resources)
}

// fifo is the baseline queue: it offers items in order of arrival and skips those that do not fit.
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

type runningTask struct {
	endsAt time.Time
	server string
	item   ibisqueue.Item
	each   ibiswork.Resources
}

// runningHeap is a heap of tasks ordered by end.
type runningHeap []runningTask

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].endsAt.Before(h[j].endsAt) }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(runningTask)) }
func (h *runningHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func newOwner(index, servers int, c ibiswork.Resources) *owner {
	o := &owner{index: index, queue: &ibisqueue.Queue{}, used: map[string]ibiswork.Resources{}, startTimes: map[ibiswork.ID]time.Time{}, reported: map[string]ibiswork.Resources{}}
	for n := range servers {
		o.fleet.Put(ibisplace.Server{
			Name: fmt.Sprintf("w%d-%d", index, n), FailureDomain: fmt.Sprintf("d%d", n%3), Rack: fmt.Sprintf("r%d", n/8), Capacity: c,
		})
	}
	return o
}

// try returns a function for Round that places an item; the item ends after runTime.
func (o *owner) try(now time.Time, runTime func(ibisqueue.Item) time.Duration) func(ibisqueue.Item) ibisqueue.Verdict {
	return func(i ibisqueue.Item) ibisqueue.Verdict {
		names, ok := o.fleet.PlaceGang(ibisplace.Request{Class: i.Class, Resources: i.PerTask}, max(i.Tasks, 1))
		if i.Class != ibiswork.Gang {
			var name string
			name, ok = o.fleet.Place(ibisplace.Request{Class: i.Class, Resources: i.PerTask})
			names = []string{name}
		}
		if !ok {
			return ibisqueue.NoRoom
		}
		end := now.Add(runTime(i))
		for _, name := range names {
			o.fleet.AddUsage(name, i.PerTask)
			heap.Push(&o.runningTasks, runningTask{end, name, i, i.PerTask})
		}
		o.used[i.Team] = o.used[i.Team].Add(i.Total())
		o.queue.Charge(i.Team, i.Total())
		o.startTimes[i.ID] = now
		return ibisqueue.Taken
	}
}

// endTasks ends the tasks whose run time is over and releases their resources.
func (o *owner) endTasks(now time.Time) {
	for len(o.runningTasks) > 0 && !o.runningTasks[0].endsAt.After(now) {
		e := heap.Pop(&o.runningTasks).(runningTask)
		back := ibiswork.Resources{}.Sub(e.each)
		o.fleet.AddUsage(e.server, back)
		o.used[e.item.Team] = o.used[e.item.Team].Add(back)
		o.queue.Charge(e.item.Team, back)
	}
}

// shareSimulation simulates several owners on which every team always has waiting items.
type shareSimulation struct {
	owners          int
	servers         int // of each owner
	weights         []float64
	digestAge       time.Duration // interval between digests
	noExtrapolation bool          // do not extrapolate usage between digests
	uneven          bool          // most teams submit through half of the owners
	fifo            bool          // use the baseline queue
	meanRun         time.Duration // of a task
	length          time.Duration // of the simulation
	seed            uint64
}

// shareResult holds the deviation of the shares from the entitlements while the fleet was full, as
// fractions of the fleet. The first quarter of the simulation is not counted.
type shareResult struct {
	largest float64 // over teams and samples
	mean    float64 // over teams and samples
	idle    float64 // mean fraction of the fleet that was not in use
}

func teamName(n int) string { return fmt.Sprintf("t%02d", n) }

// run runs the simulation. Task sizes differ by team; run times are exponentially distributed.
func (s shareSimulation) run() shareResult {
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
	nextExchange := make([]time.Time, s.owners)
	for now := start; now.Before(start.Add(s.length)); now = now.Add(tick) {
		for i, o := range owners {
			o.endTasks(now)
			if !now.Before(nextExchange[i]) {
				s.exchange(owners, i)
				nextExchange[i] = now.Add(s.digestAge)
				if nextExchange[i].Sub(start) <= s.digestAge { // owners exchange digests at different times
					nextExchange[i] = now.Add(time.Duration(rng.Float64() * float64(s.digestAge)))
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

// exchange updates the digest of owner i and gives it the usage in the last digests of the others.
func (s shareSimulation) exchange(owners []*owner, i int) {
	for t, w := range s.weights {
		name := teamName(t)
		owners[i].reported[name] = owners[i].used[name]
		sum := owners[i].used[name]
		for j, o := range owners {
			if j != i {
				sum = sum.Add(o.reported[name])
			}
		}
		owners[i].queue.SetTeam(name, w, sum)
		if q, ok := owners[i].queue.(*ibisqueue.Queue); ok && !s.noExtrapolation {
			q.SetLocalUsage(name, owners[i].used[name], s.owners)
		}
	}
}

// backlog pushes items until each team has its backlog at o, which for some teams is three times as long as
// for others.
func (s shareSimulation) backlog(o *owner, now time.Time, rng *rand.Rand, serial int) int {
	for t := range s.weights {
		if s.uneven && t%3 != 2 && o.index%2 != t%2 {
			continue
		}
		for o.queue.TeamLen(teamName(t)) < 20*(1+t%3) {
			serial++
			i := ibisqueue.Item{ID: ibiswork.ID(fmt.Sprintf("%09d", serial)), Team: teamName(t), Class: ibiswork.Batch, Tasks: 1, Enqueued: now}
			i.PerTask = [...]ibiswork.Resources{res(2000, 8000, 0, 1), res(4000, 4000, 0, 1), res(1000, 12000, 0, 1)}[(t+rng.IntN(2))%3]
			o.queue.Push(i)
		}
	}
	return serial
}

// sample adds the deviations of the current shares to r.
func (s shareSimulation) sample(owners []*owner, total ibiswork.Resources, r *shareResult) {
	weightSum, totalUsed := 0.0, ibiswork.Resources{}
	for _, w := range s.weights {
		weightSum += w
	}
	shares, shareSum := make([]float64, len(s.weights)), 0.0
	for t, w := range s.weights {
		var used ibiswork.Resources
		for _, o := range owners {
			used = used.Add(o.used[teamName(t)])
		}
		totalUsed = totalUsed.Add(used)
		shares[t] = used.Dominant(total) / w
		shareSum += shares[t] * w
	}
	// The dominant shares of teams that use different resources add up to more than one, so each share is
	// compared with the team's fraction of their sum.
	for t, w := range s.weights {
		d := math.Abs(shares[t]*w - shareSum*w/weightSum)
		r.largest = max(r.largest, d)
		r.mean += d
	}
	r.idle += 1 - totalUsed.Dominant(total)
}
