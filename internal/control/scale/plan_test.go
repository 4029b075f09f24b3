package scale_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/scale"
	"github.com/lacewingtally/lacewingtally/internal/platform/order"
)

func TestFloorSurvivesTheLossOfAnyDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(0, 200).Draw(t, "floor")
		domains := rapid.IntRange(2, 9).Draw(t, "domains")
		counts := scale.Floor(floor, domains)
		total, fullest := 0, 0
		for _, n := range counts {
			total += n
			fullest = max(fullest, n)
		}
		must.GreaterEq(t, floor, total-fullest)
		// One server less, spread as evenly as can be, would not do.
		less := total - 1
		must.True(t, total == 0 || less-(less+domains-1)/domains < floor)
	})
}

func TestSpotComesAboveTheFloor(t *testing.T) {
	var p scale.Planner
	s := scale.Site{Region: "r", Domains: []fleet.FailureDomain{"a", "b", "c"}}
	c := config.Pool{Name: "p", LiveFloor: 4, MaxServers: 11, SpotAllowed: true}
	now := time.Now()
	standard, spot := count(p.Plan(now, s, c, 9))
	must.Eq(t, 6, standard)
	must.Eq(t, 3, spot)
	// Demand beyond the most that may be ordered.
	standard, spot = count(p.Plan(now, s, c, 40))
	must.Eq(t, 6, standard)
	must.Eq(t, 5, spot)
	// A short lull gives nothing back; a long one does.
	_, spot = count(p.Plan(now.Add(time.Minute), s, c, 0))
	must.Eq(t, 5, spot)
	_, spot = count(p.Plan(now.Add(time.Hour), s, c, 0))
	must.Eq(t, 0, spot)
}

func TestSpotThatCannotBeHadIsStandard(t *testing.T) {
	var p scale.Planner
	s := scale.Site{Region: "r", Domains: []fleet.FailureDomain{"a", "b"}}
	c := config.Pool{Name: "p", LiveFloor: 1, MaxServers: 6, SpotAllowed: true}
	now := time.Now()
	for _, d := range s.Domains {
		p.Unfilled(now, order.Slot{Region: "r", FailureDomain: d, Pool: "p", Kind: fleet.Spot})
	}
	standard, spot := count(p.Plan(now, s, c, 6))
	must.Eq(t, 6, standard)
	must.Eq(t, 0, spot)
}

func count(lines []order.Line) (standard, spot int) {
	for _, l := range lines {
		if l.Slot.Kind == fleet.Spot {
			spot += l.Count
			continue
		}
		standard += l.Count
	}
	return standard, spot
}
