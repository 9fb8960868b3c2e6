package ibisstandin

import (
	"sync"
	"time"
)

// Clock is the source of time of a simulated service.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f once d has passed, unless stop is called first. The clock chooses the goroutine of f. Like
	// time.Timer.Stop, stop reports whether it prevented the call.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// clockOrSystem returns clk, or the system clock if clk is nil.
func clockOrSystem(clk Clock) Clock {
	if clk == nil {
		return systemClock{}
	}
	return clk
}

// ManualClock is a Clock that moves only when Advance is called, so that tests need not sleep. Its zero value is
// ready for use, and it is safe for use by several goroutines.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers map[*manualTimer]struct{}
}

type manualTimer struct {
	dueAt time.Time
	f     func()
}

// Now returns the time to which the clock was advanced.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc schedules f, which is called by the Advance that reaches the time d from now.
func (c *ManualClock) AfterFunc(d time.Duration, f func()) func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &manualTimer{dueAt: c.now.Add(d), f: f}
	if c.timers == nil {
		c.timers = map[*manualTimer]struct{}{}
	}
	c.timers[t] = struct{}{}
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, ok := c.timers[t]
		delete(c.timers, t)
		return ok
	}
}

// Advance moves the clock forward by d and calls the functions that become due, in order of their time.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	target := c.now.Add(d)
	for {
		t := c.nextTimer()
		if t == nil || t.dueAt.After(target) {
			break
		}
		delete(c.timers, t)
		if t.dueAt.After(c.now) {
			c.now = t.dueAt
		}
		c.mu.Unlock()
		t.f()
		c.mu.Lock()
	}
	c.now = target
	c.mu.Unlock()
}

// PendingTimers returns the number of scheduled calls that are still pending.
func (c *ManualClock) PendingTimers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

func (c *ManualClock) nextTimer() *manualTimer {
	var next *manualTimer
	for t := range c.timers {
		if next == nil || t.dueAt.Before(next.dueAt) {
			next = t
		}
	}
	return next
}
