package capacity_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/capacity"
)

func TestNeededLeavesSlotsFree(t *testing.T) {
	// The work of 3.5 fully loaded servers gets 18 servers.
	must.Eq(t, 18, capacity.Needed(3.5, 1))
	must.Eq(t, 0, capacity.Needed(3.5, 0))
}

func TestDomainWithFewestServersIsFilledFirst(t *testing.T) {
	domains := []capacity.Domain{{Name: "a", Standard: 4, Price: 1}, {Name: "b", Standard: 4, Price: 0.8}, {Name: "c", Standard: 3, Price: 1.2}}
	got := capacity.Distribute(14, domains, capacity.Bounds{Max: 8, HasSpot: true})
	must.Eq(t, []capacity.Order{{"a", 1}, {"b", 1}, {"c", 1}}, got)
	got = capacity.Distribute(13, domains, capacity.Bounds{Max: 8, HasSpot: true})
	must.Eq(t, []capacity.Order{{"a", 0}, {"b", 1}, {"c", 1}}, got)
}

func TestDistributionRespectsBounds(t *testing.T) {
	got := capacity.Distribute(100, []capacity.Domain{{Name: "a", Standard: 3}, {Name: "b", Standard: 6}}, capacity.Bounds{Max: 6, HasSpot: true})
	must.Eq(t, []capacity.Order{{"a", 3}, {"b", 0}}, got)
	must.SliceEmpty(t, capacity.Distribute(100, []capacity.Domain{{Name: "a", Standard: 3}}, capacity.Bounds{Max: 6}))
}
