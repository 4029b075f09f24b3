// Package wave decides which backend servers load a new version of a model's
// weights, and when.
//
// The load that it answers is several trainers that each name a version every
// few seconds, while only a few servers may load at a time. Two measures keep
// the loads below what the source of weights gives. Each server belongs to one
// model, so that it loads for one trainer only; models get servers by demand.
// And a trainer's step accepts the version before the newest, too, so about
// half of a model's servers load at each version: those that are two behind,
// which soon no step accepts. The others serve both open steps meanwhile.
package wave

import (
	"cmp"
	"slices"
)

const (
	// minAtOnce is the number of servers that may always load at the same time.
	minAtOnce = 2
	// atOnceShare is the part of the standard servers that may load at the same
	// time. The source of weights is built for these, and serves more of them
	// more slowly, so that more servers would be away for longer.
	atOnceShare = 0.2
)

// Model is a model with a named version.
type Model struct {
	Name  string
	Named int
	// Demand is the work that waits for the model, in any unit.
	Demand float64
}

// Server is a backend server as a roll-out sees it.
type Server struct {
	ID string
	// Versions gives the version of each model that the server runs.
	Versions map[string]int
	// Loading is the model whose weights it loads or may load; empty for none.
	Loading string
	// Running is the number of its runs, if known.
	Running int
	// Spot tells servers that come and go.
	Spot bool
}

// Order has a server load the named version of a model.
type Order struct {
	Server string
	Model  string
}

// Plan returns the orders to give now to the servers of one service.
func Plan(models []Model, servers []Server) []Order {
	if len(models) == 0 {
		return nil
	}
	room := atOnce(servers)
	for _, s := range servers {
		if s.Loading != "" {
			room--
		}
	}
	homes := assign(models, servers)
	slices.SortFunc(models, func(a, b Model) int {
		return cmp.Or(cmp.Compare(fresh(a, homes[a.Name]), fresh(b, homes[b.Name])), cmp.Compare(a.Name, b.Name))
	})
	var out []Order
	for _, m := range models {
		for _, id := range pick(homes[m.Name], m) {
			if len(out) >= room {
				return out
			}
			out = append(out, Order{Server: id, Model: m.Name})
		}
	}
	return out
}

// atOnce returns how many servers may load at the same time.
func atOnce(servers []Server) int {
	standard := 0
	for _, s := range servers {
		if !s.Spot {
			standard++
		}
	}
	return max(minAtOnce, int(atOnceShare*float64(standard)+0.5))
}

// assign gives each server to one model: models get servers by demand, and
// those that are the least behind for them.
func assign(models []Model, servers []Server) map[string][]Server {
	type pair struct {
		server, model, lag int
	}
	var pairs []pair
	for i, s := range servers {
		for j, m := range models {
			lag := max(0, m.Named-s.Versions[m.Name])
			if s.Loading == m.Name {
				lag = 0
			}
			pairs = append(pairs, pair{i, j, lag})
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return a.lag - b.lag })
	quotas := split(models, len(servers))
	taken := make(map[int]bool)
	homes := make(map[string][]Server)
	for _, p := range pairs {
		if !taken[p.server] && quotas[p.model] > 0 {
			taken[p.server] = true
			quotas[p.model]--
			homes[models[p.model].Name] = append(homes[models[p.model].Name], servers[p.server])
		}
	}
	return homes
}

// split divides a number of servers by demand; each model gets at least one
// while there are enough.
func split(models []Model, servers int) []int {
	total := 0.0
	for _, m := range models {
		total += max(m.Demand, minDemand)
	}
	out := make([]int, len(models))
	for range servers {
		best, bestNeed := 0, 0.0
		for i, m := range models {
			need := max(m.Demand, minDemand) / total / (float64(out[i]) + 0.5)
			if out[i] == 0 {
				need += 2
			}
			if need > bestNeed {
				best, bestNeed = i, need
			}
		}
		out[best]++
	}
	return out
}

// minDemand is what a model without work is taken to demand.
const minDemand = 1e-6

// fresh returns the part of a model's servers that the next step accepts.
func fresh(m Model, servers []Server) float64 {
	n := 0
	for _, s := range servers {
		if s.Loading == m.Name || s.Versions[m.Name] >= m.Named-1 {
			n++
		}
	}
	return float64(n) / float64(max(1, len(servers)))
}

// pick returns the servers of a model that are to load, the most urgent first.
func pick(servers []Server, m Model) []string {
	newest := 0
	var behind []Server
	for _, s := range servers {
		switch {
		case s.Loading == m.Name || s.Versions[m.Name] >= m.Named:
			newest++
		case s.Loading == "":
			behind = append(behind, s)
		}
	}
	slices.SortStableFunc(behind, func(a, b Server) int {
		return cmp.Or(a.Versions[m.Name]-b.Versions[m.Name], a.Running-b.Running)
	})
	half := max(1, len(servers)/2)
	var out []string
	for _, s := range behind {
		if s.Versions[m.Name] < m.Named-1 || newest < half {
			out = append(out, s.ID)
			newest++
		}
	}
	return out
}
