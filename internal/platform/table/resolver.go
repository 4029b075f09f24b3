package table

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

const (
	// settleAttempts bounds the reads that settle one commit.
	settleAttempts = 4
	// settleInterval is the wait before the second read.
	settleInterval = 50 * time.Millisecond
	// settleMaxInterval bounds the wait between two reads.
	settleMaxInterval = 500 * time.Millisecond
)

// Settle is a Table that finds out what became of a commit whose answer was
// lost, by reading the written rows back. ErrUnknown remains for a commit that
// could not be settled: none of its rows was seen, and it may still take
// effect.
type Settle struct {
	Table Table
}

// Commit implements Table.
func (s Settle) Commit(ctx context.Context, t Txn) error {
	err := s.Table.Commit(ctx, t)
	if !errors.Is(err, ErrUnknown) {
		return err
	}
	keys := written(t)
	if len(keys) == 0 {
		return err
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = settleInterval
	b.MaxInterval = settleMaxInterval
	for range settleAttempts {
		if s.found(ctx, t, keys) {
			return nil
		}
		if again := s.resend(ctx, t); !errors.Is(again, ErrUnknown) {
			return again
		}
		if !wait(ctx, b.NextBackOff()) {
			break
		}
	}
	return err
}

// Read implements Table.
func (s Settle) Read(ctx context.Context, keys ...Key) ([]Row, error) {
	return s.Table.Read(ctx, keys...)
}

// Scan implements Table.
func (s Settle) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	return s.Table.Scan(ctx, prefix, after, limit)
}

// found reports whether one of the rows shows that t took effect.
func (s Settle) found(ctx context.Context, t Txn, keys []Key) bool {
	rows, err := s.Table.Read(ctx, keys...)
	if err != nil {
		return false
	}
	for _, r := range rows {
		if r.WriteID == t.ID {
			return true
		}
	}
	return false
}

// resend commits t again if it cannot take effect twice. Only success is a
// verdict: a conflict may come from the first attempt or from another writer.
func (s Settle) resend(ctx context.Context, t Txn) error {
	if !oneShot(t) {
		return ErrUnknown
	}
	if s.Table.Commit(ctx, t) == nil {
		return nil
	}
	return ErrUnknown
}

// oneShot reports whether a write of t moves a row past the version that t
// requires of it. Rows required to be absent do not count: they may have been
// written and deleted since.
func oneShot(t Txn) bool {
	for _, c := range t.Conditions {
		for _, w := range t.Writes {
			if c.Version > 0 && c.Key == w.Key {
				return true
			}
		}
	}
	return false
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// written returns the keys of the rows that t leaves behind.
func written(t Txn) []Key {
	var keys []Key
	for _, w := range t.Writes {
		if !w.Delete {
			keys = append(keys, w.Key)
		}
	}
	return keys
}
