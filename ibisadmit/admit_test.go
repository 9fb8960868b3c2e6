package ibisadmit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibiscrank/ibisadmit"
	"ibiscrank/ibisseed"
	"ibiscrank/ibiswork"
)

func TestMain(m *testing.M) { ibisseed.Main(m) }

var now = time.Unix(1_800_000_000, 0)

func load(waiting int, rate float64) ibisadmit.Load {
	return ibisadmit.Load{
		Classes:  map[ibiswork.Class]ibisadmit.ClassLoad{ibiswork.Interactive: {Waiting: waiting, Rate: rate}},
		MaxQueue: 1000,
	}
}

func TestDecide(t *testing.T) {
	second := now.Add(time.Second)
	for _, c := range []struct {
		name    string
		load    ibisadmit.Load
		request ibisadmit.Request
		ok      bool
		retry   time.Duration
	}{
		{"idle", load(0, 0), ibisadmit.Request{Class: ibiswork.Batch}, true, 0},
		{"deadline can be met", load(40, 100), ibisadmit.Request{Class: ibiswork.Interactive, Deadline: second, RunTime: 500 * time.Millisecond}, true, 0},
		{"deadline cannot be met", load(80, 100), ibisadmit.Request{Class: ibiswork.Interactive, Deadline: second, RunTime: 500 * time.Millisecond}, false, 300 * time.Millisecond},
		{"free capacity", ibisadmit.Load{Classes: load(80, 100).Classes, Free: true}, ibisadmit.Request{Class: ibiswork.Interactive, Deadline: second, RunTime: 500 * time.Millisecond}, true, 0},
		{"deadline has passed", load(0, 100), ibisadmit.Request{Class: ibiswork.Interactive, Deadline: now.Add(-1)}, false, 0},
		{"longer than the deadline", load(0, 100), ibisadmit.Request{Class: ibiswork.Interactive, Deadline: second, RunTime: time.Minute}, false, 0},
		{"batch refused at half", load(500, 100), ibisadmit.Request{Class: ibiswork.Batch}, false, 100 * time.Millisecond},
		{"batch retries when below half", load(599, 100), ibisadmit.Request{Class: ibiswork.Batch}, false, time.Second},
		{"service accepted at half", load(500, 100), ibisadmit.Request{Class: ibiswork.Service}, true, 0},
		{"interactive accepted below 95 percent", load(949, 100), ibisadmit.Request{Class: ibiswork.Interactive}, true, 0},
		{"interactive refused", load(950, 100), ibisadmit.Request{Class: ibiswork.Interactive}, false, 100 * time.Millisecond},
		{"urgent refused last", load(999, 100), ibisadmit.Request{Class: ibiswork.Interactive, Urgent: true}, true, 0},
		{"full", load(1000, 100), ibisadmit.Request{Class: ibiswork.Interactive, Urgent: true}, false, 100 * time.Millisecond},
		{"no requests are started", load(1000, 0), ibisadmit.Request{Class: ibiswork.Batch}, false, 30 * time.Second},
		{"no queue limit", ibisadmit.Load{Classes: load(5000, 1).Classes}, ibisadmit.Request{Class: ibiswork.Batch}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			ok, retry := ibisadmit.Decide(c.load, c.request, now)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, retry, c.retry)
		})
	}
}

// TestOrderOfRefusal checks at any load that if a class is refused because of the queue limit, so is every less
// urgent one, and that the refusal contains a valid time to retry.
func TestOrderOfRefusal(t *testing.T) {
	order := []ibisadmit.Request{
		{Class: ibiswork.Interactive, Urgent: true}, {Class: ibiswork.Interactive},
		{Class: ibiswork.Service}, {Class: ibiswork.Gang}, {Class: ibiswork.Batch},
	}
	rapid.Check(t, func(t *rapid.T) {
		l := load(rapid.IntRange(0, 2000).Draw(t, "waiting"), rapid.Float64Range(0, 1e4).Draw(t, "rate"))
		refused := false
		for _, a := range order {
			ok, retry := ibisadmit.Decide(l, a, now)
			if refused && ok {
				t.Fatalf("%+v is accepted, but a more urgent request is refused", a)
			}
			if !ok && (retry < 100*time.Millisecond || retry > 30*time.Second) {
				t.Fatalf("retry after %v, want 100ms to 30s", retry)
			}
			refused = !ok
		}
	})
}
