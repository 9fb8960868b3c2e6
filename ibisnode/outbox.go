package ibisnode

import "sync"

// maxOutbox bounds the requests and replies that wait for a link which its peer does not read; beyond it
// the link counts as broken.
const maxOutbox = 20_000

// outbox collects what is to be sent over a link, so that one message carries all that has come up while
// the last one was sent.
type outbox struct {
	mu     sync.Mutex
	next   *frame
	parts  int
	closed bool
	wake   chan struct{}
}

func newOutbox() *outbox { return &outbox{wake: make(chan struct{}, 1)} }

// put adds f; it reports false when the link is closed or does not keep up.
func (o *outbox) put(f *frame) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.parts > maxOutbox {
		return false
	}
	o.parts++
	if o.next == nil {
		o.next = f
	} else {
		o.next.merge(f)
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

// run sends what is put until close, or until send fails.
func (o *outbox) run(send func(*frame) error) {
	for range o.wake {
		o.mu.Lock()
		f := o.next
		o.next, o.parts = nil, 0
		o.mu.Unlock()
		if f == nil {
			continue
		}
		if err := send(f); err != nil {
			return
		}
	}
}
