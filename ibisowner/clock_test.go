package ibisowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisserver"
)

// TestReplyOfAnEarlierLifeIsNotRead: the VM was started anew and its clock began again; a reply that was made
// before must not lend its higher reading to the leases given now.
func TestReplyOfAnEarlierLifeIsNotRead(t *testing.T) {
	o, _ := newTestOwner(t, &serverFake{})
	r := testRecord(testID(1), ibisserver.Running)
	do(t, o, func() {
		s := claimed(o, 1, r)
		req := o.renewal(s)
		assert.Equal(t, req.Epoch, int64(1))
		claimed(o, 2)
		before := s.reading
		o.renewed(s, req, ibisserver.Reply{Clock: 9_000_000, Records: []ibisserver.Record{r}}, time.Now())
		assert.Equal(t, s.reading, before)
		assert.Equal(t, len(o.tasks), 0, "a task of the earlier life came back")
	})
}
