package ibisharness

import (
	"context"
	"net/http"
	"testing"
	"time"

	"ibiscrank/ibishttp"
)

// askEvery is the time between two looks at a condition.
const askEvery = 20 * time.Millisecond

// Await looks at a condition until it holds, and fails the test when it does not within the time. The
// condition returns what it saw, for the failure's message.
func Await(t testing.TB, within time.Duration, what string, holds func() (ok bool, seen any)) {
	t.Helper()
	end := time.NewTimer(within)
	defer end.Stop()
	again := time.NewTicker(askEvery)
	defer again.Stop()
	for {
		ok, seen := holds()
		if ok {
			return
		}
		select {
		case <-again.C:
		case <-end.C:
			t.Fatalf("not within %v: %s; last seen: %v", within, what, seen)
		}
	}
}

// pause waits for d or the end of ctx and reports whether d has passed.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// answers reports whether a GET of the URL is answered with 200 within a second.
func answers(h *http.Client, url string) (ok bool, seen any) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := ibishttp.Call(ctx, h, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	return r.Status == http.StatusOK, string(r.Body)
}
