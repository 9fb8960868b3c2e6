// Package ibisretry limits retries: a budget for each team keeps retries a small part of all work, and an
// exponential backoff with full jitter spreads them over time. Package ibisholder uses it to retry requests.
//
// The package reads no clock, and takes its source of randomness from the caller.
//
// Usage:
//
//	var b ibisretry.Budget
//	b.Deposit("tuul-floor")            // for each first attempt
//	if b.Withdraw("tuul-floor") {      // before each retry
//		wait := ibisretry.Backoff{}.Delay(attempt, rng)
//	}
package ibisretry

import (
	"time"
)

// Defaults of a Budget.
const (
	DefaultRatio = 0.2 // retries earned by each first attempt
	DefaultBurst = 20  // maximum number of saved retries, and the initial number of a new team
)

// Budget is a set of token buckets, one for each team, that are filled by first attempts. The zero value uses
// the defaults. A Budget is not safe for concurrent use.
type Budget struct {
	Ratio float64 // retries earned by each first attempt; zero means DefaultRatio
	Burst float64 // maximum and initial number of retries of a team; zero means DefaultBurst

	tokens map[string]float64 // by team; a missing team has burst tokens
}

// Deposit adds Ratio retries to the budget of a team, up to Burst. It is called for each first attempt.
func (b *Budget) Deposit(team string) { b.set(team, min(b.left(team)+b.ratio(), b.burst())) }

// Withdraw takes one retry from the team's budget. It returns false if less than one is left.
func (b *Budget) Withdraw(team string) bool {
	left := b.left(team)
	if left < 1 {
		return false
	}
	b.set(team, left-1)
	return true
}

// Left returns the number of whole retries in the team's budget.
func (b *Budget) Left(team string) int { return int(b.left(team)) }

// Remove drops the budget of a team. If the team returns, it starts again with a full budget.
func (b *Budget) Remove(team string) { delete(b.tokens, team) }

func (b *Budget) left(team string) float64 {
	if v, ok := b.tokens[team]; ok {
		return v
	}
	return b.burst()
}

func (b *Budget) set(team string, v float64) {
	if b.tokens == nil {
		b.tokens = make(map[string]float64)
	}
	b.tokens[team] = v
}

func (b *Budget) ratio() float64 {
	if b.Ratio > 0 {
		return b.Ratio
	}
	return DefaultRatio
}

func (b *Budget) burst() float64 {
	if b.Burst > 0 {
		return b.Burst
	}
	return DefaultBurst
}

// Defaults of a Backoff.
const (
	DefaultBase = 50 * time.Millisecond
	DefaultMax  = 10 * time.Second
)

// Rand is the source of jitter; *rand.Rand of math/rand/v2 is one.
type Rand interface {
	Float64() float64 // at least 0 and below 1
}

// Backoff is an exponential backoff with full jitter. The zero value uses the defaults.
type Backoff struct {
	Base time.Duration // upper bound of the first delay; zero means DefaultBase
	Max  time.Duration // upper bound of every delay; zero means DefaultMax
}

// Delay returns the time to wait before a retry; attempt counts retries from one. The delay is distributed
// uniformly between zero and Bound(attempt).
func (b Backoff) Delay(attempt int, r Rand) time.Duration {
	return time.Duration(r.Float64() * float64(b.Bound(attempt)))
}

// Bound returns the upper bound of Delay for attempt. It starts at Base and doubles with each attempt up to
// Max.
func (b Backoff) Bound(attempt int) time.Duration {
	base, limit := b.Base, b.Max
	if base <= 0 {
		base = DefaultBase
	}
	if limit <= 0 {
		limit = DefaultMax
	}
	d := base
	for range attempt - 1 {
		if d >= limit/2 {
			return limit
		}
		d *= 2
	}
	return min(d, limit)
}
