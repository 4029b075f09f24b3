package grant

import (
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
)

// syncMargin is added to cell.GrantWindow, after which a grant that this daemon
// does not use can be ended by a registration.
const syncMargin = 100 * time.Millisecond

// running holds the grants in use. The zero value is empty. Its methods may be
// called from any goroutine.
type running struct {
	mutex  sync.Mutex
	grants map[string]grantInUse
	// sequence is the sequence number of the newest list.
	sequence uint64
	// syncAt is when to register with all dispatchers, since one of them may
	// hold a grant that this daemon does not use. It is zero if none does.
	syncAt time.Time
}

type grantInUse struct {
	grant gate.Grant
	ask   cell.AskID
	// charged is the number of tokens charged to the limit.
	charged int
}

func (r *running) add(id string, u grantInUse) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.grants == nil {
		r.grants = make(map[string]grantInUse)
	}
	r.grants[id] = u
}

// list returns the grants in use, grouped by the cell that f returns for each,
// and the sequence number of the list.
func (r *running) list(f func(gate.Grant) cell.ID) (map[cell.ID][]cell.Running, uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	out := make(map[cell.ID][]cell.Running)
	for _, u := range r.grants {
		id := f(u.grant)
		out[id] = append(out[id], cell.Running{
			Grant:   u.grant.ID,
			Ask:     u.ask,
			Server:  u.grant.Server.ID,
			Request: u.grant.Request,
		})
	}
	return out, r.sequence
}

// remove removes a grant and reports whether it was in use.
func (r *running) remove(id string) (grantInUse, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	u, ok := r.grants[id]
	delete(r.grants, id)
	return u, ok
}

// synced records that all dispatchers accepted a registration at now.
func (r *running) synced(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !now.Before(r.syncAt) {
		r.syncAt = time.Time{}
	}
}

// requestSync records that a dispatcher may hold a grant that this daemon does
// not use. A registration can end the grant once cell.GrantWindow has passed.
func (r *running) requestSync(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.syncAt = now.Add(cell.GrantWindow + syncMargin)
}

// syncDue reports whether to register with all dispatchers at now.
func (r *running) syncDue(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.syncAt.IsZero() && !now.Before(r.syncAt)
}
