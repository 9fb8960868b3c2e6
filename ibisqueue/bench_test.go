package ibisqueue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ibiscrank/ibisplace"
	"ibiscrank/ibisqueue"
	"ibiscrank/ibiswork"
)

const (
	benchSeed  = 20261203
	benchTeams = 140
)

func benchItem(rng *rand.Rand, serial int) ibisqueue.Item {
	i := ibisqueue.Item{
		ID:   ibiswork.ID(fmt.Sprintf("%012d", serial)),
		Team: teamName(rng.IntN(benchTeams)), Class: ibiswork.Interactive,
		PerTask: res(100*(1+rng.Int64N(8)), 250*(1+rng.Int64N(12)), 0, 1), Tasks: 1, Enqueued: start.Add(time.Duration(serial)),
	}
	switch p := rng.IntN(10); {
	case p < 2:
		i.Class = ibiswork.Service
	case p < 5:
		i.Class = ibiswork.Batch
	case p == 5:
		i.Urgent = true
	}
	return i
}

// bench is a queue and a fleet with running tasks, of which some end before each round.
type bench struct {
	rng     *rand.Rand
	queue   itemQueue
	place   func(a ibisplace.Request) (string, bool)
	fleet   ibisplace.Fleet
	running []runningTask
	serial  int
	times   *hdrhistogram.Histogram // in ns, of one decision: choice of the item and of its server
	since   time.Time               // end of the last decision
}

func newBench(queue itemQueue, servers, running int) *bench {
	b := &bench{rng: rand.New(rand.NewPCG(benchSeed, 1)), queue: queue, times: hdrhistogram.New(1, int64(time.Second), 3)}
	b.place = b.fleet.Place
	each := res(16000, 64000, 0, 32)
	for n := range servers {
		b.fleet.Put(ibisplace.Server{Name: fmt.Sprintf("w%d", n), FailureDomain: fmt.Sprintf("d%d", n/8%14), Rack: fmt.Sprintf("r%d", n/8), Capacity: each})
	}
	queue.SetCapacity(each.Times(int64(servers)))
	for n := range benchTeams {
		queue.SetTeam(teamName(n), float64(1+n%5), ibiswork.Resources{})
	}
	for len(b.running) < running {
		b.push(min(1000, running-len(b.running)))
		if b.round() == 0 {
			break
		}
	}
	b.times.Reset()
	return b
}

func (b *bench) push(n int) {
	for range n {
		b.serial++
		b.queue.Push(benchItem(b.rng, b.serial))
	}
}

func (b *bench) end(n int) {
	for range n {
		i, last := b.rng.IntN(len(b.running)), len(b.running)-1
		e := b.running[i]
		b.running[i] = b.running[last]
		b.running = b.running[:last]
		back := ibiswork.Resources{}.Sub(e.each)
		b.fleet.AddUsage(e.server, back)
		b.queue.Charge(e.item.Team, back)
	}
}

func (b *bench) round() int {
	b.since = time.Now()
	return b.queue.Round(start.Add(time.Hour), func(i ibisqueue.Item) ibisqueue.Verdict {
		name, ok := b.place(ibisplace.Request{Team: i.Team, Class: i.Class, Resources: i.PerTask})
		if ok {
			b.fleet.AddUsage(name, i.PerTask)
			b.queue.Charge(i.Team, i.PerTask)
		}
		now := time.Now()
		_ = b.times.RecordValue(int64(now.Sub(b.since)))
		b.since = now
		if !ok {
			return ibisqueue.NoRoom
		}
		b.running = append(b.running, runningTask{server: name, item: i, each: i.PerTask})
		return ibisqueue.Taken
	})
}

func (b *bench) report(t *testing.B, decisions int) {
	t.ReportMetric(float64(b.times.ValueAtQuantile(99))/1e3, "p99-µs")
	t.ReportMetric(float64(decisions)/t.Elapsed().Seconds(), "decisions/s")
	t.ReportMetric(float64(len(b.running)), "running")
}

// BenchmarkDecisions measures rounds with 100 starts, each a choice of the item and of its server. The time
// includes pushing the items and ending as many tasks.
func BenchmarkDecisions(b *testing.B) {
	for _, size := range []struct{ servers, running int }{{50, 850}, {8500, 30000}, {8500, 150000}} {
		for _, kind := range []string{"fair", "fifo"} {
			b.Run(fmt.Sprintf("servers=%d/running=%d/%s", size.servers, size.running, kind), func(b *testing.B) {
				var queue itemQueue = &ibisqueue.Queue{}
				if kind == "fifo" {
					queue = &fifo{teams: map[string]int{}}
				}
				w := newBench(queue, size.servers, size.running)
				b.ReportAllocs()
				taken := 0
				for b.Loop() {
					w.end(100)
					w.push(100)
					taken += w.round()
				}
				w.report(b, taken)
			})
		}
	}
}

// BenchmarkRoundWithoutRoom measures one round over many waiting items of which none fits.
func BenchmarkRoundWithoutRoom(b *testing.B) {
	for _, waiting := range []int{1000, 20000, 100000} {
		for _, kind := range []string{"fair", "fifo"} {
			b.Run(fmt.Sprintf("waiting=%d/%s", waiting, kind), func(b *testing.B) {
				var queue itemQueue = &ibisqueue.Queue{}
				if kind == "fifo" {
					queue = &fifo{teams: map[string]int{}}
				}
				w := newBench(queue, 8500, 0)
				w.fleet = ibisplace.Fleet{}
				w.push(waiting)
				for b.Loop() {
					w.round()
				}
			})
		}
	}
}

// BenchmarkOffer measures pushing one item, offering it without success and removing it while others wait.
func BenchmarkOffer(b *testing.B) {
	q := &ibisqueue.Queue{}
	w := newBench(q, 8500, 0)
	w.fleet = ibisplace.Fleet{}
	w.push(20000)
	w.round()
	i := item("new", teamName(0), ibiswork.Interactive)
	i.PerTask = res(12345, 1, 0, 1)
	for b.Loop() {
		q.Push(i)
		q.Offer(start, i.ID, func(ibisqueue.Item) ibisqueue.Verdict { return ibisqueue.NoRoom })
		q.Remove(i.ID)
	}
}

// BenchmarkCancel measures 10,000 cancellations among 50,000 waiting items, with a round of up to 100 starts
// after each 100 cancellations. The variant without cancellations gives the time of a round for comparison.
func BenchmarkCancel(b *testing.B) {
	const cancellations = 10000
	for _, cancel := range []bool{false, true} {
		b.Run(fmt.Sprintf("cancel=%v", cancel), func(b *testing.B) {
			q := &ibisqueue.Queue{}
			w := newBench(q, 8500, 100000)
			var cancelTime time.Duration
			rounds := hdrhistogram.New(1, int64(time.Second), 3)
			for b.Loop() {
				b.StopTimer()
				w.push(50000 - q.Len())
				first := w.serial
				b.StartTimer()
				for n := range cancellations {
					if cancel {
						begin := time.Now()
						q.Remove(ibiswork.ID(fmt.Sprintf("%012d", first-n*5)))
						cancelTime += time.Since(begin)
					}
					if n%100 == 0 {
						w.end(100)
						begin := time.Now()
						w.limitedRound(100)
						_ = rounds.RecordValue(int64(time.Since(begin)))
					}
				}
			}
			b.ReportMetric(float64(cancelTime.Nanoseconds())/float64(b.N*cancellations), "ns/cancel")
			b.ReportMetric(float64(rounds.ValueAtQuantile(99))/1e3, "round-p99-µs")
		})
	}
}

// limitedRound runs a round in which at most n items are placed.
func (b *bench) limitedRound(n int) {
	placeAny := b.place
	b.place = func(a ibisplace.Request) (string, bool) {
		if n--; n < 0 {
			return "", false
		}
		return placeAny(a)
	}
	b.round()
	b.place = placeAny
}

// BenchmarkShares reports the deviation from the fair shares on a full fleet, in percent of the fleet.
func BenchmarkShares(b *testing.B) {
	for _, mean := range []time.Duration{2 * time.Second, 20 * time.Second} {
		for _, digestAge := range []time.Duration{tick, time.Second, 3 * time.Second, 8 * time.Second} {
			for _, kind := range []string{"extrapolated", "plain", "fifo"} {
				if kind == "fifo" && digestAge != tick {
					continue // the baseline does not use digests
				}
				for seed := uint64(1); seed <= 3; seed++ {
					b.Run(fmt.Sprintf("run=%v/age=%v/%s/seed=%d", mean, digestAge, kind, seed), func(b *testing.B) {
						s := shareSimulation{
							owners: 7, servers: 7, weights: []float64{1, 1, 2, 2, 4, 8}, uneven: seed == 3,
							digestAge: digestAge, noExtrapolation: kind == "plain", fifo: kind == "fifo", meanRun: mean, length: 2 * time.Minute, seed: seed,
						}
						var r shareResult
						for b.Loop() {
							r = s.run()
						}
						b.ReportMetric(100*r.largest, "%largest")
						b.ReportMetric(100*r.mean, "%mean")
						b.ReportMetric(100*r.idle, "%idle")
					})
				}
			}
		}
	}
}

// BenchmarkSharesOfManyTeams is like BenchmarkShares with 140 teams of weights 1 to 5 on 350 servers.
func BenchmarkSharesOfManyTeams(b *testing.B) {
	weights := make([]float64, benchTeams)
	for n := range weights {
		weights[n] = float64(1 + n%5)
	}
	for _, digestAge := range []time.Duration{tick, 3 * time.Second, 8 * time.Second} {
		for _, noExtrapolation := range []bool{false, true} {
			for seed := uint64(1); seed <= 3; seed++ {
				b.Run(fmt.Sprintf("age=%v/plain=%v/seed=%d", digestAge, noExtrapolation, seed), func(b *testing.B) {
					s := shareSimulation{
						owners: 7, servers: 50, weights: weights, digestAge: digestAge, noExtrapolation: noExtrapolation,
						meanRun: 5 * time.Second, length: 40 * time.Second, seed: seed,
					}
					var r shareResult
					for b.Loop() {
						r = s.run()
					}
					b.ReportMetric(100*r.largest, "%largest")
					b.ReportMetric(100*r.mean, "%mean")
					b.ReportMetric(100*r.idle, "%idle")
				})
			}
		}
	}
}

// BenchmarkGangs reports how long two gangs that cannot run at the same time wait on a full fleet.
func BenchmarkGangs(b *testing.B) {
	for _, kind := range []string{"reserving", "fifo"} {
		for seed := uint64(1); seed <= 3; seed++ {
			b.Run(fmt.Sprintf("%s/seed=%d", kind, seed), func(b *testing.B) {
				var r gangResult
				for b.Loop() {
					r = gangSimulation{fifo: kind == "fifo", gangs: 2, tasks: 48, seed: seed, length: 8 * time.Minute}.run()
				}
				b.ReportMetric(float64(len(r.waits)), "gangs-started")
				if len(r.waits) > 0 {
					b.ReportMetric(r.waits[len(r.waits)-1].Seconds(), "longest-wait-s")
				}
				b.ReportMetric(float64(r.batch), "small-started")
				b.ReportMetric(100*r.idle, "%idle")
			})
		}
	}
}
