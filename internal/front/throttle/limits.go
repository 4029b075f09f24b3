// Package throttle keeps requests to backend servers within the rates that the
// servers allow to all daemons together.
package throttle

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

// Limits knows the rates that servers allow. Use NewLimits. Its methods may be called
// from any goroutine.
type Limits struct {
	fleet *fleet.State
	log   *zap.Logger

	mutex sync.Mutex
	// observed holds what servers last answered to this daemon about their rates, by
	// incarnation.
	observed map[string]observation
}

// observation is what a server answered about its rate. The rate is empty if the server
// no longer limits it.
type observation struct {
	rate option.Option[float64]
	// at is the time of the answer by the store's clock.
	at time.Time
}

// NewLimits returns Limits without any limited server.
func NewLimits(f *fleet.State, log *zap.Logger) *Limits {
	return &Limits{fleet: f, log: log, observed: make(map[string]observation)}
}

// RecordLimit records the rate that a server named in its response to a request sent at
// sentAt. A response to a request that was sent before the server last named a rate does
// not end the limit.
func (l *Limits) RecordLimit(s backend.Server, rate option.Option[float64], sentAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	id := s.Incarnation()
	known, limited := l.rate(id)
	now := l.now()
	allowed, named := rate.Get()
	switch {
	case named && (!limited || known != allowed):
		l.log.Info("server limits its rate", zap.String("Server", s.ID), zap.String("Service", s.Service), zap.Float64("Rate", allowed))
	case !named && limited && now.Add(-time.Since(sentAt)).After(l.observed[id].at):
		l.log.Info("server no longer limits its rate", zap.String("Server", s.ID), zap.String("Service", s.Service), zap.Float64("Was", known))
	case !named:
		return
	}
	l.observed[id] = observation{rate: rate, at: now}
}

// Count returns the number of servers that limit their rates.
func (l *Limits) Count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := 0
	for _, s := range l.fleet.Servers().List {
		if _, limited := l.rate(s.Incarnation()); limited {
			n++
		}
	}
	return n
}

// rate returns the rate that an incarnation of a server allows; false if it sets no
// limit. It is called with the mutex held.
func (l *Limits) rate(incarnation string) (float64, bool) {
	return l.observed[incarnation].rate.Get()
}

// now returns the time by the store's clock, which all daemons share, or the time of day
// until the store has answered.
func (l *Limits) now() time.Time {
	if now, ok := l.fleet.Clock.Now(); ok {
		return now
	}
	return time.Now()
}
