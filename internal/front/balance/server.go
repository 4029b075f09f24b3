package balance

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/control/locality"
	"github.com/lacewingtally/lacewingtally/internal/control/pace"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// serverStats holds the observations of one server.
type serverStats struct {
	// running is the number of this daemon's requests on the server.
	running int
	// latency is a moving average in milliseconds, as of sampledAt.
	latency float64
	// sampledAt is when the last sample was added to latency; zero before the first one.
	sampledAt time.Time
	// backoffUntil is the time at which the server may be chosen normally again
	// after a failure.
	backoffUntil time.Time
	load         backend.Load
	// pace replaces latency and load at the services whose servers report slowdowns.
	pace pace.Server
	// service is the state of the server's service; nil until the server was looked at.
	service *serviceStats
	// away is whether the server is in another domain.
	away bool
}

// prune drops servers that no longer exist and run no requests of this daemon.
func (b *Balancer) prune(servers []backend.Server) {
	maps.DeleteFunc(b.servers, func(id string, r *serverStats) bool {
		known := slices.ContainsFunc(servers, func(s backend.Server) bool { return s.ID == id })
		return !known && r.running == 0
	})
}

// cost estimates the duration of a request on a server, in milliseconds, given the time until
// it may be sent.
func (b *Balancer) cost(s backend.Server, delay time.Duration, now time.Time) float64 {
	r := b.stats(s.ID)
	r.service, r.away = b.service(s.Service), s.Domain != b.Domain
	c := r.latency * r.remaining(now)
	if r.service.reports {
		c = r.pace.Millis(r.service.typical, now)
	}
	c += fullLoadMillis * float64(r.running) / float64(s.Slots)
	if !r.service.reports && r.load.Known && r.load.Slots > 0 {
		c += fullLoadMillis * float64(r.load.Waiting) / float64(r.load.Slots)
	}
	if s.Domain != b.Domain {
		c += locality.LeavingMillis
	}
	c += float64(delay) / float64(time.Millisecond)
	if now.Before(r.backoffUntil) {
		c += float64(failureBackoff / time.Millisecond)
	}
	return c
}

// remaining returns the part of its weight that the latency still has.
func (r *serverStats) remaining(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(r.sampledAt)) / float64(latencyHalfLife))
}

// addLatency adds a sample in milliseconds. The older the last one, the more it counts.
func (r *serverStats) addLatency(sample float64, now time.Time) {
	weight := 1 - (1-latencyWeight)*r.remaining(now)
	r.latency += weight * (sample - r.latency)
	r.sampledAt = now
}

func (b *Balancer) stats(id string) *serverStats {
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
