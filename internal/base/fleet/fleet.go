// Package fleet defines the identifiers and small records that all parts of the
// system share: VMs, members, backend servers, pools and workspaces.
package fleet

import (
	"net/netip"
)

// Kinds of backend server capacity.
const (
	Standard Kind = "Standard"
	Spot     Kind = "Spot"
)

// Priority classes, from the most to the least urgent.
const (
	Critical Class = iota
	Live
	Training
)

// States of a VM in the platform's VM list.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
	StateGone    State = "Gone"
)

// Class is the priority class of a request. A smaller value is more urgent.
type Class uint8

// ConfigRevision numbers accepted configurations, from 1. Zero is none.
type ConfigRevision uint64

// Duty names a task that one daemon per region performs at a time, under a lease.
type Duty string

// Epoch is the fencing token of a lease. It increases with every acquisition.
type Epoch uint64

// FailureDomain names a failure domain, unique across regions.
type FailureDomain string

// Incarnation distinguishes runs of a daemon at the same address.
type Incarnation string

// Kind is the kind of capacity of a backend server.
type Kind string

// MemberID identifies one run of a daemon: its peer address and incarnation.
type MemberID struct {
	Address     netip.AddrPort
	Incarnation Incarnation
}

// Member is the identity and location of a daemon.
type Member struct {
	ID            MemberID
	Region        Region
	FailureDomain FailureDomain
}

// Pool names a set of interchangeable backend servers.
type Pool string

// Region names a region.
type Region string

// RequestID identifies a request of a caller. Retries have the same ID.
type RequestID string

// Server is a backend server in the VM list.
type Server struct {
	ID            ServerID
	Address       netip.AddrPort
	Region        Region
	FailureDomain FailureDomain
	Pool          Pool
	Kind          Kind
	State         State
	// Fenced is whether the server refuses orders with an old epoch.
	Fenced bool
	// Capacity is the number of requests that the server runs at once, at least 1.
	Capacity int
}

// ServerID identifies one boot of a backend server. It is never reused.
type ServerID string

// State is the state of a VM.
type State string

// WeightVersion numbers the weights of one model, from 1. Zero is unknown.
type WeightVersion uint64

// Workspace names a workspace.
type Workspace string

// String returns the class's name.
func (c Class) String() string {
	switch c {
	case Critical:
		return "Critical"
	case Live:
		return "Live"
	default:
		return "Training"
	}
}

// String returns the address and the incarnation, separated by a slash.
func (m MemberID) String() string {
	return m.Address.String() + "/" + string(m.Incarnation)
}
