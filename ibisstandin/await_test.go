package ibisstandin

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

// await polls cond until it holds, and fails the test after 20 s.
func await(t *testing.T, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("the condition does not hold yet")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
}

// noReplyTimeout is how long a test waits to check that no reply arrives.
const noReplyTimeout = 100 * time.Millisecond
