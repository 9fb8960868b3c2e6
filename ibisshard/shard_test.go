package ibisshard

import (
	"context"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisincarnation"
	"ibiscrank/ibistable"
	"ibiscrank/ibistablefake"
)

var ctx = context.Background()

func register(t *testing.T, table *ibistablefake.Table, id string) ibistable.Write {
	inc, err := ibisincarnation.Register(ctx, table, ibisincarnation.Row{ID: id})
	assert.NilError(t, err)
	return inc.Fence()
}

func list(t *testing.T, table *ibistablefake.Table, n int) []Row {
	rows, err := List(ctx, table, n)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), n)
	return rows
}

func TestShardMoves(t *testing.T) {
	table := ibistablefake.New()
	a, b := register(t, table, "a"), register(t, table, "b")
	first := list(t, table, 3)[1]
	assert.DeepEqual(t, first, Row{Shard: 1})
	table.Inject(ibistablefake.LostReply)
	held, err := Acquire(ctx, table, a, first, "a")
	assert.NilError(t, err)
	again, err := Acquire(ctx, table, a, first, "a")
	assert.NilError(t, err, "the row already has the value to be written")
	assert.DeepEqual(t, held, again)
	_, err = Acquire(ctx, table, b, first, "b")
	assert.Assert(t, Conflict.Has(err), "%v", err)
	held, err = MarkImported(ctx, table, a, held)
	assert.NilError(t, err)
	assert.NilError(t, ibisincarnation.Revoke(ctx, table, "a", "test"))
	_, err = Release(ctx, table, a, held)
	assert.Assert(t, Fenced.Has(err), "%v", err)

	held, err = Acquire(ctx, table, b, list(t, table, 3)[1], "b")
	assert.NilError(t, err)
	assert.DeepEqual(t, held, Row{Shard: 1, Holder: "b", Epoch: 2, Base: 1, Sources: []string{"a"}, Version: held.Version})
	held, err = Release(ctx, table, b, held)
	assert.NilError(t, err)
	assert.DeepEqual(t, held.Sources, []string{"a", "b"})
	held, err = Acquire(ctx, table, b, held, "b")
	assert.NilError(t, err)
	assert.DeepEqual(t, held.Sources, []string{"a", "b"}) // the holder's own journal is still a source
	held, err = MarkImported(ctx, table, b, held)
	assert.NilError(t, err)
	assert.DeepEqual(t, held, list(t, table, 3)[1])
	assert.DeepEqual(t, held, Row{Shard: 1, Holder: "b", Epoch: 3, Base: 3, Version: held.Version})
	_, err = List(ctx, table, 1)
	assert.Assert(t, Error.Has(err), "a shard beyond the number of shards")
}

func TestAcquireMany(t *testing.T) {
	const n = 40
	table := ibistablefake.New()
	a, b := register(t, table, "a"), register(t, table, "b")
	rows := list(t, table, n)
	_, err := Acquire(ctx, table, b, rows[20], "b")
	assert.NilError(t, err)
	before := table.Commits()
	table.Inject(ibistablefake.None, ibistablefake.LostReply)
	got, err := AcquireMany(ctx, table, a, rows, "a")
	assert.NilError(t, err)
	assert.Equal(t, len(got), n-1)
	assert.Equal(t, table.Commits()-before, 2+15, "full transactions except for the conflicting one, which is retried row by row")
	for s, r := range list(t, table, n) {
		want := "a"
		if s == 20 {
			want = "b"
		}
		assert.Equal(t, r.Holder, want)
		assert.Equal(t, r.Epoch, int64(1))
	}
	table.SetDown(true)
	_, err = AcquireMany(ctx, table, a, rows, "a")
	assert.Assert(t, Unavailable.Has(err), "%v", err)
}

func TestAssignBoundsLoadAndMoves(t *testing.T) {
	const shards = 256
	for _, n := range []int{1, 2, 7, 40} {
		var live []string
		for i := range n {
			live = append(live, fmt.Sprintf("i-%d", i))
		}
		before, load := Assign(shards, live), make(map[string]int)
		for _, id := range before {
			load[id]++
		}
		mean := (shards + n - 1) / n
		for _, id := range live {
			assert.Assert(t, load[id] <= mean+mean/loadSlackDivisor, "%s has %d shards, the mean is %d", id, load[id], mean)
		}
		moved := 0
		for s, id := range Assign(shards, append([]string{"i-new"}, live...)) {
			if id != before[s] {
				moved++
			}
		}
		assert.Assert(t, moved <= 2*shards/(n+1)+n, "%d of %d shards moved when one incarnation joined %d", moved, shards, n)
	}
	assert.DeepEqual(t, Assign(2, nil), []string{"", ""})
	assert.Equal(t, Rendezvous("x", nil), "")
	assert.Equal(t, Rendezvous("x", []string{"a", "b", "c"}), Rendezvous("x", []string{"c", "a", "b"}))
}

func FuzzDecode(f *testing.F) {
	value, err := cbor.Marshal(rowFields(Row{Shard: 3, Holder: "a", Epoch: 2, Base: 1, Sources: []string{"b"}}))
	assert.NilError(f, err)
	f.Add(value)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decode(ibistable.Row{Value: b})
		if err == nil {
			assert.NilError(t, r.Check())
		}
	})
}
