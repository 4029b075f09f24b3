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

func TestFloorSurvivesLossOfAnyDomain(t *testing.T) {
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
		// One server less would not suffice, however evenly distributed.
		less := total - 1
		must.True(t, total == 0 || less-(less+domains-1)/domains < floor)
	})
}

func TestDemandAboveFloorUsesSpot(t *testing.T) {
	var p scale.Planner
	s := scale.Site{Region: "r", Domains: []fleet.FailureDomain{"a", "b", "c"}}
	c := config.Pool{Name: "p", LiveFloor: 4, MaxServers: 11, SpotAllowed: true}
	now := time.Now()
	standard, spot := count(p.Plan(now, s, c, 9))
	must.Eq(t, 6, standard)
	must.Eq(t, 3, spot)
	// Demand above MaxServers.
	standard, spot = count(p.Plan(now, s, c, 40))
	must.Eq(t, 6, standard)
	must.Eq(t, 5, spot)
	// A short drop in demand releases no servers; a long one does.
	_, spot = count(p.Plan(now.Add(time.Minute), s, c, 0))
	must.Eq(t, 5, spot)
	_, spot = count(p.Plan(now.Add(time.Hour), s, c, 0))
	must.Eq(t, 0, spot)
}

func TestStandardReplacesUnavailableSpot(t *testing.T) {
	var p scale.Planner
	s := scale.Site{Region: "r", Domains: []fleet.FailureDomain{"a", "b"}}
	c := config.Pool{Name: "p", LiveFloor: 1, MaxServers: 6, SpotAllowed: true}
	now := time.Now()
	for _, d := range s.Domains {
		p.MarkUnfilled(now, order.Slot{Region: "r", FailureDomain: d, Pool: "p", Kind: fleet.Spot})
	}
	standard, spot := count(p.Plan(now, s, c, 6))
	must.Eq(t, 6, standard)
	must.Eq(t, 0, spot)
}

func TestSlotInBackoffKeepsItsServers(t *testing.T) {
	var p scale.Planner
	s := scale.Site{Region: "r", Domains: []fleet.FailureDomain{"a", "b"}}
	c := config.Pool{Name: "p", LiveFloor: 1, MaxServers: 12, SpotAllowed: true}
	now := time.Now()
	full := order.Slot{Region: "r", FailureDomain: "a", Pool: "p", Kind: fleet.Spot}
	p.SetCurrent([]order.Line{{Slot: full, Count: 3}})
	p.MarkUnfilled(now, full)
	lines := p.Plan(now, s, c, 12)
	must.SliceContains(t, lines, order.Line{Slot: full, Count: 3})
	standard, spot := count(lines)
	must.Eq(t, 12, standard+spot)
}

func TestStandInsStayUntilSpotIsAvailable(t *testing.T) {
	for _, k := range []struct {
		limit    int
		standard int
		spot     int
	}{
		// There is capacity for both stand-ins and spot servers.
		{limit: 10, standard: 6, spot: 4},
		// There is none: one stand-in is released to try one spot server.
		{limit: 6, standard: 5, spot: 1},
	} {
		var p scale.Planner
		s := scale.Site{Region: "r", Domains: []fleet.FailureDomain{"a", "b"}}
		c := config.Pool{Name: "p", LiveFloor: 1, MaxServers: k.limit, SpotAllowed: true}
		now := time.Now()
		unfilled := func() {
			for _, d := range s.Domains {
				p.MarkUnfilled(now, order.Slot{Region: "r", FailureDomain: d, Pool: "p", Kind: fleet.Spot})
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
		// Stand-ins are released as the platform accepts the spot orders.
		for range 4 {
			p.SetCurrent(p.Plan(now, s, c, 6))
		}
		standard, spot := count(p.Plan(now, s, c, 6))
		must.Eq(t, 2, standard)
		must.Eq(t, 4, spot)
	}
}

// TestPlanInvariants runs a planner with changing demand, drained failure
// domains and slots that cannot be filled.
func TestPlanInvariants(t *testing.T) {
	allDomains := []fleet.FailureDomain{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		var p scale.Planner
		c := config.Pool{
			Name: "p", LiveFloor: rapid.IntRange(0, 6).Draw(t, "floor"),
			MaxServers: rapid.IntRange(1, 20).Draw(t, "most"), SpotAllowed: rapid.Bool().Draw(t, "spot"),
		}
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		current := make(map[order.Slot]order.Line)
		for range 30 {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds")) * time.Second)
			s := scale.Site{Region: "r", Domains: allDomains[:rapid.IntRange(2, 4).Draw(t, "domains")]}
			for k := range current {
				if !slices.Contains(s.Domains, k.FailureDomain) {
					delete(current, k)
				}
			}
			p.SetCurrent(slices.Collect(maps.Values(current)))
			lines := p.Plan(now, s, c, rapid.IntRange(0, 25).Draw(t, "demand"))
			perDomain := make(map[fleet.FailureDomain]int)
			standard := 0
			for _, l := range lines {
				if l.Slot.Kind == fleet.Standard {
					standard += l.Count
					perDomain[l.Slot.FailureDomain] += l.Count
				}
				if l.Slot.Kind == fleet.Spot && l.Count > current[l.Slot].Count && rapid.IntRange(0, 3).Draw(t, "unfilled") == 0 {
					p.MarkUnfilled(now, l.Slot)
					continue
				}
				current[l.Slot] = l
			}
			for d, n := range perDomain {
				must.GreaterEq(t, c.LiveFloor, standard-n, must.Sprint(string(d)))
			}
			total := 0
			for _, l := range current {
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
