// Package loop runs functions one at a time on a single goroutine, which so
// owns the control state they touch.
package loop

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// queueLength bounds the functions that wait to run.
const queueLength = 1024

// ErrStopped says that the loop does not run any more.
var ErrStopped = errors.New("loop: stopped")

// Loop is the control goroutine. Use New.
type Loop struct {
	// calls is never closed.
	calls chan call
	// stopped is closed when Serve returns.
	stopped chan struct{}
}

type call struct {
	run  func(now time.Time)
	done chan struct{}
}

// New returns a loop that runs nothing until Serve is called.
func New() *Loop {
	return &Loop{calls: make(chan call, queueLength), stopped: make(chan struct{})}
}

// Do runs f on the control goroutine and waits until it has returned. f must
// not block. Its errors are ErrStopped and that of the context; with the
// latter f may still run later.
func (l *Loop) Do(ctx context.Context, f func(now time.Time)) error {
	c := call{run: f, done: make(chan struct{})}
	select {
	case l.calls <- c:
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-c.done:
		return nil
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Serve runs functions until the context ends. It is called once.
func (l *Loop) Serve(ctx context.Context) error {
	defer close(l.stopped)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-l.calls:
			c.run(time.Now())
			close(c.done)
		}
	}
}
