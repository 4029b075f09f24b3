package forward

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

const (
	// failureBackoff is how long a server that failed is avoided, and, in
	// milliseconds, what is added to its cost during that time.
	failureBackoff = time.Second
	// latencyWeight is the weight of a new sample in a server's latency.
	latencyWeight = 0.2
	// crossDomainMillis is the latency added to the cost of a server in another
	// failure domain.
	crossDomainMillis = 5.0
	// fullLoadMillis is the latency added to the cost of a fully loaded server; a
	// partly loaded one gets a proportional part.
	fullLoadMillis = 60.0
)

// balancer chooses servers by the latency, load and failures that this daemon has
// observed. The zero value has no observations. Its methods may be called from
// any goroutine.
type balancer struct {
	mutex   sync.Mutex
	servers map[string]*serverStats
}

// serverStats holds the observations of one server.
type serverStats struct {
	// running is the number of this daemon's requests on the server.
	running int
	// latency is a moving average in milliseconds.
	latency float64
	// backoffUntil is the time at which the server may be chosen normally again
	// after a failure.
	backoffUntil time.Time
	load         backend.Load
}

// choose returns the server of a service with the lowest cost, and counts a
// request on it. It omits draining servers and those in tried, and returns false
// if there is none left.
func (b *balancer) choose(servers []backend.Server, service, domain string, tried map[string]bool) (backend.Server, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	best, bestCost := -1, 0.0
	for i, s := range servers {
		if s.Service != service || s.Draining || tried[s.ID] {
			continue
		}
		if c := b.cost(s, domain, now); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	if len(b.servers) > 2*len(servers) {
		b.prune(servers)
	}
	if best < 0 {
		return backend.Server{}, false
	}
	b.stats(servers[best].ID).running++
	return servers[best], true
}

// prune drops servers that no longer exist and run no requests of this daemon.
func (b *balancer) prune(servers []backend.Server) {
	maps.DeleteFunc(b.servers, func(id string, r *serverStats) bool {
		known := slices.ContainsFunc(servers, func(s backend.Server) bool { return s.ID == id })
		return !known && r.running == 0
	})
}

// cost estimates the duration of a request on a server, in milliseconds.
func (b *balancer) cost(s backend.Server, domain string, now time.Time) float64 {
	r := b.stats(s.ID)
	c := r.latency + fullLoadMillis*float64(r.running)/float64(s.Slots)
	if r.load.Known && r.load.Slots > 0 {
		c += fullLoadMillis * float64(r.load.Waiting) / float64(r.load.Slots)
	}
	if s.Domain != domain {
		c += crossDomainMillis
	}
	if now.Before(r.backoffUntil) {
		c += float64(failureBackoff / time.Millisecond)
	}
	return c
}

// done records the end of a request. After a failure, the server is avoided for
// failureBackoff.
func (b *balancer) done(id string, took time.Duration, load backend.Load, failed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r := b.stats(id)
	r.running--
	if load.Known {
		r.load = load
	}
	if failed {
		r.backoffUntil = time.Now().Add(failureBackoff)
		return
	}
	r.latency += latencyWeight * (float64(took)/float64(time.Millisecond) - r.latency)
}

func (b *balancer) stats(id string) *serverStats {
	if b.servers == nil {
		b.servers = make(map[string]*serverStats)
	}
	r, ok := b.servers[id]
	if !ok {
		r = &serverStats{}
		b.servers[id] = r
	}
	return r
}
