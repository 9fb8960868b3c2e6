package ibisnode

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
)

// TestPatienceFollowsTheLink checks that daemons wait no longer than usual for a leader if their links are fast, and as long
// as they would read the journal if they are slow.
func TestPatienceFollowsTheLink(t *testing.T) {
	const journal = 600_000 // bytes, as after a minute on the small twin of limiar-ops-grown
	for _, tc := range []struct {
		speed     float64 // bytes per second
		replaceBy time.Duration
	}{
		{speed: 25e6, replaceBy: replaceAfter},
		{speed: 1.25e6, replaceBy: 672 * time.Millisecond},
		{speed: 250_000, replaceBy: 3360 * time.Millisecond},
		{speed: 1, replaceBy: replaceMax},
		{speed: 0, replaceBy: replaceAfter},
	} {
		n := &Node{settings: Settings{LinkSpeed: tc.speed}}
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
