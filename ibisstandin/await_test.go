package ibisstandin

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

// await waits until cond holds.
func await(t *testing.T, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("the condition does not hold yet")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
}

// frozenTimeout is how long a test waits for an answer that must not come.
const frozenTimeout = 100 * time.Millisecond
