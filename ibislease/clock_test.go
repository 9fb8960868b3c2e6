package ibislease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// server simulates a backend server's clock with an offset in milliseconds and a drift in parts per million.
type server struct {
	base     time.Time
	offset   int64
	driftPPM int64
}

func (s server) now(t time.Time) int64 {
	d := t.Sub(s.base)
	return s.offset + int64(d+d/ppmUnit*time.Duration(s.driftPPM))/int64(time.Millisecond)
}

func drawServer(t *rapid.T) server {
	return server{
		base:     time.Now(),
		offset:   rapid.Int64Range(1, 1<<50).Draw(t, "offset"),
		driftPPM: rapid.Int64Range(-DefaultDriftPPM+1, DefaultDriftPPM-1).Draw(t, "ppm"),
	}
}

func drawReading(t *rapid.T, s server, sent time.Time) Reading {
	before := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "before"))
	after := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "after"))
	return Reading{Value: s.now(sent.Add(before)), Sent: sent, Received: sent.Add(before + after)}
}

func TestClockBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawServer(t)
		var c Clock
		sent := s.base
		for range rapid.IntRange(1, 20).Draw(t, "readings") {
			r := drawReading(t, s, sent)
			var ok bool
			c, ok = c.With(r)
			assert.Assert(t, ok, "reading within the drift bound contradicts earlier ones")
			for _, d := range []time.Duration{-time.Minute, 0, time.Second, time.Hour, 24 * time.Hour} {
				x := r.Received.Add(d)
				if x.Before(s.base) {
					continue
				}
				assert.Assert(t, c.Earliest(x) <= s.now(x), "%d > %d after %v", c.Earliest(x), s.now(x), d)
				assert.Assert(t, c.Latest(x) >= s.now(x), "%d < %d after %v", c.Latest(x), s.now(x), d)
			}
			sent = r.Received.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "pause")))
		}
	})
}

func TestHorizonExpiresAfterEveryLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawServer(t)
		var c Clock
		var h Horizon
		var ends []int64
		sent := s.base
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			lease := time.Duration(rapid.Int64Range(1, 60_000).Draw(t, "lease")) * time.Millisecond
			r := drawReading(t, s, sent)
			end := RenewalEnd(r.Value, lease)
			if rapid.Bool().Draw(t, "own") {
				c, _ = c.With(r)
				h = h.With(end)
			} else {
				h = h.WithOwner(r.Received, lease, 0)
			}
			ends = append(ends, end)
			sent = r.Received.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "pause")))
			for range 20 {
				x := r.Received.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "later")))
				if !h.Expired(c, x) {
					continue
				}
				for _, e := range ends {
					assert.Assert(t, s.now(x) > e, "expired at %d, but a lease ends at %d", s.now(x), e)
				}
			}
			assert.Assert(t, h.Expired(c, r.Received.Add(5*time.Minute)), "not expired 5 minutes after the last reading")
		}
	})
}

func TestClockAfterRestartOfServer(t *testing.T) {
	base := time.Now()
	c, ok := Clock{}.With(Reading{Value: 1_000_000, Sent: base, Received: base.Add(time.Millisecond)})
	assert.Assert(t, ok)
	later := base.Add(time.Minute)
	for _, value := range []int64{5, 9_000_000} {
		n, ok := c.With(Reading{Value: value, Sent: later, Received: later})
		assert.Assert(t, !ok)
		assert.Equal(t, n.Earliest(later), value)
		assert.Equal(t, n.Latest(later), value+1)
	}
}

func TestRenewalEndIgnoresDelay(t *testing.T) {
	assert.Equal(t, RenewalEnd(7000, 10*time.Second), int64(17000))
	h := Horizon{}.With(17000).With(9000)
	assert.Assert(t, !h.ExpiredAt(17000))
	assert.Assert(t, h.ExpiredAt(17001))
	assert.Assert(t, !h.Expired(Clock{}, time.Now()), "expired without a reading")
	assert.Assert(t, Horizon{}.Expired(Clock{}, time.Now()))
}
