package ibisnode

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestResultsOfARelayShareMessages puts results one after the other, as a relay gets them: they must share messages, since
// the leader handles those of all relays. A request is sent without waiting, with what is queued.
func TestResultsOfARelayShareMessages(t *testing.T) {
	o := newOutbox()
	waiting, goOn := make(chan bool), make(chan bool)
	o.wait = func() { waiting <- true; <-goOn }
	sent := make(chan *frame)
	go o.run(func(f *frame) error { sent <- f; return nil })
	defer o.close()

	result := func() { o.put(&frame{Results: []orderResult{{N: 1}}}) }
	result()
	<-waiting
	for range 9 {
		result()
	}
	goOn <- true
	assert.Equal(t, len((<-sent).Results), 10)

	o.put(&frame{Requests: []Request{{N: 1}}, Results: []orderResult{{N: 2}}})
	f := <-sent
	assert.Equal(t, len(f.Requests)+len(f.Results), 2)
}
