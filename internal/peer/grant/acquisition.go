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
	// minBackoff and maxBackoff bound the delay before an ask is retried after
	// a failure.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// noServerRetry is the retry delay returned for a pool without servers.
	noServerRetry = 2 * time.Second
)

// errRetry is returned when the ask should be retried.
var errRetry = errors.New("grant: retry ask")

// acquisition is the state of one Acquire call. It is used by one goroutine.
type acquisition struct {
	id      cell.AskID
	request gate.Request
	since   time.Time
	// charged is the number of tokens charged to the limit.
	charged int
	// moved is the number of consecutive outcomeMoved answers.
	moved int
	// backoff requests a pause before the next ask.
	backoff bool
	// delay is the length of the last pause.
	delay time.Duration
}

// checkDone returns a refusal if the deadline has passed or the request was
// cancelled.
func (a *acquisition) checkDone(ctx context.Context, now time.Time) error {
	if clock.Passed(now, a.request.Deadline) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.NotRun(refusal.ReasonDeadline, now, ctx.Err())
	}
	if ctx.Err() != nil {
		return refusal.NotRun(refusal.ReasonCancelled, now, ctx.Err())
	}
	return nil
}

// pause waits before the next ask if backoff is set.
func (a *acquisition) pause(ctx context.Context) error {
	if !a.backoff {
		return nil
	}
	a.backoff = false
	a.delay = min(max(a.delay*2, minBackoff), maxBackoff)
	t := time.NewTimer(a.delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return a.checkDone(ctx, time.Now())
}
