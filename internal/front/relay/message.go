package relay

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// Operations on a store.
const (
	opCommit op = iota + 1
	opFeed
	opParts
	opRead
)

type op uint8

// call is a request to a peer to call the store.
type call struct {
	Op    op
	Txn   store.Txn
	Range store.Range
	Table string
	After int64
	Wait  time.Duration
	// PartsAfter is the part after which parts are to be returned, if Paged is set.
	// Without it, as daemons of earlier builds call, all parts are returned.
	PartsAfter string
	Paged      bool
}

// response is the store's response to a call.
type response struct {
	Snapshot store.Snapshot
	Parts    []string
	// MoreParts is whether there are more parts after those in Parts.
	MoreParts bool
	// Fault is the store's error; 0 if there is none.
	Fault fault
}

// Codes of a store's errors in responses between peers. The numbers are part of
// the protocol.
const (
	faultCompacted fault = iota + 1
	faultConflict
	faultUnavailable
	faultUnknown
)

// fault is the code of a store's error; 0 is no error.
type fault uint8

// faults maps the codes to errors. Any other error or code is handled as
// store.ErrUnknown.
var faults = map[fault]error{
	faultCompacted:   store.ErrCompacted,
	faultConflict:    store.ErrConflict,
	faultUnavailable: store.ErrUnavailable,
	faultUnknown:     store.ErrUnknown,
}

// err returns the store's error in a response, or nil.
func (r response) err() error {
	if r.Fault == 0 {
		return nil
	}
	if err, ok := faults[r.Fault]; ok {
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
