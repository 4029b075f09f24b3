package scale

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/order"
)

// PlaceTimeout bounds how long a holder of the duty tries to place one order.
// No process starts to write an order later than this after writing its intent.
const PlaceTimeout = 3 * time.Second

// settleMargin is how much longer than PlaceTimeout a successor waits, because
// clocks may run at slightly different rates.
const settleMargin = 500 * time.Millisecond

// Kinds of Step.
const (
	// StepFind asks the platform whether it received the order of an open
	// intent.
	StepFind StepKind = iota + 1
	// StepPlace writes an intent and then places the order.
	StepPlace
	// StepSettle removes an intent whose outcome is known and, if the platform
	// accepted its order, records the order as placed.
	StepSettle
)

// Ledger holds the intents and the placed targets of one region as stored in
// the table, and decides the next steps. The zero value is an empty ledger. It
// does no I/O and is not safe for concurrent use.
type Ledger struct {
	// open holds the intents that are not settled, at most one per slot.
	open map[order.Slot]*openIntent
	// placed holds the targets that the platform is known to have accepted.
	placed map[order.Slot]Placed
}

// Intent is the stored row of an order that is about to be placed.
type Intent struct {
	Order order.Order
}

// Placed is the stored row of the target that the platform accepted last for a
// slot.
type Placed struct {
	Order order.Order
}

// Step is one action for the holder of the duty.
type Step struct {
	Kind   StepKind
	Intent Intent
	// Accepted is whether the platform accepted the order; used with
	// StepSettle only.
	Accepted bool
}

// StepKind is the kind of a Step.
type StepKind uint8

// openIntent is an intent that is not settled.
type openIntent struct {
	intent Intent
	// waitUntil is when no process tries to place the order any more, by this
	// process's clock.
	waitUntil time.Time
	// outcome is 0 until it is known.
	outcome Outcome
}

// Outcome is the known result of an intent.
type Outcome uint8

// Outcomes of an intent. The zero value means that it is unknown.
const (
	// OutcomeAccepted means that the platform accepted the order.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeNotPlaced means that the platform did not accept the order and
	// that no process will place it any more.
	OutcomeNotPlaced
)

// Load replaces the contents of the ledger by the rows read from the table
// after an epoch began. Intents of earlier holders stay open until they are
// settled.
func (l *Ledger) Load(now time.Time, intents []Intent, placed []Placed) {
	known := l.open
	l.open = make(map[order.Slot]*openIntent, len(intents))
	for _, i := range intents {
		s := i.Order.Line.Slot
		if k, ok := known[s]; ok && k.intent == i {
			l.open[s] = k
			continue
		}
		l.open[s] = &openIntent{intent: i, waitUntil: now.Add(PlaceTimeout + settleMargin)}
	}
	l.placed = make(map[order.Slot]Placed, len(placed))
	for _, p := range placed {
		l.placed[p.Order.Line.Slot] = p
	}
}

// Resolve records the outcome of an intent.
func (l *Ledger) Resolve(id order.ID, o Outcome) {
	for _, i := range l.open {
		if i.intent.Order.ID == id {
			i.outcome = o
		}
	}
}

// MarkSettled removes an intent whose rows were settled, and records an accepted
// order as placed.
func (l *Ledger) MarkSettled(id order.ID) {
	for s, i := range l.open {
		if i.intent.Order.ID != id {
			continue
		}
		delete(l.open, s)
		if i.outcome == OutcomeAccepted {
			l.put(Placed{Order: i.intent.Order})
		}
	}
}

// AddIntent records that the row of an intent was written.
func (l *Ledger) AddIntent(now time.Time, i Intent) {
	if l.open == nil {
		l.open = make(map[order.Slot]*openIntent)
	}
	l.open[i.Order.Line.Slot] = &openIntent{intent: i, waitUntil: now.Add(PlaceTimeout + settleMargin)}
}

// Next returns the next steps. While any intent is open it returns no new
// orders, so that the outcome of an earlier holder's orders is known before
// this one places its first. newID returns the ID of a new order.
func (l *Ledger) Next(now time.Time, e fleet.Epoch, targets []order.Line, newID func() order.ID) []Step {
	if steps, open := l.settleSteps(now); open {
		return steps
	}
	var steps []Step
	for _, t := range targets {
		if p, ok := l.placed[t.Slot]; (ok && p.Order.Line == t) || (!ok && t.Count == 0) {
			continue
		}
		steps = append(steps, Step{Kind: StepPlace, Intent: Intent{Order: order.Order{ID: newID(), Epoch: e, Line: t}}})
	}
	return steps
}

// Reconcile replaces the placed targets by those that the platform lists where
// they differ, so that Next orders the wanted targets again.
func (l *Ledger) Reconcile(lines []order.Line) {
	actual := make(map[order.Slot]int, len(lines))
	for _, t := range lines {
		actual[t.Slot] = t.Count
	}
	for s, p := range l.placed {
		if actual[s] != p.Order.Line.Count {
			delete(l.placed, s)
		}
	}
	for _, t := range lines {
		if _, ok := l.placed[t.Slot]; !ok {
			l.put(Placed{Order: order.Order{Line: t}})
		}
	}
}

func (l *Ledger) put(p Placed) {
	if l.placed == nil {
		l.placed = make(map[order.Slot]Placed)
	}
	l.placed[p.Order.Line.Slot] = p
}

// settleSteps returns the steps for open intents and whether any intent is
// open.
func (l *Ledger) settleSteps(now time.Time) ([]Step, bool) {
	var steps []Step
	for _, i := range l.open {
		switch {
		case i.outcome != 0:
			steps = append(steps, Step{Kind: StepSettle, Intent: i.intent, Accepted: i.outcome == OutcomeAccepted})
		case clock.Passed(now, i.waitUntil):
			steps = append(steps, Step{Kind: StepFind, Intent: i.intent})
		}
	}
	slices.SortFunc(steps, func(a, b Step) int {
		return order.Compare(a.Intent.Order.Line.Slot, b.Intent.Order.Line.Slot)
	})
	return steps, len(l.open) > 0
}
