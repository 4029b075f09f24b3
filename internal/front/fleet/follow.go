package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// feedWait is how long one feed call waits for a change. It also bounds the
	// time until a feed that misses changes is noticed.
	feedWait = 900 * time.Millisecond
	// retryInterval is the delay after a failed read.
	retryInterval = 100 * time.Millisecond
)

// Follow reads a complete table and passes its rows, then each change of it, to
// apply until the context ends. It reads the table again if the store no longer
// has the history since the last change.
func Follow(ctx context.Context, f *State, table string, read func(context.Context) (store.Snapshot, error), apply func([]store.Row)) {
	after, known := int64(0), false
	for ctx.Err() == nil {
		sentAt := Uptime()
		s, err := followOnce(ctx, f.store, table, after, known, read)
		if errors.Is(err, store.ErrCompacted) {
			f.log.Info("feed history compacted; reading the table again", zap.String("Table", table), zap.Int64("After", after))
			known = false
			continue
		}
		if err != nil {
			f.recordFailure(table, err)
			Sleep(ctx, retryInterval)
			continue
		}
		f.recordRead(table, s, sentAt)
		apply(s.Rows)
		after, known = max(after, s.Version), true
	}
}

func followOnce(
	ctx context.Context, s store.Store, table string, after int64, known bool,
	read func(context.Context) (store.Snapshot, error),
) (store.Snapshot, error) {
	if known {
		return s.Feed(ctx, table, after, feedWait)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return read(ctx)
}

// Sleep waits for d or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
