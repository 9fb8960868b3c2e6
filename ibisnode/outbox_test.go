package ibisnode

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestResultsOfARelayShareMessages puts results one after the other, as a relay gets them: they must share messages, since
// the leader handles those of all relays. A request goes out at once, with what waits.
func TestResultsOfARelayShareMessages(t *testing.T) {
	o := newOutbox()
	var messages, results atomic.Int64
	requested := make(chan time.Time, 1)
	go o.run(func(f *frame) error {
		messages.Add(1)
		results.Add(int64(len(f.Results)))
		if len(f.Requests) > 0 {
			requested <- time.Now()
		}
		return nil
	})
	defer o.close()
	for range 200 {
		o.put(&frame{Results: []orderResult{{N: 1}}})
		time.Sleep(100 * time.Microsecond)
	}
	for results.Load() < 200 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, messages.Load() < 50, "%d messages", messages.Load())
	o.put(&frame{Requests: []Request{{N: 1}}})
	<-requested
}
