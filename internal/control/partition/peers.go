package partition

import (
	"maps"
	"time"
)

const (
	// busyBackoff is how long a peer gets no request after it refused one, and
	// unreachableBackoff after it could not be called.
	busyBackoff        = 100 * time.Millisecond
	unreachableBackoff = time.Second
	// peerRequestsPerCore is the number of requests of other daemons that a daemon with a
	// whole core runs at the same time, and minPeerRequests the number that any daemon runs.
	peerRequestsPerCore = 256
	minPeerRequests     = 16
	// smallestShare is the share that a daemon counts with that names a smaller one or none.
	smallestShare = 0.01
)

// MaxPeerRequests returns the number of requests of other daemons that a daemon with a share
// of a core may run at the same time, so that its own callers are served as well.
func MaxPeerRequests(share float64) int {
	return max(minPeerRequests, int(peerRequestsPerCore*share))
}

// Peer is a daemon that may send requests to the servers for another one.
type Peer struct {
	ID string
	// Share is the fraction of a core that is allotted to it.
	Share float64
}

// Peers chooses the daemon through which a partitioned daemon sends a request. The zero
// value has no observations.
type Peers struct {
	// running is the number of requests that run through each peer.
	running map[string]int
	// avoidUntil is until when a peer gets no request.
	avoidUntil map[string]time.Time
}

// Choose returns the one of two random peers that runs less in proportion to its share,
// and counts a request on it. It omits peers that failed lately and those in tried, and
// returns false if there is none left. random returns a number from 0 to n-1.
func (p *Peers) Choose(now time.Time, peers []Peer, tried map[string]bool, random func(n int) int) (string, bool) {
	var usable []Peer
	for _, o := range peers {
		if !tried[o.ID] && !now.Before(p.avoidUntil[o.ID]) {
			usable = append(usable, o)
		}
	}
	if len(usable) == 0 {
		return "", false
	}
	best := usable[random(len(usable))]
	if other := usable[random(len(usable))]; p.load(other) < p.load(best) {
		best = other
	}
	if p.running == nil {
		p.running = make(map[string]int)
	}
	p.running[best.ID]++
	return best.ID, true
}

// Done records the end of a request through a peer.
func (p *Peers) Done(id string) {
	if p.running[id]--; p.running[id] == 0 {
		delete(p.running, id)
	}
}

// Busy records that a peer refused a request.
func (p *Peers) Busy(now time.Time, id string) {
	p.avoid(now, id, busyBackoff)
}

// Unreachable records that a peer could not be called.
func (p *Peers) Unreachable(now time.Time, id string) {
	p.avoid(now, id, unreachableBackoff)
}

func (p *Peers) avoid(now time.Time, id string, span time.Duration) {
	maps.DeleteFunc(p.avoidUntil, func(_ string, until time.Time) bool { return now.After(until) })
	if p.avoidUntil == nil {
		p.avoidUntil = make(map[string]time.Time)
	}
	p.avoidUntil[id] = now.Add(span)
}

// load returns the load of a peer that one more request makes.
func (p *Peers) load(o Peer) float64 {
	return float64(p.running[o.ID]+1) / max(smallestShare, o.Share)
}
