package ibisproof

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisharness"
	"ibiscrank/ibisserver"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

const (
	// reclaimBound is the maximum time until the allotment of a dead daemon, its part of the upper limit, can
	// be used again, with shortTimeouts.
	reclaimBound = 15 * time.Second
	// teamSlots and loweredSlots are the initial and the lowered upper limit of the team.
	teamSlots    = 12
	loweredSlots = 5
)

// slotLimit returns an upper limit of n slots, without an effective limit on the other resources.
func slotLimit(n int64) ibiswork.Resources {
	upper := ibisharness.NoLimit
	upper.Slots = n
	return upper
}

// setUpperLimit sets the upper limit of the team and returns the configuration version. The old limit may
// still be used until limitBound has passed.
func (p *proof) setUpperLimit(upper ibiswork.Resources) int64 {
	p.t.Helper()
	v := p.ApplyChange(ibisconfig.Change{PutTeam: &ibisconfig.Team{Name: p.team, Share: 1, UpperLimit: upper}})
	p.limits = append(p.limits, limit{time.Now(), upper})
	return v
}

// newLimitedProof starts a cluster whose team has an upper limit of n slots, in effect at every daemon.
func newLimitedProof(t *testing.T, n int64) *proof {
	t.Helper()
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8})
	p.awaitVersion(p.setUpperLimit(slotLimit(n)), time.Now())
	p.limits = p.limits[1:]
	return p
}

// peakSlots returns the largest number of slots used at the same time since a time.
func (p *proof) peakSlots(since time.Time) int64 {
	var used, peak int64
	for _, e := range sortByTime(p.Platform.History()) {
		if e.Event == ibisstandin.End {
			used -= e.Resources.Slots
		} else {
			used += e.Resources.Slots
		}
		if e.WallNS < since.UnixNano() {
			peak = used
		} else {
			peak = max(peak, used)
		}
	}
	return peak
}

// awaitSlotsUsed waits until n slots are used at the same time, from now on.
func (p *proof) awaitSlotsUsed(timeout time.Duration, n int64) {
	p.t.Helper()
	since := time.Now()
	ibisharness.Await(p.t, timeout, fmt.Sprintf("%d slots are used at the same time", n), func() (bool, any) {
		got := p.peakSlots(since)
		return got >= n, got
	})
}

// TestUpperLimitThroughKill guards against a takeover that exceeds a team's upper limit or loses part of it.
// A team demands more than its limit and a daemon is killed, whose allotment must be reclaimed. The limit
// must hold at every time in the merged history of all servers, and all of it must be usable again within
// reclaimBound.
func TestUpperLimitThroughKill(t *testing.T) {
	p := newLimitedProof(t, teamSlots)
	stop := p.submitEvery(50*time.Millisecond, func(i int) ibiswork.Request {
		return p.newRequest(ibiswork.Batch, i%2 == 0, 500+i%4*200)
	})
	p.awaitSlotsUsed(requestTimeout, teamSlots)
	p.Daemons[0].Kill()
	p.awaitSlotsUsed(reclaimBound, teamSlots)
	p.Daemons[0].Restart()
	p.awaitFinished(10)
	p.awaitSlotsUsed(reclaimBound, teamSlots)
	stop()
	p.setUpperLimit(ibisharness.NoLimit)
	p.requireAllDone(nil)
	p.checkInvariants()
}

// TestUpperLimitLowered lowers the upper limit of a team below what is running. Nothing may start above the
// new limit, and idempotent batch tasks above it must be stopped.
func TestUpperLimitLowered(t *testing.T) {
	const runMS = 45_000
	p := newLimitedProof(t, teamSlots)
	var running []ibiswork.Request
	for i := range teamSlots + 6 {
		r := p.newRequest(ibiswork.Batch, true, runMS)
		running = append(running, r)
		p.submitUntilAccepted(r, i%3)
	}
	p.awaitSlotsUsed(requestTimeout, teamSlots)
	p.setUpperLimit(slotLimit(loweredSlots))
	loweredAt := time.Now()
	ibisharness.Await(t, 2*limitBound, "running tasks are within the lowered limit", func() (bool, any) {
		n := p.Platform.Running()
		return n <= loweredSlots, n
	})
	stop := p.submitEvery(100*time.Millisecond, func(i int) ibiswork.Request {
		return p.newRequest(ibiswork.Batch, i%2 == 0, 300)
	})
	ibisharness.Await(t, requestTimeout, "limitBound has passed by two seconds", func() (bool, any) {
		return time.Since(loweredAt) > limitBound+2*time.Second, time.Since(loweredAt)
	})
	stop()
	p.reportViolations("not stopped", notStopped(p.Platform.History(), running))
	for i, r := range running {
		_, _, err := p.caller.Cancel(context.Background(), r.ID, i%3)
		if err != nil {
			t.Errorf("cancel %s: %v", r.ID, err)
		}
	}
	p.requireAllDone(nil)
	p.checkInvariants()
}

// notStopped finds tasks of the given requests that ended in a state other than Stopped.
func notStopped(history []ibisstandin.Entry, rs []ibiswork.Request) []string {
	selected := map[ibiswork.ID]bool{}
	for _, r := range rs {
		selected[r.ID] = true
	}
	var violations []string
	for _, e := range history {
		if selected[e.TaskID.Request] && e.Event == ibisstandin.End && e.State != ibisserver.Stopped {
			violations = append(violations, string(e.TaskID.Request)+" ended as "+string(e.State))
		}
	}
	return violations
}
