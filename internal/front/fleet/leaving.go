package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// leavingRetention is how long a server that announced its shutdown is remembered
// after its row was last seen: rows disappear during outages of the store, and are
// written again afterwards.
const leavingRetention = 10 * time.Minute

// leavingServers are the servers that announced their shutdown in a response, by
// incarnation, with the time at which each was last listed. A shutdown is never
// cancelled: only a new start of the server ends it. The zero value is empty.
type leavingServers map[string]time.Time

// RecordLeaving records that a server has announced its shutdown in a response.
// From now on this daemon treats it as draining, whatever the server's row contains
// and whether or not the store can be read.
func (f *State) RecordLeaving(s backend.Server) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, ok := f.leaving[s.Incarnation()]; ok {
		return
	}
	if f.leaving == nil {
		f.leaving = make(leavingServers)
	}
	now := time.Now()
	f.leaving[s.Incarnation()] = now
	f.servers.Store(f.leaving.apply(f.servers.Load(), now))
	f.log.Info("server announced its shutdown in a response", zap.String("Server", s.ID), zap.String("Service", s.Service))
}

// apply returns the servers with those that announced their shutdown marked as
// draining. It drops announcements of servers that have not been listed for
// leavingRetention.
func (l leavingServers) apply(s *Servers, now time.Time) *Servers {
	if len(l) == 0 {
		return s
	}
	marked := &Servers{List: slices.Clone(s.List), byID: s.byID}
	for i, v := range marked.List {
		if _, ok := l[v.Incarnation()]; ok {
			l[v.Incarnation()] = now
			marked.List[i].Draining = true
		}
	}
	for incarnation, listedAt := range l {
		if now.Sub(listedAt) > leavingRetention {
			delete(l, incarnation)
		}
	}
	return marked
}
