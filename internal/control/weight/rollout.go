// Package weight rolls new weights out over the backend servers in waves.
package weight

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
)

// Built-in values of a Policy.
const (
	defaultQuarantine = time.Minute
	defaultRetry      = 500 * time.Millisecond
	defaultShare      = 0.34
	defaultSwap       = 5 * time.Second
	defaultTries      = 3
)

// Load orders one server to swap its weights.
type Load struct {
	Server  fleet.Server
	Weights weights.Weights
	// OrderID is the same for every repetition of one try.
	OrderID string
}

// Policy bounds a roll-out. Its zero value has the built-in bounds and no
// limit of the store's rate.
type Policy struct {
	// Share is the share of a pool's servers that may swap at once; one may
	// always.
	Share float64
	// Regions is how many regions share the rate of the weight store; 0 counts
	// as 1.
	Regions int
	// Rate is how many swaps may begin a second, by the weight store's limit
	// and this region's part of it; 0 is without limit.
	Rate float64
	// Swap is how long a server may take to swap.
	Swap time.Duration
	// Retry is how long a server rests after a failed swap.
	Retry time.Duration
	// Tries is the number of failed swaps that quarantine a server.
	Tries int
	// Quarantine is how long a quarantined server is left alone.
	Quarantine time.Duration
}

// Rollout decides which servers swap when. Its zero value has the built-in
// policy and knows no server. It is a decision: it does no I/O and is not safe
// for concurrent use.
type Rollout struct {
	Policy Policy

	// servers holds the live servers, leaving ones left out.
	servers map[fleet.ServerID]*server
	// targets holds the newest weights of each pool; versions never fall.
	targets map[fleet.Pool]weights.Weights
	// nextLoad is when the store's rate allows the next swap to begin.
	nextLoad time.Time
}

// server is what is known of one backend server.
type server struct {
	fleet.Server
	// version is the one last reported; 0 is unknown.
	version fleet.WeightVersion
	// reported is when the version was last reported; zero is never.
	reported time.Time
	// swapBy is when the running swap counts as failed; zero is no swap.
	swapBy time.Time
	// ordered is the version of the running swap.
	ordered fleet.WeightVersion
	// restUntil is when the next swap may begin, after a failed one.
	restUntil time.Time
	// quarantined is whether restUntil ends a quarantine.
	quarantined bool
	// failures counts failed swaps since the last good one.
	failures int
	// tries counts the swaps ordered, for the order's ID.
	tries int
}

// Behind reports whether a server is known to serve older weights than the
// newest.
func (r *Rollout) Behind(id fleet.ServerID) bool {
	s, ok := r.servers[id]
	return ok && r.behind(s)
}

// Decide returns the swaps that begin now.
func (r *Rollout) Decide(now time.Time) []Load {
	r.expire(now)
	var loads []Load
	for _, p := range r.pools() {
		loads = append(loads, r.decidePool(now, p)...)
	}
	return loads
}

// Due returns the servers whose status is to be asked for: those that swap or
// are behind, and those not heard from since before.
func (r *Rollout) Due(before time.Time) []fleet.Server {
	var due []fleet.Server
	for _, s := range r.sorted() {
		if !s.swapBy.IsZero() || s.reported.Before(before) {
			due = append(due, s.Server)
		}
	}
	return due
}

// Fail takes a swap that the server turned down or reported as failed.
func (r *Rollout) Fail(now time.Time, id fleet.ServerID) {
	if s, ok := r.servers[id]; ok && !s.swapBy.IsZero() {
		r.fail(now, s)
	}
}

// Publish takes the newest weights of a pool. Older ones than known are
// ignored.
func (r *Rollout) Publish(w weights.Weights) {
	if r.targets == nil {
		r.targets = make(map[fleet.Pool]weights.Weights)
	}
	if w.Version > r.targets[w.Pool].Version {
		r.targets[w.Pool] = w
	}
}

// Quarantined returns the servers that are left alone at now, in order.
func (r *Rollout) Quarantined(now time.Time) []fleet.ServerID {
	var ids []fleet.ServerID
	for _, s := range r.sorted() {
		if s.quarantined && !clock.Passed(now, s.restUntil) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Report takes the version that a server says it serves.
func (r *Rollout) Report(now time.Time, id fleet.ServerID, v fleet.WeightVersion) {
	s, ok := r.servers[id]
	if !ok {
		return
	}
	s.version, s.reported = v, now
	// The swap that was ordered is over even when newer weights were published
	// meanwhile.
	if v > 0 && (v >= r.targets[s.Pool].Version || (!s.swapBy.IsZero() && v >= s.ordered)) {
		s.swapBy, s.restUntil = time.Time{}, time.Time{}
		s.failures, s.quarantined = 0, false
	}
}

// See takes the list of servers. Those that are not live are forgotten.
func (r *Rollout) See(servers []fleet.Server) {
	seen := make(map[fleet.ServerID]*server, len(servers))
	for _, f := range servers {
		if f.State != fleet.StateLive {
			continue
		}
		s, ok := r.servers[f.ID]
		if !ok {
			s = &server{}
		}
		s.Server = f
		seen[f.ID] = s
	}
	r.servers = seen
}

// Settled reports whether every server that is not quarantined serves the
// newest weights.
func (r *Rollout) Settled(now time.Time) bool {
	for _, s := range r.servers {
		if r.behind(s) && (!s.quarantined || clock.Passed(now, s.restUntil)) {
			return false
		}
	}
	return true
}

func (r *Rollout) behind(s *server) bool {
	return s.version < r.targets[s.Pool].Version
}

func (r *Rollout) decidePool(now time.Time, p fleet.Pool) []Load {
	size, swapping := 0, 0
	var ready []*server
	for _, s := range r.sorted() {
		if s.Pool != p {
			continue
		}
		size++
		switch {
		case !s.swapBy.IsZero():
			swapping++
		case r.behind(s) && !s.reported.IsZero() && clock.Passed(now, s.restUntil):
			ready = append(ready, s)
		}
	}
	slices.SortStableFunc(ready, func(a, b *server) int { return cmp.Compare(a.version, b.version) })
	var loads []Load
	for _, s := range ready[:min(len(ready), max(0, r.wave(size)-swapping))] {
		if !r.takeRate(now) {
			break
		}
		loads = append(loads, r.begin(now, s))
	}
	return loads
}

func (r *Rollout) begin(now time.Time, s *server) Load {
	w := r.targets[s.Pool]
	s.tries++
	s.ordered = w.Version
	s.swapBy = now.Add(cmp.Or(r.Policy.Swap, defaultSwap))
	return Load{Server: s.Server, Weights: w, OrderID: fmt.Sprintf("%s/%d/%d", s.ID, w.Version, s.tries)}
}

func (r *Rollout) expire(now time.Time) {
	for _, s := range r.servers {
		if !s.swapBy.IsZero() && clock.Passed(now, s.swapBy) {
			r.fail(now, s)
		}
	}
}

func (r *Rollout) fail(now time.Time, s *server) {
	s.swapBy = time.Time{}
	s.failures++
	s.quarantined = s.failures >= cmp.Or(r.Policy.Tries, defaultTries)
	if s.quarantined {
		s.failures = 0
		s.restUntil = now.Add(cmp.Or(r.Policy.Quarantine, defaultQuarantine))
		return
	}
	s.restUntil = now.Add(cmp.Or(r.Policy.Retry, defaultRetry))
}

func (r *Rollout) pools() []fleet.Pool {
	pools := make([]fleet.Pool, 0, len(r.targets))
	for p := range r.targets {
		pools = append(pools, p)
	}
	slices.Sort(pools)
	return pools
}

func (r *Rollout) sorted() []*server {
	servers := make([]*server, 0, len(r.servers))
	for _, s := range r.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// takeRate takes one swap from the store's rate. Rate that was not used is
// saved up for one tick only, so that swaps come evenly spaced.
func (r *Rollout) takeRate(now time.Time) bool {
	if r.Policy.Rate <= 0 {
		return true
	}
	if now.Sub(r.nextLoad) > tick {
		r.nextLoad = now.Add(-tick)
	}
	if now.Before(r.nextLoad) {
		return false
	}
	r.nextLoad = r.nextLoad.Add(time.Duration(float64(time.Second) / r.Policy.Rate))
	return true
}

// wave returns how many of a pool's servers may swap at once.
func (r *Rollout) wave(size int) int {
	return max(1, int(cmp.Or(r.Policy.Share, defaultShare)*float64(size)))
}
