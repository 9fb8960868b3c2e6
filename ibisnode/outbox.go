package ibisnode

import (
	"sync"
	"time"
)

// maxQueuedFrames bounds the frames that wait for a link whose peer doesn't read; further ones are dropped.
const maxQueuedFrames = 20_000

// mergeDelay is how long orders to a relay and its results wait for others to be sent with them. A message costs more
// processor time than what it carries.
const mergeDelay = 3 * time.Millisecond

// outbox queues frames for a link. Frames that are queued while a message is being sent are merged into the
// next one.
type outbox struct {
	mu     sync.Mutex
	queued *frame // merged frames of the next message
	frames int    // number of frames merged into queued
	closed bool
	wake   chan struct{} // notifies run
	wait   func()        // waits for mergeDelay
}

func newOutbox() *outbox {
	return &outbox{wake: make(chan struct{}, 1), wait: func() { time.Sleep(mergeDelay) }}
}

// put queues f; it reports false, and drops f, when the link is closed or the outbox is full.
func (o *outbox) put(f *frame) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.frames > maxQueuedFrames {
		return false
	}
	o.frames++
	if o.queued == nil {
		o.queued = f
	} else {
		o.queued.merge(f)
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return true
}

// close makes further puts fail and ends run.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.closed {
		o.closed = true
		close(o.wake)
	}
}

// run sends queued frames until close is called or send fails.
func (o *outbox) run(send func(*frame) error) {
	for range o.wake {
		if o.canWait() {
			o.wait()
		}
		o.mu.Lock()
		f := o.queued
		o.queued, o.frames = nil, 0
		o.mu.Unlock()
		if f == nil {
			continue
		}
		if err := send(f); err != nil {
			return
		}
	}
}

// canWait reports whether all that is queued can wait for mergeDelay.
func (o *outbox) canWait() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queued != nil && !o.closed && o.queued.onlyRelayed()
}
