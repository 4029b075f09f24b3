// Package gate is the interface between the traffic path and admission: who
// may start a request, on which backend server, and when.
package gate

import (
	"context"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Outcomes of a granted request.
const (
	// Completed says that the whole answer was received.
	Completed Outcome = "Completed"
	// Crashed says that the server failed while it ran the request.
	Crashed Outcome = "Crashed"
	// Refused says that the server stated that it did not begin the request.
	Refused Outcome = "Refused"
	// Stopped says that the request was cancelled or its caller went away.
	Stopped Outcome = "Stopped"
	// Unreachable says that no byte of the request could be sent.
	Unreachable Outcome = "Unreachable"
)

// Gate admits requests. Its methods may be called from any goroutine.
type Gate interface {
	// Acquire waits for a grant until the context or r.Deadline ends, or
	// refuses at once. Its errors are *refusal.Error of kind ErrNotRun.
	Acquire(ctx context.Context, r Request) (Grant, error)
	// Release ends a grant. It is called exactly once a grant.
	Release(g Grant, r Report)
}

// Grant is the permission to send one attempt of a request to one server.
type Grant struct {
	ID     string
	Server fleet.Server
	// NotAfter is when the grant ends if the attempt has not been sent yet.
	NotAfter time.Time
	// Request is what was asked for.
	Request Request
}

// Outcome is how a granted attempt ended.
type Outcome string

// Report is what a finished attempt cost.
type Report struct {
	Outcome Outcome
	// Tokens is the number of tokens generated.
	Tokens int
}

// Request is what admission needs to know of a request. It holds no key and
// no body.
type Request struct {
	ID        fleet.RequestID
	Workspace fleet.Workspace
	Pool      fleet.Pool
	Class     fleet.Class
	// Prefix is the hash of the part of the prompt that other requests are
	// likely to share; 0 is none.
	Prefix uint64
	// Tokens is the expected number of tokens to generate.
	Tokens int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Exclude names servers that must not run the request.
	Exclude []fleet.ServerID
	// SpotAllowed is whether a spot server may run the request.
	SpotAllowed bool
}
