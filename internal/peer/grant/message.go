// Package grant speaks between the daemons that carry requests and the
// dispatchers that admit them.
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
	// outcomeMoved says that the daemon does not dispatch for the cell.
	outcomeMoved
	outcomeRefused
	// outcomeWaiting says that the request waits; it is asked for again, and
	// its age keeps its place.
	outcomeWaiting
)

// askMessage asks for a grant. Instants travel as ages, since clocks differ.
type askMessage struct {
	ID    cell.AskID
	Entry fleet.MemberID
	Cell  cell.ID
	// Request has no Deadline; Remaining stands for it.
	Request   gate.Request
	Age       time.Duration
	Remaining time.Duration
	// Insist asks a daemon that does not hold itself for the dispatcher to
	// dispatch all the same, for the daemons' views may differ.
	Insist  bool
	Leaving []fleet.ServerID
}

// askAnswer answers an askMessage.
type askAnswer struct {
	Outcome outcome
	Grant   string
	Server  fleet.Server
	// Left is how much of the grant's window is left, counted from when the
	// ask arrived at the dispatcher.
	Left    time.Duration
	Reason  refusal.Reason
	RetryIn time.Duration
	Summary cell.Summary
	Leaving []fleet.ServerID
	// notAfter is when the grant ends, on the dispatcher's clock.
	notAfter time.Time
}

// demandMessage names the demand for limits.
type demandMessage struct {
	Entry   fleet.MemberID
	Demands []demand
	Leaving []fleet.ServerID
}

// demandAnswer gives a share for each demand, in order.
type demandAnswer struct {
	Shares  []float64
	Leaving []fleet.ServerID
}

type demand struct {
	Key  limit.Key
	Rate float64
}

type outcome uint8

// registerMessage names all that a daemon runs in a cell.
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

// settledAnswer answers a registration or a release.
type settledAnswer struct {
	// Moved says that the daemon does not dispatch for the cell.
	Moved   bool
	Summary cell.Summary
	Leaving []fleet.ServerID
}

func decode[T any](body []byte) (T, error) {
	var m T
	err := msgpack.Unmarshal(body, &m)
	return m, err
}
