package ibisnode_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisharness"
)

// Guards against a leader that gives up reading the configuration over a slow link, begins again, and so never gets it.
func TestConfigurationIsReadOverASlowLink(t *testing.T) {
	g := newGroup(t, 1, 0.2)
	g.table.setConfigTime(2500 * time.Millisecond) // 600 KB on a link of 2 Mbit/s
	g.table.setConfig(newConfig(2, 1))
	for _, m := range g.members {
		ibisharness.Eventually(t, 10*time.Second, m.name+" applies the configuration", func() bool { return m.Config().Version >= 2 })
	}
}

// Guards against scouts that replace each other because each of them first reads the whole configuration, which takes
// longer than the leader waits for their report.
func TestScoutIsKeptWhileItReadsTheConfiguration(t *testing.T) {
	g := newGroupOf(t, 30, 10, 1, 1, 1, 1, 1)
	g.awaitScout()
	g.table.setConfigTime(1600 * time.Millisecond) // 2 MB on a link of 10 Mbit/s, 400 KB on one of 2 Mbit/s
	before := g.count("ScoutChosen")
	time.Sleep(15 * time.Second)
	chosen := g.count("ScoutChosen") - before
	assert.Assert(t, chosen <= 1, "%d scouts were chosen in 15 s", chosen)
}

// recoveryTime is how long the cell may take to serve again after a fault.
const recoveryTime = 15 * time.Second

// Guards against leaders that replace each other for ever because each of them is silent while the journal fills its link.
func TestLeadersDoNotReplaceEachOtherWhileTheJournalFillsTheirLinks(t *testing.T) {
	g := newGroup(t, 1, 1, 1, 1, 1, 1)
	g.table.setScan(3*time.Second, true) // 750 KB on a link of 2 Mbit/s
	old := g.leader()
	old.stop()
	g.members = g.others(old)
	ibisharness.Eventually(t, recoveryTime, "a leader has read the journal and stays", func() bool {
		leader := g.leader()
		return leader != nil && g.submit(leader) == ibiscell.OK
	})
	g.awaitServing(g.members...)
	g.assertRanOnce()
}

// Guards against waiting for a leader that has ended while it read the journal as if it were silent.
func TestLeaderThatEndsWhileItReadsTheJournalIsReplacedAtOnce(t *testing.T) {
	g := newGroup(t, 1, 1, 1, 1)
	g.table.setScan(3*time.Second, true)
	old := g.leader()
	old.stop()
	g.members = g.others(old)
	reading := func() *member {
		for _, m := range g.members {
			if m.table.scans.Load() > 0 {
				return m
			}
		}
		return nil
	}
	ibisharness.Eventually(t, 5*time.Second, "another reads the journal", func() bool { return reading() != nil })
	next := reading()
	go next.stop() // waits for the scans
	next.link.Restore()
	g.members = g.others(next)
	ibisharness.Eventually(t, 2*time.Second, "a third one reads the journal", func() bool { return reading() != nil })
	g.table.setScan(0, false)
	g.awaitServing(g.members...)
	g.assertRanOnce()
}

// Guards against a leader that is replaced for a pause between its commits, such as links that all open at once cause on
// a slow link, when its replacement would read the journal for longer. One that cannot write at all is replaced.
func TestLeaderIsGivenAsLongAsItsReplacementWouldTake(t *testing.T) {
	g := startGroup(&group{t: t, linkSpeed: 1}, 1, 1, 1, 1) // the journal takes minutes
	leader := g.leader()
	leader.table.setUnavailable(true)
	time.Sleep(2500 * time.Millisecond)
	leader.table.setUnavailable(false)
	g.awaitServing(g.members...)
	assert.Assert(t, g.leader() == leader)
	assert.Equal(t, g.count("LeaderCannotWrite"), 0)
	leader.table.setUnavailable(true)
	ibisharness.Eventually(t, 10*time.Second, "another leads", func() bool { l := g.leader(); return l != nil && l != leader })
	leader.table.setUnavailable(false)
	g.awaitServing(g.members...)
	g.assertRanOnce()
}

// Guards against daemons that all read the whole configuration, every five seconds, because their leader takes long to
// read it again: 1.2 MB on a link of 10 Mbit/s, 250 KB on one of 2 Mbit/s.
func TestDaemonsDoNotReadWhatTheirLeaderIsReading(t *testing.T) {
	g := newGroup(t, 1, 0.2, 0.2)
	g.table.setConfigTime(time.Second)
	g.table.setConfig(newConfig(2, 1))
	g.awaitConfig(2, g.members...)
	time.Sleep(2 * time.Second)
	reads := func() (total int) {
		for _, m := range g.others(g.leader()) {
			m.table.configMu.Lock()
			total += m.table.configReads
			m.table.configMu.Unlock()
		}
		return total
	}
	before := reads()
	time.Sleep(12 * time.Second)
	assert.Equal(t, reads(), before, "whole reads by daemons that have a leader")
}

// Guards against daemons that all read the whole configuration, every five seconds, because the scout of their leader
// takes long to read it again, and the leader leaves its own reads to the scout.
func TestDaemonsDoNotReadWhatTheScoutIsReading(t *testing.T) {
	g := newGroupOf(t, 30, 10, 1, 1, 1, 1, 1)
	scout := g.awaitScout()
	g.table.setConfigTime(time.Second)
	g.table.setConfig(newConfig(2, 1))
	g.awaitConfig(2, g.members...)
	time.Sleep(2 * time.Second)
	reads := func() (total int) {
		for _, m := range g.others(scout) {
			m.table.configMu.Lock()
			total += m.table.configReads
			m.table.configMu.Unlock()
		}
		return total
	}
	before := reads()
	time.Sleep(12 * time.Second)
	assert.Equal(t, reads(), before, "whole reads by daemons that leave them to the scout")
}

// Guards against withdrawn keys that work for longer than revokeMs (5 s) because daemons leave the configuration to a leader
// whose read of it is not answered.
func TestConfigurationIsNotLeftForLongToALeaderThatDoesNotGetIt(t *testing.T) {
	g := newGroup(t, 1, 0.2, 0.2)
	leader := g.leader()
	g.assertConfigArrivesWithout(leader)
	assert.Equal(t, g.leader(), leader)
}

// Guards against withdrawn keys that work for longer than revokeMs (5 s) because the leader and the other daemons leave the
// configuration to a scout that reports servers, but whose read of the configuration is not answered.
func TestConfigurationIsNotLeftForLongToAScoutThatDoesNotGetIt(t *testing.T) {
	g := newGroupOf(t, 30, 10, 1, 1, 1, 1, 1)
	g.assertConfigArrivesWithout(g.awaitScout())
}

// Guards against changes that apply later than configApplyMs (2 s; CONFIG) because daemons leave the configuration to a
// leader whose read of it is not answered, although its commits are.
func TestChangesApplyInTimeBesideALeaderThatDoesNotGetThem(t *testing.T) {
	g := startGroup(&group{t: t, configApplyMS: 2000}, 1, 1, 0.2, 0.2)
	g.assertConfigArrivesWithin(2*time.Second, g.leader())
}

// The same with a scout.
func TestChangesApplyInTimeBesideAScoutThatDoesNotGetThem(t *testing.T) {
	g := startGroup(&group{t: t, direct: 10, configApplyMS: 2000}, 30, 1, 1, 1, 1, 1)
	g.assertConfigArrivesWithin(2*time.Second, g.awaitScout())
}

// Guards against a new leader that leaves the configuration as it is for half a second more when the read of its recovery
// had no answer (CONFIG).
func TestNewLeaderReadsTheConfigurationAtOnce(t *testing.T) {
	g := newGroup(t, 1, 1)
	old := g.leader()
	next := g.others(old)[0]
	next.table.configMu.Lock()
	next.table.configStuck = true
	next.table.configMu.Unlock()
	old.stop()
	ibisharness.Eventually(t, 10*time.Second, "another leads", next.leads)
	taken := time.Now()
	ibisharness.Eventually(t, 300*time.Millisecond, "it reads the configuration", func() bool {
		next.table.configMu.Lock()
		defer next.table.configMu.Unlock()
		return next.table.configBegan.After(taken.Add(-50 * time.Millisecond))
	})
}

// assertConfigArrivesWithout checks that the other daemons apply a new configuration within 5 s while reads of it by reader
// are not answered.
func (g *group) assertConfigArrivesWithout(reader *member) {
	g.t.Helper()
	g.assertConfigArrivesWithin(5*time.Second, reader)
}

// assertConfigArrivesWithin does the same for another time.
func (g *group) assertConfigArrivesWithin(limit time.Duration, reader *member) {
	g.t.Helper()
	reader.table.stickConfig(g.t)
	g.table.setConfig(newConfig(2, 1))
	changed := time.Now()
	for _, m := range g.others(reader) {
		ibisharness.Eventually(g.t, time.Until(changed.Add(limit)), m.name+" applies the configuration", func() bool { return m.Config().Version >= 2 })
	}
	g.t.Logf("applied after %v", time.Since(changed))
}
