package ibisstandin

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisserver"
)

func TestVMListLags(t *testing.T) {
	clk := &ManualClock{}
	a := ibisserver.VM{Name: "a", Address: "127.0.0.1:1", State: ibisserver.Live}
	b := ibisserver.VM{Name: "b", Address: "127.0.0.1:2", State: ibisserver.Live}
	l := NewVMs([]ibisserver.VM{a}, clk)
	srv := httptest.NewServer(l)
	defer srv.Close()
	c, closeClient := ibisserver.NewVMClient(srv.URL)
	defer closeClient()
	lag := int64(300)
	gone := a
	gone.State = ibisserver.Gone
	l.Change(VMChange{LagMS: &lag, VMs: []ibisserver.VM{gone, b}})
	for _, step := range []struct {
		advance time.Duration
		want    []ibisserver.VM
	}{
		{299 * time.Millisecond, []ibisserver.VM{a}},
		{time.Millisecond, []ibisserver.VM{gone, b}},
	} {
		clk.Advance(step.advance)
		vms, err := c.VMs(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, vms, step.want)
	}
	l.Change(VMChange{Down: true})
	_, err := c.VMs(t.Context())
	assert.Assert(t, ibisserver.Unreachable.Has(err))
}
