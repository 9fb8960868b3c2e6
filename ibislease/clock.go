// Package ibislease does the arithmetic of leases in a backend server's clock. It is pure: instants are
// passed in, as values of time.Time with a monotonic reading.
//
// Usage:
//
//	clock, _ = clock.With(ibislease.Reading{Value: reply.Clock, Sent: sent, Received: time.Now()})
//	end := ibislease.RenewalEnd(reply.Clock, 10*time.Second)
//	horizon = horizon.With(end)
//	if horizon.Passed(clock, time.Now()) {
//		// every lease on that server has ended: its tasks may be started elsewhere
//	}
package ibislease

import (
	"math"
	"time"
)

// DefaultDriftPPM is how many millionths the rate of a server's clock may be off from that of the local
// monotonic clock.
const DefaultDriftPPM = 1000

const million = 1_000_000

// Reading is one reading of a server's clock: the server took it between Sent and Received.
type Reading struct {
	Value    int64 // milliseconds in the server's clock, rounded down
	Sent     time.Time
	Received time.Time
}

// Clock estimates a server's clock from readings. It is an immutable value; the zero value knows nothing
// and has the default drift.
type Clock struct {
	ppm   int64
	known bool
	low   Reading // gives the best lower bound
	high  Reading // gives the best upper bound
}

// NewClock makes a clock for a drift of at most ppm millionths.
func NewClock(ppm int64) Clock { return Clock{ppm: ppm} }

// Known reports whether there was a reading.
func (c Clock) Known() bool { return c.known }

// With is c with one more reading. It reports false when the reading contradicts the earlier ones, as
// after a restart of the server with another clock; then only the new reading counts.
func (c Clock) With(r Reading) (Clock, bool) {
	if !c.known {
		c.known, c.low, c.high = true, r, r
		return c, true
	}
	n := Clock{ppm: c.ppm, known: true, low: r, high: r}
	if n.Latest(r.Received) < c.Earliest(r.Received) || r.Value > c.Latest(r.Received) {
		return n, false
	}
	if n.Earliest(r.Received) < c.Earliest(r.Received) {
		n.low = c.low
	}
	if n.Latest(r.Received) > c.Latest(r.Received) {
		n.high = c.high
	}
	return n, true
}

// Earliest is the least that the server's clock can show at a local instant, in milliseconds. It goes on
// by the drift bound while no reading arrives. Without a reading it is the least integer.
func (c Clock) Earliest(now time.Time) int64 {
	if !c.known {
		return math.MinInt64
	}
	passed := now.Sub(c.low.Received)
	if passed < 0 {
		return c.low.Value + floorMS(c.stretch(passed, +1))
	}
	return c.low.Value + floorMS(c.stretch(passed, -1))
}

// Latest is the most that the server's clock can show at a local instant, in milliseconds. Without a
// reading it is the greatest integer. The local monotonic clock stands still while the local VM is
// suspended, so no lease is computed from Latest.
func (c Clock) Latest(now time.Time) int64 {
	if !c.known {
		return math.MaxInt64
	}
	passed := now.Sub(c.high.Sent)
	if passed < 0 {
		return c.high.Value + 1 - floorMS(c.stretch(-passed, -1))
	}
	return c.high.Value + 1 - floorMS(-c.stretch(passed, +1))
}

// stretch lengthens or, with a sign of -1, shortens a duration by the drift.
func (c Clock) stretch(d time.Duration, sign int64) time.Duration {
	return d + time.Duration(sign*(int64(d)/million*c.drift()+int64(d)%million*c.drift()/million))
}

func (c Clock) drift() int64 {
	if c.ppm > 0 {
		return c.ppm
	}
	return DefaultDriftPPM
}

func floorMS(d time.Duration) int64 {
	ms := int64(d / time.Millisecond)
	if d%time.Millisecond < 0 {
		ms--
	}
	return ms
}

// RenewalEnd is the end of a lease in the server's clock, computed from the last reading that the server
// sent: a renewal that is delayed or repeated extends nothing beyond it.
func RenewalEnd(reading int64, lease time.Duration) int64 { return reading + lease.Milliseconds() }

// Horizon is, for one server, the end of every lease that any owner could have given. It is an immutable
// value, and the zero value stands for no lease.
type Horizon struct {
	given bool
	end   int64     // in the server's clock
	local time.Time // at the latest, for leases whose end is not known
}

// With is h with one more lease that ends at end in the server's clock: one given here, or one that the
// server listed.
func (h Horizon) With(end int64) Horizon {
	if !h.given || end > h.end {
		h.given, h.end = true, end
	}
	return h
}

// WithOwner is h with the leases, of at most the given length, that another owner may have given with
// readings that the server took before a local instant. That instant is the one from which on the other
// owner had no right to renew; the drift bound in ppm, or the default when it is zero, is that of
// NewClock.
func (h Horizon) WithOwner(until time.Time, lease time.Duration, ppm int64) Horizon {
	local := until.Add(Clock{ppm: ppm}.longest(lease))
	if local.After(h.local) {
		h.local = local
	}
	return h
}

// longest is the longest local time in which the server's clock moves on by d and a millisecond.
func (c Clock) longest(d time.Duration) time.Duration {
	d += time.Millisecond
	return d + time.Duration(float64(d)*float64(c.drift())/float64(million-c.drift())) + time.Millisecond
}

// End is the highest known end in the server's clock, if there is any.
func (h Horizon) End() (end int64, ok bool) { return h.end, h.given }

// Passed reports whether all leases have certainly ended at a local instant: the known ones by the
// server's clock as estimated, and the others by local time.
func (h Horizon) Passed(c Clock, now time.Time) bool {
	return (!h.given || c.Earliest(now) > h.end) && !now.Before(h.local)
}

// PassedAt reports whether all known leases have ended at a reading of the server's clock. It says nothing
// of leases of other owners, which a list of the server's tasks taken under a higher epoch shows.
func (h Horizon) PassedAt(reading int64) bool { return !h.given || reading > h.end }
