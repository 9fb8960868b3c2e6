package ibiscommit

import (
	"context"
	"testing"

	"github.com/zeebo/errs"
	"gotest.tools/v3/assert"

	"ibiscrank/ibistable"
	"ibiscrank/ibistablefake"
)

// The outcome that is reported agrees with the row's value, whichever fault the first tries meet.
func TestOutcomeIsResolvedAfterFaults(t *testing.T) {
	put := func(ctx context.Context, t *ibistablefake.Table, key, value string) {
		_, _ = t.Commit(ctx, ibistable.Put(key, ibistable.Any, []byte(value)))
	}
	for _, c := range []struct {
		name         string
		faults       []ibistablefake.Fault
		after        func(ctx context.Context, t *ibistablefake.Table) // runs after the first try
		class        *errs.Class
		maybeApplied bool
		value        string
	}{
		{name: "no fault", value: "new"},
		{name: "refused", faults: []ibistablefake.Fault{ibistablefake.Refused}, class: &Unavailable, value: "old"},
		{name: "lost request", faults: []ibistablefake.Fault{ibistablefake.LostRequest}, value: "new"},
		{name: "lost reply", faults: []ibistablefake.Fault{ibistablefake.LostReply}, value: "new"},
		{name: "late", faults: []ibistablefake.Fault{ibistablefake.Late, ibistablefake.Late}, value: "new"},
		{name: "contended", faults: []ibistablefake.Fault{ibistablefake.Contended}, value: "new"},
		{
			name: "lost reply, then refused", value: "new",
			faults: []ibistablefake.Fault{ibistablefake.LostReply, ibistablefake.Refused, ibistablefake.LostReply},
		},
		{
			name: "lost request, then another writer", class: &Conflict, maybeApplied: true, value: "other",
			faults: []ibistablefake.Fault{ibistablefake.LostRequest},
			after:  func(ctx context.Context, t *ibistablefake.Table) { put(ctx, t, "row", "other") },
		},
		{
			name: "lost request, then revoked", class: &Fenced, value: "old",
			faults: []ibistablefake.Fault{ibistablefake.LostRequest},
			after:  func(ctx context.Context, t *ibistablefake.Table) { put(ctx, t, "fence", "revoked") },
		},
		{
			name: "lost reply, then revoked", value: "new",
			faults: []ibistablefake.Fault{ibistablefake.LostReply},
			after:  func(ctx context.Context, t *ibistablefake.Table) { put(ctx, t, "fence", "revoked") },
		},
		{
			name: "late, then revoked", class: &Fenced, value: "old",
			faults: []ibistablefake.Fault{ibistablefake.Late},
			after:  func(ctx context.Context, t *ibistablefake.Table) { put(ctx, t, "fence", "revoked") },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx := context.Background()
			table := ibistablefake.New()
			fence, err := table.Commit(ctx, ibistable.Put("fence", ibistable.Absent, []byte("live")))
			assert.NilError(t, err)
			old, err := table.Commit(ctx, ibistable.Put("row", ibistable.Absent, []byte("old")))
			assert.NilError(t, err)
			table.Inject(c.faults...)
			tx := New(table, ibistable.Check("fence", fence), ibistable.Put("row", old, []byte("new")))
			version, err := tx.Try(ctx)
			if c.after != nil {
				c.after(ctx, table)
			}
			if Unknown.Has(err) {
				version, err = tx.Run(ctx)
			}
			table.ApplyLate()
			row, gerr := table.Get(ctx, "row")
			assert.NilError(t, gerr)
			assert.Equal(t, string(row.Value), c.value)
			assert.Equal(t, tx.MaybeApplied(), c.maybeApplied)
			if c.class != nil {
				assert.Assert(t, c.class.Has(err), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, version, row.Version)
		})
	}
}

func TestCommitReturnsConflictAndFencedWithoutRetry(t *testing.T) {
	ctx := context.Background()
	table := ibistablefake.New()
	_, err := Commit(ctx, table, ibistable.Write{}, ibistable.Put("row", 7, []byte("x")))
	assert.Assert(t, Conflict.Has(err), "%v", err)
	_, err = Commit(ctx, table, ibistable.Check("fence", 7), ibistable.Put("row", ibistable.Absent, []byte("x")))
	assert.Assert(t, Fenced.Has(err), "%v", err)
	table.Inject(ibistablefake.LostReply)
	_, err = Commit(ctx, table, ibistable.Write{}, ibistable.Put("row", ibistable.Absent, []byte("x")))
	assert.NilError(t, err)
}

func TestCommitIsUnknownAfterContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	table := ibistablefake.New()
	table.Hook(func([]ibistable.Write) ibistablefake.Fault {
		cancel()
		return ibistablefake.LostReply
	})
	_, err := Commit(ctx, table, ibistable.Write{}, ibistable.Put("row", ibistable.Absent, []byte("x")))
	assert.Assert(t, Unknown.Has(err), "%v", err)
}
