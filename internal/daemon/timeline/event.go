// Package timeline records the events of one daemon and merges the events of
// many daemons into one causal order.
package timeline

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// All event kinds.
const (
	BatchFormed        Kind = "BatchFormed"
	BatchServed        Kind = "BatchServed"
	ConfigAccepted     Kind = "ConfigAccepted"
	ConfigInForce      Kind = "ConfigInForce"
	DrainBegun         Kind = "DrainBegun"
	DrainEnded         Kind = "DrainEnded"
	KeyRefused         Kind = "KeyRefused"
	LeaseAcquired      Kind = "LeaseAcquired"
	LeaseLost          Kind = "LeaseLost"
	MemberJoined       Kind = "MemberJoined"
	MemberLost         Kind = "MemberLost"
	OrderSent          Kind = "OrderSent"
	OrderSettled       Kind = "OrderSettled"
	RequestEnded       Kind = "RequestEnded"
	RequestGranted     Kind = "RequestGranted"
	RequestQuarantined Kind = "RequestQuarantined"
	RequestRefused     Kind = "RequestRefused"
	RequestStarted     Kind = "RequestStarted"
	SampleDiscarded    Kind = "SampleDiscarded"
	ServerCrashed      Kind = "ServerCrashed"
	ServerLeaving      Kind = "ServerLeaving"
	ServerSeen         Kind = "ServerSeen"
	Started            Kind = "Started"
	StoreLost          Kind = "StoreLost"
	StoreReached       Kind = "StoreReached"
	StreamResumed      Kind = "StreamResumed"
	ViewConfirmed      Kind = "ViewConfirmed"
	ViewUnconfirmed    Kind = "ViewUnconfirmed"
	WeightsOrdered     Kind = "WeightsOrdered"
	WeightsServed      Kind = "WeightsServed"
	WindowReported     Kind = "WindowReported"
	WindowSealed       Kind = "WindowSealed"
)

// Event is one entry of the time line. It never contains a key or a body.
type Event struct {
	// At is the wall time of the recording process.
	At time.Time
	// Logical orders events across processes. It is the larger of the wall time
	// in nanoseconds and one more than the largest value that the process has
	// assigned or received from a peer.
	Logical     uint64
	Process     string
	Incarnation fleet.Incarnation
	Kind        Kind
	Request     fleet.RequestID      `json:",omitempty"`
	Workspace   fleet.Workspace      `json:",omitempty"`
	Server      fleet.ServerID       `json:",omitempty"`
	Duty        fleet.Duty           `json:",omitempty"`
	Epoch       fleet.Epoch          `json:",omitempty"`
	Revision    fleet.ConfigRevision `json:",omitempty"`
	Version     fleet.WeightVersion  `json:",omitempty"`
	// Detail is a short human-readable text.
	Detail string `json:",omitempty"`
}

// Kind is the kind of an event.
type Kind string

// Recorder records events. Record may be called from any goroutine and does not
// block; it sets At, Logical, Process and Incarnation.
type Recorder interface {
	Record(e Event)
}
