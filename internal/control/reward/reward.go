// Package reward decides when the calls that score complete texts are sent, and to
// which backend servers. Its functions do no I/O and read no clock.
//
// It is designed for the bursts in which texts become complete: many short items
// of a step end at about the same time, and their calls compete with live requests
// for the same servers. Each daemon keeps its calls in flight within its share of
// the slots, of which some are left for live requests, so that calls wait in the
// daemon, where the most urgent one goes first, and not in the servers' queues.
package reward

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
)

const (
	// liveShare is the fraction of a server's slots that is left for live requests.
	liveShare = 0.25
	// hedgeFraction is the fraction of the route's objective after which a call is
	// also sent to a second server.
	hedgeFraction = 0.5
	// minHedgeDelay is the minimum delay before a call is hedged.
	minHedgeDelay = 100 * time.Millisecond
	// maxInFlight is the maximum number of servers that run the same call.
	maxInFlight = 2
)

// Call is a reward call that has no answer yet.
type Call struct {
	// ID identifies the call among those of this daemon.
	ID      string
	Service string
	// DueAt is when the item's job is due, and Group the position of the item's
	// group in the job. Trainers list the groups that they need first.
	DueAt time.Time
	Group int
	// Objective is the target response time of the call's route.
	Objective time.Duration
	// NotBefore is when the call may be sent again; zero is immediately.
	NotBefore time.Time
	// Avoid are the servers that failed the call. They get it again only if no other
	// server has a free slot.
	Avoid []string
	// Servers are the servers that run the call now, and SentAt is when it was sent
	// to the last of them.
	Servers []string
	SentAt  time.Time
	// Allows reports whether the call may run in a failure domain; nil if it may in all.
	Allows func(domain string) bool
}

// Server is a backend server as seen by one daemon.
type Server struct {
	ID      string
	Service string
	// Domain is the server's failure domain.
	Domain string
	Slots  int
	// Limited is whether the server limits its rate. It gets no calls that another server
	// runs already.
	Limited bool
	// Running is the number of this daemon's requests on the server, live ones
	// included.
	Running int
	// Cost is the expected duration of a call, and CallCost what each further call
	// adds to it, in milliseconds.
	Cost     float64
	CallCost float64
}

// Placement assigns a call to a server.
type Placement struct {
	// Call is the ID of the call.
	Call   string
	Server string
}

// Share is this daemon's share of the slots for reward calls.
type Share struct {
	// Rank is the daemon's position among the Daemons that send reward calls;
	// negative if it is not one of them.
	Rank, Daemons int
}

// Place returns the calls to send now. The daemon's calls in flight to a service
// stay within its share. The calls whose items are due first, and whose groups
// come first in their jobs, are sent first; a late call is sent to a second server
// only if no other call waits.
func Place(now time.Time, calls []Call, servers []Server, s Share) []Placement {
	servers = slices.Clone(servers)
	free := freeSlots(calls, servers, s)
	slices.SortStableFunc(calls, func(a, b Call) int { return a.compare(b) })
	var out []Placement
	for _, c := range calls {
		if free[c.Service] < 1 || !c.due(now) {
			continue
		}
		i := cheapest(c, servers)
		if i < 0 {
			continue
		}
		free[c.Service]--
		servers[i].Running++
		servers[i].Cost += servers[i].CallCost
		out = append(out, Placement{Call: c.ID, Server: servers[i].ID})
	}
	return out
}

// Limit returns how many reward calls a daemon may have in flight to a service
// with the given slots of its servers. It is at least one.
func (s Share) Limit(slots []int) int {
	total := 0
	for _, n := range slots {
		total += max(1, n-int(liveShare*float64(n)+0.5))
	}
	if s.Rank < 0 {
		return 1
	}
	return max(1, schedule.Quota(total, s.Rank, s.Daemons, 0))
}

// freeSlots returns how many more calls this daemon may send to each service.
func freeSlots(calls []Call, servers []Server, s Share) map[string]int {
	slots := make(map[string][]int)
	for _, server := range servers {
		slots[server.Service] = append(slots[server.Service], server.Slots)
	}
	free := make(map[string]int, len(slots))
	for service, n := range slots {
		free[service] = s.Limit(n)
	}
	for _, c := range calls {
		free[c.Service] -= len(c.Servers)
	}
	return free
}

// compare orders calls by urgency. Calls that no server runs come first.
func (c Call) compare(o Call) int {
	if n := cmp.Compare(len(c.Servers), len(o.Servers)); n != 0 {
		return n
	}
	if n := c.DueAt.Compare(o.DueAt); n != 0 {
		return n
	}
	return cmp.Compare(c.Group, o.Group)
}

// due reports whether a call may be sent now, for the first time or to a further
// server.
func (c Call) due(now time.Time) bool {
	if len(c.Servers) == 0 {
		return !now.Before(c.NotBefore)
	}
	delay := max(minHedgeDelay, time.Duration(hedgeFraction*float64(c.Objective)))
	return len(c.Servers) < maxInFlight && now.Sub(c.SentAt) >= delay
}

// cheapest returns the index of the server with the lowest cost that has a slot
// for a call, or -1 if there is none.
func cheapest(c Call, servers []Server) int {
	best := -1
	for i, s := range servers {
		if s.Service != c.Service || s.Running >= s.Slots || slices.Contains(c.Servers, s.ID) || c.Allows != nil && !c.Allows(s.Domain) {
			continue
		}
		if s.Limited && len(c.Servers) > 0 {
			continue
		}
		if best < 0 || c.prefers(s, servers[best]) {
			best = i
		}
	}
	return best
}

// prefers reports whether server a suits the call better than server b.
func (c Call) prefers(a, b Server) bool {
	if avoidA, avoidB := slices.Contains(c.Avoid, a.ID), slices.Contains(c.Avoid, b.ID); avoidA != avoidB {
		return avoidB
	}
	return a.Cost < b.Cost
}
