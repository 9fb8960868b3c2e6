package ibisproof

import (
	"context"
	"testing"
	"time"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisharness"
	"ibiscrank/ibisserver"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

const (
	// strandedBound is when the allotment of a daemon that died can be used again, with the settings of quick.
	reclaimBound = 15 * time.Second
	// teamSlots and loweredSlots are upper limits of the team.
	teamSlots    = 12
	loweredSlots = 5
)

// slots is an upper limit that bounds the slots only.
func slotLimit(n int64) ibiswork.Resources {
	upper := ibisharness.NoLimit
	upper.Slots = n
	return upper
}

// limitTo sets the upper limit of the team and returns the version of the configuration. Until limitBound has passed, the old one may still be used.
func (p *proof) setUpperLimit(upper ibiswork.Resources) int64 {
	p.t.Helper()
	v := p.ApplyChange(ibisconfig.Change{PutTeam: &ibisconfig.Team{Name: p.team, Share: 1, UpperLimit: upper}})
	p.limits = append(p.limits, limit{time.Now(), upper})
	return v
}

// newLimitedProof is a proof whose team has an upper limit that is in force everywhere.
func newLimitedProof(t *testing.T, n int64) *proof {
	t.Helper()
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8})
	p.awaitVersion(p.setUpperLimit(slotLimit(n)), time.Now())
	p.limits = p.limits[1:]
	return p
}

// usedAtOnce is the most slots that the team used at once from a moment on.
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

// awaitUsed waits until the team uses its whole limit at one moment from now on.
func (p *proof) awaitSlotsUsed(timeout time.Duration, n int64) {
	p.t.Helper()
	since := time.Now()
	ibisharness.Await(p.t, timeout, "the whole limit is used", func() (bool, any) {
		got := p.peakSlots(since)
		return got >= n, got
	})
}

// A team wants more than its upper limit. A daemon is killed, which strands its allotment; the limit
// holds at every instant in the merged record of all servers, and all of it is usable again soon.
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

// The upper limit of a team is lowered below what runs: nothing starts above it, and idempotent batch
// work above it is stopped.
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
	ibisharness.Await(t, 2*limitBound, "what runs falls to the lowered limit", func() (bool, any) {
		n := p.Platform.Running()
		return n <= loweredSlots, n
	})
	stop := p.submitEvery(100*time.Millisecond, func(i int) ibiswork.Request {
		return p.newRequest(ibiswork.Batch, i%2 == 0, 300)
	})
	ibisharness.Await(t, requestTimeout, "the lowered limit has been in force for a while", func() (bool, any) {
		return time.Since(loweredAt) > limitBound+2*time.Second, time.Since(loweredAt)
	})
	stop()
	p.reportViolations("not stopped but otherwise ended", notStopped(p.Platform.History(), running))
	for i, r := range running {
		_, _, err := p.caller.Cancel(context.Background(), r.ID, i%3)
		if err != nil {
			t.Errorf("cancel %s: %v", r.ID, err)
		}
	}
	p.requireAllDone(nil)
	p.checkInvariants()
}

// endedOtherwise finds tasks of the requests that ended in another way than that they were stopped.
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
