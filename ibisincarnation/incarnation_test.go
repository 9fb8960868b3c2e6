package ibisincarnation

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ibiscrank/ibistable"
	"ibiscrank/ibistablefake"
)

var (
	ctx   = context.Background()
	start = time.Date(2026, 12, 3, 21, 0, 0, 5, time.UTC)
)

func row(id string) Row {
	return Row{ID: id, Address: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2", FailureDomain: "a", StartedAt: start}
}

// canWrite reports whether a write under the incarnation's fence succeeds.
func canWrite(t *testing.T, table *ibistablefake.Table, inc *Incarnation) bool {
	_, err := table.Commit(ctx, inc.Fence(), ibistable.Put("x", ibistable.Any, []byte("x")))
	assert.Assert(t, err == nil || ibistable.Conflict.Has(err), "%v", err)
	return err == nil
}

func TestRegister(t *testing.T) {
	table := ibistablefake.New()
	table.Inject(ibistablefake.LostReply, ibistablefake.LostRequest)
	inc, err := Register(ctx, table, row("i-1"))
	assert.NilError(t, err)
	again, err := Register(ctx, table, row("i-1"))
	assert.NilError(t, err, "registering the same row again returns the same incarnation")
	assert.DeepEqual(t, inc.Fence(), again.Fence())
	other := row("i-1")
	other.Address = "127.0.0.1:3"
	_, err = Register(ctx, table, other)
	assert.Assert(t, Fenced.Has(err), "%v", err)
	_, err = Register(ctx, table, row("a/b"))
	assert.Assert(t, Error.Has(err), "%v", err)
	table.Inject(ibistablefake.Refused)
	_, err = Register(ctx, table, row("i-2"))
	assert.Assert(t, Unavailable.Has(err), "%v", err)
	assert.Assert(t, canWrite(t, table, inc))
	list, err := List(ctx, table)
	assert.NilError(t, err)
	want := row("i-1")
	want.State = Live
	assert.DeepEqual(t, list, []Row{want})
}

func TestFenceInvalidAfterRevokeAndEnd(t *testing.T) {
	table := ibistablefake.New()
	inc, err := Register(ctx, table, row("i-1"))
	assert.NilError(t, err)
	other, err := Register(ctx, table, row("i-2"))
	assert.NilError(t, err)
	assert.Assert(t, Error.Has(Delete(ctx, table, "i-1")), "a live incarnation cannot be deleted")
	over, err := IsOver(ctx, table, "i-1")
	assert.Assert(t, err == nil && !over)
	for range 2 {
		table.Inject(ibistablefake.LostReply)
		assert.NilError(t, Revoke(ctx, table, "i-1", "silent", other.Fence()))
	}
	table.ClearFaults()
	assert.Assert(t, !canWrite(t, table, inc))
	assert.Assert(t, Fenced.Has(inc.Valid(ctx)))
	assert.Assert(t, Fenced.Has(inc.End(ctx)))
	assert.Assert(t, Fenced.Has(Revoke(ctx, table, "i-2", "paused", inc.Fence())), "a revoked incarnation cannot revoke others")
	assert.NilError(t, other.Valid(ctx))
	for range 2 {
		table.Inject(ibistablefake.LostReply)
		assert.NilError(t, other.End(ctx))
	}
	table.ClearFaults()
	assert.Assert(t, !canWrite(t, table, other))
	assert.NilError(t, Revoke(ctx, table, "i-2", "ended already"))
	list, err := List(ctx, table)
	assert.NilError(t, err)
	assert.Equal(t, list[0].State, Revoked)
	assert.Equal(t, list[0].Reason, "silent")
	assert.Equal(t, list[1].State, Ended)
	for id, want := range map[string]bool{"i-1": true, "i-2": true, "never": true} {
		over, err := IsOver(ctx, table, id)
		assert.NilError(t, err)
		assert.Equal(t, over, want)
	}
	for range 2 {
		assert.NilError(t, Delete(ctx, table, "i-1"))
	}
	assert.NilError(t, Revoke(ctx, table, "i-1", "deleted already"))
	assert.Assert(t, !canWrite(t, table, inc))
}

func FuzzDecode(f *testing.F) {
	value, err := row("i-1").encode()
	assert.NilError(f, err)
	f.Add(value)
	f.Fuzz(func(t *testing.T, b []byte) {
		var r Row
		if cbor.Unmarshal(b, &r) == nil {
			assert.NilError(t, r.Check())
		}
	})
}
