package throttle

import (
	"slices"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/control/ratelimit"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

// reports is what the heartbeats of one member list contain about limited servers.
type reports struct {
	members *fleet.Members
	// self is the position of this daemon in the list, or its length if it is missing.
	self int
	// latest holds the latest rate that a daemon reports, by server incarnation.
	latest map[string]observation
	// shares holds the shares of this daemon that have been computed.
	shares map[string]ratelimit.Share
}

// reports returns what the latest heartbeats contain. It is called with the mutex held.
func (l *Limits) reports() *reports {
	m := l.fleet.Members()
	if l.lastReports != nil && l.lastReports.members == m {
		return l.lastReports
	}
	r := &reports{members: m, self: len(m.List), latest: make(map[string]observation), shares: make(map[string]ratelimit.Share)}
	if i := slices.IndexFunc(m.List, func(o fleet.Member) bool { return o.ID == l.self }); i >= 0 {
		r.self = i
	}
	for _, o := range m.List {
		if o.ID == l.self {
			continue
		}
		for id, s := range o.Rates {
			if s.NamedAt.After(r.latest[id].at) {
				r.latest[id] = observation{rate: option.Some(s.Rate), at: s.NamedAt}
			}
		}
	}
	l.lastReports = r
	return r
}

// share returns this daemon's share of the rate of a server. All daemons compute the
// shares from the demands in the heartbeats, also their own, so that the shares do not
// overlap while the lists are the same.
func (r *reports) share(incarnation string) ratelimit.Share {
	if s, ok := r.shares[incarnation]; ok {
		return s
	}
	demands := make([]float64, max(len(r.members.List), r.self+1))
	for n, o := range r.members.List {
		demands[n] = o.Demands[incarnation]
	}
	s := ratelimit.ShareOf(demands, r.self)
	r.shares[incarnation] = s
	return s
}
