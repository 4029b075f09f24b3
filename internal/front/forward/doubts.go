package forward

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

// maxRecent is the maximum number of failures that are kept until it is certain whether this
// daemon reached the servers. The oldest make room.
const maxRecent = 1024

// failure is a failure of a server while it ran a request.
type failure struct {
	request quarantine.Fingerprint
	server  backend.Server
	// begunAt and failedAt are when the attempt began and when the server failed.
	begunAt, failedAt time.Time
	// progress is whether the attempt, of a stream, brought an event.
	progress bool
	// doubtful is whether this daemon reached no server then. The failure counts once the
	// server has shown that it ended.
	doubtful bool
}

// incarnation returns the hash of the server's incarnation.
func (f failure) incarnation() uint64 {
	return xxhash.Sum64String(f.server.Incarnation())
}

// recentFailures holds the failures of the last DoubtTime. The zero value is empty. It is
// not safe for concurrent use.
type recentFailures struct {
	list []failure
	// settled is the list of servers by which the doubtful ones were last judged; nil if
	// there are new ones.
	settled *fleet.Servers
}

// add adds a failure.
func (r *recentFailures) add(f failure) {
	r.list = slices.DeleteFunc(r.list, func(o failure) bool { return f.failedAt.Sub(o.failedAt) >= quarantine.DoubtTime })
	if len(r.list) >= maxRecent {
		r.list = slices.Delete(r.list, 0, 1)
	}
	r.list = append(r.list, f)
	r.settled = nil
}

// doubtSince makes the failures since a time doubtful.
func (r *recentFailures) doubtSince(since time.Time) {
	for i := range r.list {
		if !r.list[i].failedAt.Before(since) {
			r.list[i].doubtful = true
		}
	}
	r.settled = nil
}

// remove removes the failures of a kind.
func (r *recentFailures) remove(kind func(failure) bool) {
	r.list = slices.DeleteFunc(r.list, kind)
}

// settle removes the doubtful failures whose servers have shown what became of them, and
// returns those during which the servers ended.
func (r *recentFailures) settle(servers *fleet.Servers, leaves func(backend.Server) bool, now time.Time) []failure {
	doubtful := func(f failure) bool { return f.doubtful }
	if r.settled == servers || !slices.ContainsFunc(r.list, doubtful) {
		return nil
	}
	r.settled = servers
	at := make(map[netip.AddrPort]backend.Server, len(servers.List))
	for _, s := range servers.List {
		if o, ok := at[s.Address]; s.Address.IsValid() && (!ok || o.StartedAt.Before(s.StartedAt)) {
			at[s.Address] = s
		}
	}
	var ended []failure
	r.remove(func(f failure) bool {
		if !f.doubtful {
			return false
		}
		own, listed := servers.Get(f.server.ID)
		other, taken := at[f.server.Address]
		same := listed && own.Incarnation() == f.server.Incarnation()
		fate := quarantine.Doubt{
			Age: now.Sub(f.failedAt), Listed: same, Leaving: leaves(f.server),
			Replaced: listed && !same || taken && other.Incarnation() != f.server.Incarnation(),
		}.Fate()
		if fate == quarantine.FateEnded {
			ended = append(ended, f)
		}
		return fate != quarantine.FateUnknown
	})
	return ended
}
