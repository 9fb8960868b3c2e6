package ibisnode_test

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisharness"
)

// configApplyTime is how long a change of the configuration may take to apply at a daemon that reaches its leader.
const configApplyTime = 3 * time.Second

// awaitConfig waits until each of the daemons has applied a version of the configuration.
func (g *group) awaitConfig(version int64, members ...*member) {
	g.t.Helper()
	for _, m := range members {
		ibisharness.Eventually(g.t, configApplyTime, m.name+" applies the configuration", func() bool { return m.Config().Version >= version })
	}
}

// count returns how often the daemons have logged an event.
func (g *group) count(event string) (total int) {
	for _, m := range g.members {
		total += m.events.count(event)
	}
	return total
}

// Guards against daemons that never keep a link because the configuration takes longer to arrive than they wait for a
// pong: accepted jobs could not be asked about any more.
func TestLargeConfigurationDoesNotBreakSlowLinks(t *testing.T) {
	g := newGroup(t, 1, 0.2, 0.2, 0.2, 0.2)
	g.leader().link.Limit(1000)
	before := g.count("LeaderLost")
	g.table.setConfig(newConfig(2, 6000)) // more than 0.9 MB on a link
	g.awaitConfig(2, g.members...)
	unserved := 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		for _, m := range g.members {
			if g.submit(m) != ibiscell.OK {
				unserved++
			}
		}
	}
	lost := g.count("LeaderLost") - before
	assert.Assert(t, lost == 0 && unserved == 0, "the leader was lost %d times, %d submissions were not accepted", lost, unserved)
	g.assertRanOnce()
}

// configBytes returns the number of bytes of the configuration that the daemons have sent each other.
func (g *group) configBytes() (total int64) {
	for _, m := range g.members {
		total += metrics.GetOrRegisterCounter("BytesOutConfig", m.registry).Count()
	}
	return total
}

// Guards against a leader that fills its link with a configuration that the others have, or have nearly all of.
func TestConfigurationIsNotSentAgain(t *testing.T) {
	g := newGroup(t, 1, 1, 0.2, 0.2, 0.2)
	g.table.setConfig(newConfig(2, 6000))
	g.awaitConfig(2, g.members...)
	ibisharness.Eventually(t, 5*time.Second, "a daemon leads", func() bool { return g.leader() != nil })
	old, sent := g.leader(), g.configBytes()
	old.link.Cut()
	old.link.Restore()
	g.awaitServing(g.members...)
	assert.Equal(t, g.configBytes(), sent, "sent again on new links")
	old.stop()
	g.members = g.others(old)
	sent = g.configBytes()
	g.awaitServing(g.members...)
	assert.Equal(t, g.configBytes(), sent, "sent again by the next leader")
	g.table.setConfig(newConfig(3, 6001))
	g.awaitConfig(3, g.members...)
	assert.Assert(t, g.configBytes()-sent < 2000, "%d bytes were sent for one more queue", g.configBytes()-sent)
}

// Guards against daemons that never get a configuration that takes longer to arrive than they wait for a pong, when
// they can't read it from the table either.
func TestLargeConfigurationReachesDaemonsWithoutTheTable(t *testing.T) {
	g := newGroup(t, 1, 0.2, 0.2)
	leader := g.leader()
	leader.link.Limit(1000)
	for _, m := range g.others(leader) {
		m.table.setUnavailable(true)
	}
	g.table.setConfig(newConfig(2, 6000))
	g.awaitConfig(2, g.members...)
	g.submitMany(10)
	g.assertRanOnce()
}
