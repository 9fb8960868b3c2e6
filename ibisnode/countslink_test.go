package ibisnode

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
)

// countedLink is both ends of a link, for the counts of waiting jobs only.
type countedLink struct {
	t      *testing.T
	sent   sentCounts
	shown  shownCounts
	pongAt ibiscell.Time
	counts map[string]int
	at     ibiscell.Time // when they were counted
}

func newCountedLink(t *testing.T) *countedLink {
	return &countedLink{t: t, sent: sentCounts{told: make(map[string]int)}, shown: shownCounts{counts: make(map[string]int)}, counts: make(map[string]int)}
}

// ping returns the encoded part that goes with the pong to a ping.
func (l *countedLink) ping(now ibiscell.Time) []byte {
	l.t.Helper()
	part := l.sent.next(&ping{At: now, PongAt: l.pongAt}, l.counts, slices.Sorted(maps.Keys(l.counts)), l.at, l.at)
	b, err := cbor.Marshal(part)
	assert.NilError(l.t, err)
	return b
}

func (l *countedLink) deliver(b []byte, sentAt, now ibiscell.Time) {
	l.t.Helper()
	var part countsPart
	assert.NilError(l.t, cbor.Unmarshal(b, &part))
	assert.NilError(l.t, l.shown.add(&part, now))
	l.pongAt = sentAt
}

// Guards against counts that were never true or are older than shown, and against large pongs: the counts of many queues
// change at random, and pongs arrive late.
func TestCountsShownWereTrueLately(t *testing.T) {
	for seed := range uint64(5) {
		r := rand.New(rand.NewPCG(seed, 1))
		l := newCountedLink(t)
		type counted struct {
			at     ibiscell.Time
			counts map[string]int
		}
		var history []counted
		type sent struct {
			at ibiscell.Time
			b  []byte
		}
		var onTheWay []sent
		names := make([]string, 3000)
		for k := range names {
			names[k] = fmt.Sprintf("%cé-queue-%05d", 'a'+k%7, k*k)
		}
		shown := 0
		for now := ibiscell.Time(1000); now < 60_000; now += 250 {
			if now%1000 == 0 {
				next := maps.Clone(l.counts)
				for range []int{0, 10, 300, 3000}[r.IntN(4)] {
					next[names[r.IntN(len(names))]] = max(0, r.IntN(400)-200)
				}
				l.counts, l.at = next, now
				history = append(history, counted{now, next})
			}
			onTheWay = append(onTheWay, sent{now, l.ping(now)})
			assert.Assert(t, len(onTheWay[len(onTheWay)-1].b) < maxCountsBytes+64, "seed %d: %d bytes", seed, len(onTheWay[len(onTheWay)-1].b))
			if r.IntN(3) > 0 {
				for _, s := range onTheWay {
					l.deliver(s.b, s.at, now)
				}
				onTheWay = nil
			}
			for range 200 {
				q := names[r.IntN(len(names))]
				n, ok := l.shown.count(q, now)
				if !ok {
					continue
				}
				shown++
				assert.Assert(t, slices.ContainsFunc(history, func(c counted) bool {
					return c.counts[q] == n && now-c.at < maxShownCountsAge.Milliseconds()
				}), "seed %d at %d: %q shown as %d", seed, now, q, n)
			}
		}
		assert.Assert(t, shown > 10_000, "seed %d: shown %d times", seed, shown)
	}
}

// Guards against counts that are sent again, or before the last ones have been seen.
func TestCountsAreSentOnceAndWhenSeen(t *testing.T) {
	l := newCountedLink(t)
	l.at = 1000
	for k := range 4200 {
		l.counts[fmt.Sprintf("queue-%07d", k)] = 1
	}
	first := l.ping(1000)
	unseen := l.ping(1250)
	assert.Assert(t, len(first) > maxCountsBytes/2 && len(unseen) < 64, "%d bytes, and %d while they are not seen", len(first), len(unseen))
	l.deliver(first, 1000, 1250)
	_, ok := l.shown.count("queue-0004199", 1250)
	assert.Assert(t, !ok, "a count that has not come yet is shown")
	l.deliver(unseen, 1250, 1250)
	total := len(first)
	now := ibiscell.Time(1500)
	for ; len(l.shown.counts) < 4200 && now < 10_000; now += 250 {
		l.counts["queue-0004199"] = int(now) // the newest value wins
		l.at = now
		b := l.ping(now)
		total += len(b)
		l.deliver(b, now, now)
	}
	assert.Assert(t, now <= 3500 && total < 7*maxCountsBytes, "%d bytes until %d ms", total, now)
	assert.Equal(t, l.shown.counts["queue-0004199"], int(now-250))
	for ; now < 12_000; now += 250 {
		if now%1000 == 0 {
			l.at = now
		}
		b := l.ping(now)
		l.deliver(b, now, now)
		assert.Assert(t, len(b) < 64, "%d bytes at %d ms", len(b), now)
	}
	n, ok := l.shown.count("queue-0000000", now)
	assert.Assert(t, ok && n == 1)
	_, ok = l.shown.count("queue-0000000", now+maxShownCountsAge.Milliseconds())
	assert.Assert(t, !ok, "an old count is shown as fresh")
}

// Guards against queues that are never told because others change all the time.
func TestAllCountsAreToldWhileAllChange(t *testing.T) {
	l := newCountedLink(t)
	waiting := make(map[string]bool)
	for now := ibiscell.Time(1000); now < 11_000; now += 250 {
		if now%1000 == 0 {
			l.counts, l.at = make(map[string]int), now
			for k := range 4200 {
				l.counts[fmt.Sprintf("queue-%07d", k)] = int(now)/1000 + 100
			}
			if now == 1000 {
				for q := range l.counts {
					waiting[q] = true
				}
			}
		}
		l.deliver(l.ping(now), now, now)
		for q := range waiting {
			if _, ok := l.shown.count(q, now); ok {
				delete(waiting, q)
			}
		}
	}
	assert.Equal(t, len(waiting), 0)
}

// Guards against links between versions that break, or show counts of queues that were not sent: earlier versions list the
// counts of all queues in the pong.
func TestPongsOfOtherVersionsBringNoCounts(t *testing.T) {
	type earlierPong struct {
		At          ibiscell.Time  `cbor:"1,keyasint"`
		WaitingJobs map[string]int `cbor:"5,keyasint"`
	}
	type earlierFrame struct {
		Pong *earlierPong `cbor:"7,keyasint,omitempty"`
	}
	b, err := cbor.Marshal(&frame{Pong: &pong{At: 7}, Counts: []countsPart{{At: 6, Changed: []queueCount{{Rest: []byte("q"), Count: 3}}}}})
	assert.NilError(t, err)
	var earlier earlierFrame
	assert.NilError(t, cbor.Unmarshal(b, &earlier))
	assert.Equal(t, earlier.Pong.At, ibiscell.Time(7))
	assert.Assert(t, earlier.Pong.WaitingJobs == nil)

	b, err = cbor.Marshal(&earlierFrame{Pong: &earlierPong{At: 7, WaitingJobs: map[string]int{"q": 3}}})
	assert.NilError(t, err)
	var f frame
	assert.NilError(t, cbor.Unmarshal(b, &f))
	assert.Equal(t, f.Pong.At, ibiscell.Time(7))
	assert.Equal(t, len(f.Counts), 0)
}

// Guards against names that are made up of parts that don't fit together.
func TestUnreadableCountsAreNotShown(t *testing.T) {
	l := newCountedLink(t)
	assert.Assert(t, l.shown.add(&countsPart{At: 1000, Changed: []queueCount{{Shared: 1, Rest: []byte("q"), Count: 3}}}, 1000) != nil)
	assert.NilError(t, l.shown.add(&countsPart{At: 1000}, 1000))
	_, ok := l.shown.count("q", 1000)
	assert.Assert(t, !ok)
}
