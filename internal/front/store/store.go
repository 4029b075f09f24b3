// Package store is the interface to the platform's transactional store of rows,
// with an implementation in memory for tests.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store.
var (
	// ErrCompacted says that the store no longer has the history that a feed
	// asked for: the rows must be read again.
	ErrCompacted = errors.New("store: history no longer available")
	// ErrConflict says that a condition did not hold: nothing was written.
	ErrConflict = errors.New("store: condition not met")
	// ErrUnavailable says that the store did not take the call: nothing was
	// written.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown says that no answer came: a write may have taken effect, or
	// may still take effect.
	ErrUnknown = errors.New("store: outcome unknown")
)

// Key names a row.
type Key struct {
	Table string
	// Part groups rows that one transaction may write together.
	Part string
	Name string
}

// Row is one row.
type Row struct {
	Key   Key
	Value []byte
	// Version is the store's version at which the row was last written. A
	// condition with Version 0 requires the row's absence.
	Version int64
	// Removed is set on rows of a feed that were deleted.
	Removed bool
}

// Txn is an atomic transaction. All its rows have the same part.
type Txn struct {
	Conditions []Row
	Puts       []Row
	Removes    []Key
}

// Range selects rows of one part of a table.
type Range struct {
	Table string
	Part  string
	// From is the first name, and To the first one beyond; empty is open.
	From string
	To   string
	// Limit bounds the number of rows; 0 leaves it to the store.
	Limit int
}

// Snapshot is rows as of one instant.
type Snapshot struct {
	Rows []Row
	// Version is the store's newest version at that instant.
	Version int64
	// Now is the store's clock, which only tells spans of time.
	Now time.Time
	// More is whether the store has more rows in the range.
	More bool
}

// Store is the platform's store. Its methods may be called from any goroutine.
type Store interface {
	// Commit writes all of t or nothing, and returns the store's clock and
	// version. With ErrConflict, the snapshot holds the present rows of the
	// conditions.
	Commit(ctx context.Context, t Txn) (Snapshot, error)
	// Feed returns the rows of a table that changed after a version, in order,
	// and waits up to wait for the first.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error)
	// Parts returns the parts of a table, in order.
	Parts(ctx context.Context, table string) ([]string, error)
	// Read returns the rows of a range, in order of their names.
	Read(ctx context.Context, r Range) (Snapshot, error)
}

// ReadAll returns all rows of a range, read by several calls if need be. The
// version is that of the first call: a row with a later one was read after it.
func ReadAll(ctx context.Context, s Store, r Range) (Snapshot, error) {
	all, err := s.Read(ctx, r)
	if err != nil {
		return Snapshot{}, err
	}
	for all.More && len(all.Rows) > 0 {
		r.From = all.Rows[len(all.Rows)-1].Key.Name + "\x00"
		next, err := s.Read(ctx, r)
		if err != nil {
			return Snapshot{}, err
		}
		all.Rows = append(all.Rows, next.Rows...)
		all.More = next.More
	}
	return all, nil
}
