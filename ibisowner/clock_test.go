package ibisowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisserver"
)

// The VM restarted and its clock started over. A reply from before the restart must not advance the clock
// reading from which new leases are computed.
func TestReplyUnderOldEpochDoesNotAdvanceClock(t *testing.T) {
	o, _ := newTestOwner(t, &serverFake{})
	r := testRecord(testID(1), ibisserver.Running)
	do(t, o, func() {
		s := claimServer(o, 1, r)
		req := o.renewRequest(s)
		assert.Equal(t, req.Epoch, int64(1))
		claimServer(o, 2)
		before := s.reading
		o.handleRenewed(s, req, ibisserver.Reply{Clock: 9_000_000, Records: []ibisserver.Record{r}}, time.Now())
		assert.Equal(t, s.reading, before)
		assert.Equal(t, len(o.tasks), 0, "a task from before the restart was adopted")
	})
}
