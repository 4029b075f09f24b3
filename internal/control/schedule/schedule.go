// Package schedule decides which item of a batch job runs next and on which
// backend server. Its functions do no I/O and read no clock.
//
// The load that it answers is its worst: more items than places, two or more
// jobs open at once, lengths that vary by a hundred times and are known only
// roughly, and servers that load new weights by turns. The item with the least
// slack goes first: the time left until its job is due, less the time that it
// still needs. So the longest items of a new job start before the shorter ones
// of an older job, unless these run late themselves.
//
// A step ends with its longest items, and a server makes the tokens of each run
// the faster the fewer it runs. So about half of the servers are kept for long
// items as long as the short ones, which end early anyway, need not hurry.
package schedule

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultPace is the time that a token takes on a server of which nothing
	// is known.
	DefaultPace = 700 * time.Microsecond
	// slowFactor is how much slower than the fastest a server may be before it
	// gets work only if no other has room.
	slowFactor = 2
	// loadFactor is the part by which each further item slows a server down.
	loadFactor = 0.025
	// alikeFactor is the difference of paces up to which servers count as
	// equally fast.
	alikeFactor = 1.15
	// longTime is the time that an item must still need to count as long.
	longTime = 1500 * time.Millisecond
	// longShare is the part of the servers that is kept for long items.
	longShare = 0.5
	// hurryWait and hurrySlack are when a short item takes any server: after
	// some wait, or when its job is due soon.
	hurryWait  = 500 * time.Millisecond
	hurrySlack = 3 * time.Second
	// spareWait is how long an item waits before it takes a place that belongs
	// to another daemon: those who have the places begin theirs first, and
	// heartbeats tell of it.
	spareWait = time.Second
	// spareShare is the part of a server's places up to which daemons without a
	// place of their own may use it.
	spareShare = 0.5
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
	// ReadyAt is when the item last began to wait.
	ReadyAt time.Time
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
	// Spare is how many more it may run beyond, of items that have waited long.
	Spare int
	// Load is the number of items that all daemons run on it, as far as known.
	Load int
	// Pace is the time that a token takes while the server runs little else; 0
	// is unknown.
	Pace time.Duration
	// Loading is the model whose weights the server is loading; empty for none.
	// It refuses the model's items meanwhile.
	Loading string

	// long is whether the server is kept for long items.
	long bool
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

// long reports whether an item is one of those that end a step.
func (w Work) long() bool {
	return time.Duration(w.Remaining)*DefaultPace > longTime
}

// hurries reports whether a short item takes any server.
func (w Work) hurries(now time.Time) bool {
	return now.Sub(w.ReadyAt) > hurryWait || w.Slack(now) < hurrySlack
}

// Place returns which of the waiting items start now, and where. It changes
// Free and Load of the servers accordingly.
func Place(now time.Time, waiting []Work, servers []Server) []Placement {
	ready := make([]Work, 0, len(waiting))
	for _, w := range waiting {
		if !now.Before(w.NotBefore) {
			ready = append(ready, w)
		}
	}
	slices.SortStableFunc(ready, func(a, b Work) int { return int(a.Slack(now)/time.Millisecond - b.Slack(now)/time.Millisecond) })
	fastest := Fastest(servers)
	reserve(servers, fastest)
	var out []Placement
	for _, w := range ready {
		i := pick(w, servers, fastest, w.access(now))
		if i < 0 {
			continue
		}
		servers[i].take()
		out = append(out, Placement{Work: w, Server: servers[i].ID})
	}
	return out
}

// reserve keeps servers for long items, the same whichever daemon decides, as
// far as all know the same servers.
func reserve(servers []Server, fastest time.Duration) {
	order := make([]int, 0, len(servers))
	for i, s := range servers {
		servers[i].long = false
		if !s.Slow(fastest) && s.Loading == "" {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		if x, y := servers[a].alike(fastest), servers[b].alike(fastest); x != y {
			if x {
				return -1
			}
			return 1
		}
		x, y := xxhash.Sum64String(servers[a].ID), xxhash.Sum64String(servers[b].ID)
		if x < y {
			return -1
		}
		return 1
	})
	for _, i := range order[:int(longShare*float64(len(order)))] {
		servers[i].long = true
	}
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

// Base returns the pace of a server that runs little else, given the pace that
// was seen while it ran a number of items.
func Base(seen time.Duration, load int) time.Duration {
	return time.Duration(float64(seen) / (1 + loadFactor*float64(load)))
}

// alike reports whether a server is about as fast as the fastest. One of which
// nothing is known is taken to be.
func (s Server) alike(fastest time.Duration) bool {
	return float64(s.Pace) <= alikeFactor*float64(fastest)
}

// expected returns the pace that one more item will have.
func (s Server) expected(fastest time.Duration) time.Duration {
	return time.Duration(float64(max(s.Pace, fastest)) * (1 + loadFactor*float64(s.Load+1)))
}

// Slow reports whether a server is much slower than the fastest.
func (s Server) Slow(fastest time.Duration) bool {
	return s.Pace > slowFactor*fastest
}

// access is which places an item may take besides the daemon's own on any server.
type access struct {
	// reserved are those on servers kept for long items, and spare those of
	// other daemons.
	reserved, spare bool
}

// access returns which places an item may take.
func (w Work) access(now time.Time) access {
	return access{
		reserved: w.long() || w.hurries(now),
		spare:    !w.ReadyAt.IsZero() && now.Sub(w.ReadyAt) > spareWait,
	}
}

// open reports whether a server has a place.
func (a access) open(s Server) bool {
	if s.long && !a.reserved {
		return false
	}
	return s.Free > 0 || a.spare && s.Free == 0 && s.Spare > 0
}

// take takes a place.
func (s *Server) take() {
	s.Load++
	if s.Free > 0 {
		s.Free--
		return
	}
	s.Spare--
}

// pick returns the index of the best server for an item, or -1.
func pick(w Work, servers []Server, fastest time.Duration, a access) int {
	best := -1
	for i, s := range servers {
		if !s.runs(w) || !a.open(s) {
			continue
		}
		if best < 0 || better(w, s, servers[best], fastest) {
			best = i
		}
	}
	return best
}

// runs reports whether a server's weights may run an item now.
func (s Server) runs(w Work) bool {
	return s.Service == w.Service && s.Version(w.Model) >= w.MinVersion && !s.loads(w.Model)
}

// loads reports whether a server is loading weights of a model.
func (s Server) loads(model string) bool {
	return s.Loading != "" && s.Loading == model
}

// better reports whether a server suits an item better than another.
func better(w Work, a, b Server, fastest time.Duration) bool {
	if (a.ID == w.Avoid) != (b.ID == w.Avoid) {
		return b.ID == w.Avoid
	}
	if a.Slow(fastest) != b.Slow(fastest) {
		return b.Slow(fastest)
	}
	if a.long != b.long {
		return a.long == w.long()
	}
	if x, y := a.expected(fastest), b.expected(fastest); w.long() && x != y {
		return x < y
	}
	if a.Load != b.Load {
		return a.Load < b.Load
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

// Spare reports whether one of several daemons, which has no place on a server,
// may use one that others leave empty. Load is what all daemons run there, as far
// as known. Turn changes with time, the same for all: in each turn only about as
// many daemons may as there are places, though all see the same empty server.
// Seat tells the daemon from the others.
func Spare(places, load, seat, daemons, rotation, turn int) bool {
	empty := int(spareShare*float64(places)) - load
	without := daemons - places
	if empty <= 0 || daemons < 1 {
		return false
	}
	if without <= empty {
		return true
	}
	return (seat+rotation+turn*empty)%daemons < empty*daemons/without
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
