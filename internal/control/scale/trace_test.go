package scale_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/scale"
	"github.com/lacewingtally/lacewingtally/internal/platform/order"
	"github.com/lacewingtally/lacewingtally/internal/standin/recorded"
)

// trace is a recorded sequence of inputs to a holder of the duty, and the steps
// that it must take.
type trace struct {
	Epoch fleet.Epoch `yaml:"Epoch"`
	// Intents and Placed are the rows in the table when the epoch began.
	Intents []line `yaml:"Intents"`
	Placed  []line `yaml:"Placed"`
	Targets []line `yaml:"Targets"`
	Events  []struct {
		At       time.Duration `yaml:"At"`
		Accepted order.ID      `yaml:"Accepted"`
		Absent   order.ID      `yaml:"Absent"`
		Settled  order.ID      `yaml:"Settled"`
		// Listed holds the targets that the platform lists; nil if it is not asked.
		Listed []line `yaml:"Listed"`
	} `yaml:"Events"`
	// Outcome lists the expected steps, each with its time since the start.
	Outcome []string `yaml:"Outcome"`
}

type line struct {
	ID    order.ID            `yaml:"ID"`
	Epoch fleet.Epoch         `yaml:"Epoch"`
	Where fleet.FailureDomain `yaml:"Where"`
	Count int                 `yaml:"Count"`
}

func (l line) order() order.Order {
	return order.Order{ID: l.ID, Epoch: l.Epoch, Line: order.Line{
		Slot: order.Slot{Region: "r", FailureDomain: l.Where, Pool: "p", Kind: fleet.Standard}, Count: l.Count,
	}}
}

func (x trace) replay() []string {
	var ledger scale.Ledger
	var intents []scale.Intent
	var placed []scale.Placed
	var targets []order.Line
	for _, l := range x.Intents {
		intents = append(intents, scale.Intent{Order: l.order()})
	}
	for _, l := range x.Placed {
		placed = append(placed, scale.Placed{Order: l.order()})
	}
	for _, l := range x.Targets {
		targets = append(targets, l.order().Line)
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ledger.Load(start, intents, placed)
	ids := 0
	newID := func() order.ID {
		ids++
		return order.ID(fmt.Sprintf("new-%d", ids))
	}
	kinds := map[scale.StepKind]string{scale.StepFind: "Find", scale.StepPlace: "Place", scale.StepSettle: "Settle"}
	var got []string
	for _, e := range x.Events {
		ledger.Resolve(e.Accepted, scale.OutcomeAccepted)
		ledger.Resolve(e.Absent, scale.OutcomeNotPlaced)
		ledger.MarkSettled(e.Settled)
		if e.Listed != nil {
			var lines []order.Line
			for _, l := range e.Listed {
				lines = append(lines, l.order().Line)
			}
			ledger.Reconcile(lines)
		}
		for _, s := range ledger.Next(start.Add(e.At), x.Epoch, targets, newID) {
			o := s.Intent.Order
			got = append(got, fmt.Sprintf("%s %s %s %s=%d", e.At, kinds[s.Kind], o.ID, o.Line.Slot.FailureDomain, o.Line.Count))
		}
	}
	return got
}

func TestTraces(t *testing.T) {
	recorded.Each(t, func(t *testing.T, x trace) {
		must.Eq(t, x.Outcome, x.replay())
	})
}
