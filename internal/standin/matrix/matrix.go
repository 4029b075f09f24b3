// Package matrix generates fault matrices, every fault at every step, and injects
// the faults into the calls of simulated processes within a test.
package matrix

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Faults of a call.
const (
	// AnswerLost executes the call; the caller receives no outcome.
	AnswerLost Fault = "AnswerLost"
	// FreezeAfter executes the call and freezes the process before the answer
	// is returned.
	FreezeAfter Fault = "FreezeAfter"
	// FreezeBefore freezes the process and then executes the call.
	FreezeBefore Fault = "FreezeBefore"
	// KillAfter executes the call and kills the process.
	KillAfter Fault = "KillAfter"
	// KillBefore kills the process without executing the call.
	KillBefore Fault = "KillBefore"
	// Delayed executes the call some time later; the caller receives no outcome.
	Delayed Fault = "Late"
	// RequestLost does not execute the call; the caller receives no outcome.
	RequestLost Fault = "RequestLost"
	// Unavailable does not execute the call; the caller receives an error that
	// reports this.
	Unavailable Fault = "Unavailable"
)

// Cell is one cell of a matrix: the faults that occur in one run. If a step is in
// it more than once, that many calls of the step fail.
type Cell []Injection

// Fault is a kind of fault.
type Fault string

// Injection is a fault at a step.
type Injection struct {
	Step  Step
	Fault Fault
}

// Injector injects the faults of one cell. Use NewInjector. Its methods may be
// called from any goroutine.
type Injector struct {
	mutex sync.Mutex
	// pending are the injections that have not occurred yet, in order.
	pending []Injection
}

// Step names a call into which faults can be injected.
type Step string

// AllFaults returns every fault.
func AllFaults() []Fault {
	return []Fault{AnswerLost, FreezeAfter, FreezeBefore, KillAfter, KillBefore, Delayed, RequestLost, Unavailable}
}

// Cells returns a cell for every fault at every step, one for the same fault twice
// at the step, and one for every pair of different injections.
func Cells(steps []Step, faults []Fault) []Cell {
	var injections []Injection
	for _, s := range steps {
		for _, f := range faults {
			injections = append(injections, Injection{Step: s, Fault: f})
		}
	}
	var cells []Cell
	for i, x := range injections {
		cells = append(cells, Cell{x}, Cell{x, x})
		for _, other := range injections[i+1:] {
			cells = append(cells, Cell{x, other})
		}
	}
	return cells
}

// CellCount returns the number of cells that Cells returns.
func CellCount(steps, faults int) int {
	n := steps * faults
	return 2*n + n*(n-1)/2
}

// NewInjector returns the injector of one cell.
func NewInjector(c Cell) *Injector {
	return &Injector{pending: slices.Clone(c)}
}

// Has reports whether the cell contains a fault at a step.
func (c Cell) Has(s Step, f Fault) bool {
	return slices.Contains(c, Injection{Step: s, Fault: f})
}

// HasFault reports whether the cell contains one of the faults at any step.
func (c Cell) HasFault(faults ...Fault) bool {
	return slices.ContainsFunc(c, func(x Injection) bool { return slices.Contains(faults, x.Fault) })
}

// String returns the injections, joined by plus signs.
func (c Cell) String() string {
	var parts []string
	for _, x := range c {
		parts = append(parts, fmt.Sprintf("%s@%s", x.Fault, x.Step))
	}
	return strings.Join(parts, "+")
}

// Done reports whether every injection has occurred.
func (i *Injector) Done() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return len(i.pending) == 0
}

// Take removes and returns the fault for the next call of a step, empty for none.
func (i *Injector) Take(s Step) Fault {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for n, x := range i.pending {
		if x.Step == s {
			i.pending = slices.Delete(i.pending, n, n+1)
			return x.Fault
		}
	}
	return ""
}
