// Package ibisretry bounds retries: a budget for each team, so that retries stay a small part of all
// work, and a backoff with full jitter.
//
// The package reads no clock and no source of randomness of its own.
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
	DefaultRatio = 0.2 // retries for each first attempt
	DefaultBurst = 20  // retries that may be saved up, and that a new team has
)

// Budget is a token bucket for each team that first attempts fill. The zero value uses the defaults.
type Budget struct {
	Ratio float64 // zero for DefaultRatio
	Burst float64 // zero for DefaultBurst

	tokens map[string]float64
}

// Deposit notes a first attempt.
func (b *Budget) Deposit(team string) { b.set(team, min(b.left(team)+b.ratio(), b.burst())) }

// Withdraw takes one retry out of the team's budget and reports whether there was one.
func (b *Budget) Withdraw(team string) bool {
	left := b.left(team)
	if left < 1 {
		return false
	}
	b.set(team, left-1)
	return true
}

// Left is the number of retries in the team's budget.
func (b *Budget) Left(team string) int { return int(b.left(team)) }

// Remove forgets a team.
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
	Base time.Duration // bound of the first delay, zero for DefaultBase
	Max  time.Duration // bound of every delay, zero for DefaultMax
}

// Delay is the time to wait before a retry, attempt counting retries from one: evenly between zero and
// a bound that doubles with each attempt.
func (b Backoff) Delay(attempt int, r Rand) time.Duration {
	return time.Duration(r.Float64() * float64(b.Bound(attempt)))
}

// Bound is the longest Delay of that attempt.
func (b Backoff) Bound(attempt int) time.Duration {
	base, most := b.Base, b.Max
	if base <= 0 {
		base = DefaultBase
	}
	if most <= 0 {
		most = DefaultMax
	}
	d := base
	for range attempt - 1 {
		if d >= most/2 {
			return most
		}
		d *= 2
	}
	return min(d, most)
}
