// Package lacewingtally is the library of coordination parts on which the
// lacewingtally daemons are built. Other services of many equal processes can
// embed them.
//
// The parts need a transactional table (Table) that the platform runs, and no
// consensus group of their own. They come in two layers:
//
//   - Decisions (View, Lease, Cell) are plain values. Their methods take the
//     time and an event and return what to do. They do no I/O, start no
//     goroutine and read no clock, so a test can drive them through any order
//     of faults.
//   - Runtimes (Membership, Keeper, Claims, Ledger) do the I/O for them. Each
//     has a method Serve that runs until its context ends and fits a
//     supervisor tree.
//
// A typical daemon starts a Loop, the peers' Client and Server, a Membership on
// them, and then a Keeper for each duty that one daemon at a time does.
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
	// ErrConflict says that a condition of a transaction did not hold.
	ErrConflict = table.ErrConflict
	// ErrGaveUp says that a request is final and is not run again.
	ErrGaveUp = refusal.ErrGaveUp
	// ErrMayHaveRun says that a request may have run.
	ErrMayHaveRun = refusal.ErrMayHaveRun
	// ErrNotHeld says that this daemon does not hold a lease.
	ErrNotHeld = lease.ErrNotHeld
	// ErrNotRun says that no backend server has begun a request.
	ErrNotRun = refusal.ErrNotRun
	// ErrUnavailable says that the table did not take a call.
	ErrUnavailable = table.ErrUnavailable
	// ErrUnknown says that a transaction may have taken effect.
	ErrUnknown = table.ErrUnknown
)

// The identifiers of a fleet.
type (
	// Epoch is the fencing number of a lease.
	Epoch = fleet.Epoch
	// Incarnation tells two runs of a daemon apart.
	Incarnation = fleet.Incarnation
	// Member is a daemon as its peers know it.
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
	// Cell admits requests to a few backend servers, in a fair order.
	Cell = cell.Cell
	// Decision is a Cell's answer to an Ask.
	Decision = cell.Decision
	// Lease decides whether one daemon holds one duty.
	Lease = lease.Lease
	// LeaseRow is the value of a lease's row.
	LeaseRow = lease.Row
	// Report is what a granted request cost.
	Report = gate.Report
	// Request is what admission needs to know of a request.
	Request = gate.Request
	// View decides how long a daemon may rely on the facts that it holds.
	View = view.View
	// ViewState is an immutable copy of a View.
	ViewState = view.State
)

// Runtimes.
type (
	// Answer is the kept answer of a claimed request.
	Answer = claim.Answer
	// Charge is the proof that this daemon holds a duty.
	Charge = lease.Charge
	// Claims keeps requests that may not be repeated from running twice.
	Claims = claim.Store
	// Client calls peers over TCP.
	Client = wire.Client
	// Duty is work for the holder of a lease.
	Duty = lease.Duty
	// HeldClaim is a claim that permits its request to be sent, once.
	HeldClaim = claim.Held
	// Keeper takes, renews and gives back a lease, and runs its Duty.
	Keeper = lease.Keeper
	// Ledger keeps groups of samples and puts each in one batch.
	Ledger = batch.Ledger
	// Loop is the goroutine that owns the control state.
	Loop = loop.Loop
	// Membership keeps a daemon's View: it registers the daemon, reads the
	// table and exchanges pings with peers.
	Membership = member.Runtime
	// Mux maps the kinds of peer calls to handlers.
	Mux = wire.Mux
	// Objects is an object store.
	Objects = object.Store
	// PeerCaller calls peers.
	PeerCaller = wire.Caller
)

// NewClaims returns claims over a table, which should settle lost answers.
func NewClaims(t Table) *Claims {
	return claim.NewStore(t)
}

// NewKeeper returns a keeper of a duty for the region of the daemon self, which
// acts only while m is confirmed and has heard of no higher epoch.
func NewKeeper(t Table, m *Membership, self Member, d Duty) *Keeper {
	return lease.NewKeeper(t, m, m, self, d)
}

// NewLedger returns a ledger that writes as one incarnation of a daemon.
func NewLedger(t Table, o Objects, i Incarnation) *Ledger {
	return batch.NewLedger(t, o, i)
}

// NewLoop returns a loop that runs nothing until it is served.
func NewLoop() *Loop {
	return loop.New()
}

// NewMembership returns the membership of the daemon self, whose control state
// l owns. Seeds are peers to ask when the table does not answer at boot.
func NewMembership(l *Loop, t Table, c PeerCaller, self Member, seeds ...netip.AddrPort) *Membership {
	return member.New(l, t, c, self, member.WithSeeds(seeds))
}

// Settle returns a table that finds out what became of a transaction whose
// answer was lost, by reading the written rows back.
func Settle(t Table) Table {
	return table.Resolver{Table: t}
}
