// Package gate defines the interface between the traffic path and admission,
// which decides when a request may start and on which backend server.
package gate

import (
	"context"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Outcomes of a granted request.
const (
	// Completed reports that the complete answer was received.
	Completed Outcome = "Completed"
	// Crashed reports that the server failed while it ran the request.
	Crashed Outcome = "Crashed"
	// Refused reports that the server explicitly did not begin the request.
	Refused Outcome = "Refused"
	// Stopped reports that the request was cancelled, its caller
	// disconnected, or the attempt ended in any other way.
	Stopped Outcome = "Stopped"
	// Unreachable reports that no byte of the request could be sent.
	Unreachable Outcome = "Unreachable"
)

// Gate admits requests. Its methods may be called from any goroutine.
type Gate interface {
	// Acquire returns a grant, waiting for one until the context ends or
	// r.Deadline passes, or refuses immediately. Its errors are
	// *refusal.Error of kind ErrNotRun.
	Acquire(ctx context.Context, r Request) (Grant, error)
	// Release ends a grant. It must be called exactly once for each grant.
	Release(g Grant, r Report)
}

// Grant is the permission to send one attempt of a request to one server.
type Grant struct {
	ID     string
	Server fleet.Server
	// NotAfter is when the grant expires if the attempt has not been sent.
	NotAfter time.Time
	// Request is the request that the grant was acquired for.
	Request Request
}

// Outcome is how a granted attempt ended.
type Outcome string

// Report contains the outcome and the cost of a finished attempt.
type Report struct {
	Outcome Outcome
	// Tokens is the number of tokens that the attempt generated.
	Tokens int
}

// Request contains the properties of a request that admission needs. It
// contains neither the API key nor the body.
type Request struct {
	ID        fleet.RequestID
	Workspace fleet.Workspace
	Pool      fleet.Pool
	Class     fleet.Class
	// Prefix is the hash of the start of the prompt, which other requests are
	// likely to share; 0 means none.
	Prefix uint64
	// Tokens is the expected number of tokens to generate.
	Tokens int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Exclude lists servers that must not run the request.
	Exclude []fleet.ServerID
	// SpotAllowed reports whether a spot server may run the request.
	SpotAllowed bool
}
