// Package tenure decides which daemon holds a duty, by one row of the platform's
// store and by the store's clock alone.
//
// The row says until which instant of the store's clock the duty is held. A
// holder counts from the instant at which it sent the write, on a clock of its
// own that also runs while its VM is suspended; a challenger compares the row
// with the store's clock as an answer names it. So the clocks of two VMs are
// never compared, and a holder has stopped before a challenger may begin.
package tenure

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrNotHeld says that this daemon does not hold the duty.
var ErrNotHeld = errors.New("tenure: not held")

const (
	// RenewInterval is the time between two renewals.
	RenewInterval = 700 * time.Millisecond
	// margin is how much earlier than the row says a holder stops, so that a
	// call that it has begun ends before another may take over.
	margin = 700 * time.Millisecond
	// yield is how long a challenger that is not the first in line waits.
	yield = time.Second
	// formers is the number of earlier holders that a row remembers.
	formers = 4
)

// Kinds of Action.
const (
	// Wait does nothing.
	Wait Kind = iota
	// Acquire takes the duty.
	Acquire
	// Renew keeps it.
	Renew
)

// Kind tells actions apart.
type Kind uint8

// Row is the value of a duty's row.
type Row struct {
	Holder  string
	Machine string
	// Fence grows with each acquisition.
	Fence int64
	// Until is when the tenure ends, in milliseconds of the store's clock.
	Until int64
	// Former are earlier holders, the newest last.
	Former []Stint
}

// Stint is an earlier tenure.
type Stint struct {
	Machine string
	// Ended is in milliseconds of the store's clock.
	Ended int64
}

// Action is what is to be written, on the condition that the row has not
// changed.
type Action struct {
	Kind Kind
	Row  Row
}

// Tenure decides for one daemon. Self, Machine and Term are set before use.
// Uptimes are readings of a clock that also runs while the VM is suspended.
type Tenure struct {
	Self    string
	Machine string
	// Term is how long a tenure lasts after a renewal. It is at least the time
	// within which two holders may not take turns.
	Term time.Duration

	fence int64
	// until is the uptime at which the daemon stops acting; zero when the duty
	// is not held.
	until time.Duration
}

// Check returns the fence while the duty is held at an uptime.
func (t *Tenure) Check(uptime time.Duration) (int64, error) {
	if t.until == 0 || uptime >= t.until {
		return 0, ErrNotHeld
	}
	return t.fence, nil
}

// Next returns what to do, given the row and the store's clock. First says
// whether this daemon is the first in line among those alive.
func (t *Tenure) Next(row Row, now time.Time, uptime time.Duration, first bool) Action {
	ms := now.UnixMilli()
	if _, err := t.Check(uptime); err == nil && row.Holder == t.Self && row.Fence == t.fence {
		row.Until = ms + t.Term.Milliseconds()
		return Action{Kind: Renew, Row: row}
	}
	wait := row.Until
	if !first {
		wait += yield.Milliseconds()
	}
	if ms < wait || t.turns(row, ms) {
		return Action{}
	}
	next := Row{Holder: t.Self, Machine: t.Machine, Fence: row.Fence + 1, Until: ms + t.Term.Milliseconds(), Former: row.Former}
	if row.Holder != "" {
		next.Former = append(slices.Clone(row.Former), Stint{Machine: row.Machine, Ended: row.Until})
		next.Former = next.Former[max(0, len(next.Former)-formers):]
	}
	return Action{Kind: Acquire, Row: next}
}

// Wrote takes the success of an action that was sent at an uptime.
func (t *Tenure) Wrote(a Action, sentAt time.Duration) {
	if a.Row.Holder != t.Self {
		return
	}
	t.fence = a.Row.Fence
	t.until = sentAt + t.Term - margin
}

// Lost ends the tenure on this side, because another daemon holds the duty.
func (t *Tenure) Lost() {
	t.until = 0
}

// Release returns the row that gives the duty back, and ends the tenure.
func (t *Tenure) Release(row Row, now time.Time) Row {
	t.until = 0
	row.Until = now.UnixMilli()
	return row
}

// turns reports whether this VM held the duty shortly before the last holder
// did, so that acting again would look like two daemons at once.
func (t *Tenure) turns(row Row, ms int64) bool {
	if row.Machine == t.Machine {
		return false
	}
	return slices.ContainsFunc(row.Former, func(s Stint) bool {
		return s.Machine == t.Machine && ms-s.Ended < t.Term.Milliseconds()
	})
}
