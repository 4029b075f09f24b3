package forward

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

const (
	// restTime is how long a server that failed gets requests only if no other
	// is left.
	restTime = time.Second
	// latencyWeight is the weight of a new sample in a server's latency.
	latencyWeight = 0.2
	// foreignCost is what a server in another failure domain is taken to be
	// slower, in milliseconds.
	foreignCost = 5.0
	// loadCost is what a full server is taken to be slower, in milliseconds.
	loadCost = 60.0
)

// balance chooses servers by what this daemon has seen of them. The zero value
// has seen nothing. Its methods may be called from any goroutine.
type balance struct {
	mutex sync.Mutex
	seen  map[string]*record
}

// record is what was seen of one server.
type record struct {
	// running counts this daemon's requests.
	running int
	// latency is an average in milliseconds.
	latency float64
	// restUntil is when the server may be chosen freely again.
	restUntil time.Time
	load      backend.Load
}

// choose returns the best server that was not tried, and reserves a place.
func (b *balance) choose(servers []backend.Server, service, domain string, tried map[string]bool) (backend.Server, bool) {
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
	if len(b.seen) > 2*len(servers) {
		b.forget(servers)
	}
	if best < 0 {
		return backend.Server{}, false
	}
	b.record(servers[best].ID).running++
	return servers[best], true
}

// forget drops servers that are gone and run nothing of this daemon.
func (b *balance) forget(servers []backend.Server) {
	maps.DeleteFunc(b.seen, func(id string, r *record) bool {
		known := slices.ContainsFunc(servers, func(s backend.Server) bool { return s.ID == id })
		return !known && r.running == 0
	})
}

// cost estimates how long a request takes on a server, in milliseconds.
func (b *balance) cost(s backend.Server, domain string, now time.Time) float64 {
	r := b.record(s.ID)
	c := r.latency + loadCost*float64(r.running)/float64(s.Slots)
	if r.load.Known && r.load.Slots > 0 {
		c += loadCost * float64(r.load.Waiting) / float64(r.load.Slots)
	}
	if s.Domain != domain {
		c += foreignCost
	}
	if now.Before(r.restUntil) {
		c += float64(restTime / time.Millisecond)
	}
	return c
}

// done ends a request. Failed ones keep others away for a while.
func (b *balance) done(id string, took time.Duration, load backend.Load, failed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r := b.record(id)
	r.running--
	if load.Known {
		r.load = load
	}
	if failed {
		r.restUntil = time.Now().Add(restTime)
		return
	}
	r.latency += latencyWeight * (float64(took)/float64(time.Millisecond) - r.latency)
}

func (b *balance) record(id string) *record {
	if b.seen == nil {
		b.seen = make(map[string]*record)
	}
	r, ok := b.seen[id]
	if !ok {
		r = &record{}
		b.seen[id] = r
	}
	return r
}
