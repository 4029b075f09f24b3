// Package store defines the interface to the platform's transactional row store,
// with an in-memory implementation for tests.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store.
var (
	// ErrCompacted reports that the store no longer has the history that a feed
	// requested: the rows must be read again.
	ErrCompacted = errors.New("store: history no longer available")
	// ErrConflict reports that a condition was not met: nothing was written.
	ErrConflict = errors.New("store: condition not met")
	// ErrUnavailable reports that the store did not accept the call: nothing was
	// written.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown reports that no response was received: a write may have taken
	// effect, or may still take effect.
	ErrUnknown = errors.New("store: outcome unknown")
)

// Key identifies a row.
type Key struct {
	Table string
	// Part groups rows that one transaction may write together.
	Part string
	Name string
}

// Row is a row of a table, or a condition on one.
type Row struct {
	Key   Key
	Value []byte
	// Version is the store's version at which the row was last written. A
	// condition with Version 0 requires that the row does not exist.
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
	// From is the first name (inclusive) and To the end (exclusive); an empty
	// string sets no bound.
	From string
	To   string
	// Limit is the maximum number of rows; 0 means the store's own limit.
	Limit int
}

// Snapshot holds rows as of one time.
type Snapshot struct {
	Rows []Row
	// Version is the store's newest version at that time.
	Version int64
	// Now is the store's clock. Its origin is arbitrary: only differences between
	// two readings are meaningful.
	Now time.Time
	// More is whether the store has more rows in the range.
	More bool
}

// Store is the platform's store. Its methods may be called from any goroutine.
type Store interface {
	// Commit writes all of t or nothing, and returns the store's clock and
	// version. With ErrConflict, the snapshot holds the current rows of the
	// conditions.
	Commit(ctx context.Context, t Txn) (Snapshot, error)
	// Feed returns the rows of a table that changed after a version, in order,
	// and waits up to wait for the first one.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error)
	// Parts returns the parts of a table after a part, in order, as many as one call
	// returns; the empty part comes before all others. more is whether there are more.
	Parts(ctx context.Context, table, after string) (parts []string, more bool, err error)
	// Read returns the rows of a range, in order of their names.
	Read(ctx context.Context, r Range) (Snapshot, error)
}

// AllParts returns all parts of a table, read with several calls if necessary.
func AllParts(ctx context.Context, s Store, table string) ([]string, error) {
	var all []string
	for after, more := "", true; more; {
		parts, m, err := s.Parts(ctx, table, after)
		if err != nil {
			return nil, err
		}
		if more = m && len(parts) > 0; more {
			after = parts[len(parts)-1]
		}
		all = append(all, parts...)
	}
	return all, nil
}

// ReadAll returns all rows of a range, read with several calls if necessary. The
// version is that of the first call; rows of later calls may have later versions.
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
