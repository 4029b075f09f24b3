package cell

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

func TestPolicies(t *testing.T) {
	waiting := []Candidate[fleet.Workspace]{
		{Key: "large", Since: at(1), Running: 8, MaxRunning: 16, Weight: 1},
		{Key: "standard-only", Since: at(2), Running: 3, MaxRunning: 4, Weight: 1},
		{Key: "weighted", Since: at(3), Running: 9, MaxRunning: 16, Weight: 2},
	}
	must.Eq(t, 0, FIFO[fleet.Workspace]{}.Next(at(9), waiting))
	must.Eq(t, 1, MaxMin[fleet.Workspace]{}.Next(at(9), waiting))
	must.Eq(t, 2, Share[fleet.Workspace]{}.Next(at(9), waiting))
	var r RoundRobin[fleet.Workspace]
	served := map[fleet.Workspace]int{}
	for range 40 {
		c := waiting[r.Next(at(9), waiting)]
		r.Started(at(9), c, 1)
		served[c.Key]++
	}
	must.Eq(t, map[fleet.Workspace]int{"large": 10, "standard-only": 10, "weighted": 20}, served)
}
