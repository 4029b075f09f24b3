package scale_test

import (
	"maps"
	"slices"
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

func TestRestingSlotKeepsWhatItHas(t *testing.T) {
	var p scale.Planner
	s := scale.Site{Region: "r", Domains: []fleet.FailureDomain{"a", "b"}}
	c := config.Pool{Name: "p", LiveFloor: 1, MaxServers: 12, SpotAllowed: true}
	now := time.Now()
	full := order.Slot{Region: "r", FailureDomain: "a", Pool: "p", Kind: fleet.Spot}
	p.InForce([]order.Line{{Slot: full, Count: 3}})
	p.Unfilled(now, full)
	lines := p.Plan(now, s, c, 12)
	must.SliceContains(t, lines, order.Line{Slot: full, Count: 3})
	standard, spot := count(lines)
	must.Eq(t, 12, standard+spot)
}

func TestStandInsStayUntilSpotIsThere(t *testing.T) {
	for _, k := range []struct {
		most     int
		standard int
		spot     int
	}{
		// There is room for stand-ins and spot at once.
		{most: 10, standard: 6, spot: 4},
		// There is none: one stand-in makes room for one try.
		{most: 6, standard: 5, spot: 1},
	} {
		var p scale.Planner
		s := scale.Site{Region: "r", Domains: []fleet.FailureDomain{"a", "b"}}
		c := config.Pool{Name: "p", LiveFloor: 1, MaxServers: k.most, SpotAllowed: true}
		now := time.Now()
		unfilled := func() {
			for _, d := range s.Domains {
				p.Unfilled(now, order.Slot{Region: "r", FailureDomain: d, Pool: "p", Kind: fleet.Spot})
			}
		}
		for range 3 {
			unfilled()
			standard, _ := count(p.Plan(now, s, c, 6))
			must.Eq(t, 6, standard)
			now = now.Add(2 * time.Minute)
			standard, spot := count(p.Plan(now, s, c, 6))
			must.Eq(t, k.standard, standard)
			must.Eq(t, k.spot, spot)
		}
		// As the platform takes the spot orders, the stand-ins go.
		for range 4 {
			p.InForce(p.Plan(now, s, c, 6))
		}
		standard, spot := count(p.Plan(now, s, c, 6))
		must.Eq(t, 2, standard)
		must.Eq(t, 4, spot)
	}
}

// TestPlanKeepsItsRules drives a planner with changing demand, failure domains
// out of use and slots that cannot be filled.
func TestPlanKeepsItsRules(t *testing.T) {
	all := []fleet.FailureDomain{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		var p scale.Planner
		c := config.Pool{
			Name: "p", LiveFloor: rapid.IntRange(0, 6).Draw(t, "floor"),
			MaxServers: rapid.IntRange(1, 20).Draw(t, "most"), SpotAllowed: rapid.Bool().Draw(t, "spot"),
		}
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		inForce := make(map[order.Slot]order.Line)
		for range 30 {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds")) * time.Second)
			s := scale.Site{Region: "r", Domains: all[:rapid.IntRange(2, 4).Draw(t, "domains")]}
			for k := range inForce {
				if !slices.Contains(s.Domains, k.FailureDomain) {
					delete(inForce, k)
				}
			}
			p.InForce(slices.Collect(maps.Values(inForce)))
			lines := p.Plan(now, s, c, rapid.IntRange(0, 25).Draw(t, "demand"))
			each := make(map[fleet.FailureDomain]int)
			standard := 0
			for _, l := range lines {
				if l.Slot.Kind == fleet.Standard {
					standard += l.Count
					each[l.Slot.FailureDomain] += l.Count
				}
				if l.Slot.Kind == fleet.Spot && l.Count > inForce[l.Slot].Count && rapid.IntRange(0, 3).Draw(t, "unfilled") == 0 {
					p.Unfilled(now, l.Slot)
					continue
				}
				inForce[l.Slot] = l
			}
			for d, n := range each {
				must.GreaterEq(t, c.LiveFloor, standard-n, must.Sprint(string(d)))
			}
			total := 0
			for _, l := range inForce {
				total += l.Count
			}
			must.LessEq(t, max(c.MaxServers, sum(scale.Floor(c.LiveFloor, len(s.Domains)))), total)
		}
	})
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
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
