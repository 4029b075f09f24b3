package server

import "github.com/lacewingtally/lacewingtally/internal/base/fleet"

// Kinds of an Event.
const (
	// Closed means that a server must not be given new work any more.
	Closed EventKind = "Closed"
	// Opened means that a server may be given new work.
	Opened EventKind = "Opened"
)

// Event reports that a server became usable or unusable for new work.
type Event struct {
	Kind   EventKind
	Server fleet.ServerID
}

// EventKind is the kind of an Event.
type EventKind string
