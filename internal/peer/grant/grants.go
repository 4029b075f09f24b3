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

// grantsInUse holds the grants in use. The zero value is empty. Its methods may
// be called from any goroutine.
type grantsInUse struct {
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

func (g *grantsInUse) add(id string, u grantInUse) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.grants == nil {
		g.grants = make(map[string]grantInUse)
	}
	g.grants[id] = u
}

// list returns the grants in use, grouped by the cell that f returns for each,
// and the sequence number of the list.
func (g *grantsInUse) list(f func(gate.Grant) cell.ID) (map[cell.ID][]cell.Running, uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sequence++
	out := make(map[cell.ID][]cell.Running)
	for _, u := range g.grants {
		id := f(u.grant)
		out[id] = append(out[id], cell.Running{
			Grant:   u.grant.ID,
			Ask:     u.ask,
			Server:  u.grant.Server.ID,
			Request: u.grant.Request,
		})
	}
	return out, g.sequence
}

// remove removes a grant and reports whether it was in use.
func (g *grantsInUse) remove(id string) (grantInUse, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	u, ok := g.grants[id]
	delete(g.grants, id)
	return u, ok
}

// synced records that all dispatchers accepted a registration at now.
func (g *grantsInUse) synced(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !now.Before(g.syncAt) {
		g.syncAt = time.Time{}
	}
}

// requestSync records that a dispatcher may hold a grant that this daemon does
// not use. A registration can end the grant once cell.GrantWindow has passed.
func (g *grantsInUse) requestSync(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.syncAt = now.Add(cell.GrantWindow + syncMargin)
}

// syncDue reports whether to register with all dispatchers at now.
func (g *grantsInUse) syncDue(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.syncAt.IsZero() && !now.Before(g.syncAt)
}
