package engine

import "strings"

// Kinds of fault.
const (
	// FaultCrash ends the engine's run after After tokens.
	FaultCrash FaultKind = "Crash"
	// FaultCrossed answers with another attempt's chunk after After tokens.
	FaultCrossed FaultKind = "Crossed"
	// FaultCut cuts the connection after After tokens.
	FaultCut FaultKind = "Cut"
	// FaultDoubled sends the chunk after After tokens twice.
	FaultDoubled FaultKind = "Doubled"
	// FaultError answers with status 500 after having begun.
	FaultError FaultKind = "Error"
	// FaultNoEnd leaves out the end mark.
	FaultNoEnd FaultKind = "NoEnd"
	// FaultNoVersion names no weight version in the chunks.
	FaultNoVersion FaultKind = "NoVersion"
	// FaultRefuse states that the attempt was not begun.
	FaultRefuse FaultKind = "Refuse"
	// FaultSilent sends nothing more after After tokens.
	FaultSilent FaultKind = "Silent"
	// FaultSkip leaves out the chunk after After tokens.
	FaultSkip FaultKind = "Skip"
	// FaultSwap fails orders to load weights.
	FaultSwap FaultKind = "Swap"
)

// Fault is what goes wrong with an attempt or an order.
type Fault struct {
	Kind FaultKind
	// After is the number of tokens of the answer, those of earlier attempts
	// included, before the fault.
	After int
	// Word limits the fault to prompts that contain it; empty is any.
	Word string
	// Count is how often the fault comes; 0 is without end.
	Count int
	// Down is how long a crash lasts, in milliseconds.
	Down int
}

// FaultKind tells faults apart.
type FaultKind string

// take returns the first fault for a prompt, of an order when order is set,
// and uses it up.
func (e *Engine) take(prompt string, order bool) Fault {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for i := range e.faults {
		f := &e.faults[i]
		if (f.Kind == FaultSwap) != order || !strings.Contains(prompt, f.Word) {
			continue
		}
		taken := *f
		if f.Count == 1 {
			e.faults = append(e.faults[:i], e.faults[i+1:]...)
		} else if f.Count > 1 {
			f.Count--
		}
		return taken
	}
	return Fault{}
}
