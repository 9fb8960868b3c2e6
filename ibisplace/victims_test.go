package ibisplace_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibiscrank/ibisplace"
	"ibiscrank/ibiswork"
)

func TestVictimsLoseTheLeastWork(t *testing.T) {
	f := fleetOf(2, res(4000, 4000, 0, 4))
	var running []ibisplace.PreemptibleTask
	for n, lost := range []time.Duration{50, 60, 70, 80, 90, 30, 100, 20} {
		r := ibisplace.PreemptibleTask{Server: fmt.Sprintf("w%03d", n/4), Resources: res(1000, 1000, 0, 1), SinceCheckpoint: lost * time.Second}
		f.AddUsage(r.Server, r.Resources)
		running = append(running, r)
	}
	server, victims, ok := f.Victims(ibisplace.Request{Class: ibiswork.Interactive, Resources: res(2000, 1000, 0, 1)}, running)
	assert.Assert(t, ok)
	assert.Equal(t, server, "w001")
	assert.DeepEqual(t, victims, []int{7, 5})
	_, _, ok = f.Victims(ibisplace.Request{Resources: res(5000, 1, 0, 1)}, running)
	assert.Assert(t, !ok)
}

// TestVictimsMakeRoomAndAreNeeded checks for random running tasks that preempting the victims makes the task
// fit, that preempting all but one of them does not, and that victims are found whenever preempting all
// preemptible tasks of some server would make it fit.
func TestVictimsMakeRoomAndAreNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleetOf(3, res(8, 8, 2, 4))
		var running []ibisplace.PreemptibleTask
		for range rapid.IntRange(0, 10).Draw(t, "tasks") {
			r := ibisplace.PreemptibleTask{
				Server:          fmt.Sprintf("w%03d", rapid.IntRange(0, 2).Draw(t, "server")),
				Resources:       drawResources(t, "task", 3),
				SinceCheckpoint: time.Duration(rapid.IntRange(0, 100).Draw(t, "lost")) * time.Second,
			}
			f.AddUsage(r.Server, r.Resources)
			if rapid.Bool().Draw(t, "may be stopped") {
				running = append(running, r)
			}
		}
		a := ibisplace.Request{Resources: drawResources(t, "ask", 8)}
		server, victims, ok := f.Victims(a, running)
		possible := false
		for name, tasks := range map[string]int{"w000": 0, "w001": 0, "w002": 0} {
			s, _ := f.Server(name)
			free := s.Free()
			for _, r := range running {
				if r.Server == name {
					free = free.Add(r.Resources)
					tasks++
				}
			}
			possible = possible || tasks > 0 && a.Resources.FitsIn(free)
		}
		if ok != possible {
			t.Fatalf("Victims found some: %v, want %v", ok, possible)
		}
		if !ok {
			return
		}
		s, _ := f.Server(server)
		for leftOut := -1; leftOut < len(victims); leftOut++ {
			free := s.Free()
			for k, i := range victims {
				if running[i].Server != server {
					t.Fatalf("victim %d runs on another server than the one returned", i)
				}
				if k != leftOut {
					free = free.Add(running[i].Resources)
				}
			}
			if a.Resources.FitsIn(free) != (leftOut < 0) {
				t.Fatalf("without victim %d of %d (-1: none left out) the task fits: %v", leftOut, len(victims), leftOut >= 0)
			}
		}
	})
}
