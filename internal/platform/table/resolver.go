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
// lost: it reads the written rows back and, if the commit cannot take effect
// twice, sends it again. It returns ErrUnknown for a commit that
// could not be resolved: none of its rows was found, and it may still take
// effect.
type Resolver struct {
	Table Table
}

// Commit implements Table.
func (r Resolver) Commit(ctx context.Context, t Txn) error {
	err := r.Table.Commit(ctx, t)
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
		if r.found(ctx, t, keys) {
			return nil
		}
		if again := r.resend(ctx, t); !errors.Is(again, ErrUnknown) {
			return again
		}
		if !wait(ctx, b.NextBackOff()) {
			break
		}
	}
	return err
}

// Read implements Table.
func (r Resolver) Read(ctx context.Context, keys ...Key) ([]Row, error) {
	return r.Table.Read(ctx, keys...)
}

// Scan implements Table.
func (r Resolver) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	return r.Table.Scan(ctx, prefix, after, limit)
}

// found reports whether one of the rows was written by t.
func (r Resolver) found(ctx context.Context, t Txn, keys []Key) bool {
	rows, err := r.Table.Read(ctx, keys...)
	if err != nil {
		return false
	}
	for _, row := range rows {
		if row.WriteID == t.ID {
			return true
		}
	}
	return false
}

// resend commits t again if it cannot take effect twice. Only success is
// conclusive: a conflict may be due to the first attempt or to another writer.
func (r Resolver) resend(ctx context.Context, t Txn) error {
	if !appliesOnce(t) {
		return ErrUnknown
	}
	if r.Table.Commit(ctx, t) == nil {
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
