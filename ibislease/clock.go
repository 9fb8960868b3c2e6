// Package ibislease computes when leases expire in the clock of a backend server. A server's clock has an
// unknown offset to the local one and a bounded drift, so that it is only known as an interval. The package
// reads no clock itself: callers pass local instants as time.Time values with a monotonic clock reading.
// Package ibisowner uses it for the backend servers of its daemon.
//
// Usage:
//
//	clock, _ = clock.With(ibislease.Reading{Value: reply.Clock, Sent: sent, Received: time.Now()})
//	end := ibislease.RenewalEnd(reply.Clock, 10*time.Second)
//	horizon = horizon.With(end)
//	if horizon.Expired(clock, time.Now()) {
//		// every lease on that server has expired: its tasks may be started elsewhere
//	}
package ibislease

import (
	"math"
	"time"
)

// DefaultDriftPPM is the default bound on the drift between a server's clock and the local monotonic clock, in
// parts per million.
const DefaultDriftPPM = 1000

const ppmUnit = 1_000_000 // parts per million in one

// Reading is one reading of a server's clock, taken by the server between the local instants Sent and Received.
type Reading struct {
	Value    int64 // milliseconds in the server's clock, rounded down
	Sent     time.Time
	Received time.Time
}

// Clock estimates a server's clock from readings. It is an immutable value. The zero value has no reading and
// the default drift bound.
type Clock struct {
	driftPPM int64
	known    bool
	low      Reading // gives the best lower bound
	high     Reading // gives the best upper bound
}

// NewClock returns a clock without readings for a drift of at most driftPPM parts per million; 0 means
// DefaultDriftPPM.
func NewClock(driftPPM int64) Clock { return Clock{driftPPM: driftPPM} }

// Known reports whether the clock has a reading.
func (c Clock) Known() bool { return c.known }

// With returns c with one more reading. It returns false if the reading contradicts the earlier ones, for
// example after the server restarted with another clock; then only the new reading counts.
func (c Clock) With(r Reading) (Clock, bool) {
	if !c.known {
		c.known, c.low, c.high = true, r, r
		return c, true
	}
	n := Clock{driftPPM: c.driftPPM, known: true, low: r, high: r}
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

// Earliest returns the lowest value that the server's clock can have at a local instant, in milliseconds. It
// advances at the lowest rate within the drift bound while no reading arrives. Without a reading it is
// math.MinInt64.
func (c Clock) Earliest(now time.Time) int64 {
	if !c.known {
		return math.MinInt64
	}
	elapsed := now.Sub(c.low.Received)
	if elapsed < 0 {
		return c.low.Value + floorMS(c.scaleByDrift(elapsed, +1))
	}
	return c.low.Value + floorMS(c.scaleByDrift(elapsed, -1))
}

// Latest returns the highest value that the server's clock can have at a local instant, in milliseconds.
// Without a reading it is math.MaxInt64. Don't compute leases from Latest: the local monotonic clock stops
// while the local VM is suspended.
func (c Clock) Latest(now time.Time) int64 {
	if !c.known {
		return math.MaxInt64
	}
	elapsed := now.Sub(c.high.Sent)
	if elapsed < 0 {
		return c.high.Value + 1 - floorMS(c.scaleByDrift(-elapsed, -1))
	}
	return c.high.Value + 1 - floorMS(-c.scaleByDrift(elapsed, +1))
}

// scaleByDrift returns d lengthened by the drift bound, or shortened if sign is -1.
func (c Clock) scaleByDrift(d time.Duration, sign int64) time.Duration {
	return d + time.Duration(sign*(int64(d)/ppmUnit*c.effectiveDriftPPM()+int64(d)%ppmUnit*c.effectiveDriftPPM()/ppmUnit))
}

func (c Clock) effectiveDriftPPM() int64 {
	if c.driftPPM > 0 {
		return c.driftPPM
	}
	return DefaultDriftPPM
}

// floorMS returns d in milliseconds, rounded down also if d is negative.
func floorMS(d time.Duration) int64 {
	ms := int64(d / time.Millisecond)
	if d%time.Millisecond < 0 {
		ms--
	}
	return ms
}

// RenewalEnd returns the end of a lease in the server's clock, in milliseconds. It is computed from the last
// reading that the server sent, so that a delayed or repeated renewal doesn't extend the lease any further.
func RenewalEnd(reading int64, lease time.Duration) int64 { return reading + lease.Milliseconds() }

// Horizon is the latest end of all leases on one server that any owner may have granted. It is an immutable
// value. The zero value means that there is no lease.
type Horizon struct {
	hasLease bool
	end      int64     // in the server's clock, in milliseconds
	localEnd time.Time // local upper bound on the end of leases of other owners
}

// With returns h with one more lease that ends at end in the server's clock, in milliseconds: one granted by
// this daemon, or one that the server listed.
func (h Horizon) With(end int64) Horizon {
	if !h.hasLease || end > h.end {
		h.hasLease, h.end = true, end
	}
	return h
}

// WithOwner returns h with the leases that another owner may have granted, each of at most the given duration
// and based on a reading that the server took before until. From that local instant on, the other owner had
// no right to renew leases. The drift bound is that of NewClock.
func (h Horizon) WithOwner(until time.Time, lease time.Duration, driftPPM int64) Horizon {
	localEnd := until.Add(Clock{driftPPM: driftPPM}.maxLocalDuration(lease))
	if localEnd.After(h.localEnd) {
		h.localEnd = localEnd
	}
	return h
}

// maxLocalDuration returns the longest local duration in which the server's clock advances by d plus one
// millisecond.
func (c Clock) maxLocalDuration(d time.Duration) time.Duration {
	d += time.Millisecond
	return d + time.Duration(float64(d)*float64(c.effectiveDriftPPM())/float64(ppmUnit-c.effectiveDriftPPM())) + time.Millisecond
}

// End returns the latest known end of a lease in the server's clock, in milliseconds, and false if there is none.
func (h Horizon) End() (end int64, ok bool) { return h.end, h.hasLease }

// Expired reports whether all leases have certainly expired at a local instant: leases with a known end by the
// estimate of the server's clock, and those of other owners by local time.
func (h Horizon) Expired(c Clock, now time.Time) bool {
	return (!h.hasLease || c.Earliest(now) > h.end) && !now.Before(h.localEnd)
}

// ExpiredAt reports whether all leases with a known end have expired at a reading of the server's clock. It
// doesn't cover leases of other owners, which show in a list of the server's tasks taken under a higher epoch.
func (h Horizon) ExpiredAt(reading int64) bool { return !h.hasLease || reading > h.end }
