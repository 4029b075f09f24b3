// Package matrix generates fault matrices, every fault at every step, and
// carries the faults out on the calls of processes within a test.
package matrix

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Faults of a call.
const (
	// AnswerLost carries the call out; the caller learns no outcome.
	AnswerLost Fault = "AnswerLost"
	// FreezeAfter carries the call out and stops the whole process
	// before it sees the answer.
	FreezeAfter Fault = "FreezeAfter"
	// FreezeBefore stops the whole process and then carries the
	// call out.
	FreezeBefore Fault = "FreezeBefore"
	// KillAfter carries the call out and ends the process.
	KillAfter Fault = "KillAfter"
	// KillBefore ends the process.
	KillBefore Fault = "KillBefore"
	// Late carries the call out some time later; the caller learns no outcome.
	Late Fault = "Late"
	// RequestLost carries nothing out; the caller learns no outcome.
	RequestLost Fault = "RequestLost"
	// Unavailable carries nothing out, and the caller knows it.
	Unavailable Fault = "Unavailable"
)

// Cell is one cell of a matrix: the faults that happen in one run. A step that
// occurs more than once in it is hit on as many occasions.
type Cell []Hit

// Fault is what goes wrong.
type Fault string

// Hit is one fault at one step.
type Hit struct {
	Step  Step
	Fault Fault
}

// Injector hands the faults of one cell out. Use NewInjector. Its methods
// may be called from any goroutine.
type Injector struct {
	mutex sync.Mutex
	// left are the hits that have not happened yet, in order.
	left []Hit
}

// Step names a call that can go wrong.
type Step string

// All returns every fault.
func All() []Fault {
	return []Fault{AnswerLost, FreezeAfter, FreezeBefore, KillAfter, KillBefore, Late, RequestLost, Unavailable}
}

// Cells returns every fault at every step: singly, twice in a row, and in
// pairs of two different hits.
func Cells(steps []Step, faults []Fault) []Cell {
	var hits []Hit
	for _, s := range steps {
		for _, f := range faults {
			hits = append(hits, Hit{Step: s, Fault: f})
		}
	}
	var cells []Cell
	for i, h := range hits {
		cells = append(cells, Cell{h}, Cell{h, h})
		for _, other := range hits[i+1:] {
			cells = append(cells, Cell{h, other})
		}
	}
	return cells
}

// Count returns how many cells the full product has.
func Count(steps, faults int) int {
	n := steps * faults
	return 2*n + n*(n-1)/2
}

// NewInjector returns the injector of one cell.
func NewInjector(c Cell) *Injector {
	return &Injector{left: slices.Clone(c)}
}

// Has reports whether the cell holds a fault at a step.
func (c Cell) Has(s Step, f Fault) bool {
	return slices.Contains(c, Hit{Step: s, Fault: f})
}

// HasFault reports whether the cell holds one of the faults at any step.
func (c Cell) HasFault(faults ...Fault) bool {
	return slices.ContainsFunc(c, func(h Hit) bool { return slices.Contains(faults, h.Fault) })
}

// String returns the hits, joined by plus signs.
func (c Cell) String() string {
	var parts []string
	for _, h := range c {
		parts = append(parts, fmt.Sprintf("%s@%s", h.Fault, h.Step))
	}
	return strings.Join(parts, "+")
}

// Done reports whether every hit has happened.
func (i *Injector) Done() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return len(i.left) == 0
}

// Take returns the fault that hits this occasion of a step, empty for none.
func (i *Injector) Take(s Step) Fault {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for n, h := range i.left {
		if h.Step == s {
			i.left = slices.Delete(i.left, n, n+1)
			return h.Fault
		}
	}
	return ""
}
