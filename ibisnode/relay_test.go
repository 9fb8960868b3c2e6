package ibisnode_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisharness"
)

// awaitRelays waits until the given daemons call backend servers and the leader doesn't.
func (g *group) awaitRelays(relays ...*member) {
	g.t.Helper()
	ibisharness.Eventually(g.t, 15*time.Second, "relays call the servers", func() bool {
		before := map[*member]int64{}
		for _, m := range g.members {
			before[m] = m.fleet.calls.Load()
		}
		time.Sleep(200 * time.Millisecond) // fakeServer answers a renewal every 10 ms
		for _, m := range relays {
			if m.fleet.calls.Load() == before[m] {
				return false
			}
		}
		leader := g.leader()
		return leader != nil && leader.fleet.calls.Load() == before[leader]
	})
}

// others returns all daemons but m.
func (g *group) others(m *member) (list []*member) {
	for _, o := range g.members {
		if o != m {
			list = append(list, o)
		}
	}
	return list
}

// submitMany submits a number of jobs to all daemons in turn.
func (g *group) submitMany(n int) {
	g.t.Helper()
	for k := range n {
		assert.Equal(g.t, g.submit(g.members[k%len(g.members)]), ibiscell.OK)
	}
}

// TestRelaysCallManyServers gives a leader more backend servers than it may call itself.
func TestRelaysCallManyServers(t *testing.T) {
	g := newGroupOf(t, 30, 10, 1, 1, 1, 1)
	g.awaitRelays(g.others(g.leader())...)
	g.submitMany(40)
	g.assertRanOnce()
}

// TestWeakDaemonsAreNotRelays checks that servers are shared out among strong VMs only.
func TestWeakDaemonsAreNotRelays(t *testing.T) {
	g := newGroupOf(t, 30, 10, 1, 1, 1, 0.2, 0.2)
	ibisharness.Eventually(t, 15*time.Second, "a strong daemon leads", func() bool {
		return g.leader() != nil && g.leader().fleet != nil && g.leader() != g.members[3] && g.leader() != g.members[4]
	})
	var strong []*member
	for _, m := range g.members[:3] {
		if m != g.leader() {
			strong = append(strong, m)
		}
	}
	g.awaitRelays(strong...)
	for _, m := range g.members[3:] {
		assert.Equal(t, m.fleet.calls.Load(), int64(0))
	}
}

// TestServersOfALostRelayAreCalledByOthers stops a relay: work goes on, and nothing runs twice.
func TestServersOfALostRelayAreCalledByOthers(t *testing.T) {
	g := newGroupOf(t, 30, 10, 1, 1, 1, 1)
	relays := g.others(g.leader())
	g.awaitRelays(relays...)
	relays[0].stop()
	g.members = g.others(relays[0])
	g.awaitRelays(relays[1:]...)
	g.submitMany(30)
	g.assertRanOnce()
}

// TestRelaysServeTheNextLeader stops the leader: another one leads with the remaining daemons as relays.
func TestRelaysServeTheNextLeader(t *testing.T) {
	g := newGroupOf(t, 30, 10, 1, 1, 1, 1)
	old := g.leader()
	g.awaitRelays(g.others(old)...)
	old.stop()
	g.members = g.others(old)
	g.awaitServing(g.members...)
	g.awaitRelays(g.others(g.leader())...)
	g.submitMany(30)
	g.assertRanOnce()
}

// TestRelayThatReachesNoServerIsReplaced cuts a relay off from the backend servers, but not from the leader.
func TestRelayThatReachesNoServerIsReplaced(t *testing.T) {
	g := newGroupOf(t, 30, 10, 1, 1, 1, 1)
	relays := g.others(g.leader())
	g.awaitRelays(relays...)
	relays[0].fleet.cut.Store(true)
	g.awaitRelays(relays[1:]...)
	ibisharness.Eventually(t, 30*time.Second, "its servers are called by others", func() bool {
		before := relays[0].fleet.calls.Load()
		time.Sleep(4 * time.Second) // longer than a call and the pause after it
		return relays[0].fleet.calls.Load() == before
	})
	g.submitMany(30)
	relays[0].fleet.cut.Store(false)
	g.awaitRelays(relays...)
	g.assertRanOnce()
}

// readers returns the daemons that read the list of servers within a second.
func (g *group) readers() (list []*member) {
	before := map[*member]int64{}
	for _, m := range g.members {
		before[m] = m.table.serverReads.Load()
	}
	time.Sleep(time.Second) // more than two reads
	for _, m := range g.members {
		if m.table.serverReads.Load() > before[m] {
			list = append(list, m)
		}
	}
	return list
}

// awaitScout waits until one daemon that doesn't lead reads the list of servers, and returns it.
func (g *group) awaitScout() (scout *member) {
	g.t.Helper()
	ibisharness.Eventually(g.t, 20*time.Second, "a scout reads for the leader", func() bool {
		list := g.readers()
		if len(list) != 1 || list[0] == g.leader() {
			return false
		}
		scout = list[0]
		return true
	})
	return scout
}

// awaitUnlisted removes a server from the list and waits until no more calls go to it.
func (g *group) awaitUnlisted(id string) {
	g.t.Helper()
	g.table.mu.Lock()
	g.table.servers = slices.DeleteFunc(g.table.servers, func(s ibiscell.ServerInfo) bool { return s.ID == id })
	g.table.mu.Unlock()
	ibisharness.Eventually(g.t, 10*time.Second, id+" is no longer called", func() bool {
		before := g.fleet[id].renewals.Load()
		time.Sleep(200 * time.Millisecond)
		return g.fleet[id].renewals.Load() == before
	})
}

// TestScoutReadsServersForTheLeader checks that the list of many servers is read by one daemon, which tells the leader
// what changes, and that another one takes over from a scout that stops or can't read.
func TestScoutReadsServersForTheLeader(t *testing.T) {
	g := newGroupOf(t, 30, 10, 1, 1, 1, 1, 1)
	first := g.awaitScout()
	g.awaitUnlisted("s3")
	first.table.setUnavailable(true)
	second := g.awaitScout()
	assert.Assert(t, second != first)
	first.table.setUnavailable(false)
	g.awaitUnlisted("s4")
	second.stop()
	g.members = g.others(second)
	g.awaitScout()
	g.awaitUnlisted("s5")
	g.submitMany(30)
	g.assertRanOnce()
}
