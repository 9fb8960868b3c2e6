package ibisstandin

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibistable"
)

// newTable serves a table with a manual clock and returns it with a client and the clock.
func newTable(t *testing.T) (*Table, *ibistable.Client, *ManualClock) {
	clk := &ManualClock{}
	table := NewTable(clk)
	srv := httptest.NewServer(table.Handler())
	t.Cleanup(srv.Close)
	return table, ibistable.NewClient(srv.URL, srv.Client()), clk
}

func TestCommitConditions(t *testing.T) {
	val := []byte("v")
	for _, tc := range []struct {
		name     string
		writes   []ibistable.Write
		conflict bool
	}{
		{"put on its version", []ibistable.Write{ibistable.Put("a", 1, val)}, false},
		{"put on another version", []ibistable.Write{ibistable.Put("a", 2, val)}, true},
		{"put on any version", []ibistable.Write{ibistable.Put("a", ibistable.Any, val)}, false},
		{"put where absent", []ibistable.Write{ibistable.Put("new", ibistable.Absent, val)}, false},
		{"put where not absent", []ibistable.Write{ibistable.Put("a", ibistable.Absent, val)}, true},
		{"delete on its version", []ibistable.Write{ibistable.Delete("a", 1)}, false},
		{"delete on another version", []ibistable.Write{ibistable.Delete("a", 7)}, true},
		{"check holds", []ibistable.Write{ibistable.Check("a", 1), ibistable.Put("new", ibistable.Absent, val)}, false},
		{"check fails", []ibistable.Write{ibistable.Check("b", 1), ibistable.Put("new", ibistable.Absent, val)}, true},
		{"check that absent", []ibistable.Write{ibistable.Check("new", ibistable.Absent)}, false},
		{"one of two fails", []ibistable.Write{ibistable.Put("new", ibistable.Absent, val), ibistable.Put("a", 9, val)}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, c, _ := newTable(t)
			ctx := t.Context()
			for _, key := range []string{"a", "b"} {
				_, err := c.Commit(ctx, ibistable.Put(key, ibistable.Absent, []byte(key)))
				assert.NilError(t, err)
			}
			before, err := c.Scan(ctx, "", "\xff", 10)
			assert.NilError(t, err)
			version, err := c.Commit(ctx, tc.writes...)
			after, scanErr := c.Scan(ctx, "", "\xff", 10)
			assert.NilError(t, scanErr)
			if tc.conflict {
				assert.Assert(t, ibistable.Conflict.Has(err), "%v", err)
				assert.DeepEqual(t, before, after)
				return
			}
			assert.NilError(t, err)
			for _, w := range tc.writes {
				row, err := c.Get(ctx, w.Key)
				switch {
				case w.Delete:
					assert.Assert(t, ibistable.NotFound.Has(err))
				case w.Value != nil:
					assert.NilError(t, err)
					assert.DeepEqual(t, row, ibistable.Row{Key: w.Key, Version: version, Value: val})
				}
			}
		})
	}
}

func TestScan(t *testing.T) {
	_, c, _ := newTable(t)
	for _, key := range []string{"b/2", "a/9", "b/1", "c/0", "b/3"} {
		_, err := c.Commit(t.Context(), ibistable.Put(key, ibistable.Absent, []byte(key)))
		assert.NilError(t, err)
	}
	for _, tc := range []struct {
		from, to string
		limit    int
		want     string
	}{
		{"b/", ibistable.PrefixEnd("b/"), 10, "b/1 b/2 b/3"},
		{"b/", ibistable.PrefixEnd("b/"), 2, "b/1 b/2"},
		{"b/2", "c/0", 10, "b/2 b/3"},
		{"d", "e", 10, ""},
	} {
		rows, err := c.Scan(t.Context(), tc.from, tc.to, tc.limit)
		assert.NilError(t, err)
		var keys []string
		for _, r := range rows {
			keys = append(keys, r.Key)
		}
		assert.Equal(t, strings.Join(keys, " "), tc.want)
	}
	_, err := c.Scan(t.Context(), "", "z", 0)
	assert.Assert(t, ibistable.Error.Has(err))
}

func TestRecreatedRowHasHigherVersion(t *testing.T) {
	_, c, _ := newTable(t)
	first, err := c.Commit(t.Context(), ibistable.Put("a", ibistable.Absent, []byte("1")))
	assert.NilError(t, err)
	_, err = c.Commit(t.Context(), ibistable.Delete("a", first))
	assert.NilError(t, err)
	second, err := c.Commit(t.Context(), ibistable.Put("a", ibistable.Absent, []byte("2")))
	assert.NilError(t, err)
	assert.Assert(t, second > first)
}

func TestLostReplyOfCommit(t *testing.T) {
	table, c, _ := newTable(t)
	table.SetFaults(TableFaults{LoseReplies: 1})
	put := ibistable.Put("a", ibistable.Absent, []byte("1"))
	_, err := c.Commit(t.Context(), put)
	assert.Assert(t, ibistable.Unknown.Has(err), "%v", err)
	row, err := c.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "1")
	_, err = c.Commit(t.Context(), put)
	assert.Assert(t, ibistable.Conflict.Has(err), "the repeated write must do no harm: %v", err)
	assert.Equal(t, table.Stats().Writes, int64(1))
}

func TestTableDown(t *testing.T) {
	table, c, _ := newTable(t)
	table.SetFaults(TableFaults{Down: true})
	_, err := c.Commit(t.Context(), ibistable.Put("a", ibistable.Any, []byte("1")))
	assert.Assert(t, ibistable.Unavailable.Has(err), "%v", err)
	_, err = c.Get(t.Context(), "a")
	assert.Assert(t, ibistable.Unavailable.Has(err), "%v", err)
	_, err = c.Objects().Get(t.Context(), "o")
	assert.Assert(t, ibistable.Unavailable.Has(err), "%v", err)
	table.SetFaults(TableFaults{})
	_, err = c.Get(t.Context(), "a")
	assert.Assert(t, ibistable.NotFound.Has(err), "%v", err)
}

func TestWriteRateCountsWrittenRows(t *testing.T) {
	table, c, clk := newTable(t)
	table.SetFaults(TableFaults{MaxWritesPerSecond: 3})
	v := []byte("v")
	two := []ibistable.Write{
		ibistable.Check("x", ibistable.Absent), ibistable.Put("a", ibistable.Any, v), ibistable.Put("b", ibistable.Any, v),
	}
	_, err := c.Commit(t.Context(), two...)
	assert.NilError(t, err)
	_, err = c.Commit(t.Context(), two...)
	assert.Assert(t, ibistable.Unavailable.Has(err), "%v", err)
	_, err = c.Commit(t.Context(), ibistable.Check("x", ibistable.Absent))
	assert.NilError(t, err)
	clk.Advance(time.Second)
	_, err = c.Commit(t.Context(), two...)
	assert.NilError(t, err)
	s := table.Stats()
	assert.Equal(t, s.Writes, int64(4))
	assert.Equal(t, s.MaxWritesInSecond, int64(2))
}

func TestDelayedCommitTakesEffectAfterItsCallerLeft(t *testing.T) {
	table, c, clk := newTable(t)
	table.SetFaults(TableFaults{DelayMS: 100})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error)
	go func() {
		_, err := c.Commit(ctx, ibistable.Put("a", ibistable.Absent, []byte("1")))
		failed <- err
	}()
	await(t, func() bool { return clk.PendingTimers() == 1 })
	cancel()
	assert.Assert(t, ibistable.Unknown.Has(<-failed))
	clk.Advance(100 * time.Millisecond)
	await(t, func() bool { return table.Stats().Rows == 1 })
}

func TestObjects(t *testing.T) {
	table, c, _ := newTable(t)
	o := c.Objects()
	long := strings.Repeat("0123456789", 100_000)
	assert.NilError(t, o.Put(t.Context(), "a/b c", strings.NewReader(long)))
	r, err := o.Get(t.Context(), "a/b c")
	assert.NilError(t, err)
	defer r.Close()
	b, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.Assert(t, string(b) == long)
	assert.NilError(t, o.Delete(t.Context(), "a/b c"))
	assert.NilError(t, o.Delete(t.Context(), "a/b c"))
	_, err = o.Get(t.Context(), "a/b c")
	assert.Assert(t, ibistable.NotFound.Has(err))
	table.SetFaults(TableFaults{LoseReplies: 1})
	err = o.Put(t.Context(), "k", strings.NewReader("v"))
	assert.Assert(t, ibistable.Unknown.Has(err), "%v", err)
}
