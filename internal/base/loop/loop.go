// Package loop runs functions one at a time on a single goroutine, so that they
// can use the control state without locks.
package loop

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// queueLength is the maximum number of queued functions.
const queueLength = 1024

// ErrStopped is returned by Do after Serve has returned.
var ErrStopped = errors.New("loop: stopped")

// Loop runs functions on the control goroutine, the one that calls Serve. Use New.
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

// Do runs f on the control goroutine and waits until it has returned. f must not
// block. Do returns ErrStopped or the error of ctx; after the latter, f may still
// run later.
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

// Serve runs functions until the context ends. It must be called only once.
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
