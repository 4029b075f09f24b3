package engine

import "strings"

// Kinds of fault.
const (
	// FaultCrash crashes the engine after After tokens.
	FaultCrash FaultKind = "Crash"
	// FaultWrongAttempt replaces the chunk after After tokens by one of another
	// attempt.
	FaultWrongAttempt FaultKind = "Crossed"
	// FaultCut closes the connection after After tokens.
	FaultCut FaultKind = "Cut"
	// FaultDuplicate sends the chunk after After tokens twice.
	FaultDuplicate FaultKind = "Doubled"
	// FaultError begins the attempt and fails it after After tokens, with status
	// 500 if After is 0.
	FaultError FaultKind = "Error"
	// FaultNoEnd omits the last chunk, the one with End set.
	FaultNoEnd FaultKind = "NoEnd"
	// FaultNoVersion omits the weight version from the chunks.
	FaultNoVersion FaultKind = "NoVersion"
	// FaultRefuse refuses the attempt and reports that it was not begun.
	FaultRefuse FaultKind = "Refuse"
	// FaultHang stops sending after After tokens and keeps the connection open.
	FaultHang FaultKind = "Silent"
	// FaultSkip omits the chunk after After tokens.
	FaultSkip FaultKind = "Skip"
	// FaultSwap fails orders to load weights.
	FaultSwap FaultKind = "Swap"
)

// Fault is a fault to inject into an attempt or an order.
type Fault struct {
	Kind FaultKind
	// After is the number of tokens of the answer before the fault, including
	// those of earlier attempts.
	After int
	// Word limits the fault to prompts that contain it; empty matches any prompt.
	Word string
	// Count is how many times the fault occurs; 0 is unlimited.
	Count int
	// Down is how long the engine is down after a crash, in milliseconds.
	Down int
}

// FaultKind is a kind of fault.
type FaultKind string

// takeFault returns the first matching fault for a prompt, or for a load order if
// order is set, and counts one occurrence of it.
func (e *Engine) takeFault(prompt string, order bool) Fault {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for i := range e.faults {
		f := &e.faults[i]
		if (f.Kind == FaultSwap) != order || !strings.Contains(prompt, f.Word) {
			continue
		}
		match := *f
		if f.Count == 1 {
			e.faults = append(e.faults[:i], e.faults[i+1:]...)
		} else if f.Count > 1 {
			f.Count--
		}
		return match
	}
	return Fault{}
}
