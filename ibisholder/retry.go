package ibisholder

import (
	"math/rand/v2"
	"time"

	"ibiscrank/ibisretry"
)

// retryDelay is how long a request whose task has failed waits before it is tried again: a backoff, or
// the longest one when its team has used up its budget of retries.
func (h *Holder) retryDelay(e *entry) (time.Duration, bool) {
	if !e.retryDue {
		return 0, false
	}
	e.retryDue = false
	h.retryMu.Lock()
	defer h.retryMu.Unlock()
	var b ibisretry.Backoff
	if !h.retries.Withdraw(e.saved.Request.Team) {
		return ibisretry.DefaultMax, true
	}
	return b.Delay(e.saved.Failures, globalRand{}), true
}

// globalRand draws jitter from the process's source of randomness.
type globalRand struct{}

func (globalRand) Float64() float64 { return rand.Float64() }
