package ibispeer

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisincarnation"
)

// newServingPeers returns a serving daemon's Peers without heartbeats or a table.
func newServingPeers(id string) *Peers {
	p := &Peers{
		cfg: Config{
			Self:        ibisincarnation.Row{ID: id, Address: id + ":1"},
			RevokeAfter: 3 * time.Second, CutOff: 3 * time.Second,
		},
		hooks: Hooks{
			State: func() string { return "Serving" }, ConfigVersion: func() int64 { return 1 },
			Load:   func() Load { return Load{Queued: 7, Teams: []TeamUse{{Team: "a-team", Queued: 2}}} },
			Denied: func() []ibisconfig.KeyHash { return nil }, MembersChanged: func(*View) {},
		},
		members: make(map[string]*Member), revoked: make(map[string]bool), ended: make(map[string]time.Time),
		rand: rand.New(rand.NewPCG(1, 2)),
	}
	p.view.Store(&View{Self: id, Revoked: map[string]bool{}})
	return p
}

// exchangeHeartbeat delivers a heartbeat and its reply, and returns both.
func exchangeHeartbeat(from, to *Peers) (g, reply *Gossip) {
	from.refreshDigest()
	g = from.buildHeartbeat(to.cfg.Self.ID)
	reply = to.answer(g)
	from.merge(reply)
	return g, reply
}

func TestUnknownSenderLearnsAllDaemons(t *testing.T) {
	a, b, c := newServingPeers("a"), newServingPeers("b"), newServingPeers("c")
	exchangeHeartbeat(a, b)
	_, reply := exchangeHeartbeat(c, b)
	assert.Equal(t, len(reply.Digests), 2)
	_, found := c.View().Find("a")
	assert.Assert(t, found)
	assert.Equal(t, len(c.members["b"].Digest.Load.Teams), 1)
}

func TestTeamsKeptBetweenFullHeartbeats(t *testing.T) {
	a, b := newServingPeers("a"), newServingPeers("b")
	exchangeHeartbeat(a, b)
	exchangeHeartbeat(a, b)
	a.hooks.Load = func() Load { return Load{Queued: 8} }
	g, _ := exchangeHeartbeat(a, b)
	assert.Assert(t, g.Digests[0].WithoutTeams)
	assert.Equal(t, len(g.Liveness), 0)
	got := b.members["a"].Digest
	assert.Equal(t, got.Load.Queued, 8)
	assert.Equal(t, len(got.Load.Teams), 1)
	assert.Assert(t, !got.WithoutTeams)
	a.members["b"].fullSentAt = time.Time{}
	g, _ = exchangeHeartbeat(a, b)
	assert.Assert(t, !g.Digests[0].WithoutTeams)
	assert.Equal(t, len(b.members["a"].Digest.Load.Teams), 0)
}

func TestLivenessUpdatesContact(t *testing.T) {
	a, b, c := newServingPeers("a"), newServingPeers("b"), newServingPeers("c")
	exchangeHeartbeat(a, b)
	exchangeHeartbeat(c, b)
	exchangeHeartbeat(a, b)
	a.members["b"].fullSentAt = time.Time{}
	old := time.Now().Add(-time.Hour)
	c.members["a"].LastContact, c.members["b"].fullSentAt, b.members["c"].fullSentAt = old, time.Time{}, time.Time{}
	directContact := c.members["a"].DirectContact
	exchangeHeartbeat(a, b)
	_, reply := exchangeHeartbeat(c, b)
	assert.Assert(t, len(reply.Liveness) > 0)
	assert.Assert(t, c.members["a"].LastContact.After(old))
	assert.Equal(t, c.members["a"].DirectContact, directContact)

	c.members["a"].LastContact = old
	c.merge(&Gossip{Digests: []Digest{b.members["b"].Digest}, Liveness: []Liveness{{ID: "a", Seq: 1}, {ID: "unknown", Seq: 5}}})
	assert.Assert(t, c.members["a"].LastContact.Equal(old), "a sequence number that was received before is no new contact")
	_, found := c.View().Find("unknown")
	assert.Assert(t, !found)
}

func TestRoundSkipsDaemonsInRecentContact(t *testing.T) {
	a, b := newServingPeers("a"), newServingPeers("b")
	a.cfg.Heartbeat, b.cfg.Heartbeat = time.Hour, time.Hour
	exchangeHeartbeat(a, b)
	assert.Equal(t, len(a.nextRound()), 0)
	assert.Equal(t, len(b.nextRound()), 0)
	b.members["a"].DirectContact = time.Now().Add(-time.Hour)
	assert.Equal(t, len(a.nextRound()), 0)
	assert.Equal(t, len(b.nextRound()), 1)
}

func TestRoundFanout(t *testing.T) {
	a := newServingPeers("a")
	for _, id := range []string{"b", "c", "d", "e", "f", "g"} {
		exchangeHeartbeat(newServingPeers(id), a)
	}
	assert.Equal(t, len(a.nextRound()), Fanout)
	exchangeHeartbeat(newServingPeers("h"), a)
	got := len(a.nextRound())
	assert.Assert(t, got >= Fanout/2 && got <= Fanout, "%d", got)
}
