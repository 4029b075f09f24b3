// Package table speaks to the platform's transactional table service.
package table

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of a Table.
var (
	// ErrConflict says that a condition did not hold: nothing was written.
	ErrConflict = errors.New("table: condition not met")
	// ErrInvalid says that the call itself is malformed: nothing was written.
	ErrInvalid = errors.New("table: invalid call")
	// ErrUnavailable says that the service did not take the call: nothing was
	// written.
	ErrUnavailable = errors.New("table: unavailable")
	// ErrUnknown says that no answer came: the write may have taken effect.
	ErrUnknown = errors.New("table: outcome unknown")
)

// Condition requires a row to be at Version. Version 0 requires its absence.
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
	// Version grows by at least one with each write of the row; 0 is an absent
	// row.
	Version uint64
	// WriteID is the ID of the transaction that wrote the row last.
	WriteID string
}

// Table is the platform's transactional table service.
type Table interface {
	// Commit writes all of t or nothing. Its errors are ErrConflict,
	// ErrInvalid, ErrUnavailable and ErrUnknown.
	Commit(ctx context.Context, t Txn) error
	// Read returns one row for each key, in order; absent rows have Version 0.
	// All rows are of one instant.
	Read(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns up to limit rows whose keys begin with prefix and sort
	// after the key after, in ascending order.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
}

// Txn is one atomic transaction.
type Txn struct {
	// ID is unique for the transaction and is kept in every row it writes, so
	// that an unknown outcome can be settled by reading a row back.
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
