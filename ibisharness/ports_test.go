package ibisharness

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestProcessesShareNoPorts acquires ranges as test processes do whose IDs differ by a multiple of the number of
// ranges.
func TestProcessesShareNoPorts(t *testing.T) {
	seen := map[string]bool{}
	for range 3 {
		r, err := acquireRange(7)
		assert.NilError(t, err)
		t.Cleanup(func() { assert.NilError(t, r.release()) })
		for range 20 {
			address, ok := r.take()
			assert.Assert(t, ok && !seen[address], "%s is taken twice", address)
			seen[address] = true
		}
	}
}

// TestPortRangeIsUsedUp checks that a range ends before the next one begins.
func TestPortRangeIsUsedUp(t *testing.T) {
	r, err := acquireRange(11)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, r.release()) })
	n := 0
	for {
		if _, ok := r.take(); !ok {
			break
		}
		n++
	}
	assert.Assert(t, n < portsPerRange)
	assert.Equal(t, r.next, r.first+portsPerRange)
}
