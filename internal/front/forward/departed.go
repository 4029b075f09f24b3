package forward

import (
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

// departed keeps the server failures that were observed by daemons which have ended since, as
// callers send the requests that caused them again. The zero value is empty. Its methods may be
// called from any goroutine.
type departed struct {
	mutex sync.Mutex
	// seen holds the last heartbeat with failures of each daemon.
	seen map[string]lastHeartbeat
	// gone holds those of daemons that are no longer alive; it is replaced, never changed.
	gone []fleet.Member
}

// lastHeartbeat contains the failures in a daemon's last heartbeat.
type lastHeartbeat struct {
	member fleet.Member
	// until is when the failures no longer count.
	until time.Time
}

// observe records the failures in the heartbeats of the daemons that are alive, except self.
func (d *departed) observe(alive []fleet.Member, self string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.seen == nil {
		d.seen = make(map[string]lastHeartbeat)
	}
	present := make(map[string]bool, len(alive))
	for _, m := range alive {
		present[m.ID] = true
		if m.ID == self || len(m.Suspects) == 0 && len(m.Interrupted) == 0 {
			delete(d.seen, m.ID)
			continue
		}
		d.seen[m.ID] = lastHeartbeat{
			member: fleet.Member{ID: m.ID, Suspects: m.Suspects, Interrupted: m.Interrupted},
			until:  now.Add(suspectRetention),
		}
	}
	d.gone = nil
	for id, h := range d.seen {
		switch {
		case present[id]:
		case now.After(h.until):
			delete(d.seen, id)
		default:
			d.gone = append(d.gone, h.member)
		}
	}
}

// list returns the failures of daemons that have ended.
func (d *departed) list() []fleet.Member {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.gone
}
