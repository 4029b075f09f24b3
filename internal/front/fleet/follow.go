package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// feedWait is how long a feed waits for a change. It also bounds how long a
	// feed that misses changes goes unnoticed.
	feedWait = 900 * time.Millisecond
	// retryInterval is the wait after a failed read.
	retryInterval = 100 * time.Millisecond
)

// Follow reads a table whole, then hands each change of it to take, until the
// context ends. It reads the table again when a feed has lost its history.
func Follow(ctx context.Context, f *State, table string, read func(context.Context) (store.Snapshot, error), take func([]store.Row)) {
	after, known := int64(0), false
	for ctx.Err() == nil {
		sentAt := Uptime()
		s, err := followOnce(ctx, f.store, table, after, known, read)
		if errors.Is(err, store.ErrCompacted) {
			f.log.Info("feed restarted", zap.String("Table", table), zap.Int64("After", after))
			known = false
			continue
		}
		if err != nil {
			f.failed(table, err)
			Sleep(ctx, retryInterval)
			continue
		}
		f.read(table, s, sentAt)
		take(s.Rows)
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
