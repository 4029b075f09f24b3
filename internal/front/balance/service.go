package balance

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/admission"
	"github.com/lacewingtally/lacewingtally/internal/control/locality"
	"github.com/lacewingtally/lacewingtally/internal/control/pace"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// serviceStats holds the observations of the servers of one service.
type serviceStats struct {
	typical pace.Typical
	// reports is whether a server has ever reported its slowdown. Otherwise requests are
	// balanced by latency and load.
	reports bool
	// home and away are the delays of this daemon's requests at servers in its domain and
	// elsewhere.
	home, away locality.Delay
	// share is the part of the requests that leave the domain as of the latest choice, at
	// sharedAt.
	share    float64
	sharedAt time.Time
	// wait is how long requests wait at all servers.
	wait admission.Wait
}

// Wait returns how long a request to a service is expected to wait at a server. It returns false
// if that is not known: servers of the service do not report slowdowns, or one that is in
// use does not answer or limits its rate.
func (b *Balancer) Wait(servers []backend.Server, service string) (time.Duration, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	v := b.service(service)
	if !v.reports {
		return 0, false
	}
	now := time.Now()
	for _, s := range servers {
		if s.Service == service && !s.Draining && (now.Before(b.stats(s.ID).backoffUntil) || b.delay(s) > 0) {
			return 0, false
		}
	}
	return time.Duration(v.typical.Millis() * v.wait.Durations(now) * float64(time.Millisecond)), true
}

// Reports reports whether servers of a service report slowdowns.
func (b *Balancer) Reports(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.service(service).reports
}

// Busy returns the IDs of the servers at which requests are expected to wait.
func (b *Balancer) Busy() set.Set[string] {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var out set.Set[string]
	now := time.Now()
	for id, r := range b.servers {
		if r.pace.Queue(now) > maxHedgeQueue {
			out.Add(id)
		}
	}
	return out
}

// Slowdown returns the slowdown that is expected of a server now, 1 if it reports none.
func (b *Balancer) Slowdown(id string) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.stats(id).pace.Slowdown(time.Now())
}

// Leaving returns the largest part of the requests to a service that leaves the domain, by
// the latest choices.
func (b *Balancer) Leaving() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	largest := 0.0
	for _, s := range b.services {
		if time.Since(s.sharedAt) < shareMaxAge {
			largest = max(largest, s.share)
		}
	}
	return largest
}

// Slowed returns the number of servers that are expected to be slowed down now.
func (b *Balancer) Slowed() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	n := 0
	for _, r := range b.servers {
		if r.pace.Slowdown(now) >= minSlowdown {
			n++
		}
	}
	return n
}

// report records what a server of the service, which may be in another domain, reports.
func (s *serviceStats) report(r pace.Report, away bool, now time.Time) {
	s.reports = true
	s.wait.Add(r.Wait(), now)
	if away {
		s.away.Add(r.Delay(), now)
		return
	}
	s.home.Add(r.Delay(), now)
}

func (b *Balancer) service(name string) *serviceStats {
	if b.services == nil {
		b.services = make(map[string]*serviceStats)
	}
	s, ok := b.services[name]
	if !ok {
		s = &serviceStats{}
		b.services[name] = s
	}
	return s
}
