package grant

import (
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
)

// settleMargin is added to the time to begin of a grant that may be held in
// vain.
const settleMargin = 100 * time.Millisecond

// running holds the grants in use. The zero value is empty. Its methods may be
// called from any goroutine.
type running struct {
	mutex  sync.Mutex
	grants map[string]used
	// sequence is that of the newest list.
	sequence uint64
	// unsettledAt is when a dispatcher that holds a grant which this daemon
	// does not use can be told so by a registration; zero when there is none.
	unsettledAt time.Time
}

type used struct {
	grant gate.Grant
	ask   cell.AskID
	// charged is the number of tokens taken from the limit.
	charged int
}

func (r *running) add(id string, u used) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.grants == nil {
		r.grants = make(map[string]used)
	}
	r.grants[id] = u
}

// list returns the grants in use by the cell that f puts each in, and the
// sequence number of the list.
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

// remove takes a grant out and reports whether it was in.
func (r *running) remove(id string) (used, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	u, ok := r.grants[id]
	delete(r.grants, id)
	return u, ok
}

// settle notes that all dispatchers were told at now.
func (r *running) settle(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !now.Before(r.unsettledAt) {
		r.unsettledAt = time.Time{}
	}
}

// unsettle notes that a dispatcher may hold a grant that this daemon does not
// use. The grant can be ended once its time to begin is over.
func (r *running) unsettle(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unsettledAt = now.Add(cell.GrantWindow + settleMargin)
}

// unsettled reports whether all dispatchers should be told at now.
func (r *running) unsettled(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.unsettledAt.IsZero() && !now.Before(r.unsettledAt)
}
