package cell

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
)

// retrySpread is the part by which the time to come back differs between
// requests, so that those refused together do not come back together.
const retrySpread = 0.25

// Ask is a request for a grant.
type Ask struct {
	ID AskID
	// Entry is the daemon that carries the request.
	Entry   fleet.MemberID
	Request gate.Request
	// Since is when the request arrived at the entry daemon; it keeps its
	// place in the queue when the dispatcher changes.
	Since time.Time
	// Weight is the workspace's weight; 0 counts as 1.
	Weight float64
	// MaxWaiting bounds the waiting requests of the workspace; 0 is no bound.
	MaxWaiting int
}

// AskID identifies one ask, unique over daemons.
type AskID string

// Decision is the answer to an ask: a grant when Reason is empty, else a
// refusal of a request that has not run.
type Decision struct {
	Ask     AskID
	Entry   fleet.MemberID
	Grant   gate.Grant
	Reason  refusal.Reason
	RetryAt time.Time
}

// Load is what a server reports of itself.
type Load struct {
	Server fleet.ServerID
	// Running and Waiting count the requests in the server.
	Running int
	Waiting int
	// At is when the server took the reading.
	At time.Time
}

// Registration is all that one daemon holds of a cell's grants.
type Registration struct {
	Entry fleet.MemberID
	// Sequence grows with each registration of a daemon; an older one that
	// comes late is ignored.
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

// spread moves at later by a part of the wait that depends on the ask.
func spread(now, at time.Time, id AskID) time.Time {
	wait := at.Sub(now)
	if wait <= 0 {
		return at
	}
	part := float64(xxhash.Sum64String(string(id))%1024) / 1024
	return at.Add(time.Duration(float64(wait) * retrySpread * part))
}
