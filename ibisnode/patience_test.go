package ibisnode

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
)

// TestPatienceFollowsTheLink checks that others wait no longer than usual for a leader on a fast link, and how long they
// wait for one on a slow link, which a reply or the journal fills for longer.
func TestPatienceFollowsTheLink(t *testing.T) {
	const journal = 600_000 // bytes, as after a minute on the small twin of limiar-ops-grown
	for _, tc := range []struct {
		speed              float64 // bytes per second
		silence, replaceBy time.Duration
	}{
		{speed: 25e6, silence: leaderTimeout, replaceBy: replaceAfter},
		{speed: 1.25e6, silence: 838 * time.Millisecond, replaceBy: 672 * time.Millisecond},
		{speed: 250_000, silence: maxRecoverySilence, replaceBy: 3360 * time.Millisecond},
		{speed: 1, silence: maxRecoverySilence, replaceBy: replaceMax},
		{speed: 0, silence: maxRecoverySilence, replaceBy: replaceAfter},
	} {
		n := &Node{settings: Settings{LinkSpeed: tc.speed}}
		assert.Equal(t, max(leaderTimeout, n.recoverySilence()).Truncate(time.Millisecond), tc.silence, "%+v", tc)
		assert.Equal(t, max(replaceAfter, n.journalReadTime(journal)).Truncate(time.Millisecond), tc.replaceBy, "%+v", tc)
	}
}

// TestJournalBytesFollowTheCommits checks the size of the journal that a leader tells its followers.
func TestJournalBytesFollowTheCommits(t *testing.T) {
	tm := &term{journal: make(map[journalKey]int)}
	row := func(key string, size int) ibiscell.Row {
		return ibiscell.Row{Table: "Changes", Key: key, Value: make([]byte, size)}
	}
	tm.trackJournal([]ibiscell.Row{row("a", 100), row("b", 50)}, nil)
	assert.Equal(t, tm.journalBytes.Load(), int64(150))
	tm.trackJournal([]ibiscell.Row{row("b", 70)}, []ibiscell.Row{row("a", 0), row("unknown", 0)})
	assert.Equal(t, tm.journalBytes.Load(), int64(70))
}
