// Package fleet holds the identifiers and small records that every part of the
// system shares: VMs, members, backend servers, pools and workspaces.
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

// Duty names work that one daemon does for its region at a time.
type Duty string

// Epoch is the fencing number of a lease. It grows with every acquisition.
type Epoch uint64

// FailureDomain names a failure domain, unique across regions.
type FailureDomain string

// Incarnation tells two runs of a daemon on the same address apart.
type Incarnation string

// Kind is the kind of capacity of a backend server.
type Kind string

// MemberID identifies one run of a daemon: its peer address and incarnation.
type MemberID struct {
	Address     netip.AddrPort
	Incarnation Incarnation
}

// Member is a daemon as its peers know it.
type Member struct {
	ID            MemberID
	Region        Region
	FailureDomain FailureDomain
}

// Pool names a set of interchangeable backend servers.
type Pool string

// Region names a region.
type Region string

// RequestID identifies one request of a caller, in every retry of it.
type RequestID string

// Server is a backend server as the VM list shows it.
type Server struct {
	ID            ServerID
	Address       netip.AddrPort
	Region        Region
	FailureDomain FailureDomain
	Pool          Pool
	Kind          Kind
	State         State
	// Fenced is whether the server refuses an order with an old epoch.
	Fenced bool
	// Capacity is how many requests the server runs at once, at least 1.
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
