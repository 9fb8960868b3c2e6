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

// fleet is several ledgers on one table, with a clock of its own.
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

// sync does one round of every live ledger.
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

// fill uses one slot after another up to n, and records the rest as wanted; it returns what it used.
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

func TestCapacityMovesWhereItIsNeeded(t *testing.T) {
	const within = 2 * time.Second
	for _, c := range []struct {
		name        string
		limit, each int64 // each daemon but the last uses so much
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
			for range 40 { // every daemon but the last takes what it can get
				for _, id := range f.ids[:6] {
					used[id] += f.fill(id, c.each-used[id])
				}
				f.sync(t, lim)
			}
			for _, id := range f.ids[:6] { // their tasks end, and the last daemon needs capacity
				f.ledgers[id].Free("team", slots(used[id]))
			}
			start, got := f.now, int64(0)
			for got += f.fill("i-6", c.need); got < c.need; got += f.fill("i-6", c.need-got) {
				f.sync(t, lim)
				assert.Assert(t, f.now.Sub(start) <= within, "%d of %d after %v", got, c.need, within)
			}
		})
	}
}

func TestTwoThatNeedTheWholeDoNotKeepHalfEach(t *testing.T) {
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
		assert.Assert(t, got[id] > 10, "%s got the whole %d times", id, got[id])
	}
}

// Each daemon holds an even part. Then one needs less, and what it leaves does not divide evenly.
func TestRestThatDoesNotDivideIsUsed(t *testing.T) {
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

func TestBusyDaemonsEndWithEvenParts(t *testing.T) {
	f := newFleet(4)
	lim := limits(slots(100))
	used := make(map[string]int64)
	used["i-0"] = f.fill("i-0", 200)
	for range 100 { // one holds all at first; each ends a tenth of its tasks a round and wants more
		for _, id := range f.ids {
			used[id] += f.fill(id, 200-used[id])
			end := (used[id] + 9) / 10
			f.ledgers[id].Free("team", slots(end))
			used[id] -= end
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
		assert.Assert(t, i < 100, "%d run", running())
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
				assert.Assert(t, running() <= 12, "%d run after a start", running())
				f.ledgers[id].Free("team", slots(1))
			}
		}
		f.sync(t, limits(slots(12)))
	}
}

func TestZeroAmountForbids(t *testing.T) {
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

func TestRoundsAreCheap(t *testing.T) {
	const teams, rounds = 140, 40
	f := newFleet(7)
	lim := make(map[string]ibiswork.Resources)
	for i := range teams {
		lim[fmt.Sprintf("team-%d", i)] = slots(1000)
	}
	work := func() {
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
		work()
		f.sync(t, lim)
	}
	writes, reads := f.table.RowWrites(), f.table.Reads()
	for range rounds {
		work()
		f.sync(t, lim)
	}
	assert.Equal(t, f.table.RowWrites()-writes, 0, "no writes in the steady state")
	seconds := int((rounds * round).Seconds())
	assert.Assert(t, f.table.Reads()-reads <= 7*2*seconds, "%d reads in %d s", f.table.Reads()-reads, seconds)
}

func TestLateWriteIsReckonedWith(t *testing.T) {
	f := newFleet(2)
	lim := limits(slots(10))
	a, b := f.ledgers["i-0"], f.ledgers["i-1"]
	sync := func(l *Ledger) error {
		f.now = f.now.Add(round)
		return l.Sync(ctx, lim, f.ids)
	}
	a.RecordDemand("team", slots(10))
	assert.NilError(t, sync(a))
	assert.Equal(t, a.Snapshot()["team"].Held, slots(10))
	a.RecordDemand("team", slots(0))
	b.RecordDemand("team", slots(8))
	assert.NilError(t, sync(b))
	f.table.Inject(ibistablefake.Late, ibistablefake.Refused)
	assert.Assert(t, Unknown.Has(sync(a)), "gives up 8")
	assert.Assert(t, Unavailable.Has(sync(a)), "has read the row again, which is as before")
	assert.Assert(t, !a.TryUse("team", slots(3)), "the write may still take effect")
	f.table.ApplyLate()
	b.RecordDemand("team", slots(8))
	assert.NilError(t, sync(b))
	assert.Assert(t, b.TryUse("team", slots(8)))
	assert.NilError(t, sync(a))
	assert.Assert(t, a.TryUse("team", slots(2)))
}

func TestTakenOverTasksKeepTheirAllotment(t *testing.T) {
	f := newFleet(3)
	lim := limits(slots(12))
	old, taker := f.ledgers["i-0"], f.ledgers["i-1"]
	for f.fill("i-0", 12) == 0 {
		f.sync(t, lim)
	}
	taker.Use("team", slots(5)) // it has claimed a server with five tasks
	old.Reassign("team", slots(5))
	for range 10 {
		assert.Assert(t, !old.TryUse("team", slots(1)))
		assert.Assert(t, !f.ledgers["i-2"].TryUse("team", slots(1)))
		old.RecordDemand("team", slots(5))
		f.ledgers["i-2"].RecordDemand("team", slots(5))
		f.sync(t, lim)
	}
	assert.Equal(t, taker.Snapshot()["team"].Held, slots(5))
	holders, err := Holders(ctx, f.table)
	assert.NilError(t, err)
	assert.DeepEqual(t, holders, f.ids)
	assert.ErrorContains(t, DropAll(ctx, f.table, taker.fence, "i-0"), "live")
	assert.ErrorContains(t, taker.MoveFrom(ctx, "i-0"), "live")
}
