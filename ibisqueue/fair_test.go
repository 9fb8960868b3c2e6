package ibisqueue_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibiscrank/ibisqueue"
	"ibiscrank/ibisseed"
	"ibiscrank/ibiswork"
)

func TestMain(m *testing.M) { ibisseed.Main(m) }

// TestSharesDifferByOneTask checks the invariant of dominant-resource fairness: while all teams have waiting
// items, no team's weighted share exceeds another's by more than the team's last task.
func TestSharesDifferByOneTask(t *testing.T) {
	total := res(1_000_000, 1_000_000, 1000, 1000)
	rapid.Check(t, func(t *rapid.T) {
		var q ibisqueue.Queue
		q.SetCapacity(total)
		n := rapid.IntRange(2, 6).Draw(t, "teams")
		weights, each, used := make([]float64, n), make([]ibiswork.Resources, n), make([]ibiswork.Resources, n)
		for k := range n {
			weights[k] = rapid.Float64Range(0.1, 10).Draw(t, "weight")
			each[k] = res(rapid.Int64Range(1, 9000).Draw(t, "cpu"), rapid.Int64Range(1, 9000).Draw(t, "memory"), 0, 1)
			q.SetTeam(teamName(k), weights[k], ibiswork.Resources{})
			for j := range 200 {
				q.Push(ibisqueue.Item{ID: ibiswork.ID(fmt.Sprintf("%d-%d", k, j)), Team: teamName(k), Class: ibiswork.Batch, PerTask: each[k]})
			}
		}
		left := rapid.IntRange(1, 150).Draw(t, "room")
		q.Round(start, func(i ibisqueue.Item) ibisqueue.Verdict {
			if left--; left < 0 {
				return ibisqueue.NoRoom
			}
			for k := range n {
				if teamName(k) == i.Team {
					used[k] = used[k].Add(each[k])
					q.Charge(i.Team, each[k])
				}
			}
			return ibisqueue.Taken
		})
		for k := range n {
			for j := range n {
				a, b := used[k].Sub(each[k]).Dominant(total)/weights[k], used[j].Dominant(total)/weights[j]
				if !used[k].IsZero() && a > b+1e-9 {
					t.Fatalf("weighted shares: team %d had %v before its last task, team %d has %v", k, a, j, b)
				}
			}
		}
	})
}

// TestNothingStarves guards against starvation: with every class of every team always waiting and all tasks
// ending after one second, one marked item must start within an hour, whatever its class and size.
func TestNothingStarves(t *testing.T) {
	const capacity = 4 // unit tasks that can run at the same time
	rapid.Check(t, func(t *rapid.T) {
		var q ibisqueue.Queue
		unit := res(1000, 1000, 0, 1)
		q.SetCapacity(unit.Times(capacity))
		now, serial, left := start, 0, 0
		push := func(id, team string, c ibiswork.Class, units int) {
			i := ibisqueue.Item{ID: ibiswork.ID(id), Team: team, Class: c, PerTask: unit, Tasks: 1, Enqueued: now}
			if c == ibiswork.Gang {
				i.Tasks = units
			} else {
				i.PerTask = unit.Times(int64(units))
			}
			q.Push(i)
		}
		teams := rapid.IntRange(1, 3).Draw(t, "teams")
		push("marked", "t00", rapid.SampledFrom(ibiswork.Classes).Draw(t, "class"), rapid.IntRange(1, capacity).Draw(t, "units"))
		for started := false; !started; now = now.Add(time.Second) {
			if now.Sub(start) > time.Hour {
				t.Fatalf("the marked item did not start within an hour")
			}
			for k := range teams {
				for n := q.TeamLen(teamName(k)); n < 20; n++ {
					serial++
					push(fmt.Sprintf("%08d", serial), teamName(k), ibiswork.Classes[serial%4], 1)
				}
			}
			left = capacity
			q.SetLocalFree(unit.Times(capacity))
			q.Round(now, func(i ibisqueue.Item) ibisqueue.Verdict {
				units := int(i.Total().MilliCPU / unit.MilliCPU)
				if units > left {
					return ibisqueue.NoRoom
				}
				left -= units
				q.Charge(i.Team, i.Total())
				started = started || i.ID == "marked"
				return ibisqueue.Taken
			})
			for k := range teams {
				q.SetTeam(teamName(k), 1, ibiswork.Resources{})
			}
		}
	})
}

// TestStaleDigestsKeepSharesFair compares the largest deviation from the fair shares on a full fleet for the
// same seed: with digests up to 8 s old it must be less than twice that with fresh digests, and less than
// half of that without extrapolation or with a FIFO queue.
func TestStaleDigestsKeepSharesFair(t *testing.T) {
	base := shareSimulation{owners: 7, servers: 7, weights: []float64{1, 1, 2, 2, 4, 8}, meanRun: 2 * time.Second, length: 40 * time.Second, seed: 1}
	fresh, stale, noExtrapolation, baseline := base, base, base, base
	fresh.digestAge, stale.digestAge, noExtrapolation.digestAge, baseline.digestAge = tick, 8*time.Second, 8*time.Second, tick
	noExtrapolation.noExtrapolation, baseline.fifo = true, true
	f, s, n, a := fresh.run(), stale.run(), noExtrapolation.run(), baseline.run()
	t.Logf("largest deviation: fresh %.3f, stale %.3f, stale without extrapolation %.3f, FIFO %.3f", f.largest, s.largest, n.largest, a.largest)
	assert.Assert(t, s.largest < 2*f.largest)
	assert.Assert(t, s.largest < n.largest/2)
	assert.Assert(t, s.largest < a.largest/2)
}
