package ibisharness

import (
	"context"
	"net/http"
	"testing"
	"time"

	"ibiscrank/ibishttp"
)

// pollInterval is the time between two evaluations of a condition.
const pollInterval = 20 * time.Millisecond

// Await polls cond until it reports ok, and fails the test after timeout. The failure message contains the
// value that cond observed last.
func Await(t testing.TB, timeout time.Duration, what string, cond func() (ok bool, observed any)) {
	t.Helper()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		ok, observed := cond()
		if ok {
			return
		}
		select {
		case <-ticker.C:
		case <-timer.C:
			t.Fatalf("condition not met within %v: %s; last observed: %v", timeout, what, observed)
		}
	}
}

// sleep waits for d or until ctx is done, and reports whether d has elapsed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// respondsOK reports whether a GET of url returns status 200 within one second.
func respondsOK(h *http.Client, url string) (ok bool, observed any) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := ibishttp.Call(ctx, h, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	return r.Status == http.StatusOK, string(r.Body)
}
