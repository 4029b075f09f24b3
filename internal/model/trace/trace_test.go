package trace

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func TestSameSeedSameTrace(t *testing.T) {
	for _, s := range []Scenario{Calm, Overloaded, SpotReclaimed, Stragglers, StoreOutage} {
		a, b, c := New(Cosecha(), s, 1, FullLength), New(Cosecha(), s, 1, FullLength), New(Cosecha(), s, 2, FullLength)
		must.True(t, slices.Equal(a.Arrivals, b.Arrivals))
		must.True(t, slices.Equal(a.Faults, b.Faults))
		must.False(t, slices.Equal(a.Arrivals, c.Arrivals))
	}
}

func TestDeploymentSizes(t *testing.T) {
	a, c := Asociace(), Cosecha()
	must.Len(t, 9, a.Engines)
	must.Len(t, 11, c.Engines)
	for _, d := range []Deployment{a, c} {
		must.Len(t, 3, d.Services)
		must.Len(t, 3, d.Domains)
		must.Len(t, 8, d.Workspaces)
	}
	must.Eq(t, 9, a.Daemons)
	must.Eq(t, 11, c.Daemons)
	must.Len(t, 4, c.Trainers)
}

func TestScenarios(t *testing.T) {
	d := Asociace()
	calm, over := New(d, Calm, 1, FullLength), New(d, Overloaded, 1, FullLength)
	must.Eq(t, "", string(calm.OverloadingWorkspace))
	count := func(tr *Trace, w fleet.Workspace) int {
		n := 0
		for _, a := range tr.Arrivals {
			if a.Workspace == w && a.Class == fleet.Live {
				n++
			}
		}
		return n
	}
	must.Greater(t, 5*count(&calm, over.OverloadingWorkspace), count(&over, over.OverloadingWorkspace))
	must.Len(t, 6, New(d, SpotReclaimed, 1, FullLength).Faults)
	must.Len(t, 2, New(d, StoreOutage, 1, FullLength).Faults)
	must.Greater(t, calm.LongFraction, New(d, Stragglers, 1, FullLength).LongFraction)
}
