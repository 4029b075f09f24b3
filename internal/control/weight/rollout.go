// Package weight rolls out new weights to the backend servers, a limited share
// of a pool at a time.
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

// Default values of a Policy.
const (
	defaultQuarantine  = time.Minute
	defaultRetryDelay  = 500 * time.Millisecond
	defaultShare       = 0.34
	defaultSwapTimeout = 5 * time.Second
	defaultMaxFailures = 3
)

// Swap is the order to one server to swap its weights for newer ones.
type Swap struct {
	Server  fleet.Server
	Weights weights.Weights
	// OrderID is the same for every repetition of one attempt.
	OrderID string
}

// Policy bounds a roll-out. The zero value has the default bounds and does not
// limit the rate of swaps.
type Policy struct {
	// Share is the fraction of a pool's servers that may swap at once. One
	// server always may.
	Share float64
	// Regions is the number of regions that share the rate of the weight store;
	// 0 means 1.
	Regions int
	// Rate is the number of swaps that may begin per second: this region's
	// share of the weight store's limit. 0 means no limit.
	Rate float64
	// SwapTimeout bounds one swap.
	SwapTimeout time.Duration
	// RetryDelay is the backoff of a server after a failed swap.
	RetryDelay time.Duration
	// MaxFailures is the number of consecutive failed swaps after which a
	// server is quarantined.
	MaxFailures int
	// Quarantine is how long a quarantined server gets no orders.
	Quarantine time.Duration
}

// Rollout decides which servers swap and when. The zero value has the default
// policy and no servers. It does no I/O and is not safe for concurrent use.
type Rollout struct {
	Policy Policy

	// servers holds the live servers, without those that are leaving.
	servers map[fleet.ServerID]*server
	// targets holds the newest weights of each pool; versions never decrease.
	targets map[fleet.Pool]weights.Weights
	// nextSwap is when Policy.Rate allows the next swap to begin.
	nextSwap time.Time
}

// server is the state of one backend server.
type server struct {
	fleet.Server
	// version is the version last reported; 0 means unknown.
	version fleet.WeightVersion
	// reportedAt is when the version was last reported; zero means never.
	reportedAt time.Time
	// swapDeadline is when the running swap counts as failed; zero means that
	// no swap is running.
	swapDeadline time.Time
	// ordered is the version of the running swap.
	ordered fleet.WeightVersion
	// backoffUntil is when the next swap may begin after a failed one.
	backoffUntil time.Time
	// quarantined is whether backoffUntil is the end of a quarantine.
	quarantined bool
	// failures is the number of failed swaps since the last successful one or
	// the last quarantine.
	failures int
	// attempts is the number of swaps ordered, for the ID of the order.
	attempts int
}

// Behind reports whether a server serves older weights than the newest, by its
// last report.
func (r *Rollout) Behind(id fleet.ServerID) bool {
	s, ok := r.servers[id]
	return ok && r.behind(s)
}

// Decide counts overdue swaps as failed and returns the swaps that begin now.
func (r *Rollout) Decide(now time.Time) []Swap {
	r.expire(now)
	var swaps []Swap
	for _, p := range r.pools() {
		swaps = append(swaps, r.decidePool(now, p)...)
	}
	return swaps
}

// Due returns the servers whose status is due to be polled: those that are
// swapping, and those that have not reported since before.
func (r *Rollout) Due(before time.Time) []fleet.Server {
	var due []fleet.Server
	for _, s := range r.sortedServers() {
		if !s.swapDeadline.IsZero() || s.reportedAt.Before(before) {
			due = append(due, s.Server)
		}
	}
	return due
}

// Fail records that a server refused its swap or reported it as failed.
func (r *Rollout) Fail(now time.Time, id fleet.ServerID) {
	if s, ok := r.servers[id]; ok && !s.swapDeadline.IsZero() {
		r.fail(now, s)
	}
}

// Publish sets the newest weights of a pool. It ignores weights that are not
// newer than the present ones.
func (r *Rollout) Publish(w weights.Weights) {
	if r.targets == nil {
		r.targets = make(map[fleet.Pool]weights.Weights)
	}
	if w.Version > r.targets[w.Pool].Version {
		r.targets[w.Pool] = w
	}
}

// Quarantined returns the servers that are quarantined at now, sorted by ID.
func (r *Rollout) Quarantined(now time.Time) []fleet.ServerID {
	var ids []fleet.ServerID
	for _, s := range r.sortedServers() {
		if s.quarantined && !clock.Passed(now, s.backoffUntil) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Report records the version that a server reports to serve. It ends the running
// swap and a quarantine if that version is recent enough.
func (r *Rollout) Report(now time.Time, id fleet.ServerID, v fleet.WeightVersion) {
	s, ok := r.servers[id]
	if !ok {
		return
	}
	s.version, s.reportedAt = v, now
	// The ordered swap has ended even if newer weights were published during
	// it.
	if v > 0 && (v >= r.targets[s.Pool].Version || (!s.swapDeadline.IsZero() && v >= s.ordered)) {
		s.swapDeadline, s.backoffUntil = time.Time{}, time.Time{}
		s.failures, s.quarantined = 0, false
	}
}

// SetServers replaces the list of servers, without those that are not live. The
// state of servers that stay in the list is kept.
func (r *Rollout) SetServers(servers []fleet.Server) {
	next := make(map[fleet.ServerID]*server, len(servers))
	for _, v := range servers {
		if v.State != fleet.StateLive {
			continue
		}
		s, ok := r.servers[v.ID]
		if !ok {
			s = &server{}
		}
		s.Server = v
		next[v.ID] = s
	}
	r.servers = next
}

// Settled reports whether every server that is not quarantined serves the
// newest weights.
func (r *Rollout) Settled(now time.Time) bool {
	for _, s := range r.servers {
		if r.behind(s) && (!s.quarantined || clock.Passed(now, s.backoffUntil)) {
			return false
		}
	}
	return true
}

func (r *Rollout) behind(s *server) bool {
	return s.version < r.targets[s.Pool].Version
}

func (r *Rollout) decidePool(now time.Time, p fleet.Pool) []Swap {
	size, swapping := 0, 0
	var ready []*server
	for _, s := range r.sortedServers() {
		if s.Pool != p {
			continue
		}
		size++
		switch {
		case !s.swapDeadline.IsZero():
			swapping++
		case r.behind(s) && !s.reportedAt.IsZero() && clock.Passed(now, s.backoffUntil):
			ready = append(ready, s)
		}
	}
	slices.SortStableFunc(ready, func(a, b *server) int { return cmp.Compare(a.version, b.version) })
	var swaps []Swap
	for _, s := range ready[:min(len(ready), max(0, r.maxSwapping(size)-swapping))] {
		if !r.allow(now) {
			break
		}
		swaps = append(swaps, r.begin(now, s))
	}
	return swaps
}

func (r *Rollout) begin(now time.Time, s *server) Swap {
	w := r.targets[s.Pool]
	s.attempts++
	s.ordered = w.Version
	s.swapDeadline = now.Add(cmp.Or(r.Policy.SwapTimeout, defaultSwapTimeout))
	return Swap{Server: s.Server, Weights: w, OrderID: fmt.Sprintf("%s/%d/%d", s.ID, w.Version, s.attempts)}
}

func (r *Rollout) expire(now time.Time) {
	for _, s := range r.servers {
		if !s.swapDeadline.IsZero() && clock.Passed(now, s.swapDeadline) {
			r.fail(now, s)
		}
	}
}

func (r *Rollout) fail(now time.Time, s *server) {
	s.swapDeadline = time.Time{}
	s.failures++
	s.quarantined = s.failures >= cmp.Or(r.Policy.MaxFailures, defaultMaxFailures)
	if s.quarantined {
		s.failures = 0
		s.backoffUntil = now.Add(cmp.Or(r.Policy.Quarantine, defaultQuarantine))
		return
	}
	s.backoffUntil = now.Add(cmp.Or(r.Policy.RetryDelay, defaultRetryDelay))
}

func (r *Rollout) pools() []fleet.Pool {
	pools := make([]fleet.Pool, 0, len(r.targets))
	for p := range r.targets {
		pools = append(pools, p)
	}
	slices.Sort(pools)
	return pools
}

func (r *Rollout) sortedServers() []*server {
	servers := make([]*server, 0, len(r.servers))
	for _, s := range r.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// allow reports whether Policy.Rate allows a swap to begin now, and counts it
// if so. Unused rate accumulates for one tick only, so that swaps are evenly
// spaced.
func (r *Rollout) allow(now time.Time) bool {
	if r.Policy.Rate <= 0 {
		return true
	}
	if now.Sub(r.nextSwap) > tick {
		r.nextSwap = now.Add(-tick)
	}
	if now.Before(r.nextSwap) {
		return false
	}
	r.nextSwap = r.nextSwap.Add(time.Duration(float64(time.Second) / r.Policy.Rate))
	return true
}

// maxSwapping returns how many servers of a pool of the given size may swap at
// once.
func (r *Rollout) maxSwapping(size int) int {
	return max(1, int(cmp.Or(r.Policy.Share, defaultShare)*float64(size)))
}
