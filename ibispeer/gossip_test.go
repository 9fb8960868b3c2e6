package ibispeer

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisincarnation"
)

// newPeers makes the view of one daemon without heartbeats or a store.
func newPeers(id string) *Peers {
	p := &Peers{
		cfg: Config{
			Self:        ibisincarnation.Row{ID: id, Address: id + ":1"},
			RevokeAfter: 3 * time.Second, CutOff: 3 * time.Second,
		},
		hooks: Hooks{
			State: func() string { return "Serving" }, Config: func() int64 { return 1 },
			Load:   func() Load { return Load{Queued: 7, Teams: []TeamUse{{Team: "a-team", Queued: 2}}} },
			Denied: func() []ibisconfig.KeyHash { return nil }, Changed: func(*View) {},
		},
		members: make(map[string]*Member), revoked: make(map[string]bool), ended: make(map[string]time.Time),
		rand: rand.New(rand.NewPCG(1, 2)),
	}
	p.view.Store(&View{Self: id, Revoked: map[string]bool{}})
	return p
}

// say delivers a heartbeat and its answer, and returns both.
func say(from, to *Peers) (g, reply *Gossip) {
	from.refresh()
	g = from.gossip(to.cfg.Self.ID)
	reply = to.answer(g)
	from.merge(reply)
	return g, reply
}

func TestStrangerLearnsOfAll(t *testing.T) {
	a, b, c := newPeers("a"), newPeers("b"), newPeers("c")
	say(a, b)
	_, reply := say(c, b)
	assert.Equal(t, len(reply.Digests), 2)
	_, found := c.View().Find("a")
	assert.Assert(t, found)
	assert.Equal(t, len(c.members["b"].Digest.Load.Teams), 1)
}

func TestTeamsAreKeptBetweenFullHeartbeats(t *testing.T) {
	a, b := newPeers("a"), newPeers("b")
	say(a, b)
	say(a, b)
	a.hooks.Load = func() Load { return Load{Queued: 8} }
	g, _ := say(a, b)
	assert.Assert(t, g.Digests[0].WithoutTeams)
	assert.Equal(t, len(g.Pulses), 0)
	got := b.members["a"].Digest
	assert.Equal(t, got.Load.Queued, 8)
	assert.Equal(t, len(got.Load.Teams), 1)
	assert.Assert(t, !got.WithoutTeams)
	a.members["b"].toldAt = time.Time{}
	g, _ = say(a, b)
	assert.Assert(t, !g.Digests[0].WithoutTeams)
	assert.Equal(t, len(b.members["a"].Digest.Load.Teams), 0)
}

func TestPulseIsASignOfLife(t *testing.T) {
	a, b, c := newPeers("a"), newPeers("b"), newPeers("c")
	say(a, b)
	say(c, b)
	say(a, b)
	a.members["b"].toldAt = time.Time{}
	old := time.Now().Add(-time.Hour)
	c.members["a"].Heard, c.members["b"].toldAt, b.members["c"].toldAt = old, time.Time{}, time.Time{}
	direct := c.members["a"].Direct
	say(a, b)
	_, reply := say(c, b)
	assert.Assert(t, len(reply.Pulses) > 0)
	assert.Assert(t, c.members["a"].Heard.After(old))
	assert.Equal(t, c.members["a"].Direct, direct)

	c.members["a"].Heard = old
	c.merge(&Gossip{Digests: []Digest{b.members["b"].Digest}, Pulses: []Pulse{{ID: "a", Seq: 1}, {ID: "unknown", Seq: 5}}})
	assert.Assert(t, c.members["a"].Heard.Equal(old), "an old pulse is no news")
	_, found := c.View().Find("unknown")
	assert.Assert(t, !found)
}

func TestRoundLeavesOutWhoHasJustExchanged(t *testing.T) {
	a, b := newPeers("a"), newPeers("b")
	a.cfg.Heartbeat, b.cfg.Heartbeat = time.Hour, time.Hour
	say(a, b)
	assert.Equal(t, len(a.round()), 0)
	assert.Equal(t, len(b.round()), 0)
	b.members["a"].Direct = time.Now().Add(-time.Hour)
	assert.Equal(t, len(a.round()), 0)
	assert.Equal(t, len(b.round()), 1)
}

func TestRoundReachesAllWhileTheyAreFew(t *testing.T) {
	a := newPeers("a")
	for _, id := range []string{"b", "c", "d", "e", "f", "g"} {
		say(newPeers(id), a)
	}
	assert.Equal(t, len(a.round()), Fanout)
	say(newPeers("h"), a)
	got := len(a.round())
	assert.Assert(t, got >= Fanout/2 && got <= Fanout, "%d", got)
}
