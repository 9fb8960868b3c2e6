// Package ibisloop runs functions one after the other on one goroutine. State that only these functions
// access needs no lock. Packages ibisowner and ibispeer use it.
//
// Usage:
//
//	loop, stop := ibisloop.New(1024)
//	defer stop()
//	err := loop.Do(ctx, func() { state.n++ })
package ibisloop

import (
	"context"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("loop")

// Loop runs the functions given to Do and Post one at a time, in order.
type Loop struct {
	work chan func()
	quit chan struct{} // closed to stop the loop
	done chan struct{} // closed once the loop's goroutine has ended
}

// New starts a loop whose queue holds n functions. The second result stops the loop and waits for the function
// that is running; functions that are still queued may never run.
func New(n int) (*Loop, func()) {
	l := &Loop{work: make(chan func(), n), quit: make(chan struct{}), done: make(chan struct{})}
	go l.run()
	var once sync.Once
	return l, func() {
		once.Do(func() { close(l.quit) })
		<-l.done
	}
}

func (l *Loop) run() {
	defer close(l.done)
	for {
		select {
		case <-l.quit:
			return
		case fn := <-l.work:
			fn()
		}
	}
}

// Do runs fn on the loop and waits until it has returned. It fails if ctx ends or the loop stops before that; in
// the first case, fn may still run later. A function on the loop must not call Do: it would wait for itself.
func (l *Loop) Do(ctx context.Context, fn func()) error {
	ran := make(chan struct{})
	if err := l.Post(ctx, func() { fn(); close(ran) }); err != nil {
		return err
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-l.done:
		return Error.New("the loop has stopped")
	}
}

// Post queues fn without waiting for it to run. It blocks while the queue is full, and fails if ctx ends or the
// loop stops before fn is queued.
func (l *Loop) Post(ctx context.Context, fn func()) error {
	select {
	case l.work <- fn:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-l.quit:
		return Error.New("the loop has stopped")
	}
}
