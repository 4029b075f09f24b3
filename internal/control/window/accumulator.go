package window

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
)

// Outcomes of writing a part.
const (
	// WindowClosed means that the part's window was closed before the part was
	// written, so the window does not include it.
	WindowClosed Outcome = iota + 1
	// Unknown means that the outcome is not known or that nothing was written.
	Unknown
	// Written means that the part has been written to the table.
	Written
)

// Outcome is the outcome of writing a part.
type Outcome uint8

// Accumulator counts the usage of one daemon and divides it into parts. The zero
// value is empty. It does no I/O and is not safe for concurrent use.
type Accumulator struct {
	// counters holds the usage that is in no part yet, by window.
	counters map[ID]*counter
	// pending holds the parts whose outcome is not known: at most one per
	// window, so that their number stays small during an outage.
	pending map[ID]Part
	// sequence is the Sequence of the newest part.
	sequence uint64
}

// Add counts u.
func (a *Accumulator) Add(u gate.Usage) {
	l := Line{
		Subject:  Subject{Workspace: u.Workspace, Pool: u.Pool, Kind: u.Kind},
		Requests: u.Requests,
		Tokens:   u.Tokens,
	}
	a.count(Of(u.At), l)
}

// Prepare returns the parts to write: the pending parts, unchanged, and for each
// other window a new part with the usage counted so far.
func (a *Accumulator) Prepare() []Part {
	if a.pending == nil {
		a.pending = make(map[ID]Part)
	}
	for w, c := range a.counters {
		if _, ok := a.pending[w]; ok {
			continue
		}
		a.sequence++
		a.pending[w] = Part{Window: w, Sequence: a.sequence, Lines: c.sorted()}
		delete(a.counters, w)
	}
	parts := make([]Part, 0, len(a.pending))
	for _, p := range a.pending {
		parts = append(parts, p)
	}
	return parts
}

// Empty reports whether all counted usage has been written to the table.
func (a *Accumulator) Empty() bool {
	return len(a.counters) == 0 && len(a.pending) == 0
}

// Settle records the outcome of writing a part. The lines of a part whose window
// was closed are counted again in a later window, as adjustments.
func (a *Accumulator) Settle(now time.Time, p Part, o Outcome) {
	current, ok := a.pending[p.Window]
	if !ok || current.Sequence != p.Sequence || o == Unknown {
		return
	}
	delete(a.pending, p.Window)
	if o == WindowClosed {
		a.readdAsAdjustment(now, p)
	}
}

func (a *Accumulator) readdAsAdjustment(now time.Time, p Part) {
	later := max(Of(now), p.Window.Next())
	for _, l := range p.Lines {
		if l.Subject.Adjusts == "" {
			l.Subject.Adjusts = p.Window
		}
		a.count(later, l)
	}
}

func (a *Accumulator) count(w ID, l Line) {
	if a.counters == nil {
		a.counters = make(map[ID]*counter)
	}
	if a.counters[w] == nil {
		a.counters[w] = &counter{}
	}
	a.counters[w].add(l)
}
