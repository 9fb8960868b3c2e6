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

// Constants of the comparison of ways to admit: one pool of slots, half premium (interactive, with a
// deadline), the rest default work (batch).
const (
	slots        = 16
	meanRun      = 100 * time.Millisecond
	premiumWait  = 250 * time.Millisecond // threshold on the waiting time of premium work
	premiumPart  = 0.95                   // that is to wait less
	deadline     = time.Second
	maxQueue     = 320 // two seconds of work
	arrivals     = 60000
	rateWindow   = 5 * time.Second
	premiumShare = 0.4 // of the capacity, that premium work asks for
)

type job struct {
	premium bool
	at      time.Duration
	run     time.Duration
}

// way is one way to admit and to order work.
type way struct {
	name     string
	priority bool // premium work is started first
	admit    func(s *pool, j job) bool
}

// pool is the slots and what waits for them.
type pool struct {
	now     time.Duration
	busy    durations // ends of running jobs
	queue   [2][]job  // premium, default; all in the first without priority
	waiting [2]int
	starts  [2][]time.Duration // of the last rateWindow
	seen    [2][]time.Duration // arrivals of the last rateWindow
	rng     *rand.Rand
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

func rate(list *[]time.Duration, now time.Duration) float64 {
	for len(*list) > 0 && (*list)[0] < now-rateWindow {
		*list = (*list)[1:]
	}
	return float64(len(*list)) / min(rateWindow, now+time.Millisecond).Seconds()
}

func admitAll(*pool, job) bool { return true }

// admitOurs is Decide.
func admitOurs(s *pool, j job) bool {
	l := ibisadmit.Load{MaxQueue: maxQueue, Free: len(s.busy) < slots, Classes: map[ibiswork.Class]ibisadmit.ClassLoad{
		ibiswork.Interactive: {Waiting: s.waiting[0], Rate: rate(&s.starts[0], s.now)},
		ibiswork.Batch:       {Waiting: s.waiting[1], Rate: rate(&s.starts[1], s.now)},
	}}
	start := time.Unix(0, 0)
	a := ibisadmit.Ask{Class: ibiswork.Batch}
	if j.premium {
		a = ibisadmit.Ask{Class: ibiswork.Interactive, Deadline: start.Add(s.now + deadline), RunTime: meanRun}
	}
	ok, _ := ibisadmit.Decide(l, a, start.Add(s.now))
	return ok
}

// dropping drops default work with the probability at which premium work keeps its percentile, from
// measured rates of arrival and a model of the waiting time, after Boone et al., SALSA: QoS-aware load
// balancing for autonomous service brokering (2009). For equal servers the search of the paper has the
// same result as the bisection here.
func dropping(lateAt func(rate float64) float64) func(*pool, job) bool {
	low, high := 0.0, slots/meanRun.Seconds()
	for range 40 {
		if mid := (low + high) / 2; lateAt(mid) <= 1-premiumPart {
			low = mid
		} else {
			high = mid
		}
	}
	return func(s *pool, j job) bool {
		if j.premium {
			return true
		}
		room := low - rate(&s.seen[0], s.now)
		return s.rng.Float64() < room/max(rate(&s.seen[1], s.now), 1e-9)
	}
}

// lateEach is the part of work that waits longer than the threshold when each slot has a queue of its
// own, as in the paper (M/M/1).
func lateEach(rate float64) float64 {
	mu, each := 1/meanRun.Seconds(), rate/slots
	return each / mu * math.Exp(-(mu-each)*premiumWait.Seconds())
}

// latePooled is the same for one queue before all slots (M/M/c).
func latePooled(rate float64) float64 {
	mu := 1 / meanRun.Seconds()
	a, blocking := rate/mu, 1.0
	for n := 1; n <= slots; n++ {
		blocking = a * blocking / (float64(n) + a*blocking)
	}
	waits := slots * blocking / (slots - a*(1-blocking))
	return waits * math.Exp(-(slots*mu-rate)*premiumWait.Seconds())
}

type admitResult struct {
	waits          []time.Duration // of premium work that was started
	late, offered  int             // premium
	done, all      int             // default
	longestDefault time.Duration
}

// runWay offers work at a load in parts of the capacity.
func runWay(w way, load float64, seed uint64) admitResult {
	rng := rand.New(rand.NewPCG(seed, 5))
	s := &pool{rng: rng}
	capacity := slots / meanRun.Seconds()
	var r admitResult
	for range arrivals {
		next := s.now + time.Duration(rng.ExpFloat64()/(capacity*load)*float64(time.Second))
		s.advance(next, &r)
		j := job{premium: rng.Float64() < premiumShare/load, at: next, run: time.Duration(rng.ExpFloat64() * float64(meanRun))}
		s.seen[class(j.premium)] = append(s.seen[class(j.premium)], next)
		if j.premium {
			r.offered++
		} else {
			r.all++
		}
		if !w.admit(s, j) {
			if j.premium {
				r.late++
			}
			continue
		}
		line := class(j.premium)
		if !w.priority {
			line = 0
		}
		s.queue[line] = append(s.queue[line], j)
		s.waiting[class(j.premium)]++
		s.start(&r)
	}
	return r
}

// advance ends jobs until a moment and starts others in their place.
func (s *pool) advance(until time.Duration, r *admitResult) {
	for len(s.busy) > 0 && s.busy[0] <= until {
		s.now = heap.Pop(&s.busy).(time.Duration)
		s.start(r)
	}
	s.now = until
}

func (s *pool) start(r *admitResult) {
	for line := range s.queue {
		for len(s.queue[line]) > 0 && len(s.busy) < slots {
			j := s.queue[line][0]
			s.queue[line] = s.queue[line][1:]
			c := class(j.premium)
			s.waiting[c]--
			s.starts[c] = append(s.starts[c], s.now)
			heap.Push(&s.busy, s.now+j.run)
			wait := s.now - j.at
			switch {
			case !j.premium:
				r.done++
				r.longestDefault = max(r.longestDefault, wait)
			default:
				r.waits = append(r.waits, wait)
				if wait > premiumWait {
					r.late++
				}
			}
		}
	}
}

// BenchmarkAdmit compares ways to admit at loads below and above the capacity.
func BenchmarkAdmit(b *testing.B) {
	ways := []way{
		{"arrival-order/all", false, admitAll},
		{"arrival-order/dropping-each", false, dropping(lateEach)},
		{"arrival-order/dropping-pooled", false, dropping(latePooled)},
		{"urgency-order/dropping-pooled", true, dropping(latePooled)},
		{"urgency-order/all", true, admitAll},
		{"urgency-order/Decide", true, admitOurs},
	}
	for _, load := range []float64{0.8, 1.2, 2} {
		for seed := uint64(1); seed <= 3; seed++ {
			for _, w := range ways {
				b.Run(fmt.Sprintf("load=%.1f/seed=%d/%s", load, seed, w.name), func(b *testing.B) {
					var r admitResult
					for b.Loop() {
						r = runWay(w, load, seed)
					}
					slices.Sort(r.waits)
					b.ReportMetric(float64(r.waits[len(r.waits)*99/100])/1e6, "premium-p99-wait-ms")
					b.ReportMetric(100*float64(r.late)/float64(r.offered), "%premium-late-or-refused")
					b.ReportMetric(100*float64(r.done)/float64(r.all), "%default-started")
					b.ReportMetric(r.longestDefault.Seconds(), "longest-default-wait-s")
				})
			}
		}
	}
}

// BenchmarkDecide is the time of one decision.
func BenchmarkDecide(b *testing.B) {
	l := load(80, 100)
	a := ibisadmit.Ask{Class: ibiswork.Interactive, Deadline: now.Add(time.Second), RunTime: 100 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		ibisadmit.Decide(l, a, now)
	}
}
