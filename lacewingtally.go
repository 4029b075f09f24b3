// Package lacewingtally provides the coordination components of the lacewingtally
// daemons. Other services that consist of many equal processes can embed them.
//
// The components need a transactional table (Table) that the platform runs, and no
// consensus group of their own. There are two layers:
//
//   - Decisions (View, Lease, Cell) are plain values. Their methods take the
//     time and an event and return what to do. They do no I/O, start no
//     goroutine and read no clock, so a test can drive them through any order
//     of faults.
//   - Runtimes (Membership, Keeper, Claims, Ledger) do the I/O for them. Each
//     has a method Serve that runs until its context ends and fits a
//     supervisor tree.
//
// A typical daemon starts a Loop, the peers' Client and Server, a Membership that
// uses them, and then a Keeper for each duty that one daemon at a time performs.
package lacewingtally

import (
	"net/netip"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/loop"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/control/claim"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/peer/member"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
	"github.com/lacewingtally/lacewingtally/internal/platform/object"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// Errors that callers of the library test for with errors.Is.
var (
	// ErrConflict is returned when a condition of a transaction does not hold.
	ErrConflict = table.ErrConflict
	// ErrGaveUp reports that a refusal is final: the request will not be run
	// again.
	ErrGaveUp = refusal.ErrGaveUp
	// ErrMayHaveRun reports that a refused request may have run.
	ErrMayHaveRun = refusal.ErrMayHaveRun
	// ErrNotHeld is returned when this daemon does not hold the lease.
	ErrNotHeld = lease.ErrNotHeld
	// ErrNotRun reports that no backend server has begun a refused request.
	ErrNotRun = refusal.ErrNotRun
	// ErrUnavailable is returned when the table did not execute a call.
	ErrUnavailable = table.ErrUnavailable
	// ErrUnknown is returned when a transaction may have taken effect.
	ErrUnknown = table.ErrUnknown
)

// Identifiers and members of a fleet.
type (
	// Epoch is the fencing token of a lease.
	Epoch = fleet.Epoch
	// Incarnation distinguishes runs of a daemon at the same address.
	Incarnation = fleet.Incarnation
	// Member is the identity and location of a daemon.
	Member = fleet.Member
	// MemberID identifies one run of a daemon.
	MemberID = fleet.MemberID
	// Region names a region.
	Region = fleet.Region
	// Server is a backend server.
	Server = fleet.Server
	// Workspace names a workspace.
	Workspace = fleet.Workspace
)

// The platform's table.
type (
	// Key names a row.
	Key = table.Key
	// MemoryTable is a Table within one process, for tests.
	MemoryTable = table.Memory
	// Row is one row.
	Row = table.Row
	// Table is a transactional table service.
	Table = table.Table
	// Txn is an atomic transaction.
	Txn = table.Txn
	// Write is one write of a Txn.
	Write = table.Write
)

// Decisions.
type (
	// Ask is a request for a grant from a Cell.
	Ask = cell.Ask
	// AskID identifies an Ask.
	AskID = cell.AskID
	// Cell admits requests to a few backend servers in a fair order.
	Cell = cell.Cell
	// Decision is a Cell's answer to an Ask.
	Decision = cell.Decision
	// Lease decides whether one daemon holds one duty.
	Lease = lease.Lease
	// LeaseRow is the value of a lease's row.
	LeaseRow = lease.Row
	// Report is the outcome and the cost of a granted request.
	Report = gate.Report
	// Request is the information about a request that admission requires.
	Request = gate.Request
	// View decides how long a daemon may rely on its configuration and member
	// set.
	View = view.View
	// ViewState is an immutable copy of a View.
	ViewState = view.State
)

// Runtimes.
type (
	// Answer is the stored answer of a claimed request.
	Answer = claim.Answer
	// Charge is the proof that this daemon holds a duty.
	Charge = lease.Charge
	// Claims prevents requests that must not be repeated from running twice.
	Claims = claim.Store
	// Client calls peers over TCP.
	Client = wire.Client
	// Duty is a task that the holder of its lease performs.
	Duty = lease.Duty
	// HeldClaim is a claim that permits its request to be sent, once.
	HeldClaim = claim.Held
	// Keeper acquires, renews and releases a lease, and runs its Duty.
	Keeper = lease.Keeper
	// Ledger stores groups of samples and assigns each group to one batch.
	Ledger = batch.Ledger
	// Loop is the goroutine that owns the control state.
	Loop = loop.Loop
	// Membership maintains a daemon's View: it registers the daemon, reads the
	// table and exchanges pings with peers.
	Membership = member.Runtime
	// Mux maps the kinds of peer calls to handlers.
	Mux = wire.Mux
	// Objects is an object store.
	Objects = object.Store
	// PeerCaller calls peers.
	PeerCaller = wire.Caller
)

// NewClaims returns a Claims that stores claims in t, which should settle lost
// answers (see Settle).
func NewClaims(t Table) *Claims {
	return claim.NewStore(t)
}

// NewKeeper returns a Keeper of duty d for the region of the daemon self. It acts
// only while m is confirmed and has not received a higher epoch.
func NewKeeper(t Table, m *Membership, self Member, d Duty) *Keeper {
	return lease.NewKeeper(t, m, m, self, d)
}

// NewLedger returns a Ledger for one incarnation of a daemon.
func NewLedger(t Table, o Objects, i Incarnation) *Ledger {
	return batch.NewLedger(t, o, i)
}

// NewLoop returns a Loop that runs nothing until Serve is called.
func NewLoop() *Loop {
	return loop.New()
}

// NewMembership returns the Membership of the daemon self, whose control state l
// owns. Seeds are the peers to contact if the table is unavailable at boot.
func NewMembership(l *Loop, t Table, c PeerCaller, self Member, seeds ...netip.AddrPort) *Membership {
	return member.New(l, t, c, self, member.WithSeeds(seeds))
}

// Settle wraps a table. If the answer to a transaction is lost, it reads the
// written rows back to determine whether the transaction took effect.
func Settle(t Table) Table {
	return table.Resolver{Table: t}
}
