// Package throttle keeps requests to backend servers within the rates that the
// servers allow to all daemons together. Each daemon uses its own part of a server's
// rate, see control/ratelimit; heartbeats carry the rates and the demands.
package throttle

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/control/ratelimit"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// maxDelay is the longest delay that Delay returns.
	maxDelay = 2 * time.Second
	// maxOversleep is how much later than at its slot a request may be sent. One that
	// wakes up later, because the VM was suspended, waits for another slot.
	maxOversleep = 100 * time.Millisecond
	// retention is for how long the rate of a server that is not listed is remembered:
	// rows disappear during outages of the store, and are written again afterwards.
	retention = 10 * time.Minute
	// liveSpan is for how long after a live request slots are kept for further ones.
	liveSpan = 3 * time.Second
	// liveFraction is the part of a slot's lifetime in which only live requests may use
	// it: they can't be tried again as often as others.
	liveFraction = 0.75
)

// Limits divides the rates that servers allow among the daemons. Use NewLimits. Its
// methods may be called from any goroutine.
type Limits struct {
	fleet *fleet.State
	log   *zap.Logger
	self  string
	// now returns the time by the clock that the daemons share.
	now func() time.Time

	mutex sync.Mutex
	// observed holds what servers last answered to this daemon about their rates, by
	// incarnation.
	observed map[string]observation
	// named holds what servers last answered to this daemon about whether they are cold,
	// and cold the servers that are, by incarnation.
	named map[string]namedCold
	cold  map[string]*coldServer
	// servers holds the state of servers that limit their rates, by incarnation.
	servers map[string]*server
	// services holds the demand at the servers of each service.
	services map[string]*reportedDemand
	// lastReports is the latest result of reports.
	lastReports *reports
}

// observation is what a server answered about its rate. The rate is empty if the server
// no longer limits it.
type observation struct {
	rate option.Option[float64]
	// at is the time of the answer by the store's clock.
	at time.Time
}

// server is what this daemon sends to a server that limits its rate.
type server struct {
	slots      ratelimit.Slots
	exemptions ratelimit.Exemptions
	demand     reportedDemand
	// liveAt is when a live request was last sent or refused.
	liveAt time.Time
	// coldAt is when the server was last found to be cold.
	coldAt time.Time
}

// hold returns for how long a slot is kept for live requests before others may use it.
func (v *server) hold(rate float64) time.Duration {
	if time.Since(v.liveAt) > liveSpan {
		return 0
	}
	return time.Duration(liveFraction * float64(v.slots.MaxAge(rate)))
}

// NewLimits returns Limits for the daemon self, without any limited server.
func NewLimits(f *fleet.State, self string, log *zap.Logger) *Limits {
	return &Limits{fleet: f, now: sharedTime(f), log: log, self: self, observed: make(map[string]observation), named: make(map[string]namedCold), cold: make(map[string]*coldServer), servers: make(map[string]*server), services: make(map[string]*reportedDemand)}
}

// RecordLimit records the rate that a server named in its response to a request sent at
// sentAt. A response to a request that was sent before the server last named a rate does
// not end the limit.
func (l *Limits) RecordLimit(s backend.Server, rate option.Option[float64], sentAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	id := s.Incarnation()
	known := l.latest(id)
	before, limited := known.rate.Get()
	now := l.now()
	allowed, named := rate.Get()
	switch {
	case named && (!limited || before != allowed):
		l.log.Info("server limits its rate", zap.String("Server", s.ID), zap.String("Service", s.Service), zap.Float64("Rate", allowed))
	case !named && limited && now.Add(-time.Since(sentAt)).After(known.at):
		l.log.Info("server no longer limits its rate", zap.String("Server", s.ID), zap.String("Service", s.Service), zap.Float64("Was", before))
	case !named:
		return
	}
	l.observed[id] = observation{rate: rate, at: now}
}

// Admit returns once a request may be sent to a server: at once if the server does not
// limit its rate or this daemon has a slot, and otherwise when this daemon has one, if
// that is not later than until. Live requests can wait; those that can't, for which until
// is zero, leave new slots to them. Its errors wrap backend.ErrLimited, as backend.ErrCold
// does, or the context's.
func (l *Limits) Admit(ctx context.Context, s backend.Server, until time.Time) error {
	for {
		wait, ok := l.reserve(s, until)
		if !ok {
			if l.Cold(s) {
				return backend.ErrCold
			}
			return backend.ErrLimited
		}
		if wait <= 0 {
			return nil
		}
		start := fleet.Uptime()
		fleet.Sleep(ctx, wait)
		if err := ctx.Err(); err != nil {
			return err
		}
		if fleet.Uptime()-start < wait+maxOversleep {
			return nil
		}
	}
}

// AdmitExempt reports whether a request may be sent to a server now, with a slot or as one of
// the few requests that need none.
func (l *Limits) AdmitExempt(s backend.Server) bool {
	if _, ok := l.reserve(s, time.Time{}); ok {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	v, rate, share, ok := l.limited(s)
	if !ok {
		return true
	}
	now := l.now()
	if !v.exemptions.Take(now) {
		return false
	}
	// The request takes the place of a later one.
	if at, ok := v.slots.Next(now, now.Add(maxDelay), rate, share); ok {
		v.slots.Use(at)
	}
	return true
}

// Delay returns the time until this daemon may send a further request to a server, at
// most maxDelay.
func (l *Limits) Delay(s backend.Server) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	v, rate, share, ok := l.limited(s)
	if !ok {
		return 0
	}
	now := l.now()
	at, ok := v.slots.Next(now, now.Add(maxDelay), rate, share)
	if !ok {
		return maxDelay
	}
	return max(0, at.Sub(now))
}

// Free returns how many requests other than live ones this daemon may send to a server
// now, at most a number.
func (l *Limits) Free(s backend.Server, most int) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	v, rate, share, ok := l.limited(s)
	if !ok {
		return most
	}
	now := l.now()
	return v.slots.Free(now, now.Add(-v.hold(rate)), rate, share, most)
}

// Limited reports whether a server limits its rate or is cold.
func (l *Limits) Limited(s backend.Server) bool {
	_, limited := l.Rate(s)
	return limited
}

// Rate returns the rate that a server allows, in requests per second: that which it names or,
// if it is cold, that of its slots if this is lower. limited is false if it does not limit it.
func (l *Limits) Rate(s backend.Server) (rate float64, limited bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rate, limited, _ = l.rate(s, s.Incarnation())
	return rate, limited
}

// rate is Rate for an incarnation of a server, and returns its state if it is cold. It is called
// with the mutex held.
func (l *Limits) rate(s backend.Server, incarnation string) (rate float64, limited bool, cold *coldServer) {
	rate, limited = l.latest(incarnation).rate.Get()
	if cold = l.coldServer(s, incarnation); cold == nil {
		return rate, limited, nil
	}
	if inSlots := ratelimit.ColdRate(cold.rate); !limited || inSlots < rate {
		rate = inSlots
	}
	return rate, true, cold
}

// Want records the number of requests that wait for a slot at a server, for the shares
// of the daemons.
func (l *Limits) Want(s backend.Server, requests int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if v, _, _, ok := l.limited(s); ok {
		v.demand.want(time.Now(), requests)
	}
}

// Count returns the number of servers that name a limit of their rates.
func (l *Limits) Count() int {
	n := 0
	for _, s := range l.fleet.Servers().List {
		if l.namesRate(s) {
			n++
		}
	}
	return n
}

// namesRate reports whether a server names a limit of its rate.
func (l *Limits) namesRate(s backend.Server) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, named := l.latest(s.Incarnation()).rate.Get()
	return named
}

// reserve takes this daemon's next slot at a server, if it is not later than until, and
// returns the time until the slot.
func (l *Limits) reserve(s backend.Server, until time.Time) (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.service(s.Service).sent(time.Now())
	v, rate, share, ok := l.limited(s)
	if !ok {
		return 0, true
	}
	now := l.now()
	latest := now.Add(-v.hold(rate))
	if !until.IsZero() {
		v.liveAt = time.Now()
		latest = now.Add(max(0, time.Until(until)))
	}
	at, ok := v.slots.Next(now, latest, rate, share)
	if !ok {
		v.demand.want(time.Now(), 1)
		return 0, false
	}
	v.slots.Use(at)
	v.demand.sent(time.Now())
	return at.Sub(now), true
}

// limited returns the state of a server that limits its rate, the rate and this daemon's
// share in each epoch; ok is false if it does not. It is called with the mutex held.
func (l *Limits) limited(s backend.Server) (v *server, rate float64, share func(ratelimit.Epoch) ratelimit.Share, ok bool) {
	id := s.Incarnation()
	rate, ok, cold := l.rate(s, id)
	if !ok {
		return nil, 0, nil, false
	}
	v = l.servers[id]
	if v == nil {
		v = &server{slots: ratelimit.Slots{Server: xxhash.Sum64String(id)}}
		l.servers[id] = v
	}
	v.slots.Prompt, v.slots.From = cold != nil, time.Time{}
	if cold != nil {
		v.slots.From, v.coldAt = cold.from, time.Now()
	}
	return v, rate, l.reports().shareAt(id, s.Service), true
}

// service returns the demand at the servers of a service. It is called with the mutex held.
func (l *Limits) service(name string) *reportedDemand {
	d := l.services[name]
	if d == nil {
		d = &reportedDemand{}
		l.services[name] = d
	}
	return d
}

// latest returns the latest observation of a server's rate, by this daemon or another.
// It is called with the mutex held.
func (l *Limits) latest(incarnation string) observation {
	own, reported := l.observed[incarnation], l.reports().latest[incarnation]
	if reported.at.After(own.at) {
		return reported
	}
	return own
}

// sharedTime returns a function that returns the time by the store's clock, which all daemons
// share, or the time of day until the store has answered.
func sharedTime(f *fleet.State) func() time.Time {
	return func() time.Time {
		if now, ok := f.Clock.Now(); ok {
			return now
		}
		return time.Now()
	}
}
