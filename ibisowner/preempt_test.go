package ibisowner

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

// TestNonIdempotentWorkIsNeverStopped: neither preemption nor a lowered limit stops work that may run once
// only, and a lowered limit spares interactive work.
func TestNonIdempotentWorkIsNeverStopped(t *testing.T) {
	o, _ := newTestOwner(t, &serverFake{})
	do(t, o, func() {
		var records []ibisserver.Record
		for i := range 6 {
			records = append(records, testRecord(testID(i), ibisserver.Running))
		}
		claimed(o, 1, records...)
		for i, r := range records {
			m := &o.tasks[r.Task.ID].meta
			m.Class, m.Idempotent = []ibiswork.Class{ibiswork.Batch, ibiswork.Service, ibiswork.Interactive}[i%3], i < 3
		}
		o.fleetUsed = o.usedByTeam()
		o.makeRoom(blocked{team: "other", size: testSize.Times(9)}, func(*task) bool { return true })
		o.stopExcess(testTeam, testSize.Times(6))
		for i, r := range records {
			task := o.tasks[r.Task.ID]
			assert.Equal(t, stoppable(task), false, "%d", i) // stopping already, or never to be stopped
			assert.Equal(t, task.stopping, i == 0 || i == 1, "%d: %s, idempotent %v", i, task.meta.Class, task.meta.Idempotent)
		}
	})
}
