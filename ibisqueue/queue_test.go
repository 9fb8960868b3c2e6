package ibisqueue_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibiscrank/ibisqueue"
	"ibiscrank/ibiswork"
)

var start = time.Unix(1_800_000_000, 0)

func res(cpu, mem, acc, slots int64) ibiswork.Resources {
	return ibiswork.Resources{MilliCPU: cpu, MemoryMB: mem, Accelerators: acc, Slots: slots}
}

func item(id, team string, c ibiswork.Class) ibisqueue.Item {
	return ibisqueue.Item{ID: ibiswork.ID(id), Team: team, Class: c, PerTask: res(1000, 1000, 0, 1), Tasks: 1, Enqueued: start}
}

// take returns a try function that takes up to n items and appends their IDs to ids.
func take(n int, ids *[]string) func(ibisqueue.Item) ibisqueue.Verdict {
	return func(i ibisqueue.Item) ibisqueue.Verdict {
		if len(*ids) == n {
			return ibisqueue.NoRoom
		}
		*ids = append(*ids, string(i.ID))
		return ibisqueue.Taken
	}
}

func TestOrderWithinATeam(t *testing.T) {
	var q ibisqueue.Queue
	q.SetCapacity(res(100000, 100000, 0, 100))
	late, soon, urgent := item("i-late", "a", ibiswork.Interactive), item("i-soon", "a", ibiswork.Interactive), item("i-urgent", "a", ibiswork.Interactive)
	late.Deadline, soon.Deadline, urgent.Urgent = start.Add(20*time.Second), start.Add(10*time.Second), true
	old := item("b-old", "a", ibiswork.Batch)
	old.Enqueued = start.Add(-time.Hour)
	for _, i := range []ibisqueue.Item{old, item("b", "a", ibiswork.Batch), item("g", "a", ibiswork.Gang), item("s", "a", ibiswork.Service), item("i", "a", ibiswork.Interactive), late, soon, urgent} {
		q.Push(i)
	}
	var got []string
	assert.Equal(t, q.Round(start, take(99, &got)), 8)
	assert.DeepEqual(t, got, []string{"i-urgent", "i-soon", "i-late", "i", "s", "g", "b-old", "b"})
	assert.Equal(t, q.Len(), 0)
}

func TestUrgentInteractiveGoesBeforeTeamsWithLowerShares(t *testing.T) {
	var q ibisqueue.Queue
	q.SetCapacity(res(100000, 100000, 0, 100))
	q.SetTeam("rich", 1, res(50000, 0, 0, 0))
	u := item("urgent", "rich", ibiswork.Interactive)
	u.Urgent = true
	q.Push(item("plain", "poor", ibiswork.Interactive))
	q.Push(u)
	var got []string
	q.Round(start, take(1, &got))
	assert.DeepEqual(t, got, []string{"urgent"})
}

func TestWeightedDominantShares(t *testing.T) {
	var q ibisqueue.Queue
	q.SetCapacity(res(100000, 400000, 0, 1000))
	q.SetTeam("cpu", 2, ibiswork.Resources{})
	q.SetTeam("mem", 1, ibiswork.Resources{})
	for n := range 200 {
		c, m := item(fmt.Sprintf("c%d", n), "cpu", ibiswork.Batch), item(fmt.Sprintf("m%d", n), "mem", ibiswork.Batch)
		c.PerTask, m.PerTask = res(1000, 1000, 0, 1), res(100, 4000, 0, 1)
		q.Push(c)
		q.Push(m)
	}
	used := map[string]int{}
	q.Round(start, func(i ibisqueue.Item) ibisqueue.Verdict {
		if used["cpu"]+used["mem"] == 90 {
			return ibisqueue.NoRoom
		}
		used[i.Team]++
		q.Charge(i.Team, i.Total())
		return ibisqueue.Taken
	})
	assert.DeepEqual(t, used, map[string]int{"cpu": 60, "mem": 30}) // 60 % and 30 % of the fleet
	assert.Assert(t, q.ShareExcess("cpu") < 0 && q.ShareExcess("mem") < 0)
}

func TestOverLimitPassesTheTeamOver(t *testing.T) {
	var q ibisqueue.Queue
	for n := range 50 {
		q.Push(item(fmt.Sprintf("a%d", n), "a", ibiswork.Batch))
	}
	q.Push(item("b", "b", ibiswork.Batch))
	offers := map[string]int{}
	q.Round(start, func(i ibisqueue.Item) ibisqueue.Verdict {
		if offers[i.Team]++; i.Team == "a" {
			return ibisqueue.OverLimit
		}
		return ibisqueue.Taken
	})
	assert.DeepEqual(t, offers, map[string]int{"a": 1, "b": 1})
}

func TestOffersWithoutRoomAreBounded(t *testing.T) {
	var q ibisqueue.Queue
	for n := range 20000 {
		i := item(fmt.Sprintf("%d", n), fmt.Sprintf("t%d", n%140), ibiswork.Batch)
		i.PerTask = res(1000+int64(n), 30000-int64(n), 0, 1) // no size is at least another in all resources
		q.Push(i)
	}
	offers := 0
	q.Round(start, func(ibisqueue.Item) ibisqueue.Verdict { offers++; return ibisqueue.NoRoom })
	assert.Assert(t, offers >= 140 && offers <= 1100, "%d offers", offers)
	assert.Equal(t, q.Len(), 20000)
}

// TestSmallItemBehindUnplaceableOnesIsOffered checks that an item behind many that do not fit is offered
// within a few rounds, although the offers in each round are bounded.
func TestSmallItemBehindUnplaceableOnesIsOffered(t *testing.T) {
	var q ibisqueue.Queue
	for n := range 40 {
		i := item(fmt.Sprintf("%02d", n), "a", ibiswork.Batch)
		i.PerTask = res(10000-int64(n), 1000+int64(n), 0, 1)
		q.Push(i)
	}
	small := item("small", "a", ibiswork.Batch)
	small.Enqueued = start.Add(time.Second)
	q.Push(small)
	rounds := 0
	for q.Len() == 41 {
		rounds++
		assert.Assert(t, rounds <= 20)
		q.Round(start, func(i ibisqueue.Item) ibisqueue.Verdict {
			if i.ID == "small" {
				return ibisqueue.Taken
			}
			return ibisqueue.NoRoom
		})
	}
}

// TestItemWithExcludedServersDoesNotBlockOthers checks that an item which must avoid the only server with
// free capacity does not keep items of the same size from that server.
func TestItemWithExcludedServersDoesNotBlockOthers(t *testing.T) {
	var q ibisqueue.Queue
	p := item("0-picky", "a", ibiswork.Interactive)
	p.HasExclusions = true
	q.Push(p)
	q.Push(item("1", "a", ibiswork.Interactive))
	taken := q.Round(start, func(i ibisqueue.Item) ibisqueue.Verdict {
		if i.HasExclusions {
			return ibisqueue.NoRoom
		}
		return ibisqueue.Taken
	})
	assert.Equal(t, taken, 1)
}

func TestOfferDoesNotOvertake(t *testing.T) {
	var q ibisqueue.Queue
	q.SetCapacity(res(100000, 100000, 0, 100))
	yes := func(ibisqueue.Item) ibisqueue.Verdict { return ibisqueue.Taken }
	no := func(ibisqueue.Item) ibisqueue.Verdict { return ibisqueue.NoRoom }
	q.Push(item("1", "a", ibiswork.Batch))
	assert.Assert(t, !q.Offer(start, "1", no))
	q.Push(item("2", "a", ibiswork.Batch))
	assert.Assert(t, !q.Offer(start, "2", yes), "an equivalent item is waiting")
	q.Push(item("3", "b", ibiswork.Batch))
	assert.Assert(t, q.Offer(start, "3", yes))
	assert.Assert(t, !q.Offer(start, "3", yes), "the item has left the queue")
	q.Charge("b", res(-1000, 0, 0, -1))
	q.Push(item("4", "b", ibiswork.Batch))
	assert.Assert(t, !q.Offer(start, "4", yes), "resources were released since the last round")
	q.Round(start, no)
	assert.Assert(t, q.Offer(start, "4", yes))
	assert.Equal(t, q.Len(), 2)
}

func TestExpired(t *testing.T) {
	var q ibisqueue.Queue
	for n, d := range []time.Duration{3 * time.Second, time.Second, 2 * time.Second, 0} {
		i := item(fmt.Sprintf("%d", n), "a", ibiswork.Interactive)
		if d > 0 {
			i.Deadline = start.Add(d)
		}
		i.RunTime = 500 * time.Millisecond
		q.Push(i)
	}
	assert.Equal(t, len(q.Expired(start.Add(500*time.Millisecond))), 0)
	expired := q.Expired(start.Add(1600 * time.Millisecond))
	assert.Equal(t, len(expired), 2)
	assert.Equal(t, expired[0].ID, ibiswork.ID("1"))
	assert.Equal(t, q.Len(), 2)
	assert.Equal(t, len(q.Expired(start.Add(time.Hour))), 1)
}

func TestPreemptionPair(t *testing.T) {
	var q ibisqueue.Queue
	q.SetCapacity(res(100000, 100000, 0, 100))
	q.SetTeam("over", 1, res(80000, 0, 0, 80))
	q.SetTeam("under", 1, res(20000, 0, 0, 20))
	_, _, ok := q.PreemptionPair()
	assert.Assert(t, !ok, "no item is waiting")
	q.Push(item("1", "under", ibiswork.Batch))
	q.Round(start, func(ibisqueue.Item) ibisqueue.Verdict { return ibisqueue.NoRoom })
	over, waiting, ok := q.PreemptionPair()
	assert.Assert(t, ok)
	assert.Equal(t, over+" "+waiting, "over under")
	q.Charge("over", res(-28000, 0, 0, -28))
	q.Charge("under", res(28000, 0, 0, 28))
	_, _, ok = q.PreemptionPair()
	assert.Assert(t, !ok, "shares are nearly equal")
}

// TestQueueAgreesWithModel compares the queue with a map of the waiting items after random operations.
func TestQueueAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q ibisqueue.Queue
		q.SetCapacity(res(20000, 20000, 0, 20))
		m := map[ibiswork.ID]ibisqueue.Item{}
		now, serial := start, 0
		removed := func(items []ibisqueue.Item) {
			for _, i := range items {
				if m[i.ID] != i {
					t.Fatalf("item %s was removed but was not waiting, or differs", i.ID)
				}
				delete(m, i.ID)
			}
		}
		team := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team") }
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				serial++
				i := item(fmt.Sprintf("%05d", serial), team(), rapid.SampledFrom(ibiswork.Classes).Draw(t, "class"))
				i.Enqueued = now
				i.Urgent = rapid.Bool().Draw(t, "urgent")
				i.HasExclusions = rapid.IntRange(0, 5).Draw(t, "picky") == 0
				i.PerTask.MilliCPU = rapid.Int64Range(0, 5000).Draw(t, "cpu")
				if i.Class == ibiswork.Gang {
					i.Tasks = rapid.IntRange(1, 9).Draw(t, "tasks")
				}
				if d := rapid.IntRange(0, 30).Draw(t, "deadline"); d > 0 {
					i.Deadline = now.Add(time.Duration(d) * time.Second)
				}
				q.Push(i)
				q.Push(i)
				m[i.ID] = i
			},
			"remove": func(t *rapid.T) {
				id := ibiswork.ID(fmt.Sprintf("%05d", rapid.IntRange(0, serial).Draw(t, "id")))
				i, ok := q.Remove(id)
				if _, want := m[id]; ok != want || (ok && i != m[id]) {
					t.Fatalf("Remove %s: %v", id, ok)
				}
				delete(m, id)
			},
			"removeTeam": func(*rapid.T) { removed(q.RemoveTeam(team())) },
			"expired": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
				removed(q.Expired(now))
				for _, i := range m {
					if !i.Deadline.IsZero() && i.LatestStart().Before(now) {
						t.Fatalf("item %s can no longer meet its deadline but still waits", i.ID)
					}
				}
			},
			"offer": func(t *rapid.T) {
				id := ibiswork.ID(fmt.Sprintf("%05d", serial))
				v := ibisqueue.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict"))
				asked := false
				ok := q.Offer(now, id, func(ibisqueue.Item) ibisqueue.Verdict { asked = true; return v })
				if _, waits := m[id]; ok != (asked && v == ibisqueue.Taken) || (asked && !waits) {
					t.Fatalf("Offer %s: %v", id, ok)
				}
				if ok {
					delete(m, id)
				}
			},
			"round": func(t *rapid.T) {
				verdicts := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 8).Draw(t, "verdicts")
				offers, taken := 0, 0
				n := q.Round(now, func(i ibisqueue.Item) ibisqueue.Verdict {
					if m[i.ID] != i {
						t.Fatalf("item %s was offered but is not waiting, or differs", i.ID)
					}
					v := ibisqueue.Verdict(min(verdicts[offers%len(verdicts)], 2))
					offers++
					if v == ibisqueue.Taken {
						taken++
						delete(m, i.ID)
					}
					return v
				})
				if n != taken {
					t.Fatalf("Round returned %d, but %d items were taken", n, taken)
				}
			},
			"": func(t *rapid.T) {
				teams := map[string]int{}
				for _, i := range m {
					teams[i.Team]++
				}
				if q.Len() != len(m) || q.TeamLen("a") != teams["a"] || q.TeamLen("b") != teams["b"] {
					t.Fatalf("Len is %d, want %d, or TeamLen of a or b is wrong", q.Len(), len(m))
				}
			},
		})
	})
}
