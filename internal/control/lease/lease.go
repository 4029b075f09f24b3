package lease

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// ErrNotHeld reports that this daemon does not hold the lease.
var ErrNotHeld = errors.New("lease: not held")

const (
	// ReadInterval is the time between two reads of a row that another daemon
	// holds.
	ReadInterval = 2 * time.Second
	// Margin is the time from the holder's deadline to the earliest takeover by
	// a challenger. It covers the difference in rate between two clocks over a
	// Term.
	Margin = time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 2 * time.Second
	// Term is how long a challenger must see a row unchanged before it takes
	// the lease over.
	Term = 8 * time.Second
)

// Kinds of Action.
const (
	// Wait does nothing until Action.At.
	Wait ActionKind = iota
	// Acquire writes the row with this daemon as the holder and a new epoch.
	Acquire
	// Read reads the row; the result is passed to Seen.
	Read
	// Renew writes the row again with the same epoch and an increased Renewals.
	Renew
)

// Action is what a Lease requires its daemon to do next. The outcome of a write
// is passed to Wrote or Failed.
type Action struct {
	Kind ActionKind
	// At is when to call Next again, for Wait.
	At time.Time
	// Number identifies the action. Success of an action that is not the
	// newest does not extend the lease.
	Number uint64
	// Row is the value to write, on the condition that the stored row has
	// Version.
	Row     Row
	Version uint64
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Lease decides whether one daemon holds one duty. The zero value does not hold
// it; Self must be set before use.
//
// A holder stops at its deadline, which is counted from before it sent its last
// successful write. A challenger takes over once it has seen the row unchanged
// for a Term, counted from when its first read of the row returned. Each daemon
// counts on its own clock: the challenger cannot have read the row before it was
// written, and the row cannot have been written before the write was sent, so
// the holder has stopped a Margin earlier.
type Lease struct {
	Self fleet.MemberID
	// deadline is when a held lease ends; zero when it is not held.
	deadline time.Time
	// epoch is this daemon's epoch while the lease is held.
	epoch fleet.Epoch
	// readAt is when to read a row again that another daemon holds.
	readAt time.Time
	// number is the Number of the newest action.
	number uint64
	// renewAt is when to renew a held lease.
	renewAt time.Time
	row     Row
	// seenAt is when the row was first read at version; zero before the first
	// read.
	seenAt time.Time
	// rereadNeeded is whether this daemon's own writes may have changed the row
	// since it was last read, so that version may be outdated.
	rereadNeeded bool
	version      uint64
}

// Row is the value of a lease's row.
type Row struct {
	Epoch fleet.Epoch
	// Holder is zero when the lease has been released.
	Holder fleet.MemberID
	// Renewals counts the holder's writes in this epoch after the acquisition.
	Renewals uint64
}

// String returns the name of the action.
func (k ActionKind) String() string {
	switch k {
	case Acquire:
		return "Acquire"
	case Read:
		return "Read"
	case Renew:
		return "Renew"
	default:
		return "Wait"
	}
}

// Check returns the epoch and the deadline while the lease is held. Its error
// is ErrNotHeld.
func (l *Lease) Check(now time.Time) (fleet.Epoch, time.Time, error) {
	if clock.Passed(now, l.deadline) {
		return 0, time.Time{}, ErrNotHeld
	}
	return l.epoch, l.deadline, nil
}

// Failed records that a write failed or that its outcome is unknown. The
// deadline does not change; the next read of the row shows the outcome.
func (l *Lease) Failed() {
	l.rereadNeeded = true
}

// Heard records an epoch from any source. An epoch higher than the lease's own
// ends the lease.
func (l *Lease) Heard(e fleet.Epoch) {
	if e > l.epoch {
		l.deadline = time.Time{}
	}
}

// Lapse ends the lease locally without a write, for example because the daemon's
// view is not confirmed.
func (l *Lease) Lapse() {
	l.deadline = time.Time{}
}

// Next returns the action that is due at now.
func (l *Lease) Next(now time.Time) Action {
	a := l.next(now)
	if a.Kind != Wait {
		l.number++
		a.Number = l.number
	}
	return a
}

// Release ends the lease and returns the write that releases it. It is false
// when the lease is not held or the row must be read first.
func (l *Lease) Release(now time.Time) (Action, bool) {
	if clock.Passed(now, l.deadline) || l.rereadNeeded {
		return Action{}, false
	}
	l.deadline = time.Time{}
	l.number++
	r := Row{Epoch: l.epoch, Renewals: l.row.Renewals + 1}
	return Action{Kind: Renew, Number: l.number, Row: r, Version: l.version}, true
}

// Seen records a read of the row that returned at now. A higher epoch in the row
// ends the lease.
func (l *Lease) Seen(now time.Time, r Row, version uint64) {
	l.rereadNeeded = false
	l.readAt = now.Add(ReadInterval)
	if version == l.version && !l.seenAt.IsZero() {
		return
	}
	l.Heard(r.Epoch)
	l.row, l.version, l.seenAt = r, version, now
}

// Wrote records that an action's write, sent at sentAt, succeeded. It extends the
// lease unless the write released it or a later action has been returned since,
// which may release it.
func (l *Lease) Wrote(sentAt time.Time, a Action) {
	l.rereadNeeded = true
	if a.Row.Holder != l.Self || a.Number != l.number {
		return
	}
	l.epoch = a.Row.Epoch
	l.deadline = sentAt.Add(Term - Margin)
	l.renewAt = sentAt.Add(RenewInterval)
}

// available reports whether the lease may be acquired: it has no holder, its row
// has not changed for a Term, or its holder is this daemon, whose own deadline
// has passed.
func (l *Lease) available(now time.Time) bool {
	if l.row.Holder == (fleet.MemberID{}) || l.row.Holder == l.Self {
		return true
	}
	return clock.Passed(now, l.seenAt.Add(Term))
}

func (l *Lease) next(now time.Time) Action {
	held := !clock.Passed(now, l.deadline)
	if held && !clock.Passed(now, l.renewAt) {
		return Action{Kind: Wait, At: l.renewAt}
	}
	if l.rereadNeeded || l.seenAt.IsZero() {
		return Action{Kind: Read}
	}
	if held {
		r := l.row
		r.Renewals++
		return Action{Kind: Renew, Row: r, Version: l.version}
	}
	if l.available(now) {
		return Action{Kind: Acquire, Row: Row{Epoch: l.row.Epoch + 1, Holder: l.Self}, Version: l.version}
	}
	if clock.Passed(now, l.readAt) {
		return Action{Kind: Read}
	}
	return Action{Kind: Wait, At: l.readAt}
}
