package ibisholder

import (
	"math/rand/v2"
	"time"

	"ibiscrank/ibisretry"
)

// retryDelay returns how long a request whose task has failed waits before the next attempt, and false if it
// need not wait. The delay is an exponential backoff, or the maximum one if the team's retry budget is used
// up. Callers hold e.mu.
func (h *Holder) retryDelay(e *entry) (time.Duration, bool) {
	if !e.needsBackoff {
		return 0, false
	}
	e.needsBackoff = false
	h.retryBudgetMu.Lock()
	defer h.retryBudgetMu.Unlock()
	var b ibisretry.Backoff
	if !h.retryBudget.Withdraw(e.saved.Request.Team) {
		return ibisretry.DefaultMax, true
	}
	return b.Delay(e.saved.Failures, globalRand{}), true
}

// globalRand is a source of jitter that uses the global random generator.
type globalRand struct{}

func (globalRand) Float64() float64 { return rand.Float64() }
