// Package loadplan decides which backend servers load a new version of a
// model's weights, and when.
//
// Several trainers each announce a version every few seconds, while only a few
// servers may load at a time. Two measures keep the loads within the capacity
// of the weight source. Each server is assigned to one model, so that it loads
// for one trainer only; models get servers by demand. And because a trainer's
// step also accepts the version before the newest, about half of a model's
// servers load at each version: those that are two versions behind, which no
// step will accept soon. The others serve both open steps in the meantime.
package loadplan

import (
	"cmp"
	"slices"
)

const (
	// minLoads is how many servers may load at the same time in a service of
	// any size.
	minLoads = 2
	// loadShare is the fraction of the standard servers that may load at the
	// same time. The weight source is sized for these. With more concurrent
	// loads each one is slower, so that more servers are unavailable for
	// longer.
	loadShare = 0.2
)

// Model is a model with the version that its trainer announced last.
type Model struct {
	Name string
	// Version is the version to load.
	Version int
	// Demand is the work waiting for the model, in any unit that is the same
	// for all models.
	Demand float64
}

// Server is the state of a backend server during a roll-out.
type Server struct {
	ID string
	// Versions holds the loaded version of each model.
	Versions map[string]int
	// Loading is the model whose weights the server loads or may be loading;
	// empty if none.
	Loading string
	// Running is the number of batch items running on the server, if known.
	Running int
	// Spot is whether the server is a spot server, which may leave at any time.
	Spot bool
}

// Order is the order to a server to load the announced version of a model.
type Order struct {
	Server string
	Model  string
}

// Plan returns the orders to send now to the servers of one service. It sorts
// models in place by urgency.
func Plan(models []Model, servers []Server) []Order {
	if len(models) == 0 {
		return nil
	}
	free := maxLoads(servers)
	for _, s := range servers {
		if s.Loading != "" {
			free--
		}
	}
	assigned := assign(models, servers)
	slices.SortFunc(models, func(a, b Model) int {
		return cmp.Or(cmp.Compare(acceptedShare(a, assigned[a.Name]), acceptedShare(b, assigned[b.Name])), cmp.Compare(a.Name, b.Name))
	})
	var out []Order
	for _, m := range models {
		for _, id := range pick(assigned[m.Name], m) {
			if len(out) >= free {
				return out
			}
			out = append(out, Order{Server: id, Model: m.Name})
		}
	}
	return out
}

// maxLoads returns how many servers may load at the same time.
func maxLoads(servers []Server) int {
	standard := 0
	for _, s := range servers {
		if !s.Spot {
			standard++
		}
	}
	return max(minLoads, int(loadShare*float64(standard)+0.5))
}

// assign assigns each server to one model: models get servers by demand, and
// the servers whose version of the model is the least behind.
func assign(models []Model, servers []Server) map[string][]Server {
	type pair struct {
		server, model, lag int
	}
	var pairs []pair
	for i, s := range servers {
		for j, m := range models {
			lag := max(0, m.Version-s.Versions[m.Name])
			if s.Loading == m.Name {
				lag = 0
			}
			pairs = append(pairs, pair{i, j, lag})
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return a.lag - b.lag })
	quotas := split(models, len(servers))
	taken := make(map[int]bool)
	assigned := make(map[string][]Server)
	for _, p := range pairs {
		if !taken[p.server] && quotas[p.model] > 0 {
			taken[p.server] = true
			quotas[p.model]--
			assigned[models[p.model].Name] = append(assigned[models[p.model].Name], servers[p.server])
		}
	}
	return assigned
}

// split divides a number of servers among the models by demand. Each model gets
// at least one if there are enough.
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

// minDemand is the demand of a model without work.
const minDemand = 1e-6

// acceptedShare returns the fraction of a model's servers that the next step
// accepts.
func acceptedShare(m Model, servers []Server) float64 {
	n := 0
	for _, s := range servers {
		if s.Loading == m.Name || s.Versions[m.Name] >= m.Version-1 {
			n++
		}
	}
	return float64(n) / float64(max(1, len(servers)))
}

// pick returns the servers of a model that should load, the most urgent first.
func pick(servers []Server, m Model) []string {
	newest := 0
	var behind []Server
	for _, s := range servers {
		switch {
		case s.Loading == m.Name || s.Versions[m.Name] >= m.Version:
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
		if s.Versions[m.Name] < m.Version-1 || newest < half {
			out = append(out, s.ID)
			newest++
		}
	}
	return out
}
