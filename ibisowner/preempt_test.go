package ibisowner

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

// Neither preemption nor a lowered limit may stop a task that may run only once, and a lowered limit stops no
// interactive task.
func TestNonIdempotentTasksAreNeverStopped(t *testing.T) {
	o, _ := newTestOwner(t, &serverFake{})
	do(t, o, func() {
		var records []ibisserver.Record
		for i := range 6 {
			records = append(records, testRecord(testID(i), ibisserver.Running))
		}
		claimServer(o, 1, records...)
		for i, r := range records {
			m := &o.tasks[r.Task.ID].meta
			m.Class, m.Idempotent = []ibiswork.Class{ibiswork.Batch, ibiswork.Service, ibiswork.Interactive}[i%3], i < 3
		}
		o.fleetUsed = o.usedByTeam()
		o.makeRoom(blocked{team: "other", size: testSize.Times(9)}, func(*task) bool { return true })
		o.stopExcess(testTeam, testSize.Times(6))
		for i, r := range records {
			task := o.tasks[r.Task.ID]
			assert.Equal(t, stoppable(task), false, "%d", i) // already stopping, or never stopped
			assert.Equal(t, task.stopping, i == 0 || i == 1, "%d: %s, idempotent %v", i, task.meta.Class, task.meta.Idempotent)
		}
	})
}
