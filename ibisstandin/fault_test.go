package ibisstandin

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibishttp"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

func TestFailAll(t *testing.T) {
	ts := newTestServer(t)
	ts.s.SetFaults(ServerFaults{FailAll: true})
	task := newTask(`{"RunMS":1000}`)
	_, err := ts.c.Start(t.Context(), newStartRequest(task))
	assert.NilError(t, err)
	ts.advanceMS(5)
	rec := ts.currentRecord(t, task.ID)
	assert.Equal(t, rec.State, ibisserver.Failed)
	assert.Equal(t, rec.EndedAt, int64(startClockMS+5))
}

func TestUsageFactor(t *testing.T) {
	ts := newTestServer(t)
	ts.s.SetFaults(ServerFaults{UsageFactor: 0.5})
	task := newTask(`{"RunMS":1000}`)
	_, err := ts.c.Start(t.Context(), newStartRequest(task))
	assert.NilError(t, err)
	ts.advanceMS(400)
	assert.Equal(t, ts.currentRecord(t, task.ID).Usage.MilliCPU, int64(300))
}

func TestLostReplyOfStart(t *testing.T) {
	ts := newTestServer(t)
	ts.s.SetFaults(ServerFaults{LoseReplies: 1})
	task := newTask("")
	_, err := ts.c.Start(t.Context(), newStartRequest(task))
	assert.Assert(t, ibisserver.Unknown.Has(err), "%v", err)
	r, err := ts.c.Start(t.Context(), newStartRequest(task))
	assert.Equal(t, singleRecord(t, r, err).State, ibisserver.Running)
	assert.Equal(t, ts.s.Stats().Starts, int64(1))
}

// TestFrozenServerSendsNoReply checks that a frozen server sends no reply while its tasks keep running, and that a start
// received meanwhile takes effect once the server is unfrozen, but only if its start-by time has not passed.
func TestFrozenServerSendsNoReply(t *testing.T) {
	for _, tc := range []struct {
		name     string
		frozenMS int64
		starts   int64
	}{
		{"unfrozen in time", 500, 1},
		{"unfrozen too late", 1001, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ts := newTestServer(t)
			running := newTask(`{"RunMS":200}`)
			_, err := ts.c.Start(t.Context(), newStartRequest(running))
			assert.NilError(t, err)
			ts.s.SetFaults(ServerFaults{Freeze: true})
			ctx, cancel := context.WithTimeout(t.Context(), noReplyTimeout)
			defer cancel()
			_, err = ts.c.Start(ctx, newStartRequest(newTask(`{"RunMS":5000}`)))
			assert.Assert(t, ibisserver.Unknown.Has(err), "%v", err)
			ts.advanceMS(tc.frozenMS)
			assert.Equal(t, ts.s.Stats().Ends, int64(1), "tasks keep running")
			ts.s.SetFaults(ServerFaults{})
			await(t, func() bool { st := ts.s.Stats(); return st.Starts-1+st.Rejected == 1 })
			assert.Equal(t, ts.s.Stats().Starts-1, tc.starts)
		})
	}
}

func TestFleet(t *testing.T) {
	f, stop, err := NewFleet(FleetConfig{
		Count: 12, FailureDomains: []string{"fd-1", "fd-2"}, RackSize: 4,
		Capacity: ibiswork.Resources{MilliCPU: 1000, Slots: 8},
	}, nil)
	assert.NilError(t, err)
	defer stop()
	racks, clocks := map[string]int{}, map[int64]bool{}
	for _, vm := range f.VMs() {
		c, closeClient := ibisserver.NewClient(vm.Address)
		defer closeClient()
		r, err := c.Claim(t.Context(), ibisserver.ClaimRequest{Epoch: 1, Owner: "i-1"})
		assert.NilError(t, err)
		assert.Equal(t, r.Server, vm.Name)
		assert.Equal(t, r.Rack, vm.Rack)
		racks[r.Rack]++
		clocks[r.Clock/clockStepMS] = true
	}
	assert.DeepEqual(t, racks, map[string]int{"fd-1-rack-0": 4, "fd-1-rack-1": 2, "fd-2-rack-0": 4, "fd-2-rack-1": 2})
	assert.Equal(t, len(clocks), 12)
	shown, err := f.VMList().VMs(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, shown, f.VMs())
}

func TestLostVM(t *testing.T) {
	f, stop, err := NewFleet(FleetConfig{Count: 1}, nil)
	assert.NilError(t, err)
	defer stop()
	vm := f.VMs()[0]
	c, closeClient := ibisserver.NewClient(vm.Address)
	defer closeClient()
	claim, err := c.Claim(t.Context(), ibisserver.ClaimRequest{Epoch: 3, Owner: "i-3"})
	assert.NilError(t, err)
	task := newTask(`{"RunMS":100000}`)
	r := ibisserver.StartRequest{Epoch: 3, Task: task, StartBy: claim.Clock + 60_000, LeaseEnd: claim.Clock + 60_000}
	_, err = c.Start(t.Context(), r)
	assert.NilError(t, err)
	assert.NilError(t, f.LoseVM(vm.Name))
	await(t, func() bool {
		_, err = c.Start(t.Context(), r)
		return ibisserver.Unreachable.Has(err)
	})
	assert.NilError(t, f.StartVM(vm.Name))
	_, err = c.Start(t.Context(), r)
	assert.Equal(t, ibisserver.ReasonOf(err), ibisserver.NotClaimed)
	h := f.History()
	assert.Equal(t, len(h), 2)
	assert.Equal(t, h[1].State, Lost)
	assert.Assert(t, f.LoseVM("nobody") != nil)
}

func TestFleetFaults(t *testing.T) {
	f, stop, err := NewFleet(FleetConfig{Count: 2}, nil)
	assert.NilError(t, err)
	defer stop()
	names := []string{f.VMs()[1].Name}
	assert.NilError(t, f.SetFaults(FleetFaults{Servers: names, Faults: ServerFaults{FailAll: true}}))
	assert.Equal(t, f.Server("server-000").Faults(), ServerFaults{})
	assert.Equal(t, f.Server("server-001").Faults(), ServerFaults{FailAll: true})
	assert.Assert(t, f.SetFaults(FleetFaults{Servers: []string{"nobody"}}) != nil)
}

func TestFaultsOverHTTP(t *testing.T) {
	f, stop, err := NewFleet(FleetConfig{Count: 1}, nil)
	assert.NilError(t, err)
	defer stop()
	c := &http.Client{Transport: ibishttp.NewTransport(1)}
	defer c.CloseIdleConnections()
	url := "http://" + f.VMs()[0].Address + PathFaults
	r, err := ibishttp.Call(t.Context(), c, http.MethodPost, url, ServerFaults{DelayMS: 7})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, http.StatusOK)
	assert.Equal(t, f.Server("server-000").Faults().DelayMS, int64(7))
	r, err = ibishttp.Call(t.Context(), c, http.MethodPost, url, "no faults")
	assert.NilError(t, err)
	assert.Equal(t, r.Status, http.StatusBadRequest)
}
