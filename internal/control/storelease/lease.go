// Package storelease decides which daemon holds the lease of a duty, from one row
// of the platform's store and the store's clock alone.
//
// The row contains the time on the store's clock until which the lease is held.
// The holder counts from before it read the store's time, on a local clock that also runs
// while its VM is suspended; a challenger compares the row with the store's time
// in a response. So the clocks of two VMs are never compared, and a holder has
// stopped before a challenger may take over.
package storelease

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrNotHeld reports that this daemon does not hold the lease.
var ErrNotHeld = errors.New("storelease: not held")

const (
	// RenewInterval is the time between two renewals.
	RenewInterval = 700 * time.Millisecond
	// margin is how long before the end of the lease the holder stops, so that
	// a call in flight ends before another daemon may take over.
	margin = 700 * time.Millisecond
	// takeoverDelay is how much longer a challenger that is not ranked first
	// waits after the lease has ended.
	takeoverDelay = time.Second
	// maxFormer is the maximum number of past holders in a row.
	maxFormer = 4
)

// Kinds of Action.
const (
	// Wait does nothing.
	Wait ActionKind = iota
	// Acquire takes the lease.
	Acquire
	// Renew extends the lease.
	Renew
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// Row is the value of a lease's row.
type Row struct {
	// Holder is the daemon that acquired the lease last, and Machine its VM.
	Holder  string
	Machine string
	// Fence is the fencing token, which increases with each acquisition.
	Fence int64
	// Until is when the lease ends, in Unix milliseconds of the store's clock.
	Until int64
	// Former lists past holders, the most recent last.
	Former []PastHolder
}

// PastHolder is a VM that held the lease before.
type PastHolder struct {
	Machine string
	// Ended is when its lease ended, in Unix milliseconds of the store's clock.
	Ended int64
}

// Action is a row to write, on the condition that the stored row has not
// changed.
type Action struct {
	Kind ActionKind
	Row  Row
}

// Lease decides whether one daemon holds the lease. Self, VM and Term must be set
// before use. Uptimes are readings of a clock that also runs while the VM is
// suspended.
type Lease struct {
	// Self identifies the daemon, and VM the VM on which it runs.
	Self string
	VM   string
	// Term is how long a lease lasts after a renewal, and how long a past
	// holder's VM waits before it acquires the lease again after another VM has
	// held it. It is at least the period in which two VMs must not alternate as
	// holders.
	Term time.Duration

	fence int64
	// until is the uptime at which the daemon stops acting; zero when the lease
	// is not held.
	until time.Duration
}

// Check returns the fencing token if the lease is held at uptime.
func (l *Lease) Check(uptime time.Duration) (int64, error) {
	if l.until == 0 || uptime >= l.until {
		return 0, ErrNotHeld
	}
	return l.fence, nil
}

// Next returns the action that is due, given the row and the store's time now.
// first is whether this daemon is ranked first among the live daemons.
func (l *Lease) Next(row Row, now time.Time, uptime time.Duration, first bool) Action {
	ms := now.UnixMilli()
	if _, err := l.Check(uptime); err == nil && row.Holder == l.Self && row.Fence == l.fence {
		row.Until = ms + l.Term.Milliseconds()
		return Action{Kind: Renew, Row: row}
	}
	earliest := row.Until
	if !first {
		earliest += takeoverDelay.Milliseconds()
	}
	if ms < earliest || l.heldRecently(row, ms) {
		return Action{}
	}
	next := Row{Holder: l.Self, Machine: l.VM, Fence: row.Fence + 1, Until: ms + l.Term.Milliseconds(), Former: row.Former}
	if row.Holder != "" {
		next.Former = append(slices.Clone(row.Former), PastHolder{Machine: row.Machine, Ended: row.Until})
		next.Former = next.Former[max(0, len(next.Former)-maxFormer):]
	}
	return Action{Kind: Acquire, Row: next}
}

// Wrote records that an action's write succeeded. since is an uptime before the store's time
// from which Next derived the end of the lease.
func (l *Lease) Wrote(a Action, since time.Duration) {
	if a.Row.Holder != l.Self {
		return
	}
	l.fence = a.Row.Fence
	l.until = since + l.Term - margin
}

// Lost ends the lease locally, because another daemon holds it.
func (l *Lease) Lost() {
	l.until = 0
}

// Release ends the lease and returns the row that releases it.
func (l *Lease) Release(row Row, now time.Time) Row {
	l.until = 0
	row.Until = now.UnixMilli()
	return row
}

// heldRecently reports whether this VM held the lease before the last holder,
// less than a Term ago, so that acting again would look like two holders at once.
func (l *Lease) heldRecently(row Row, ms int64) bool {
	if row.Machine == l.VM {
		return false
	}
	return slices.ContainsFunc(row.Former, func(p PastHolder) bool {
		return p.Machine == l.VM && ms-p.Ended < l.Term.Milliseconds()
	})
}
