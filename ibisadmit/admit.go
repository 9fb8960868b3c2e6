// Package ibisadmit decides at submission whether a request is accepted or refused at once with a time
// after which to come back.
//
// The decision keeps no state. It weighs the requests ahead against the measured rate of service, and
// refuses the least urgent classes first.
//
// Usage:
//
//	ok, retryAfter := ibisadmit.Decide(load, ibisadmit.Ask{Class: ibiswork.Interactive, Deadline: d}, now)
package ibisadmit

import (
	"time"

	"ibiscrank/ibiswork"
)

// Bounds on the time to come back.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// ClassLoad is the load of one class.
type ClassLoad struct {
	Waiting int     // requests in the queue
	Rate    float64 // starts a second, as measured
}

// Load is the state of one owner or gateway at one moment.
type Load struct {
	Classes  map[ibiswork.Class]ClassLoad
	MaxQueue int  // requests that may wait in all, zero for no bound
	Free     bool // there is room to start one at once
}

// Ask is the part of a request that the decision needs.
type Ask struct {
	Class    ibiswork.Class
	Urgent   bool
	Deadline time.Time     // latest useful end, zero for none
	RunTime  time.Duration // expected
}

// fillPart is the part of the queue up to which each class is accepted, so that the least urgent class
// is refused first.
var fillPart = map[ibiswork.Class]float64{
	ibiswork.Batch:       0.5,
	ibiswork.Gang:        0.6,
	ibiswork.Service:     0.8,
	ibiswork.Interactive: 0.95,
}

// Decide reports whether a request is accepted. When it is not, retryAfter is the time after which the
// load should have fallen far enough; it is zero when the deadline has passed and coming back is of no
// use.
func Decide(l Load, a Ask, now time.Time) (ok bool, retryAfter time.Duration) {
	if !a.Deadline.IsZero() && now.Add(a.RunTime).After(a.Deadline) {
		return false, 0
	}
	if over := l.waiting() - l.bound(a); over >= 0 {
		return false, clamp(l.drain(over + 1))
	}
	if a.Deadline.IsZero() || l.Free {
		return true, 0
	}
	spare := a.Deadline.Sub(now) - a.RunTime
	if wait := l.wait(a); wait > spare {
		return false, clamp(wait - spare)
	}
	return true, 0
}

// bound is the number of waiting requests at which a is refused.
func (l Load) bound(a Ask) int {
	if l.MaxQueue <= 0 {
		return int(^uint(0) >> 1)
	}
	if a.Urgent && a.Class == ibiswork.Interactive {
		return l.MaxQueue
	}
	return int(float64(l.MaxQueue) * fillPart[a.Class])
}

func (l Load) waiting() int {
	sum := 0
	for _, c := range l.Classes {
		sum += c.Waiting
	}
	return sum
}

func (l Load) rate() float64 {
	sum := 0.0
	for _, c := range l.Classes {
		sum += c.Rate
	}
	return sum
}

// wait is the expected time before a is started: that of the requests of its own class that are ahead.
func (l Load) wait(a Ask) time.Duration {
	c := l.Classes[a.Class]
	if c.Waiting == 0 || c.Rate <= 0 {
		return 0
	}
	return seconds(float64(c.Waiting) / c.Rate)
}

// drain is the time in which n requests are started.
func (l Load) drain(n int) time.Duration {
	r := l.rate()
	if r <= 0 {
		return maxRetryAfter
	}
	return seconds(float64(n) / r)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()*1000) * float64(time.Second))
}

func clamp(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
