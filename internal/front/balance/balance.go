// Package balance estimates how long a request takes on each backend server, from
// the latency, load and failures that this daemon has observed.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/control/locality"
	"github.com/lacewingtally/lacewingtally/internal/control/pace"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

const (
	// failureBackoff is how long a server that failed is avoided, and, in
	// milliseconds, what is added to its cost during that time.
	failureBackoff = time.Second
	// latencyWeight is the weight of a new sample in a server's latency, if the last one
	// is recent.
	latencyWeight = 0.2
	// latencyHalfLife is the time in which a latency without a new sample loses half of its
	// weight: a server that gets no requests because it was slow is tried again.
	latencyHalfLife = 2 * time.Second
	// fullLoadMillis is the latency added to the cost of a fully loaded server; a
	// partly loaded one gets a proportional part.
	fullLoadMillis = 60.0
	// minSlowdown is the slowdown from which a server counts as slowed down in metrics.
	minSlowdown = 1.5
	// shareMaxAge is for how long a choice counts in metrics.
	shareMaxAge = 5 * time.Second
	// maxHedgeQueue is the number of waiting requests for each slot up to which a server is
	// not busy.
	maxHedgeQueue = 0.25
)

// Balancer chooses servers for requests. Domain must be set before use; otherwise
// the zero value has no observations. Its methods may be called from any
// goroutine.
type Balancer struct {
	// Domain is the daemon's failure domain.
	Domain string
	// Limits returns which servers limit their rates. If nil, no server does.
	Limits Limits
	// Random returns random numbers; if nil, those of math/rand/v2.
	Random func() uint64

	mutex    sync.Mutex
	servers  map[string]*serverStats
	services map[string]*serviceStats
	// candidates and costs are the buffers of Choose, which runs for each request.
	candidates []candidate
	costs      []float64
}

// Limits returns the effects of the rates that servers allow.
type Limits interface {
	// Delay returns the time until a request may be sent to a server.
	Delay(s backend.Server) time.Duration
	// Limited reports whether a server limits its rate.
	Limited(s backend.Server) bool
}

// Estimate is the state of a server as known to this daemon.
type Estimate struct {
	// Cost is the expected duration of a request, in milliseconds.
	Cost float64
	// RequestCost is what each further request adds to Cost.
	RequestCost float64
	// Running is the number of this daemon's requests on the server.
	Running int
}

// candidate is a server that may be chosen.
type candidate struct {
	// index is the server's position in the list.
	index int
	cost  float64
	// home is whether the server is in the daemon's domain.
	home bool
	// usable is whether a request may be sent to the server at once, and none has failed
	// within failureBackoff.
	usable bool
}

// Choose returns the server of a service with the lowest cost, and counts a
// request on it. It omits draining servers and those that allowed excludes, and returns
// false if there is none left.
func (b *Balancer) Choose(servers []backend.Server, service string, allowed func(backend.Server) bool) (backend.Server, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	b.candidates = b.candidates[:0]
	for i, s := range servers {
		if s.Service == service && !s.Draining && allowed(s) {
			b.candidates = append(b.candidates, b.candidate(i, s, now))
		}
	}
	if len(b.servers) > 2*len(servers) {
		b.prune(servers)
	}
	if len(b.candidates) == 0 {
		return backend.Server{}, false
	}
	chosen := servers[b.pick(b.service(service), now)]
	b.stats(chosen.ID).running++
	return chosen, true
}

// candidate returns the candidate for the server at an index of the list.
func (b *Balancer) candidate(index int, s backend.Server, now time.Time) candidate {
	delay := b.delay(s)
	return candidate{
		index: index, cost: b.cost(s, delay, now), home: s.Domain == b.Domain,
		usable: delay <= 0 && !now.Before(b.stats(s.ID).backoffUntil),
	}
}

// pick returns the index of the candidate with the lowest cost or, if the servers report
// slowdowns, of one that is about as good in the domain where the request stays: all daemons
// would otherwise choose the same one.
func (b *Balancer) pick(s *serviceStats, now time.Time) int {
	if !s.reports {
		best := b.candidates[0]
		for _, c := range b.candidates[1:] {
			if c.cost < best.cost {
				best = c
			}
		}
		return best.index
	}
	leaves := b.leaves(s, now)
	b.costs = b.costs[:0]
	for _, c := range b.candidates {
		if c.home == leaves {
			c.cost = math.Inf(1)
		}
		b.costs = append(b.costs, c.cost)
	}
	return b.candidates[pace.Choose(b.costs, b.random())].index
}

// leaves reports whether a request for one of the candidates leaves the domain.
func (b *Balancer) leaves(s *serviceStats, now time.Time) bool {
	v := locality.View{
		Typical: s.typical.Millis(), Home: math.Inf(1), Away: math.Inf(1),
		HomeDelay: s.home.Factor(now), AwayDelay: s.away.Factor(now),
	}
	atHome := false
	for _, c := range b.candidates {
		atHome = atHome || c.home
		switch {
		case !c.usable:
		case c.home:
			v.Home = min(v.Home, c.cost)
		default:
			v.Away = min(v.Away, c.cost-locality.LeavingMillis)
		}
	}
	if math.IsInf(v.Home, 1) && math.IsInf(v.Away, 1) {
		return !atHome
	}
	s.share, s.sharedAt = v.Share(), now
	return s.share >= 1 || s.share > 0 && b.fraction() < s.share
}

// delay returns the time until a request may be sent to a server.
func (b *Balancer) delay(s backend.Server) time.Duration {
	if b.Limits == nil {
		return 0
	}
	return b.Limits.Delay(s)
}

// ShortestDelay returns the shortest time until a request may be sent to a server of a
// service that is not draining; 0 if there is none.
func (b *Balancer) ShortestDelay(servers []backend.Server, service string) time.Duration {
	shortest := option.Option[time.Duration]{}
	for _, s := range servers {
		if s.Service != service || s.Draining || b.Limits == nil {
			continue
		}
		d := b.Limits.Delay(s)
		shortest = option.Some(min(d, shortest.Or(d)))
	}
	return shortest.Or(0)
}

// Fraction returns a random number between 0 and 1.
func (b *Balancer) Fraction() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.fraction()
}

// Limited reports whether a server limits its rate.
func (b *Balancer) Limited(s backend.Server) bool {
	return b.Limits != nil && b.Limits.Limited(s)
}

// Estimate returns the state of a server.
func (b *Balancer) Estimate(s backend.Server) Estimate {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Estimate{
		Cost: b.cost(s, b.delay(s), time.Now()), RequestCost: fullLoadMillis / float64(s.Slots), Running: b.stats(s.ID).running,
	}
}

// Begin counts a request on a server that was not chosen by Choose.
func (b *Balancer) Begin(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stats(id).running++
}

// Avoid makes a server the last choice for failureBackoff.
func (b *Balancer) Avoid(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stats(id).backoffUntil = time.Now().Add(failureBackoff)
}

// Cancel records that a request was not sent.
func (b *Balancer) Cancel(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stats(id).running--
}

// Done records the end of a request. After a failure, the server is avoided for
// failureBackoff.
func (b *Balancer) Done(id string, took time.Duration, load backend.Load, failed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r := b.stats(id)
	r.running--
	if load.Known {
		r.load = load
	}
	now := time.Now()
	report := pace.Report{Slowdown: load.Slowdown, Waiting: load.Waiting, Slots: load.Slots}
	if load.Slowdown > 0 && r.service != nil {
		r.service.report(report, r.away, now)
	}
	if failed {
		// A server that refuses because requests wait there is judged by its report.
		if load.Slowdown <= 0 || load.Waiting == 0 {
			r.backoffUntil = now.Add(failureBackoff)
		}
		r.pace.Report(report, now)
		return
	}
	r.addLatency(float64(took)/float64(time.Millisecond), now)
	if r.service != nil {
		r.pace.Sample(took, report, &r.service.typical, now)
	}
}

func (b *Balancer) fraction() float64 {
	return float64(b.random()>>11) / (1 << 53)
}

func (b *Balancer) random() uint64 {
	if b.Random != nil {
		return b.Random()
	}
	return rand.Uint64()
}
