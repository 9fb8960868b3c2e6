package ibisconfig

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibistable"
	"ibiscrank/ibistablefake"
)

// hookTable calls before each Get and Scan a function that may change the table.
type hookTable struct {
	*ibistablefake.Table
	before func(key string)
}

func (h hookTable) Get(ctx context.Context, key string) (ibistable.Row, error) {
	h.before(key)
	return h.Table.Get(ctx, key)
}

func (h hookTable) Scan(ctx context.Context, from, to string, limit int) ([]ibistable.Row, error) {
	h.before(from)
	return h.Table.Scan(ctx, from, to, limit)
}

// TestSnapshotIsOfOneVersion changes rows between the reads of one Poll, both when only the changed
// rows are read and when everything is.
func TestSnapshotIsOfOneVersion(t *testing.T) {
	for _, first := range []bool{true, false} {
		table := ibistablefake.New()
		writer := NewStore(table)
		mustApply(t, writer, putTeam("a", 1))
		mustApply(t, writer, putTeam("b", 1))
		changes := 0
		reader := NewStore(hookTable{table, func(key string) {
			if key != headKey && changes > 0 {
				changes--
				mustApply(t, writer, putTeam("a", 2))
				mustApply(t, writer, change(func(c *Change) { c.DeleteTeam = "b" }))
				mustApply(t, writer, putTeam("b", 3))
			}
		}})
		if !first {
			assert.NilError(t, reader.Poll(t.Context()))
			mustApply(t, writer, putTeam("a", 9))
		}
		changes = 2
		assert.NilError(t, reader.Poll(t.Context()))
		assert.Equal(t, changes, 0, "nothing changed while the store read")
		snap := reader.Snapshot()
		assert.Equal(t, snap.Version, writer.Snapshot().Version)
		assert.DeepEqual(t, snap.Teams, writer.Snapshot().Teams)
		for _, team := range snap.Teams {
			assert.Assert(t, team.Version <= snap.Version, "version %d holds a team of version %d", snap.Version, team.Version)
		}
	}
}

func TestDeniedKeysOutliveNewVersions(t *testing.T) {
	table := ibistablefake.New()
	a, b := NewStore(table), NewStore(table)
	mustApply(t, a, putTeam("tuul-floor", 1))
	mustApply(t, a, addKey("tuul-floor", "mill"))
	refused := func(s *Store, when string) {
		t.Helper()
		_, ok := s.Snapshot().Authenticate("mill")
		assert.Assert(t, !ok, when)
	}
	b.Deny(HashKey("mill"))
	assert.NilError(t, b.Poll(t.Context()))
	refused(b, "after everything was read")
	mustApply(t, a, putTeam("tuul-floor", 2))
	assert.Assert(t, b.Adopt(a.Snapshot()))
	refused(b, "after a peer's newer snapshot")
	mustApply(t, a, putTeam("tuul-floor", 3))
	assert.NilError(t, b.Poll(t.Context()))
	refused(b, "after a change was read")
}
