package quarantine

import "time"

// DoubtTime is how long a Doubt may wait for what becomes of the server: until the rows of
// servers that have ended are removed, with some time for a slow store. A server that disappears
// later did not end because of the request.
const DoubtTime = 15 * time.Second

// Fates of a server that failed.
const (
	// FateUnknown means that the server has not shown yet whether it ended.
	FateUnknown Fate = iota
	// FateEnded means that the server ended when it failed.
	FateEnded
	// FateExcused means that the failure was no crash: the server goes on running, or shuts down
	// as planned.
	FateExcused
)

// Fate is what became of a server that failed.
type Fate uint8

// Doubt is a failure of a server that a daemon observed while it reached no server. Either
// the path to the servers was lost, and the server runs on, or all servers ended, which one request
// can cause where there are few of them.
type Doubt struct {
	// Age is the time since the failure.
	Age time.Duration
	// Listed is whether that run of the server is still in the list of servers.
	Listed bool
	// Replaced is whether another run is listed under the server's ID or address.
	Replaced bool
	// Leaving is whether the server announced its shutdown, or operators evacuate its domain.
	Leaving bool
}

// Fate returns what became of the server.
func (d Doubt) Fate() Fate {
	switch {
	case d.Leaving, d.Age >= DoubtTime:
		return FateExcused
	case d.Listed && !d.Replaced:
		return FateUnknown
	}
	return FateEnded
}
