package cell

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
)

// retryJitter is the largest fraction by which a retry delay is extended, so
// that requests refused together are not retried together.
const retryJitter = 0.25

// Ask is a request for a grant.
type Ask struct {
	ID AskID
	// Entry is the daemon that received the request from the caller.
	Entry   fleet.MemberID
	Request gate.Request
	// Since is when the request arrived at the entry daemon. It determines the
	// request's position in the queue, also after a change of dispatcher.
	Since time.Time
	// Weight is the workspace's weight; 0 counts as 1.
	Weight float64
	// MaxWaiting limits the waiting requests of the workspace; 0 is no limit.
	MaxWaiting int
}

// AskID identifies one ask. It is unique across daemons.
type AskID string

// Decision is the answer to an ask: a grant if Reason is empty, otherwise a
// refusal of a request that has not run and may be retried at RetryAt.
type Decision struct {
	Ask     AskID
	Entry   fleet.MemberID
	Grant   gate.Grant
	Reason  refusal.Reason
	RetryAt time.Time
}

// Load is the load that a server reports.
type Load struct {
	Server fleet.ServerID
	// Running and Waiting count the server's requests.
	Running int
	Waiting int
	// At is when the server measured the load.
	At time.Time
}

// Registration lists all grants of a cell that one daemon holds.
type Registration struct {
	Entry fleet.MemberID
	// Sequence increases with each registration of a daemon; one that arrives
	// out of order is ignored.
	Sequence uint64
	Running  []Running
}

// Running is a grant in use.
type Running struct {
	Grant   string
	Ask     AskID
	Server  fleet.ServerID
	Request gate.Request
}

// jitter extends the wait from now until at by a fraction that depends on the
// ask's ID and is less than retryJitter.
func jitter(now, at time.Time, id AskID) time.Time {
	wait := at.Sub(now)
	if wait <= 0 {
		return at
	}
	fraction := float64(xxhash.Sum64String(string(id))%1024) / 1024
	return at.Add(time.Duration(float64(wait) * retryJitter * fraction))
}
