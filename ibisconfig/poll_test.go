package ibisconfig

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibistable"
	"ibiscrank/ibistablefake"
)

// hookTable calls a function, which may change the table, before each Get and Scan.
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

// TestPollReadsOneVersion guards against a snapshot that mixes rows of several versions. Rows change between
// the reads of one Poll, which reads all rows in one case and only the changed rows in the other.
func TestPollReadsOneVersion(t *testing.T) {
	for _, firstPoll := range []bool{true, false} {
		table := ibistablefake.New()
		writer := NewStore(table)
		mustApply(t, writer, putTeam("a", 1))
		mustApply(t, writer, putTeam("b", 1))
		pendingChanges := 0
		reader := NewStore(hookTable{table, func(key string) {
			if key != headKey && pendingChanges > 0 {
				pendingChanges--
				mustApply(t, writer, putTeam("a", 2))
				mustApply(t, writer, change(func(c *Change) { c.DeleteTeam = "b" }))
				mustApply(t, writer, putTeam("b", 3))
			}
		}})
		if !firstPoll {
			assert.NilError(t, reader.Poll(t.Context()))
			mustApply(t, writer, putTeam("a", 9))
		}
		pendingChanges = 2
		assert.NilError(t, reader.Poll(t.Context()))
		assert.Equal(t, pendingChanges, 0, "nothing changed while the store read")
		snap := reader.Snapshot()
		assert.Equal(t, snap.Version, writer.Snapshot().Version)
		assert.DeepEqual(t, snap.Teams, writer.Snapshot().Teams)
		for _, team := range snap.Teams {
			assert.Assert(t, team.Version <= snap.Version, "a snapshot of version %d has a team of version %d", snap.Version, team.Version)
		}
	}
}

// The deny set must survive every way of replacing the snapshot: a Poll of all rows, a snapshot from a peer and
// a Poll of the changed rows.
func TestDenySetSurvivesNewVersions(t *testing.T) {
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
	refused(b, "after all rows were read")
	mustApply(t, a, putTeam("tuul-floor", 2))
	assert.Assert(t, b.Adopt(a.Snapshot()))
	refused(b, "after a peer's newer snapshot")
	mustApply(t, a, putTeam("tuul-floor", 3))
	assert.NilError(t, b.Poll(t.Context()))
	refused(b, "after only the changed rows were read")
}
