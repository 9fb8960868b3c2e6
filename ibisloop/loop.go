// Package ibisloop runs functions one after the other on one goroutine, which owns some control state.
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

// Loop owns control state; functions given to it run one at a time, in order.
type Loop struct {
	work chan func()
	quit chan struct{}
	done chan struct{}
}

// New starts a loop whose queue holds n functions. The second result ends it and waits for it.
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

// Do runs fn on the loop and waits for it. When ctx ends first, fn may still run later.
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
		return Error.New("ended")
	}
}

// Post queues fn without waiting for it to run.
func (l *Loop) Post(ctx context.Context, fn func()) error {
	select {
	case l.work <- fn:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-l.quit:
		return Error.New("ended")
	}
}
