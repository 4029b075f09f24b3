// Package grant implements the protocol between the daemons that forward
// requests and the dispatchers that admit them.
package grant

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/control/limit"
)

// Outcomes of an ask.
const (
	outcomeGranted outcome = iota + 1
	// outcomeMoved means that the daemon does not dispatch for the cell.
	outcomeMoved
	outcomeRefused
	// outcomeWaiting means that the request still waits. The client sends the
	// ask again; Age preserves the request's position in the queue.
	outcomeWaiting
)

// askMessage requests a grant. Times are sent as durations, since the daemons'
// clocks differ.
type askMessage struct {
	ID    cell.AskID
	Entry fleet.MemberID
	Cell  cell.ID
	// Request has no Deadline; Remaining replaces it.
	Request   gate.Request
	Age       time.Duration
	Remaining time.Duration
	// Insist requests the receiver to dispatch even if its view names another
	// daemon as the dispatcher, since the daemons' views may differ.
	Insist  bool
	Leaving []fleet.ServerID
}

// askAnswer answers an askMessage.
type askAnswer struct {
	Outcome outcome
	Grant   string
	Server  fleet.Server
	// Left is the time from the arrival of the ask at the dispatcher to the
	// expiry of the grant.
	Left    time.Duration
	Reason  refusal.Reason
	RetryIn time.Duration
	Summary cell.Summary
	Leaving []fleet.ServerID
	// notAfter is when the grant expires, on the dispatcher's clock.
	notAfter time.Time
}

// demandMessage requests shares of limits.
type demandMessage struct {
	Entry   fleet.MemberID
	Demands []demand
	Leaving []fleet.ServerID
}

// demandAnswer contains a share for each demand, in order.
type demandAnswer struct {
	Shares  []float64
	Leaving []fleet.ServerID
}

type demand struct {
	Key  limit.Key
	Rate float64
}

type outcome uint8

// registerMessage lists all grants that a daemon uses in a cell.
type registerMessage struct {
	Cell         cell.ID
	Registration cell.Registration
	Leaving      []fleet.ServerID
}

// releaseMessage ends a grant.
type releaseMessage struct {
	Cell   cell.ID
	Grant  string
	Report gate.Report
}

// cellAnswer answers a registration or a release.
type cellAnswer struct {
	// Moved is set if the daemon does not dispatch for the cell.
	Moved   bool
	Summary cell.Summary
	Leaving []fleet.ServerID
}

func decode[T any](body []byte) (T, error) {
	var m T
	err := msgpack.Unmarshal(body, &m)
	return m, err
}
