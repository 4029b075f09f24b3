package fleet

import (
	"maps"
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
	if f.addLeaving(s.Incarnation()) {
		f.log.Info("server announced its shutdown in a response", zap.String("Server", s.ID), zap.String("Service", s.Service))
	}
}

// RecordLeavingAtPeer is RecordLeaving for the incarnations of servers that another daemon
// has named, see Leaving.
func (f *State) RecordLeavingAtPeer(incarnations []string) {
	for _, i := range incarnations {
		if f.addLeaving(i) {
			f.log.Info("server announced its shutdown to a peer", zap.String("Incarnation", i))
		}
	}
}

// Leaving returns the incarnations of the servers that have announced their shutdown.
func (f *State) Leaving() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Collect(maps.Keys(f.leaving))
}

// addLeaving adds a server, and reports whether it is new.
func (f *State) addLeaving(incarnation string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, ok := f.leaving[incarnation]; ok {
		return false
	}
	if f.leaving == nil {
		f.leaving = make(leavingServers)
	}
	now := time.Now()
	f.leaving[incarnation] = now
	f.publishServers(now)
	return true
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
