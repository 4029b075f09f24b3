package lease

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// ErrNotHeld says that this daemon does not hold the lease.
var ErrNotHeld = errors.New("lease: not held")

const (
	// LookEvery is the time between two sights of a row held by another.
	LookEvery = 2 * time.Second
	// Margin is how much earlier a holder stops than a challenger may take
	// over. It covers the difference in rate of two clocks over a Term.
	Margin = time.Second
	// RenewEvery is the time between two renewals.
	RenewEvery = 2 * time.Second
	// Term is how long a challenger waits for a row that does not change.
	Term = 8 * time.Second
)

// Kinds of Action.
const (
	// Wait writes nothing until Action.At.
	Wait ActionKind = iota
	// Acquire writes the row with this daemon as the holder and a new epoch.
	Acquire
	// Look reads the row; the result is given to Seen.
	Look
	// Renew writes the row again with the same holder and epoch.
	Renew
)

// Action is what a Lease wants done. The outcome of a write is given to Wrote
// or Failed.
type Action struct {
	Kind ActionKind
	// At is when to ask again, for Wait.
	At time.Time
	// Number tells actions apart. The outcome of one that is not the newest
	// gives no lease.
	Number uint64
	// Row is what to write, and Version the version that the row must have.
	Row     Row
	Version uint64
}

// ActionKind tells actions apart.
type ActionKind uint8

// Lease decides whether one daemon holds one duty. The zero value holds
// nothing; Self is set before use.
//
// A holder stops at its deadline, which is counted from before the write that
// gave it was sent. A challenger takes over once it has seen the row unchanged
// for a Term, counted from when its first sight of the row had arrived. Both
// are counted on their own daemon's clock: the challenger cannot have seen the
// row before it was written, nor can the row have been written before it was
// sent, so the holder has stopped a Margin earlier.
type Lease struct {
	Self fleet.MemberID
	// deadline is when a held lease ends; zero when it is not held.
	deadline time.Time
	// epoch is this daemon's epoch while the lease is held.
	epoch fleet.Epoch
	// lookAt is when a row held by another is to be read again.
	lookAt time.Time
	// number is that of the newest action.
	number uint64
	// renewAt is when a held lease is to be renewed.
	renewAt time.Time
	row     Row
	// seenAt is when the row was first seen at version, zero before the first
	// sight.
	seenAt time.Time
	// stale is whether the row may have changed by this daemon's own writes
	// since it was seen, so that version cannot be relied on.
	stale   bool
	version uint64
}

// Row is the value of a lease's row.
type Row struct {
	Epoch fleet.Epoch
	// Holder is zero when the lease was given back.
	Holder fleet.MemberID
	// Renewals counts the writes of the holder.
	Renewals uint64
}

// Check returns the epoch and the deadline while the lease is held. Its error
// is ErrNotHeld.
func (l *Lease) Check(now time.Time) (fleet.Epoch, time.Time, error) {
	if clock.Passed(now, l.deadline) {
		return 0, time.Time{}, ErrNotHeld
	}
	return l.epoch, l.deadline, nil
}

// Failed takes the failure of a write or that its outcome is unknown. The
// deadline stays as it was, and the next sight of the row tells the rest.
func (l *Lease) Failed() {
	l.stale = true
}

// Heard takes an epoch named by anyone. A higher one than its own ends the
// lease.
func (l *Lease) Heard(e fleet.Epoch) {
	if e > l.epoch {
		l.deadline = time.Time{}
	}
}

// Lapse ends the lease on this side, for example because the daemon's view is
// not confirmed.
func (l *Lease) Lapse() {
	l.deadline = time.Time{}
}

// Next returns what to do at now.
func (l *Lease) Next(now time.Time) Action {
	a := l.next(now)
	if a.Kind != Wait {
		l.number++
		a.Number = l.number
	}
	return a
}

// Release returns the row that gives the lease back, and ends it. It is false
// when the lease is not held or the row must be seen first.
func (l *Lease) Release(now time.Time) (Action, bool) {
	if clock.Passed(now, l.deadline) || l.stale {
		return Action{}, false
	}
	l.deadline = time.Time{}
	l.number++
	r := Row{Epoch: l.epoch, Renewals: l.row.Renewals + 1}
	return Action{Kind: Renew, Number: l.number, Row: r, Version: l.version}, true
}

// Seen takes a sight of the row whose reading ended at now.
func (l *Lease) Seen(now time.Time, r Row, version uint64) {
	l.stale = false
	l.lookAt = now.Add(LookEvery)
	if version == l.version && !l.seenAt.IsZero() {
		return
	}
	l.Heard(r.Epoch)
	l.row, l.version, l.seenAt = r, version, now
}

// Wrote takes the success of an action's write that was begun at sentAt. An
// answer that comes after a later action gives nothing: that action may have
// given the lease back since.
func (l *Lease) Wrote(sentAt time.Time, a Action) {
	l.stale = true
	if a.Row.Holder != l.Self || a.Number != l.number {
		return
	}
	l.epoch = a.Row.Epoch
	l.deadline = sentAt.Add(Term - Margin)
	l.renewAt = sentAt.Add(RenewEvery)
}

// free reports whether the lease may be taken over: nobody holds it, or its
// row has not changed for a Term, or its holder is this daemon itself after it
// has let the deadline pass.
func (l *Lease) free(now time.Time) bool {
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
	if l.stale || l.seenAt.IsZero() {
		return Action{Kind: Look}
	}
	if held {
		r := l.row
		r.Renewals++
		return Action{Kind: Renew, Row: r, Version: l.version}
	}
	if l.free(now) {
		return Action{Kind: Acquire, Row: Row{Epoch: l.row.Epoch + 1, Holder: l.Self}, Version: l.version}
	}
	if clock.Passed(now, l.lookAt) {
		return Action{Kind: Look}
	}
	return Action{Kind: Wait, At: l.lookAt}
}
