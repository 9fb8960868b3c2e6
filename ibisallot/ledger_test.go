package ibisallot

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisincarnation"
	"ibiscrank/ibistablefake"
	"ibiscrank/ibiswork"
)

var ctx = context.Background()

// fleet is several ledgers that share a table and a manual clock.
type fleet struct {
	table   *ibistablefake.Table
	now     time.Time
	ids     []string
	ledgers map[string]*Ledger
}

func newFleet(n int) *fleet {
	f := &fleet{table: ibistablefake.New(), now: time.Unix(1_800_000_000, 0), ledgers: make(map[string]*Ledger)}
	for i := range n {
		id := fmt.Sprintf("i-%d", i)
		inc, err := ibisincarnation.Register(ctx, f.table, ibisincarnation.Row{ID: id})
		if err != nil {
			panic(err)
		}
		f.ids = append(f.ids, id)
		f.ledgers[id] = NewLedger(f.table, inc.Fence(), id, WithClock(func() time.Time { return f.now }))
	}
	return f
}

const round = 250 * time.Millisecond

// sync advances the clock and runs one round of every live ledger.
func (f *fleet) sync(t *testing.T, limits map[string]ibiswork.Resources) {
	f.now = f.now.Add(round)
	for _, id := range f.ids {
		err := f.ledgers[id].Sync(ctx, limits, f.ids)
		assert.Assert(t, err == nil || Conflict.Has(err), "%v", err)
	}
}

func slots(n int64) ibiswork.Resources { return ibiswork.Resources{Slots: n} }

func limits(r ibiswork.Resources) map[string]ibiswork.Resources {
	return map[string]ibiswork.Resources{"team": r}
}

// fill uses up to n slots one by one and records the rest as demand. It returns the number of slots used.
func (f *fleet) fill(id string, n int64) int64 {
	l := f.ledgers[id]
	for used := range n {
		if !l.TryUse("team", slots(1)) {
			l.RecordDemand("team", slots(n-used))
			return used
		}
	}
	return n
}

func TestCapacityMovesToDemand(t *testing.T) {
	const within = 2 * time.Second
	for _, c := range []struct {
		name        string
		limit, each int64 // used by each daemon but the last
		need        int64 // of the last daemon
	}{
		{"free pool", 1000, 10, 500},
		{"held but unused elsewhere", 100, 30, 80},
		{"the whole limit", 7, 4, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(7)
			lim := limits(slots(c.limit))
			used := make(map[string]int64)
			for range 40 { // every daemon but the last uses what it can get
				for _, id := range f.ids[:6] {
					used[id] += f.fill(id, c.each-used[id])
				}
				f.sync(t, lim)
			}
			for _, id := range f.ids[:6] { // their tasks end, then the last daemon has demand
				f.ledgers[id].Free("team", slots(used[id]))
			}
			start, got := f.now, int64(0)
			for got += f.fill("i-6", c.need); got < c.need; got += f.fill("i-6", c.need-got) {
				f.sync(t, lim)
				assert.Assert(t, f.now.Sub(start) <= within, "%d of %d slots after %v", got, c.need, within)
			}
		})
	}
}

// Two daemons each have indivisible demand for the whole limit. If neither had precedence, each would keep
// half of the limit and neither would start.
func TestIndivisibleDemandTakesTurns(t *testing.T) {
	f := newFleet(2)
	lim := limits(slots(10))
	got := make(map[string]int)
	for range 200 {
		for _, id := range f.ids {
			if l := f.ledgers[id]; !l.TryUse("team", slots(10)) {
				l.RecordDemand("team", slots(10))
			} else {
				l.Free("team", slots(10))
				got[id]++
			}
		}
		f.sync(t, lim)
	}
	for _, id := range f.ids {
		assert.Assert(t, got[id] > 10, "%s got the whole limit %d times", id, got[id])
	}
}

// Each daemon holds an even share. Then one needs less, and the rest of the limit does not divide evenly among
// the others: rounding down would leave a slot unused.
func TestRemainderOfFairShareIsUsed(t *testing.T) {
	f := newFleet(3)
	lim := limits(slots(12))
	need, used := map[string]int64{"i-0": 4, "i-1": 4, "i-2": 4}, make(map[string]int64)
	rounds := func() {
		for range 40 {
			for _, id := range f.ids {
				used[id] += f.fill(id, need[id]-used[id])
			}
			f.sync(t, lim)
		}
	}
	rounds()
	f.ledgers["i-0"].Free("team", slots(1))
	need["i-0"], used["i-0"], need["i-1"], need["i-2"] = 3, 3, 9, 9
	rounds()
	assert.Equal(t, used["i-0"], int64(3))
	assert.Equal(t, used["i-1"]+used["i-2"], int64(9), "%v", used)
}

func TestBusyDaemonsConvergeToEvenShares(t *testing.T) {
	f := newFleet(4)
	lim := limits(slots(100))
	used := make(map[string]int64)
	used["i-0"] = f.fill("i-0", 200)
	for range 100 { // one holds all at first; a tenth of each daemon's tasks ends per round
		for _, id := range f.ids {
			used[id] += f.fill(id, 200-used[id])
			ended := (used[id] + 9) / 10
			f.ledgers[id].Free("team", slots(ended))
			used[id] -= ended
		}
		f.sync(t, lim)
	}
	for _, id := range f.ids {
		held := f.ledgers[id].Snapshot()["team"].Held.Slots
		assert.Assert(t, held >= 15 && held <= 35, "%s holds %d of 100", id, held)
	}
}

func TestLimitLoweredUnderLoad(t *testing.T) {
	f := newFleet(3)
	running := func() (n int64) {
		for _, id := range f.ids {
			n += f.ledgers[id].Snapshot()["team"].Used.Slots
		}
		return n
	}
	for i := 0; running() < 60; i++ {
		assert.Assert(t, i < 100, "%d tasks run", running())
		for _, id := range f.ids {
			f.fill(id, 1)
		}
		f.sync(t, limits(slots(60)))
	}
	f.sync(t, limits(slots(12)))
	for running() > 0 {
		for _, id := range f.ids {
			if f.ledgers[id].Snapshot()["team"].Used.Slots > 0 {
				f.ledgers[id].Free("team", slots(1))
			}
			if f.ledgers[id].TryUse("team", slots(1)) {
				assert.Assert(t, running() <= 12, "%d tasks run after a start with a limit of 12", running())
				f.ledgers[id].Free("team", slots(1))
			}
		}
		f.sync(t, limits(slots(12)))
	}
}

func TestResourceWithoutLimitIsRefused(t *testing.T) {
	f := newFleet(1)
	l := f.ledgers["i-0"]
	ask := ibiswork.Resources{Slots: 1, Accelerators: 1}
	for range 5 {
		l.RecordDemand("team", ask)
		f.sync(t, limits(slots(10)))
	}
	assert.Assert(t, !l.TryUse("team", ask))
	assert.Assert(t, l.TryUse("team", slots(1)))
	assert.Assert(t, !l.TryUse("unknown", slots(1)))
}

func TestSteadyStateRoundsWriteNothing(t *testing.T) {
	const teams, rounds = 140, 40
	f := newFleet(7)
	lim := make(map[string]ibiswork.Resources)
	for i := range teams {
		lim[fmt.Sprintf("team-%d", i)] = slots(1000)
	}
	admitAndFree := func() {
		for team := range lim {
			for _, id := range f.ids {
				if !f.ledgers[id].TryUse(team, slots(1)) {
					f.ledgers[id].RecordDemand(team, slots(1))
					continue
				}
				f.ledgers[id].Free(team, slots(1))
			}
		}
	}
	for range rounds {
		admitAndFree()
		f.sync(t, lim)
	}
	writes, reads := f.table.RowWrites(), f.table.Reads()
	for range rounds {
		admitAndFree()
		f.sync(t, lim)
	}
	assert.Equal(t, f.table.RowWrites()-writes, 0, "no writes in the steady state")
	seconds := int((rounds * round).Seconds())
	assert.Assert(t, f.table.Reads()-reads <= 7*2*seconds, "%d reads in %d s", f.table.Reads()-reads, seconds)
}

// A write that releases allotment has an unknown outcome and takes effect late. If the daemon went on using the
// released part because it reads the row unchanged, another daemon could be granted it at the same time.
func TestPendingWriteBoundsAllotment(t *testing.T) {
	f := newFleet(2)
	lim := limits(slots(10))
	a, b := f.ledgers["i-0"], f.ledgers["i-1"]
	syncOne := func(l *Ledger) error {
		f.now = f.now.Add(round)
		return l.Sync(ctx, lim, f.ids)
	}
	a.RecordDemand("team", slots(10))
	assert.NilError(t, syncOne(a))
	assert.Equal(t, a.Snapshot()["team"].Held, slots(10))
	a.RecordDemand("team", slots(0))
	b.RecordDemand("team", slots(8))
	assert.NilError(t, syncOne(b))
	f.table.Inject(ibistablefake.Late, ibistablefake.Refused)
	assert.Assert(t, Unknown.Has(syncOne(a)), "the write that releases 8 has an unknown outcome")
	assert.Assert(t, Unavailable.Has(syncOne(a)), "the row was read again and is unchanged")
	assert.Assert(t, !a.TryUse("team", slots(3)), "the write may still take effect")
	f.table.ApplyLate()
	b.RecordDemand("team", slots(8))
	assert.NilError(t, syncOne(b))
	assert.Assert(t, b.TryUse("team", slots(8)))
	assert.NilError(t, syncOne(a))
	assert.Assert(t, a.TryUse("team", slots(2)))
}

// Another daemon claims a backend server with running tasks. Their allotment must move to it, not become free
// for other demand.
func TestClaimedTasksKeepTheirAllotment(t *testing.T) {
	f := newFleet(3)
	lim := limits(slots(12))
	previous, claimer := f.ledgers["i-0"], f.ledgers["i-1"]
	for f.fill("i-0", 12) == 0 {
		f.sync(t, lim)
	}
	claimer.Use("team", slots(5)) // it has claimed a backend server with five tasks
	previous.ReleaseClaimed("team", slots(5))
	for range 10 {
		assert.Assert(t, !previous.TryUse("team", slots(1)))
		assert.Assert(t, !f.ledgers["i-2"].TryUse("team", slots(1)))
		previous.RecordDemand("team", slots(5))
		f.ledgers["i-2"].RecordDemand("team", slots(5))
		f.sync(t, lim)
	}
	assert.Equal(t, claimer.Snapshot()["team"].Held, slots(5))
	holders, err := Holders(ctx, f.table)
	assert.NilError(t, err)
	assert.DeepEqual(t, holders, f.ids)
	assert.ErrorContains(t, DropAll(ctx, f.table, claimer.fence, "i-0"), "live")
	assert.ErrorContains(t, claimer.MoveFrom(ctx, "i-0"), "live")
}
