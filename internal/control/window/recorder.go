package window

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
)

// Outcomes of writing a part.
const (
	// Closed says that the part's window was closed before the part was
	// written: it is not counted there.
	Closed Outcome = iota + 1
	// Open says that the outcome is not known, or that nothing was written.
	Open
	// Written says that the part is in the table.
	Written
)

// Outcome is what became of writing a part.
type Outcome uint8

// Recorder counts the use of one daemon and cuts it into parts. The zero value
// is empty. It is a decision: it does no I/O and is not safe for concurrent
// use.
type Recorder struct {
	// counting holds what no part has yet, by window.
	counting map[ID]*counter
	// unsettled holds the parts whose outcome is not known, at most one a
	// window, so that an outage does not make them many.
	unsettled map[ID]Part
	// sequence is that of the newest part.
	sequence uint64
}

// Add counts use.
func (r *Recorder) Add(u gate.Usage) {
	l := Line{
		Subject:  Subject{Workspace: u.Workspace, Pool: u.Pool, Kind: u.Kind},
		Requests: u.Requests,
		Tokens:   u.Tokens,
	}
	r.count(Of(u.At), l)
}

// Cut returns the parts to write: the unsettled ones, unchanged, and one of
// what has been counted for each other window.
func (r *Recorder) Cut() []Part {
	if r.unsettled == nil {
		r.unsettled = make(map[ID]Part)
	}
	for w, c := range r.counting {
		if _, ok := r.unsettled[w]; ok {
			continue
		}
		r.sequence++
		r.unsettled[w] = Part{Window: w, Sequence: r.sequence, Lines: c.sorted()}
		delete(r.counting, w)
	}
	parts := make([]Part, 0, len(r.unsettled))
	for _, p := range r.unsettled {
		parts = append(parts, p)
	}
	return parts
}

// Empty reports whether everything counted is in the table.
func (r *Recorder) Empty() bool {
	return len(r.counting) == 0 && len(r.unsettled) == 0
}

// Settle takes the outcome of writing a part. The lines of a closed window are
// counted anew in a later one, as adjustments.
func (r *Recorder) Settle(now time.Time, p Part, o Outcome) {
	known, ok := r.unsettled[p.Window]
	if !ok || known.Sequence != p.Sequence || o == Open {
		return
	}
	delete(r.unsettled, p.Window)
	if o == Closed {
		r.adjust(now, p)
	}
}

func (r *Recorder) adjust(now time.Time, p Part) {
	later := max(Of(now), p.Window.Next())
	for _, l := range p.Lines {
		if l.Subject.Adjusts == "" {
			l.Subject.Adjusts = p.Window
		}
		r.count(later, l)
	}
}

func (r *Recorder) count(w ID, l Line) {
	if r.counting == nil {
		r.counting = make(map[ID]*counter)
	}
	if r.counting[w] == nil {
		r.counting[w] = &counter{}
	}
	r.counting[w].add(l)
}
