package ibisstandin

import (
	"sync"
	"time"
)

// Clock is where a stand-in takes its time from.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f on a goroutine of its own choice once d has passed, unless stop came first.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// orSystem is clk, or the system's clock when clk is nil.
func orSystem(clk Clock) Clock {
	if clk == nil {
		return systemClock{}
	}
	return clk
}

// ManualClock stands still until it is advanced, so that tests need not sleep. Its zero value is ready.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers map[*manualTimer]struct{}
}

type manualTimer struct {
	at time.Time
	f  func()
}

// Now is the time to which the clock was advanced.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc makes Advance call f when the clock gets there.
func (c *ManualClock) AfterFunc(d time.Duration, f func()) func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &manualTimer{at: c.now.Add(d), f: f}
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

// Advance moves the clock by d and calls what is due on the way, in order of time.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	end := c.now.Add(d)
	for {
		t := c.earliest()
		if t == nil || t.at.After(end) {
			break
		}
		delete(c.timers, t)
		if t.at.After(c.now) {
			c.now = t.at
		}
		c.mu.Unlock()
		t.f()
		c.mu.Lock()
	}
	c.now = end
	c.mu.Unlock()
}

// Timers is how many calls are waiting for their time.
func (c *ManualClock) Timers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

func (c *ManualClock) earliest() *manualTimer {
	var first *manualTimer
	for t := range c.timers {
		if first == nil || t.at.Before(first.at) {
			first = t
		}
	}
	return first
}
