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
	strandedBound = 15 * time.Second
	// teamSlots and loweredSlots are upper limits of the team.
	teamSlots    = 12
	loweredSlots = 5
)

// slots is an upper limit that bounds the slots only.
func slots(n int64) ibiswork.Resources {
	upper := ibisharness.NoLimit
	upper.Slots = n
	return upper
}

// limitTo sets the upper limit of the team and returns the version of the configuration. Until limitBound has passed, the old one may still be used.
func (p *proof) limitTo(upper ibiswork.Resources) int64 {
	p.t.Helper()
	v := p.Change(ibisconfig.Change{PutTeam: &ibisconfig.Team{Name: p.team, Share: 1, UpperLimit: upper}})
	p.limits = append(p.limits, limit{time.Now(), upper})
	return v
}

// newLimitedProof is a proof whose team has an upper limit that is in force everywhere.
func newLimitedProof(t *testing.T, n int64) *proof {
	t.Helper()
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8})
	p.awaitVersion(p.limitTo(slots(n)), time.Now())
	p.limits = p.limits[1:]
	return p
}

// usedAtOnce is the most slots that the team used at once from a moment on.
func (p *proof) usedAtOnce(since time.Time) int64 {
	var used, most int64
	for _, e := range byTime(p.Platform.History()) {
		if e.Event == ibisstandin.End {
			used -= e.Resources.Slots
		} else {
			used += e.Resources.Slots
		}
		if e.WallNS < since.UnixNano() {
			most = used
		} else {
			most = max(most, used)
		}
	}
	return most
}

// awaitUsed waits until the team uses its whole limit at one moment from now on.
func (p *proof) awaitUsed(within time.Duration, n int64) {
	p.t.Helper()
	since := time.Now()
	ibisharness.Await(p.t, within, "the whole limit is used", func() (bool, any) {
		got := p.usedAtOnce(since)
		return got >= n, got
	})
}

// A team wants more than its upper limit. A daemon is killed, which strands its allotment; the limit
// holds at every instant in the merged record of all servers, and all of it is usable again soon.
func TestUpperLimitThroughKill(t *testing.T) {
	p := newLimitedProof(t, teamSlots)
	stop := p.stream(50*time.Millisecond, func(i int) ibiswork.Request {
		return p.request(ibiswork.Batch, i%2 == 0, 500+i%4*200)
	})
	p.awaitUsed(answerWithin, teamSlots)
	p.Daemons[0].Kill()
	p.awaitUsed(strandedBound, teamSlots)
	p.Daemons[0].Restart()
	p.awaitMore(10)
	p.awaitUsed(strandedBound, teamSlots)
	stop()
	p.limitTo(ibisharness.NoLimit)
	p.allDone(nil)
	p.judge()
}

// The upper limit of a team is lowered below what runs: nothing starts above it, and idempotent batch
// work above it is stopped.
func TestUpperLimitLowered(t *testing.T) {
	const long = 45_000
	p := newLimitedProof(t, teamSlots)
	var running []ibiswork.Request
	for i := range teamSlots + 6 {
		r := p.request(ibiswork.Batch, true, long)
		running = append(running, r)
		p.accept(r, i%3)
	}
	p.awaitUsed(answerWithin, teamSlots)
	p.limitTo(slots(loweredSlots))
	lowered := time.Now()
	ibisharness.Await(t, 2*limitBound, "what runs falls to the lowered limit", func() (bool, any) {
		n := p.Platform.Running()
		return n <= loweredSlots, n
	})
	stop := p.stream(100*time.Millisecond, func(i int) ibiswork.Request {
		return p.request(ibiswork.Batch, i%2 == 0, 300)
	})
	ibisharness.Await(t, answerWithin, "the lowered limit has been in force for a while", func() (bool, any) {
		return time.Since(lowered) > limitBound+2*time.Second, time.Since(lowered)
	})
	stop()
	p.report("not stopped but otherwise ended", endedOtherwise(p.Platform.History(), running))
	for i, r := range running {
		_, _, err := p.caller.Cancel(context.Background(), r.ID, i%3)
		if err != nil {
			t.Errorf("cancel %s: %v", r.ID, err)
		}
	}
	p.allDone(nil)
	p.judge()
}

// endedOtherwise finds tasks of the requests that ended in another way than that they were stopped.
func endedOtherwise(history []ibisstandin.Entry, rs []ibiswork.Request) []string {
	ours := map[ibiswork.ID]bool{}
	for _, r := range rs {
		ours[r.ID] = true
	}
	var bad []string
	for _, e := range history {
		if ours[e.TaskID.Request] && e.Event == ibisstandin.End && e.State != ibisserver.Stopped {
			bad = append(bad, string(e.TaskID.Request)+" ended as "+string(e.State))
		}
	}
	return bad
}
