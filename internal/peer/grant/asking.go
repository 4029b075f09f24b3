package grant

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
)

const (
	// firstPause and longestPause bound the wait before a request is asked
	// for again after a failure.
	firstPause   = 5 * time.Millisecond
	longestPause = 200 * time.Millisecond
	// noServerRetry is when to come back to a pool that has no server.
	noServerRetry = 2 * time.Second
)

// errAgain says that a request should be asked for again.
var errAgain = errors.New("grant: ask again")

// asking is one request on its way to a grant. It is used by one goroutine.
type asking struct {
	id      cell.AskID
	request gate.Request
	since   time.Time
	// charged is the number of tokens taken from the limit.
	charged int
	// moved counts the answers in a row that the cell has moved.
	moved int
	// backoff asks for a pause before the next ask.
	backoff bool
	// wait is the next pause.
	wait time.Duration
}

// over returns a refusal when there is no use in asking.
func (a *asking) over(ctx context.Context, now time.Time) error {
	if clock.Passed(now, a.request.Deadline) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.NotRun(refusal.ReasonDeadline, now, ctx.Err())
	}
	if ctx.Err() != nil {
		return refusal.NotRun(refusal.ReasonCancelled, now, ctx.Err())
	}
	return nil
}

// pause waits before the next ask when the last one asked for it.
func (a *asking) pause(ctx context.Context) error {
	if !a.backoff {
		return nil
	}
	a.backoff = false
	a.wait = min(max(a.wait*2, firstPause), longestPause)
	t := time.NewTimer(a.wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return a.over(ctx, time.Now())
}
