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

// Update is what one call of a followed table returned.
type Update struct {
	// Rows are all rows of the table if Complete is set, and otherwise those that
	// changed since the last update, which may be none.
	Rows     []store.Row
	Complete bool
	// Version is the store's version up to which the rows contain all changes.
	Version int64
}

// Subscription describes a table to follow.
type Subscription struct {
	Table string
	// Interval returns the time from the end of a call to the next one; changes that
	// come in the meantime are read together. If nil, there is none.
	Interval func() time.Duration
	// Wait returns how long the next call may wait for a change; if nil, calls wait
	// for feedWait.
	Wait func() time.Duration
	// Read reads the complete table.
	Read func(context.Context) (store.Snapshot, error)
	// Apply applies what a call returned.
	Apply func(Update)
}

// Follow reads a complete table, then each change of it, until the context ends. It
// reads the table again if the store no longer has the history since the last
// change.
func Follow(ctx context.Context, f *State, s Subscription) {
	after, known := int64(0), false
	for ; ctx.Err() == nil; s.pause(ctx) {
		sentAt := Uptime()
		r, err := s.next(ctx, f.store, after, known)
		if errors.Is(err, store.ErrCompacted) {
			f.log.Info("feed history compacted; reading the table again", zap.String("Table", s.Table), zap.Int64("After", after))
			known = false
			continue
		}
		if err != nil {
			f.recordFailure(s.Table, err)
			Sleep(ctx, retryInterval)
			continue
		}
		f.recordRead(s.Table, r, sentAt)
		s.Apply(Update{Rows: r.Rows, Complete: !known, Version: r.Version})
		after, known = max(after, r.Version), true
	}
}

// pause waits until the next call is due.
func (s Subscription) pause(ctx context.Context) {
	if s.Interval != nil {
		Sleep(ctx, s.Interval())
	}
}

// next makes one call: it reads the complete table unless it is known as of the
// version after.
func (s Subscription) next(ctx context.Context, from store.Store, after int64, known bool) (store.Snapshot, error) {
	if known {
		wait := feedWait
		if s.Wait != nil {
			wait = s.Wait()
		}
		return from.Feed(ctx, s.Table, after, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Read(ctx)
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
