package relay

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// Kinds of call.
const (
	opCommit op = iota + 1
	opFeed
	opParts
	opRead
)

type op uint8

// call is a call of the store that a peer is to make.
type call struct {
	Op    op
	Txn   store.Txn
	Range store.Range
	Table string
	After int64
	Wait  time.Duration
}

// answer is the store's answer.
type answer struct {
	Snapshot store.Snapshot
	Parts    []string
	// Fault is the store's error; 0 for none.
	Fault fault
}

// Errors of a store as peers pass them on. The numbers are part of the protocol.
const (
	faultCompacted fault = iota + 1
	faultConflict
	faultUnavailable
	faultUnknown
)

// fault is an error of a store; 0 is none.
type fault uint8

// faults holds the errors; any other is taken for unknown.
var faults = map[fault]error{
	faultCompacted:   store.ErrCompacted,
	faultConflict:    store.ErrConflict,
	faultUnavailable: store.ErrUnavailable,
	faultUnknown:     store.ErrUnknown,
}

// err returns the error of an answer.
func (a answer) err() error {
	if a.Fault == 0 {
		return nil
	}
	if err, ok := faults[a.Fault]; ok {
		return err
	}
	return store.ErrUnknown
}

func faultOf(err error) fault {
	if err == nil {
		return 0
	}
	for f, known := range faults {
		if errors.Is(err, known) {
			return f
		}
	}
	return faultUnknown
}
