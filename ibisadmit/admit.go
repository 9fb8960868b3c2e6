// Package ibisadmit decides on admission when a request is submitted: the request is accepted, or refused at
// once with a time after which to retry. Package ibisholder calls it for every new request.
//
// The decision is stateless. It compares the number of waiting requests with the queue limit, and their
// expected waiting time, from the measured rate of starts, with the deadline. The least urgent classes are
// refused first.
//
// Usage:
//
//	ok, retryAfter := ibisadmit.Decide(load, ibisadmit.Request{Class: ibiswork.Interactive, Deadline: d}, now)
package ibisadmit

import (
	"time"

	"ibiscrank/ibiswork"
)

// Bounds on the time after which to retry.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// ClassLoad is the load of one class of requests.
type ClassLoad struct {
	Waiting int     // requests in the queue
	Rate    float64 // measured starts per second
}

// Load is the load of one owner or gateway at one instant.
type Load struct {
	Classes  map[ibiswork.Class]ClassLoad
	MaxQueue int  // total requests that may wait, 0 for no limit
	Free     bool // there is free capacity to start a request at once
}

// Request contains the properties of a request that the decision depends on.
type Request struct {
	Class    ibiswork.Class
	Urgent   bool
	Deadline time.Time     // latest useful end, zero for none
	RunTime  time.Duration // expected run time
}

// queueFraction is the fraction of MaxQueue up to which each class is accepted, so that the least urgent class
// is refused first.
var queueFraction = map[ibiswork.Class]float64{
	ibiswork.Batch:       0.5,
	ibiswork.Gang:        0.6,
	ibiswork.Service:     0.8,
	ibiswork.Interactive: 0.95,
}

// Decide reports whether a request is accepted. If not, retryAfter is the time after which the load should have
// fallen far enough, between 100 ms and 30 s. It is zero if the deadline can't be met even by an immediate start,
// so that a retry is useless.
func Decide(l Load, r Request, now time.Time) (ok bool, retryAfter time.Duration) {
	if !r.Deadline.IsZero() && now.Add(r.RunTime).After(r.Deadline) {
		return false, 0
	}
	if excess := l.totalWaiting() - l.queueLimit(r); excess >= 0 {
		return false, clampRetryAfter(l.drainTime(excess + 1))
	}
	if r.Deadline.IsZero() || l.Free {
		return true, 0
	}
	slack := r.Deadline.Sub(now) - r.RunTime
	if expectedWait := l.expectedWait(r); expectedWait > slack {
		return false, clampRetryAfter(expectedWait - slack)
	}
	return true, 0
}

// queueLimit returns the number of waiting requests at which r is refused.
func (l Load) queueLimit(r Request) int {
	if l.MaxQueue <= 0 {
		return int(^uint(0) >> 1)
	}
	if r.Urgent && r.Class == ibiswork.Interactive {
		return l.MaxQueue
	}
	return int(float64(l.MaxQueue) * queueFraction[r.Class])
}

func (l Load) totalWaiting() int {
	sum := 0
	for _, c := range l.Classes {
		sum += c.Waiting
	}
	return sum
}

func (l Load) totalRate() float64 {
	sum := 0.0
	for _, c := range l.Classes {
		sum += c.Rate
	}
	return sum
}

// expectedWait returns the expected time until r is started, from the waiting requests of its own class.
func (l Load) expectedWait(r Request) time.Duration {
	c := l.Classes[r.Class]
	if c.Waiting == 0 || c.Rate <= 0 {
		return 0
	}
	return toDuration(float64(c.Waiting) / c.Rate)
}

// drainTime returns the expected time until n requests of any class are started.
func (l Load) drainTime(n int) time.Duration {
	r := l.totalRate()
	if r <= 0 {
		return maxRetryAfter
	}
	return toDuration(float64(n) / r)
}

// toDuration converts seconds to a duration. The upper bound avoids an overflow.
func toDuration(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()*1000) * float64(time.Second))
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
