package throttle

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/ratelimit"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// clockError is how far the time of day of servers and daemons may be off.
	clockError = 5 * time.Second
	// coldReportTime is for how long a daemon reports that a response named a cold server.
	// Until then, all daemons have read the server's row.
	coldReportTime = 2 * time.Second
	// minDownRetention is the shortest time for which it is remembered that a server refused
	// a connection.
	minDownRetention = 10 * time.Second
)

// namedCold is what a response stated about whether a server is cold.
type namedCold struct {
	// until is until when the server is cold. It is not after at if the server is warm.
	until, at time.Time
	service   string
	// wasCold is whether any response stated that the server was cold.
	wasCold bool
}

// coldServer is a server that is cold.
type coldServer struct {
	// from is when the daemon's slots begin, by the store's clock.
	from time.Time
	// rate is how many requests per second the server takes.
	rate float64
}

// coldUntil returns until when a server of a service with a cold time is cold, given what a
// response stated last; the zero value if none did. An explicit time in the row counts if it
// must have been written after that response. Without any statement, a server that is new to
// this daemon is cold from when it was first seen, unless its row proves that it is warm.
func coldUntil(s backend.Server, coldTime time.Duration, named namedCold) time.Time {
	switch {
	case named.at.IsZero() && s.ColdUntil.IsZero() && !provenWarm(s, coldTime):
		return s.SeenAt.Add(coldTime)
	case named.at.IsZero() || s.ColdUntil.Add(-ratelimit.ColdNotice).After(named.until):
		return s.ColdUntil
	}
	return named.until
}

// provenWarm reports whether the row of a server without a time left proves that it is not
// cold. The time of its start alone does not, because clocks may be off. For a daemon that has
// just started it does, with a margin for the clocks: most servers were there before it.
func provenWarm(s backend.Server, coldTime time.Duration) bool {
	age := s.SeenAt.Sub(s.StartedAt)
	if s.SeenAtStart {
		return s.StatesCold || age < -clockError || age > coldTime+clockError
	}
	return s.StatesCold && age > coldTime
}

// RecordCold records until when a server is cold, as it stated in a response.
func (l *Limits) RecordCold(s backend.Server, until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	at := now
	if until.Before(now) {
		at = until
	}
	id := s.Incarnation()
	l.named[id] = namedCold{until: until, at: at, service: s.Service, wasCold: l.named[id].wasCold || until.After(now)}
}

// recordDown records that a server refused a connection. If it accepts one later, it has
// started again, which its row may not show yet: it is cold for its cold time, or until a
// response states otherwise.
func (l *Limits) recordDown(s backend.Server) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now, retention := time.Now(), l.downRetention()
	maps.DeleteFunc(l.down, func(_ string, at time.Time) bool { return now.Sub(at) > retention })
	l.down[s.Incarnation()] = now
}

// downRetention returns for how long it is remembered that a server refused a connection, at
// least as long as servers of any service are cold.
func (l *Limits) downRetention() time.Duration {
	longest := minDownRetention
	if c := l.fleet.Config(); c != nil {
		for _, s := range c.Services {
			longest = max(longest, s.ColdTime)
		}
	}
	return longest
}

// downAt returns when an incarnation last refused a connection. If most servers did, the fault
// is in this daemon's path to them. It is called with the mutex held.
func (l *Limits) downAt(incarnation string) (time.Time, bool) {
	at, ok := l.down[incarnation]
	return at, ok && 2*len(l.down) <= max(2, len(l.fleet.Servers().List))
}

// CountCold returns the number of servers that are cold.
func (l *Limits) CountCold() int {
	n := 0
	for _, s := range l.fleet.Servers().List {
		if l.Cold(s) {
			n++
		}
	}
	return n
}

// Cold reports whether a server is cold.
func (l *Limits) Cold(s backend.Server) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.coldServer(s, s.Incarnation()) != nil
}

// coldServer returns the state of an incarnation of a server if it is cold, and nil otherwise.
// It is called with the mutex held.
func (l *Limits) coldServer(s backend.Server, id string) *coldServer {
	c := l.fleet.Config()
	if c == nil {
		return nil
	}
	service := c.Services[s.Service]
	if service.ColdTime <= 0 || service.ColdRate <= 0 {
		return nil
	}
	if newest, ok := l.fleet.Servers().Get(s.ID); ok && newest.StartedAt.Equal(s.StartedAt) {
		s = newest
	}
	now := time.Now()
	named := l.latestCold(id)
	until := coldUntil(s, service.ColdTime, named)
	if at, ok := l.downAt(id); ok && at.After(named.at) && at.Add(service.ColdTime).After(until) {
		until = at.Add(service.ColdTime)
	}
	v := l.cold[id]
	switch {
	case !now.Before(until):
		if v != nil {
			delete(l.cold, id)
			l.log.Info("server is no longer cold", zap.String("Server", s.ID), zap.String("Service", s.Service))
		}
		return nil
	case v == nil:
		wasWarm := now.Sub(s.SeenAt) > service.ColdTime
		v = &coldServer{from: ratelimit.ColdFrom(l.now(), service.ColdRate, wasWarm)}
		l.cold[id] = v
		l.log.Info("server is cold", zap.String("Server", s.ID), zap.String("Service", s.Service),
			zap.Duration("Left", until.Sub(now)), zap.Bool("New", !wasWarm), zap.Float64("Rate", service.ColdRate))
	}
	v.rate = service.ColdRate
	return v
}

// latestCold returns what a response stated last about whether a server is cold. What other
// daemons report counts only if the server is cold. It is called with the mutex held.
func (l *Limits) latestCold(incarnation string) namedCold {
	own, reported := l.named[incarnation], l.reports().cold[incarnation]
	if reported.at.After(own.at) && reported.until.After(own.until) {
		return reported
	}
	return own
}

// reportCold adds to a heartbeat which servers are cold. Earlier builds take the rate for one
// that the server named. It is called with the mutex held.
func (l *Limits) reportCold(m *fleet.Member) {
	now, local := l.now(), time.Now()
	for id, n := range l.named {
		if _, limited := m.Rates[id]; limited || !n.wasCold {
			continue
		}
		r := fleet.ServerRate{At: now.Add(n.at.Sub(local)), ColdUntil: now.Add(n.until.Sub(local))}
		switch ended := local.Sub(n.until); {
		case ended >= 0 && ended < endedReportTime:
			r.Ended, r.At = true, r.ColdUntil
		case ended >= 0 || local.Sub(n.at) > coldReportTime:
			continue
		default:
			c := l.fleet.Config()
			if c == nil || c.Services[n.service].ColdRate <= 0 {
				continue
			}
			r.Rate = ratelimit.ColdRate(c.Services[n.service].ColdRate)
		}
		m.Rates[id] = r
	}
}

// addCold adds what another daemon reports about a cold server, given how to convert times of
// the store's clock.
func (r *reports) addCold(incarnation string, s fleet.ServerRate, local func(time.Time) time.Time) {
	if n := (namedCold{until: local(s.ColdUntil), at: local(s.At)}); !s.Ended && n.at.After(r.cold[incarnation].at) {
		r.cold[incarnation] = n
	}
}
