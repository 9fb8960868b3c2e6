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

// TestBudgetBoundsRetries holds for any order: retries never exceed the burst and the ratio of first
// attempts, and one team's retries cost another nothing.
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
			t.Fatalf("%d retries beside %d first attempts", retries, first)
		}
		if b.Left("b") != ibisretry.DefaultBurst {
			t.Fatalf("the other team has %d left", b.Left("b"))
		}
	})
}

func TestBudgetRunsOutAndFills(t *testing.T) {
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

func TestBackoffGrowsToItsBoundWithFullJitter(t *testing.T) {
	b := ibisretry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	rng := rand.New(rand.NewPCG(1, 1))
	for i, want := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		want *= time.Millisecond
		assert.Equal(t, b.Bound(i+1), want)
		least, most := want, time.Duration(0)
		for range 500 {
			d := b.Delay(i+1, rng)
			assert.Assert(t, d >= 0 && d < want)
			least, most = min(least, d), max(most, d)
		}
		assert.Assert(t, least < want/10 && most > want*9/10)
	}
	assert.Equal(t, b.Bound(1000), time.Second)
	assert.Equal(t, ibisretry.Backoff{}.Bound(1), ibisretry.DefaultBase)
}
