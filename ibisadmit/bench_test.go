package ibisadmit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ibiscrank/ibisadmit"
	"ibiscrank/ibiswork"
)

// Parameters of the comparison of admission policies: one pool of slots serves premium work (interactive, with
// a deadline) and default work (batch). At a load of 0.8, half of the work is premium.
const (
	slots          = 16
	meanRun        = 100 * time.Millisecond
	maxPremiumWait = 250 * time.Millisecond // objective for the waiting time of premium work
	premiumOnTime  = 0.95                   // fraction of premium work that must wait less
	deadline       = time.Second
	maxQueue       = 320   // two seconds of work
	arrivals       = 60000 // jobs offered in one simulation
	rateWindow     = 5 * time.Second
	premiumShare   = 0.4 // fraction of the capacity that premium work requests
)

// job is one piece of work.
type job struct {
	premium bool
	arrival time.Duration
	run     time.Duration
}

// policy is one policy for admission and ordering.
type policy struct {
	name     string
	priority bool // premium work is started first
	admit    func(s *simulation, j job) bool
}

// simulation is the state of the slots and of the jobs that wait for them.
type simulation struct {
	now            time.Duration
	busy           durations // end times of running jobs
	queues         [2][]job  // premium, default; without priority all jobs are in the first queue
	waiting        [2]int
	recentStarts   [2][]time.Duration // of the last rateWindow
	recentArrivals [2][]time.Duration // arrivals of the last rateWindow
	rng            *rand.Rand
}

type durations []time.Duration

func (d durations) Len() int           { return len(d) }
func (d durations) Less(i, j int) bool { return d[i] < d[j] }
func (d durations) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *durations) Push(x any)        { *d = append(*d, x.(time.Duration)) }
func (d *durations) Pop() any {
	last := len(*d) - 1
	v := (*d)[last]
	*d = (*d)[:last]
	return v
}

func class(premium bool) int {
	if premium {
		return 0
	}
	return 1
}

// rate returns the number of instants in the last rateWindow per second, and removes older ones from list.
func rate(list *[]time.Duration, now time.Duration) float64 {
	for len(*list) > 0 && (*list)[0] < now-rateWindow {
		*list = (*list)[1:]
	}
	return float64(len(*list)) / min(rateWindow, now+time.Millisecond).Seconds()
}

func admitAll(*simulation, job) bool { return true }

// admitDecide admits by ibisadmit.Decide.
func admitDecide(s *simulation, j job) bool {
	l := ibisadmit.Load{MaxQueue: maxQueue, Free: len(s.busy) < slots, Classes: map[ibiswork.Class]ibisadmit.ClassLoad{
		ibiswork.Interactive: {Waiting: s.waiting[0], Rate: rate(&s.recentStarts[0], s.now)},
		ibiswork.Batch:       {Waiting: s.waiting[1], Rate: rate(&s.recentStarts[1], s.now)},
	}}
	start := time.Unix(0, 0)
	a := ibisadmit.Request{Class: ibiswork.Batch}
	if j.premium {
		a = ibisadmit.Request{Class: ibiswork.Interactive, Deadline: start.Add(s.now + deadline), RunTime: meanRun}
	}
	ok, _ := ibisadmit.Decide(l, a, start.Add(s.now))
	return ok
}

// dropDefault returns a policy that drops default work with the probability at which premium work still meets
// its percentile, from measured arrival rates and a model of the waiting time, after Boone et al., SALSA:
// QoS-aware load balancing for autonomous service brokering (2009). For equal servers the search in the paper
// has the same result as the bisection here.
func dropDefault(lateFraction func(rate float64) float64) func(*simulation, job) bool {
	low, high := 0.0, slots/meanRun.Seconds()
	for range 40 {
		if mid := (low + high) / 2; lateFraction(mid) <= 1-premiumOnTime {
			low = mid
		} else {
			high = mid
		}
	}
	return func(s *simulation, j job) bool {
		if j.premium {
			return true
		}
		allowed := low - rate(&s.recentArrivals[0], s.now)
		return s.rng.Float64() < allowed/max(rate(&s.recentArrivals[1], s.now), 1e-9)
	}
}

// lateFractionPerSlot returns the fraction of work that waits longer than maxPremiumWait at an arrival rate per
// second if each slot has its own queue, as in the paper (M/M/1).
func lateFractionPerSlot(rate float64) float64 {
	mu, perSlot := 1/meanRun.Seconds(), rate/slots
	return perSlot / mu * math.Exp(-(mu-perSlot)*maxPremiumWait.Seconds())
}

// lateFractionPooled is lateFractionPerSlot for one queue shared by all slots (M/M/c).
func lateFractionPooled(rate float64) float64 {
	mu := 1 / meanRun.Seconds()
	a, blocking := rate/mu, 1.0
	for n := 1; n <= slots; n++ {
		blocking = a * blocking / (float64(n) + a*blocking)
	}
	waitFraction := slots * blocking / (slots - a*(1-blocking))
	return waitFraction * math.Exp(-(slots*mu-rate)*maxPremiumWait.Seconds())
}

// admitResult counts the jobs of one simulation.
type admitResult struct {
	waits                          []time.Duration // of premium jobs that were started
	lateOrRefused, premiumOffered  int             // premium
	defaultStarted, defaultOffered int             // default
	maxDefaultWait                 time.Duration
}

// simulate offers jobs at a load given as a multiple of the capacity.
func simulate(p policy, load float64, seed uint64) admitResult {
	rng := rand.New(rand.NewPCG(seed, 5))
	s := &simulation{rng: rng}
	capacity := slots / meanRun.Seconds()
	var r admitResult
	for range arrivals {
		next := s.now + time.Duration(rng.ExpFloat64()/(capacity*load)*float64(time.Second))
		s.advance(next, &r)
		j := job{premium: rng.Float64() < premiumShare/load, arrival: next, run: time.Duration(rng.ExpFloat64() * float64(meanRun))}
		s.recentArrivals[class(j.premium)] = append(s.recentArrivals[class(j.premium)], next)
		if j.premium {
			r.premiumOffered++
		} else {
			r.defaultOffered++
		}
		if !p.admit(s, j) {
			if j.premium {
				r.lateOrRefused++
			}
			continue
		}
		queue := class(j.premium)
		if !p.priority {
			queue = 0
		}
		s.queues[queue] = append(s.queues[queue], j)
		s.waiting[class(j.premium)]++
		s.start(&r)
	}
	return r
}

// advance moves the clock to until, ends jobs on the way and starts others in their place.
func (s *simulation) advance(until time.Duration, r *admitResult) {
	for len(s.busy) > 0 && s.busy[0] <= until {
		s.now = heap.Pop(&s.busy).(time.Duration)
		s.start(r)
	}
	s.now = until
}

// start starts waiting jobs, premium ones first, while slots are free.
func (s *simulation) start(r *admitResult) {
	for queue := range s.queues {
		for len(s.queues[queue]) > 0 && len(s.busy) < slots {
			j := s.queues[queue][0]
			s.queues[queue] = s.queues[queue][1:]
			c := class(j.premium)
			s.waiting[c]--
			s.recentStarts[c] = append(s.recentStarts[c], s.now)
			heap.Push(&s.busy, s.now+j.run)
			wait := s.now - j.arrival
			switch {
			case !j.premium:
				r.defaultStarted++
				r.maxDefaultWait = max(r.maxDefaultWait, wait)
			default:
				r.waits = append(r.waits, wait)
				if wait > maxPremiumWait {
					r.lateOrRefused++
				}
			}
		}
	}
}

// BenchmarkAdmit compares admission policies at loads below and above the capacity.
func BenchmarkAdmit(b *testing.B) {
	policies := []policy{
		{"arrival-order/all", false, admitAll},
		{"arrival-order/dropping-each", false, dropDefault(lateFractionPerSlot)},
		{"arrival-order/dropping-pooled", false, dropDefault(lateFractionPooled)},
		{"urgency-order/dropping-pooled", true, dropDefault(lateFractionPooled)},
		{"urgency-order/all", true, admitAll},
		{"urgency-order/Decide", true, admitDecide},
	}
	for _, load := range []float64{0.8, 1.2, 2} {
		for seed := uint64(1); seed <= 3; seed++ {
			for _, p := range policies {
				b.Run(fmt.Sprintf("load=%.1f/seed=%d/%s", load, seed, p.name), func(b *testing.B) {
					var r admitResult
					for b.Loop() {
						r = simulate(p, load, seed)
					}
					slices.Sort(r.waits)
					b.ReportMetric(float64(r.waits[len(r.waits)*99/100])/1e6, "premium-p99-wait-ms")
					b.ReportMetric(100*float64(r.lateOrRefused)/float64(r.premiumOffered), "%premium-late-or-refused")
					b.ReportMetric(100*float64(r.defaultStarted)/float64(r.defaultOffered), "%default-started")
					b.ReportMetric(r.maxDefaultWait.Seconds(), "longest-default-wait-s")
				})
			}
		}
	}
}

// BenchmarkDecide measures one decision.
func BenchmarkDecide(b *testing.B) {
	l := load(80, 100)
	a := ibisadmit.Request{Class: ibiswork.Interactive, Deadline: now.Add(time.Second), RunTime: 100 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		ibisadmit.Decide(l, a, now)
	}
}
