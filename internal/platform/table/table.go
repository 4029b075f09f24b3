// Package table is a client for the platform's transactional table service.
package table

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of a Table.
var (
	// ErrConflict is returned when a condition did not hold: nothing was
	// written.
	ErrConflict = errors.New("table: condition not met")
	// ErrInvalid is returned when the call is malformed: nothing was written.
	ErrInvalid = errors.New("table: invalid call")
	// ErrUnavailable is returned when the service did not accept the call:
	// nothing was written.
	ErrUnavailable = errors.New("table: unavailable")
	// ErrUnknown is returned when no valid response was received: the write
	// may have taken effect.
	ErrUnknown = errors.New("table: outcome unknown")
)

// Condition requires a row to have a version. Version 0 requires that the row is
// absent.
type Condition struct {
	Key     Key
	Version uint64
}

// Key names a row. Parts are separated by slashes, for example
// "Lease/cz-stred/Orders".
type Key string

// Row is one row of the table.
type Row struct {
	Key   Key
	Value []byte
	// Version increases by at least one with each write of the row; it is 0
	// for an absent row.
	Version uint64
	// WriteID is the ID of the transaction that last wrote the row.
	WriteID string
}

// Table is the platform's transactional table service.
type Table interface {
	// Commit writes all of t, or nothing. Its errors are ErrConflict,
	// ErrInvalid, ErrUnavailable and ErrUnknown.
	Commit(ctx context.Context, t Txn) error
	// Read returns one row for each key, in order; absent rows have Version 0.
	// All rows are read at a single point in time.
	Read(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns up to limit rows whose keys begin with prefix and sort
	// after the key after, in ascending order.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
}

// Txn is one atomic transaction.
type Txn struct {
	// ID is unique to the transaction and is stored in every row it writes, so
	// that an unknown outcome can be resolved by reading a row back.
	ID         string
	Conditions []Condition
	Writes     []Write
}

// Write sets the value of a row, or deletes the row.
type Write struct {
	Key    Key
	Value  []byte
	Delete bool
}
