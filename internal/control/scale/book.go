package scale

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/order"
)

// Life is the longest that a holder of the duty tries to place one order. No
// process starts to write an order later than this after its intent was
// written.
const Life = 3 * time.Second

// settleMargin is how much longer than Life a successor waits, for clocks that
// run at slightly different rates.
const settleMargin = 500 * time.Millisecond

// Kinds of Step.
const (
	// StepFind asks the platform for an order that an earlier holder intended.
	StepFind StepKind = iota + 1
	// StepPlace writes an intent and then places the order.
	StepPlace
	// StepSettle takes the outcome of an intent over into the book.
	StepSettle
)

// Book holds the intents and the placed targets of one region as the table
// shows them, and decides the next step. Its zero value is an empty book. It
// is a decision: it does no I/O and is not safe for concurrent use.
type Book struct {
	// open holds the intents without an outcome, at most one a slot.
	open map[order.Slot]*openIntent
	// placed holds the targets that the platform is known to have taken.
	placed map[order.Slot]Placed
}

// Intent is an order about to be placed, as its row holds it.
type Intent struct {
	Order order.Order
}

// Placed is the target that the platform took last for a slot, as its row
// holds it.
type Placed struct {
	Order order.Order
}

// Step is what to do next.
type Step struct {
	Kind   StepKind
	Intent Intent
	// Taken is whether the platform took the order; it counts with StepSettle.
	Taken bool
}

// StepKind is the kind of a Step.
type StepKind uint8

// openIntent is an intent without an outcome.
type openIntent struct {
	intent Intent
	// waitUntil is when nobody tries to place the order any more, on this
	// process's clock.
	waitUntil time.Time
	// outcome is set once it is known.
	outcome Outcome
}

// Outcome is what is known of an intent.
type Outcome uint8

// Outcomes of an intent. The zero value is not known.
const (
	// OutcomeTaken says that the platform has the order.
	OutcomeTaken Outcome = iota + 1
	// OutcomeNotTaken says that the platform has not taken the order, and
	// that nobody will place it any more.
	OutcomeNotTaken
)

// Learn takes the rows as read from the table after an epoch began. Intents
// of earlier holders are then open until they are settled.
func (b *Book) Learn(now time.Time, intents []Intent, placed []Placed) {
	known := b.open
	b.open = make(map[order.Slot]*openIntent, len(intents))
	for _, i := range intents {
		s := i.Order.Line.Slot
		if k, ok := known[s]; ok && k.intent == i {
			b.open[s] = k
			continue
		}
		b.open[s] = &openIntent{intent: i, waitUntil: now.Add(Life + settleMargin)}
	}
	b.placed = make(map[order.Slot]Placed, len(placed))
	for _, p := range placed {
		b.placed[p.Order.Line.Slot] = p
	}
}

// Resolve takes the outcome of an intent.
func (b *Book) Resolve(id order.ID, o Outcome) {
	for _, i := range b.open {
		if i.intent.Order.ID == id {
			i.outcome = o
		}
	}
}

// Settled takes over that the rows of an intent were settled.
func (b *Book) Settled(id order.ID) {
	for s, i := range b.open {
		if i.intent.Order.ID != id {
			continue
		}
		delete(b.open, s)
		if i.outcome == OutcomeTaken {
			b.put(Placed{Order: i.intent.Order})
		}
	}
}

// Intended takes over that an intent's row was written.
func (b *Book) Intended(now time.Time, i Intent) {
	if b.open == nil {
		b.open = make(map[order.Slot]*openIntent)
	}
	b.open[i.Order.Line.Slot] = &openIntent{intent: i, waitUntil: now.Add(Life + settleMargin)}
}

// Next returns the next steps. While an intent is open there are no new
// orders at all: what an earlier holder may still do is known before the
// first act of this one. name gives the ID of a new order.
func (b *Book) Next(now time.Time, e fleet.Epoch, targets []order.Line, name func() order.ID) []Step {
	if steps, waiting := b.settle(now); waiting {
		return steps
	}
	var steps []Step
	for _, l := range targets {
		if p, ok := b.placed[l.Slot]; (ok && p.Order.Line == l) || (!ok && l.Count == 0) {
			continue
		}
		steps = append(steps, Step{Kind: StepPlace, Intent: Intent{Order: order.Order{ID: name(), Epoch: e, Line: l}}})
	}
	return steps
}

// Reconcile compares what was placed with what the platform has in force and
// forgets each target that differs, so that it is ordered anew.
func (b *Book) Reconcile(lines []order.Line) {
	actual := make(map[order.Slot]int, len(lines))
	for _, l := range lines {
		actual[l.Slot] = l.Count
	}
	for s, p := range b.placed {
		if actual[s] != p.Order.Line.Count {
			delete(b.placed, s)
		}
	}
	for _, l := range lines {
		if _, ok := b.placed[l.Slot]; !ok {
			b.put(Placed{Order: order.Order{Line: l}})
		}
	}
}

func (b *Book) put(p Placed) {
	if b.placed == nil {
		b.placed = make(map[order.Slot]Placed)
	}
	b.placed[p.Order.Line.Slot] = p
}

// settle returns the steps for open intents and whether there are any.
func (b *Book) settle(now time.Time) ([]Step, bool) {
	var steps []Step
	for _, i := range b.open {
		switch {
		case i.outcome != 0:
			steps = append(steps, Step{Kind: StepSettle, Intent: i.intent, Taken: i.outcome == OutcomeTaken})
		case clock.Passed(now, i.waitUntil):
			steps = append(steps, Step{Kind: StepFind, Intent: i.intent})
		}
	}
	slices.SortFunc(steps, func(a, b Step) int {
		return order.Compare(a.Intent.Order.Line.Slot, b.Intent.Order.Line.Slot)
	})
	return steps, len(b.open) > 0
}
