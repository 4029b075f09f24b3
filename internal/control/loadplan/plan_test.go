package loadplan_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/loadplan"
)

func servers(versions ...int) []loadplan.Server {
	var out []loadplan.Server
	for i, v := range versions {
		out = append(out, loadplan.Server{ID: strconv.Itoa(i), Versions: map[string]int{"m": v}})
	}
	return out
}

func plan(s []loadplan.Server, announced int) []string {
	var out []string
	for _, o := range loadplan.Plan([]loadplan.Model{{Name: "m", Version: announced, Demand: 1}}, s) {
		out = append(out, o.Server)
	}
	return out
}

func TestHalfOfServersLoadNewVersion(t *testing.T) {
	s := servers(1, 1, 1, 1)
	must.Eq(t, []string{"0", "1"}, plan(s, 2))
	s[0].Loading, s[1].Loading = "m", "m"
	must.SliceEmpty(t, plan(s, 2))
	must.SliceEmpty(t, plan(servers(2, 2, 1, 1), 2))
}

func TestServersTwoVersionsBehindLoad(t *testing.T) {
	must.Eq(t, []string{"2", "3"}, plan(servers(2, 2, 1, 1), 3))
	must.Eq(t, []string{"0", "1"}, plan(servers(2, 2, 3, 3), 4))
}

func TestNothingToLoad(t *testing.T) {
	must.SliceEmpty(t, loadplan.Plan(nil, servers(1, 1)))
	must.SliceEmpty(t, plan(nil, 2))
}

func TestConcurrentLoadsAreLimited(t *testing.T) {
	s := servers(1, 1, 1, 1, 1, 1, 1, 1, 1)
	s[0].Loading = "m"
	must.Len(t, 1, plan(s, 3))
}

// TestSpotServersDoNotRaiseLoadLimit simulates three trainers that announce
// versions every four seconds, on 45 standard and 45 spot servers. The weight
// source serves nine loads at a time; further ones slow down all of them. A
// server is useful while it is not loading and a step accepts one of its
// versions. More than two thirds of the servers must be useful on average.
func TestSpotServersDoNotRaiseLoadLimit(t *testing.T) {
	const step, maxFastLoads, loadTicks, seconds = 100 * time.Millisecond, 9, 9, 60
	var s []loadplan.Server
	remaining := make([]float64, 90)
	models := []loadplan.Model{{Name: "a", Version: 1, Demand: 1}, {Name: "b", Version: 1, Demand: 1}, {Name: "c", Version: 1, Demand: 1}}
	for i := range remaining {
		s = append(s, loadplan.Server{ID: strconv.Itoa(i), Spot: i%2 == 1, Versions: map[string]int{"a": 1, "b": 1, "c": 1}})
	}
	useful, ticks := 0, 0
	for tick := range int(seconds * time.Second / step) {
		if tick%40 == 0 {
			for i := range models {
				models[i].Version++
			}
		}
		loading := 0
		for _, v := range s {
			if v.Loading != "" {
				loading++
			}
		}
		must.LessEq(t, maxFastLoads, loading)
		for i := range s {
			if s[i].Loading == "" {
				continue
			}
			if remaining[i] -= min(1, maxFastLoads/float64(loading)); remaining[i] <= 0 {
				s[i].Versions[s[i].Loading] = versionOf(models, s[i].Loading)
				s[i].Loading = ""
			}
		}
		for _, v := range s {
			ticks++
			if v.Loading == "" && slices.ContainsFunc(models, func(m loadplan.Model) bool { return v.Versions[m.Name] >= m.Version-1 }) {
				useful++
			}
		}
		for _, o := range loadplan.Plan(append([]loadplan.Model(nil), models...), s) {
			i, err := strconv.Atoi(o.Server)
			must.NoError(t, err)
			s[i].Loading, remaining[i] = o.Model, loadTicks
		}
	}
	t.Logf("%d%% of servers useful", 100*useful/ticks)
	must.Greater(t, ticks*2/3, useful)
}

// TestTwoTrainersFindAcceptedServers simulates two trainers that each announce
// a version every four seconds, on eleven servers of which two at a time load
// within a second. There must always be servers that the next step of each
// accepts.
func TestTwoTrainersFindAcceptedServers(t *testing.T) {
	var s []loadplan.Server
	for i := range 11 {
		s = append(s, loadplan.Server{ID: strconv.Itoa(i), Versions: map[string]int{"a": 1, "b": 1}})
	}
	models := []loadplan.Model{{Name: "a", Version: 1, Demand: 7}, {Name: "b", Version: 1, Demand: 3}}
	for second := range 80 {
		for i := range s {
			if m := s[i].Loading; m != "" {
				s[i].Versions[m] = versionOf(models, m)
				s[i].Loading = ""
			}
		}
		for i := range models {
			if second%4 == 0 && second > 0 {
				models[i].Version++
			}
			accepted := 0
			for _, v := range s {
				if v.Versions[models[i].Name] >= models[i].Version-1 {
					accepted++
				}
			}
			must.Positive(t, accepted, must.Sprintf("second %d, model %s", second, models[i].Name))
		}
		for _, o := range loadplan.Plan(append([]loadplan.Model(nil), models...), s) {
			for i := range s {
				if s[i].ID == o.Server {
					must.Eq(t, "", s[i].Loading)
					s[i].Loading = o.Model
				}
			}
		}
	}
}

func versionOf(models []loadplan.Model, name string) int {
	for _, m := range models {
		if m.Name == name {
			return m.Version
		}
	}
	return 0
}
