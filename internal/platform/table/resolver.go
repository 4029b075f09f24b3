package table

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

const (
	// resolveAttempts bounds the reads that resolve the outcome of one commit.
	resolveAttempts = 4
	// resolveInterval is the initial wait between two reads.
	resolveInterval = 50 * time.Millisecond
	// resolveMaxInterval bounds the wait between two reads.
	resolveMaxInterval = 500 * time.Millisecond
)

// Resolver is a Table that resolves the outcome of a commit whose response was
// lost, by reading the written rows back. It returns ErrUnknown for a commit that
// could not be resolved: none of its rows was found, and it may still take
// effect.
type Resolver struct {
	Table Table
}

// Commit implements Table.
func (s Resolver) Commit(ctx context.Context, t Txn) error {
	err := s.Table.Commit(ctx, t)
	if !errors.Is(err, ErrUnknown) {
		return err
	}
	keys := writtenKeys(t)
	if len(keys) == 0 {
		return err
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = resolveInterval
	b.MaxInterval = resolveMaxInterval
	for range resolveAttempts {
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
func (s Resolver) Read(ctx context.Context, keys ...Key) ([]Row, error) {
	return s.Table.Read(ctx, keys...)
}

// Scan implements Table.
func (s Resolver) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	return s.Table.Scan(ctx, prefix, after, limit)
}

// found reports whether one of the rows was written by t.
func (s Resolver) found(ctx context.Context, t Txn, keys []Key) bool {
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

// resend commits t again if it cannot take effect twice. Only success is
// conclusive: a conflict may be due to the first attempt or to another writer.
func (s Resolver) resend(ctx context.Context, t Txn) error {
	if !appliesOnce(t) {
		return ErrUnknown
	}
	if s.Table.Commit(ctx, t) == nil {
		return nil
	}
	return ErrUnknown
}

// appliesOnce reports whether t can take effect only once, since it writes a row
// that it requires at a certain version. Rows required to be absent do not count:
// they may have been written and deleted since.
func appliesOnce(t Txn) bool {
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

// writtenKeys returns the keys of the rows that t writes and does not delete.
func writtenKeys(t Txn) []Key {
	var keys []Key
	for _, w := range t.Writes {
		if !w.Delete {
			keys = append(keys, w.Key)
		}
	}
	return keys
}
