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

// trace is what a holder of the duty found and heard, and what it must do.
type trace struct {
	Epoch fleet.Epoch `yaml:"Epoch"`
	// Intents and Placed are the rows found when the epoch began.
	Intents []line `yaml:"Intents"`
	Placed  []line `yaml:"Placed"`
	Targets []line `yaml:"Targets"`
	Events  []struct {
		At      time.Duration `yaml:"At"`
		Taken   order.ID      `yaml:"Taken"`
		Absent  order.ID      `yaml:"Absent"`
		Settled order.ID      `yaml:"Settled"`
		// InForce is what the platform lists.
		InForce []line `yaml:"InForce"`
	} `yaml:"Events"`
	// Outcome lists the steps, each with its instant.
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

func (c trace) replay() []string {
	var b scale.Book
	var intents []scale.Intent
	var placed []scale.Placed
	var targets []order.Line
	for _, l := range c.Intents {
		intents = append(intents, scale.Intent{Order: l.order()})
	}
	for _, l := range c.Placed {
		placed = append(placed, scale.Placed{Order: l.order()})
	}
	for _, l := range c.Targets {
		targets = append(targets, l.order().Line)
	}
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	b.Learn(began, intents, placed)
	names := 0
	name := func() order.ID {
		names++
		return order.ID(fmt.Sprintf("new-%d", names))
	}
	kinds := map[scale.StepKind]string{scale.StepFind: "Find", scale.StepPlace: "Place", scale.StepSettle: "Settle"}
	var got []string
	for _, e := range c.Events {
		b.Resolve(e.Taken, scale.OutcomeTaken)
		b.Resolve(e.Absent, scale.OutcomeNotTaken)
		b.Settled(e.Settled)
		if e.InForce != nil {
			var lines []order.Line
			for _, l := range e.InForce {
				lines = append(lines, l.order().Line)
			}
			b.Reconcile(lines)
		}
		for _, s := range b.Next(began.Add(e.At), c.Epoch, targets, name) {
			o := s.Intent.Order
			got = append(got, fmt.Sprintf("%s %s %s %s=%d", e.At, kinds[s.Kind], o.ID, o.Line.Slot.FailureDomain, o.Line.Count))
		}
	}
	return got
}

func TestTraces(t *testing.T) {
	recorded.Each(t, func(t *testing.T, c trace) {
		must.Eq(t, c.Outcome, c.replay())
	})
}
