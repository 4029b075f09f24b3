package throttle

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/control/ratelimit"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

// maxShares limits the shares that are kept: during an outage of the store, the list of
// daemons stays the same.
const maxShares = 1024

// endedReportTime is for how long a daemon reports the end of a limit, and its demand at that
// server: a daemon with a small share might notice the end only after minutes by itself.
const endedReportTime = 30 * time.Second

// reports is what the heartbeats of one member list contain about limited servers.
type reports struct {
	members *fleet.Members
	// self is the position of this daemon in the list, or its length if it is missing.
	self int
	// latest holds the latest rate that a daemon reports, by server incarnation.
	latest map[string]observation
	// cold holds what responses to other daemons stated about cold servers.
	cold map[string]namedCold
	// shares holds the shares of this daemon that have been computed.
	shares map[shareKey]ratelimit.Share
}

// shareKey identifies a share at a server.
type shareKey struct {
	incarnation string
	epoch       ratelimit.Epoch
}

// observationOf returns the observation that another daemon reports.
func observationOf(s fleet.ServerRate) observation {
	if s.Ended {
		return observation{at: s.At}
	}
	return observation{rate: option.Some(s.Rate), at: s.At}
}

// Report adds to a heartbeat what servers answered this daemon about their rates, and its
// demands. It forgets servers that are gone.
func (l *Limits) Report(m *fleet.Member) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.prune()
	now := l.now()
	m.Rates = make(map[string]fleet.ServerRate)
	for id, o := range l.observed {
		rate, limited := o.rate.Get()
		if limited || now.Sub(o.at) < endedReportTime {
			m.Rates[id] = fleet.ServerRate{Rate: rate, Ended: !limited, At: o.at}
		}
	}
	l.reportCold(m)
	m.Demands = make(map[string]ratelimit.Demand)
	for id, v := range l.servers {
		m.Demands[id] = v.demand.report(now)
	}
	m.ServiceDemands = make(map[string]ratelimit.Demand)
	for name, d := range l.services {
		m.ServiceDemands[name] = d.report(now)
	}
}

// prune forgets servers that have not been listed for retention. It is called with the
// mutex held.
func (l *Limits) prune() {
	listed := make(map[string]bool)
	for _, s := range l.fleet.Servers().List {
		listed[s.Incarnation()] = true
	}
	for id, o := range l.observed {
		if !listed[id] && l.now().Sub(o.at) > retention {
			delete(l.observed, id)
		}
	}
	for id, n := range l.named {
		if !listed[id] && time.Since(n.at) > retention {
			delete(l.named, id)
		}
	}
	for id := range l.cold {
		if !listed[id] {
			delete(l.cold, id)
		}
	}
	for id, v := range l.servers {
		// The shares of the others depend on what was reported a moment ago.
		last := l.latest(id)
		_, limited := last.rate.Get()
		if !limited && l.now().Sub(last.at) > endedReportTime && time.Since(v.coldAt) > endedReportTime {
			delete(l.servers, id)
		}
	}
}

// reports returns what the latest heartbeats contain. It is called with the mutex held.
func (l *Limits) reports() *reports {
	m := l.fleet.Members()
	if l.lastReports != nil && l.lastReports.members == m {
		return l.lastReports
	}
	l.lastReports = l.newReports(m)
	return l.lastReports
}

// newReports returns what the heartbeats of a list contain.
func (l *Limits) newReports(m *fleet.Members) *reports {
	r := &reports{members: m, self: len(m.List), latest: make(map[string]observation), cold: make(map[string]namedCold), shares: make(map[shareKey]ratelimit.Share)}
	if i := slices.IndexFunc(m.List, func(o fleet.Member) bool { return o.ID == l.self }); i >= 0 {
		r.self = i
	}
	now, local := l.now(), time.Now()
	for _, o := range slices.Concat(m.List, m.Ended) {
		if o.ID == l.self {
			continue
		}
		for id, s := range o.Rates {
			if !s.ColdUntil.IsZero() {
				r.addCold(id, s, func(t time.Time) time.Time { return local.Add(t.Sub(now)) })
				continue
			}
			if s.At.After(r.latest[id].at) {
				r.latest[id] = observationOf(s)
			}
		}
	}
	return r
}

// shareAt returns this daemon's share of the rate of a server in each epoch. All daemons
// compute the shares from the demands in the heartbeats, also their own, so that the shares
// do not overlap while the lists of daemons are the same.
func (r *reports) shareAt(incarnation, service string) func(ratelimit.Epoch) ratelimit.Share {
	return func(e ratelimit.Epoch) ratelimit.Share {
		k := shareKey{incarnation, e}
		s, ok := r.shares[k]
		if !ok {
			if len(r.shares) >= maxShares {
				clear(r.shares)
			}
			s = ratelimit.ShareOf(r.demands(incarnation, service, e), r.self, e)
			r.shares[k] = s
		}
		return s
	}
}

// demands returns the demands of all daemons at a server: as long as none has been
// reported for an epoch, those at the servers of its service.
func (r *reports) demands(incarnation, service string, e ratelimit.Epoch) []ratelimit.Demand {
	out := make([]ratelimit.Demand, max(len(r.members.List), r.self+1))
	for n, o := range r.members.List {
		out[n] = o.Demands[incarnation]
	}
	if ratelimit.HasDemand(out, e) {
		return out
	}
	for n, o := range r.members.List {
		out[n] = o.ServiceDemands[service]
	}
	return out
}
