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

// quietPeers is a Peers without goroutines, whose state the tests set.
func quietPeers(self string) *Peers {
	p := &Peers{
		cfg:     Config{Self: ibisincarnation.Row{ID: self}, RevokeAfter: testRevokeAfter, CutOff: testCutOff},
		members: make(map[string]*Member), revoked: make(map[string]bool), ended: make(map[string]time.Time),
	}
	p.hooks = Hooks{
		Changed: func(*View) {}, Revoked: func() {}, StoreNews: func() time.Time { return time.Time{} },
	}
	p.view.Store(&View{Self: self})
	return p
}

func digestOf(id string, seq int64) Digest {
	return Digest{Row: ibisincarnation.Row{ID: id}, Seq: seq, State: "Serving"}
}

// TestSilent gives, for every other daemon, for how many seconds the daemons and the store have not heard it.
func TestSilent(t *testing.T) {
	type ages struct{ heard, beat int }
	for _, tc := range []struct {
		name   string
		others []ages
		want   []string
	}{
		{"AllWell", []ages{{0, 0}, {0, 1}}, nil},
		{"OneDead", []ages{{7, 7}, {0, 0}, {0, 0}}, []string{"0"}},
		{"TwoDaemonsOneDead", []ages{{7, 7}}, []string{"0"}},
		{"AllOthersDead", []ages{{60, 60}, {60, 60}, {60, 60}, {60, 60}, {60, 60}, {60, 60}}, []string{"0", "1", "2", "3", "4", "5"}},
		{"IsolatedMeasuresOnlyTheStore", []ages{{60, 0}, {60, 1}, {60, 0}}, nil},
		{"TwoDaemonsThatDoNotHearEachOther", []ages{{60, 0}}, nil},
		{"StoreAwayForOne", []ages{{0, 60}, {0, 0}}, nil},
		{"OneIsolated", []ages{{16, 0}, {0, 0}, {0, 0}}, []string{"0"}},
		{"OneIsolatedNotLong", []ages{{14, 0}, {0, 0}, {0, 0}}, nil},
		{"HalfIsolated", []ages{{16, 0}, {16, 0}, {0, 0}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Now()
			p := quietPeers("self")
			p.lookedAt, p.watching = now.Add(-time.Second), now.Add(-time.Minute)
			p.members["self"] = &Member{Digest: digestOf("self", 1), Heard: now}
			for i, a := range tc.others {
				id := fmt.Sprint(i)
				p.members[id] = &Member{
					Digest: digestOf(id, 1), Heard: now.Add(-time.Duration(a.heard) * time.Second), BeatAt: now.Add(-time.Duration(a.beat) * time.Second),
				}
			}
			got := p.silent(now)
			slices.Sort(got)
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// TestResumedDaemonRevokesNobody: after a pause longer than RevokeAfter, all that a daemon knows is old; it
// must read the store and hear the others again before it takes any of them for dead.
func TestResumedDaemonRevokesNobody(t *testing.T) {
	now := time.Now()
	p := quietPeers("self")
	paused := now.Add(-30 * time.Second)
	for _, id := range []string{"self", "a", "b"} {
		p.members[id] = &Member{Digest: digestOf(id, 1), Heard: paused, BeatAt: paused}
	}
	p.storeAt, p.lookedAt, p.watching = paused, paused, paused.Add(-time.Minute)
	assert.Equal(t, len(p.silent(now)), 0)
	for range 6 {
		now = now.Add(time.Second)
		assert.Equal(t, len(p.silent(now)), 0)
	}
	now = now.Add(time.Second)
	assert.Equal(t, len(p.silent(now)), 2, "those that it does not hear then either are dead")
}

func TestHasContactNeedsTheStoreOrHalf(t *testing.T) {
	for others := range 8 {
		for heard := range others + 1 {
			for _, known := range []bool{true, false} {
				now := time.Now()
				p := quietPeers("self")
				p.known = known
				p.members["self"] = &Member{Digest: digestOf("self", 1)}
				for i := range others {
					m := &Member{Digest: digestOf(fmt.Sprint(i), 1), Direct: now.Add(-time.Minute)}
					if i < heard {
						m.Direct = now
					}
					p.members[m.ID()] = m
				}
				p.publish()
				want := known && 2*(heard+1) >= others+1
				assert.Equal(t, p.HasContact(now), want, "%d of %d, known %v", heard, others, known)
				p.hooks.StoreNews = func() time.Time { return now }
				assert.Assert(t, p.HasContact(now))
			}
		}
	}
}

func TestMerge(t *testing.T) {
	p := quietPeers("self")
	p.revoked["dead"], p.ended["over"] = true, time.Now()
	p.merge(&Gossip{Digests: []Digest{digestOf("a", 5), digestOf("third", 1), digestOf("dead", 9), digestOf("over", 9)}})
	assert.Assert(t, p.members["a"] != nil && p.members["dead"] == nil && p.members["over"] == nil)
	assert.Assert(t, p.members["third"] != nil, "before anything is known, third parties are learned")
	before := p.View()
	p.merge(&Gossip{Digests: []Digest{digestOf("a", 4), digestOf("fourth", 1)}, Revoked: []string{"third"}})
	assert.Equal(t, p.members["a"].Digest.Seq, int64(5))
	assert.Assert(t, p.members["fourth"] == nil, "a third party is learned from the store or from itself")
	assert.Assert(t, p.members["third"] == nil && p.revoked["third"])
	p.merge(&Gossip{Digests: []Digest{digestOf("third", 7)}})
	assert.Assert(t, p.members["third"] == nil, "a revoked daemon does not come back")
	_, ok := before.Find("third")
	assert.Assert(t, ok && !before.Revoked["third"], "a published view was changed")
}

func TestRevokedSelfIsTold(t *testing.T) {
	p := quietPeers("self")
	told := make(chan struct{})
	p.hooks.Revoked = func() { close(told) }
	p.merge(&Gossip{Digests: []Digest{digestOf("a", 1)}, Revoked: []string{"self"}})
	<-told
	p.merge(&Gossip{Digests: []Digest{digestOf("a", 2)}, Revoked: []string{"self"}})
}
