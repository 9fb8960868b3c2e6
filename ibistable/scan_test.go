package ibistable_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibistable"
	"ibiscrank/ibistablefake"
)

func TestScanPrefix(t *testing.T) {
	table := ibistablefake.New()
	var want []string
	for i := range 7 {
		key := fmt.Sprintf("a/%d", i)
		want = append(want, key)
		_, err := table.Commit(t.Context(), ibistable.Put(key, 0, []byte("x")))
		assert.NilError(t, err)
	}
	_, err := table.Commit(t.Context(), ibistable.Put("b/0", 0, nil))
	assert.NilError(t, err)
	for pageSize := 1; pageSize <= 9; pageSize++ {
		var got []string
		for row, err := range ibistable.ScanPrefix(t.Context(), table, "a/", pageSize) {
			assert.NilError(t, err)
			got = append(got, row.Key)
		}
		assert.DeepEqual(t, got, want)
	}
	before := table.Reads()
	for _, err := range ibistable.ScanPrefix(t.Context(), table, "a/", 2) {
		assert.NilError(t, err)
		break
	}
	assert.Equal(t, table.Reads(), before+1, "read a further page after the loop ended")
}

func TestScanPrefixStopsAtError(t *testing.T) {
	table := ibistablefake.New()
	table.SetDown(true)
	n := 0
	for _, err := range ibistable.ScanPrefix(t.Context(), table, "a/", 2) {
		n++
		assert.Assert(t, ibistable.Unavailable.Has(err), "%v", err)
	}
	assert.Equal(t, n, 1)
}
