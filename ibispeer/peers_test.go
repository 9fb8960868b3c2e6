package ibispeer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisincarnation"
)

const (
	testRevokeAfter = 5 * time.Second
	testCutOff      = 4 * time.Second
)

// newTestPeers returns a Peers without goroutines, whose state is set by the tests.
func newTestPeers(self string) *Peers {
	p := &Peers{
		cfg:     Config{Self: ibisincarnation.Row{ID: self}, RevokeAfter: testRevokeAfter, CutOff: testCutOff},
		members: make(map[string]*Member), revoked: make(map[string]bool), ended: make(map[string]time.Time),
	}
	p.hooks = Hooks{
		MembersChanged: func(*View) {}, Revoked: func() {}, ConfigReadAt: func() time.Time { return time.Time{} },
	}
	p.view.Store(&View{Self: self})
	return p
}

func digestOf(id string, seq int64) Digest {
	return Digest{Row: ibisincarnation.Row{ID: id}, Seq: seq, State: "Serving"}
}

// TestUnresponsive checks which daemons are revoked, given the seconds since their last contact with peers
// and their last table heartbeat.
func TestUnresponsive(t *testing.T) {
	type ages struct{ contact, tableHeartbeat int }
	for _, tc := range []struct {
		name   string
		others []ages
		want   []string
	}{
		{"AllResponsive", []ages{{0, 0}, {0, 1}}, nil},
		{"OneDead", []ages{{7, 7}, {0, 0}, {0, 0}}, []string{"0"}},
		{"TwoDaemonsOneDead", []ages{{7, 7}}, []string{"0"}},
		{"AllOthersDead", []ages{{60, 60}, {60, 60}, {60, 60}, {60, 60}, {60, 60}, {60, 60}}, []string{"0", "1", "2", "3", "4", "5"}},
		{"IsolatedSelfReliesOnTable", []ages{{60, 0}, {60, 1}, {60, 0}}, nil},
		{"TwoDaemonsWithoutContact", []ages{{60, 0}}, nil},
		{"TableUnavailableForOne", []ages{{0, 60}, {0, 0}}, nil},
		{"OneIsolated", []ages{{16, 0}, {0, 0}, {0, 0}}, []string{"0"}},
		{"OneIsolatedBriefly", []ages{{14, 0}, {0, 0}, {0, 0}}, nil},
		{"HalfIsolated", []ages{{16, 0}, {16, 0}, {0, 0}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Now()
			p := newTestPeers("self")
			p.lastCheck, p.observingSince = now.Add(-time.Second), now.Add(-time.Minute)
			p.members["self"] = &Member{Digest: digestOf("self", 1), LastContact: now}
			for i, a := range tc.others {
				id := fmt.Sprint(i)
				p.members[id] = &Member{
					Digest: digestOf(id, 1), LastContact: now.Add(-time.Duration(a.contact) * time.Second), TableHeartbeatAt: now.Add(-time.Duration(a.tableHeartbeat) * time.Second),
				}
			}
			got := p.unresponsive(now)
			slices.Sort(got)
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// TestResumedDaemonRevokesNone guards against revocations on stale data: after a pause longer than RevokeAfter,
// a daemon must read the table and hear from the others again before it revokes any of them.
func TestResumedDaemonRevokesNone(t *testing.T) {
	now := time.Now()
	p := newTestPeers("self")
	paused := now.Add(-30 * time.Second)
	for _, id := range []string{"self", "a", "b"} {
		p.members[id] = &Member{Digest: digestOf(id, 1), LastContact: paused, TableHeartbeatAt: paused}
	}
	p.tableReadAt, p.lastCheck, p.observingSince = paused, paused, paused.Add(-time.Minute)
	assert.Equal(t, len(p.unresponsive(now)), 0)
	for range 6 {
		now = now.Add(time.Second)
		assert.Equal(t, len(p.unresponsive(now)), 0)
	}
	now = now.Add(time.Second)
	assert.Equal(t, len(p.unresponsive(now)), 2, "daemons that stay silent after the resumption are revoked")
}

func TestHasContactNeedsTheTableOrHalf(t *testing.T) {
	for others := range 8 {
		for reachable := range others + 1 {
			for _, populated := range []bool{true, false} {
				now := time.Now()
				p := newTestPeers("self")
				p.populated = populated
				p.members["self"] = &Member{Digest: digestOf("self", 1)}
				for i := range others {
					m := &Member{Digest: digestOf(fmt.Sprint(i), 1), DirectContact: now.Add(-time.Minute)}
					if i < reachable {
						m.DirectContact = now
					}
					p.members[m.ID()] = m
				}
				p.publish()
				want := populated && 2*(reachable+1) >= others+1
				assert.Equal(t, p.HasContact(now), want, "%d of %d reachable, populated %v", reachable, others, populated)
				p.hooks.ConfigReadAt = func() time.Time { return now }
				assert.Assert(t, p.HasContact(now))
			}
		}
	}
}

func TestMerge(t *testing.T) {
	p := newTestPeers("self")
	p.revoked["dead"], p.ended["over"] = true, time.Now()
	p.merge(&Gossip{Digests: []Digest{digestOf("a", 5), digestOf("third", 1), digestOf("dead", 9), digestOf("over", 9)}})
	assert.Assert(t, p.members["a"] != nil && p.members["dead"] == nil && p.members["over"] == nil)
	assert.Assert(t, p.members["third"] != nil, "an unpopulated view adds daemons from the heartbeats of others")
	before := p.View()
	p.merge(&Gossip{Digests: []Digest{digestOf("a", 4), digestOf("fourth", 1)}, Revoked: []string{"third"}})
	assert.Equal(t, p.members["a"].Digest.Seq, int64(5))
	assert.Assert(t, p.members["fourth"] == nil, "an unknown daemon is added from the table or from its own heartbeat")
	assert.Assert(t, p.members["third"] == nil && p.revoked["third"])
	p.merge(&Gossip{Digests: []Digest{digestOf("third", 7)}})
	assert.Assert(t, p.members["third"] == nil, "a revoked daemon does not come back")
	_, ok := before.Find("third")
	assert.Assert(t, ok && !before.Revoked["third"], "a published view was modified")
}

func TestRevokedSelfCallsHook(t *testing.T) {
	p := newTestPeers("self")
	called := make(chan struct{})
	p.hooks.Revoked = func() { close(called) }
	p.merge(&Gossip{Digests: []Digest{digestOf("a", 1)}, Revoked: []string{"self"}})
	<-called
	p.merge(&Gossip{Digests: []Digest{digestOf("a", 2)}, Revoked: []string{"self"}})
}
