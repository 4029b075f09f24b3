// Package schedule decides which item of a batch job runs next and on which
// backend server. Its functions do no I/O and read no clock.
//
// The load that it answers is its worst: more items than places, two or more
// jobs open at once, lengths that vary by a hundred times and are known only
// roughly, and servers that load new weights by turns. The item with the least
// slack goes first: the time left until its job is due, less the time that it
// still needs. So the longest items of a new job start before the shorter ones
// of an older job, unless these run late themselves.
package schedule

import (
	"slices"
	"time"
)

const (
	// DefaultPace is the time that a token takes on a server of which nothing
	// is known.
	DefaultPace = 700 * time.Microsecond
	// slowFactor is how much slower than the fastest a server may be before it
	// gets work only if no other has room.
	slowFactor = 2
)

// Work is an item that waits to be run.
type Work struct {
	ID string
	// Group is the items that the trainer takes only together.
	Group string
	// Model and MinVersion are the weights that may run the item.
	Model      string
	MinVersion int
	// Service is where it runs.
	Service string
	DueAt   time.Time
	// Remaining is the expected number of tokens that are still to be made.
	Remaining int
	// NotBefore is when the item may be tried again; zero is at once.
	NotBefore time.Time
	// Avoid is a server that failed the item; empty for none.
	Avoid string
}

// Server is a backend server as a scheduler sees it.
type Server struct {
	ID      string
	Service string
	// Version is the version of the weights of a model.
	Version func(model string) int
	// Free is how many more items this daemon may run on it.
	Free int
	// Pace is the time that a token takes; 0 is unknown.
	Pace time.Duration
	// Busy is whether the server is loading weights.
	Busy bool
}

// Placement sends an item to a server.
type Placement struct {
	Work   Work
	Server string
}

// Slack returns how long an item can wait and still be ready when its job is
// due.
func (w Work) Slack(now time.Time) time.Duration {
	return w.DueAt.Sub(now) - time.Duration(w.Remaining)*DefaultPace
}

// Place returns which of the waiting items start now, and where. It changes
// Free of the servers accordingly.
func Place(now time.Time, waiting []Work, servers []Server) []Placement {
	ready := make([]Work, 0, len(waiting))
	for _, w := range waiting {
		if !now.Before(w.NotBefore) {
			ready = append(ready, w)
		}
	}
	slices.SortStableFunc(ready, func(a, b Work) int { return int(a.Slack(now)/time.Millisecond - b.Slack(now)/time.Millisecond) })
	fastest := Fastest(servers)
	var out []Placement
	for _, w := range ready {
		i := pick(w, servers, fastest)
		if i < 0 {
			continue
		}
		servers[i].Free--
		out = append(out, Placement{Work: w, Server: servers[i].ID})
	}
	return out
}

// Fastest returns the pace of the fastest server.
func Fastest(servers []Server) time.Duration {
	best := time.Duration(0)
	for _, s := range servers {
		if s.Pace > 0 && (best == 0 || s.Pace < best) {
			best = s.Pace
		}
	}
	if best == 0 {
		return DefaultPace
	}
	return best
}

// Slow reports whether a server is much slower than the fastest.
func (s Server) Slow(fastest time.Duration) bool {
	return s.Pace > slowFactor*fastest
}

// pick returns the index of the best server for an item, or -1.
func pick(w Work, servers []Server, fastest time.Duration) int {
	best := -1
	for i, s := range servers {
		if !s.runs(w) || s.Free < 1 {
			continue
		}
		if best < 0 || better(w, s, servers[best], fastest) {
			best = i
		}
	}
	return best
}

// runs reports whether a server's weights may run an item.
func (s Server) runs(w Work) bool {
	return s.Service == w.Service && s.Version(w.Model) >= w.MinVersion
}

// better reports whether a server suits an item better than another.
func better(w Work, a, b Server, fastest time.Duration) bool {
	if (a.ID == w.Avoid) != (b.ID == w.Avoid) {
		return b.ID == w.Avoid
	}
	if a.Busy != b.Busy {
		return b.Busy
	}
	if a.Slow(fastest) != b.Slow(fastest) {
		return b.Slow(fastest)
	}
	if a.Free != b.Free {
		return a.Free > b.Free
	}
	return a.Pace < b.Pace
}

// Quota returns how many of a server's places one of several daemons may take
// without asking the others. All quotas of a server add up to its places.
// Rotation spreads the remainder over the daemons differently for each server.
func Quota(places, rank, daemons, rotation int) int {
	if daemons < 1 || rank < 0 {
		return places
	}
	r := (rank + rotation) % daemons
	return places*(r+1)/daemons - places*r/daemons
}

// Share splits items over daemons so that none gets more work than its weight
// allows: the longest item goes to the daemon that would be done with it first.
// It returns the index of a daemon for each item.
func Share(lengths []int, weights []float64) []int {
	order := make([]int, len(lengths))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return lengths[b] - lengths[a] })
	load := make([]float64, len(weights))
	out := make([]int, len(lengths))
	for _, i := range order {
		best := 0
		for d := range weights {
			if (load[d]+float64(lengths[i]))/weights[d] < (load[best]+float64(lengths[i]))/weights[best] {
				best = d
			}
		}
		load[best] += float64(lengths[i])
		out[i] = best
	}
	return out
}
