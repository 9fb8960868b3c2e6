package ibisretry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibiscrank/ibisretry"
	"ibiscrank/ibisseed"
)

func TestMain(m *testing.M) { ibisseed.Main(m) }

// TestBudgetBoundsRetries checks for random sequences of first attempts and retries that a team never gets
// more retries than the burst plus its share of first attempts, and that it does not reduce the budget of
// another team.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b ibisretry.Budget
		first, retries := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				b.Deposit("a")
				first++
			} else if b.Withdraw("a") {
				retries++
			}
		}
		if float64(retries) > ibisretry.DefaultBurst+ibisretry.DefaultRatio*float64(first)+1e-6 {
			t.Fatalf("%d retries for %d first attempts", retries, first)
		}
		if b.Left("b") != ibisretry.DefaultBurst {
			t.Fatalf("the other team has %d retries left", b.Left("b"))
		}
	})
}

// TestBudgetEmptiesAndRefills empties and refills the budget of one team, and checks that a team that was
// removed starts again with a full budget.
func TestBudgetEmptiesAndRefills(t *testing.T) {
	b := ibisretry.Budget{Ratio: 0.5, Burst: 2}
	assert.Assert(t, b.Withdraw("a"))
	assert.Assert(t, b.Withdraw("a"))
	assert.Assert(t, !b.Withdraw("a"))
	b.Deposit("a")
	assert.Assert(t, !b.Withdraw("a"))
	b.Deposit("a")
	assert.Assert(t, b.Withdraw("a"))
	b.Remove("a")
	assert.Equal(t, b.Left("a"), 2)
}

// TestBackoffDoublesWithFullJitter checks that the bound doubles up to the maximum, also after many attempts
// without overflow, and that delays cover the whole range below it.
func TestBackoffDoublesWithFullJitter(t *testing.T) {
	b := ibisretry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	rng := rand.New(rand.NewPCG(1, 1))
	for i, want := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		want *= time.Millisecond
		assert.Equal(t, b.Bound(i+1), want)
		shortest, longest := want, time.Duration(0)
		for range 500 {
			d := b.Delay(i+1, rng)
			assert.Assert(t, d >= 0 && d < want)
			shortest, longest = min(shortest, d), max(longest, d)
		}
		assert.Assert(t, shortest < want/10 && longest > want*9/10)
	}
	assert.Equal(t, b.Bound(1000), time.Second)
	assert.Equal(t, ibisretry.Backoff{}.Bound(1), ibisretry.DefaultBase)
}
