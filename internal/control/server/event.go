package server

import "github.com/lacewingtally/lacewingtally/internal/base/fleet"

// Kinds of Event.
const (
	// Closed says that a server must get no new work.
	Closed EventKind = "Closed"
	// Opened says that a server may get work.
	Opened EventKind = "Opened"
)

// Event is a change of what a server may be given.
type Event struct {
	Kind   EventKind
	Server fleet.ServerID
}

// EventKind tells events apart.
type EventKind string
