package batch

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// limitedServers is Limits whose servers all allow a rate, and that records at which
// requests wait.
type limitedServers struct {
	unlimited

	rate    float64
	waiting []string
}

func (l *limitedServers) Rate(backend.Server) (float64, bool) { return l.rate, true }

func (l *limitedServers) Want(s backend.Server, _ int) { l.waiting = append(l.waiting, s.ID) }

// TestRatesDividedAmongDaemonsWithoutSlots lets an item wait at a daemon whose quota has
// slots on some servers only. It must be able to run items on each server of whose rate it
// asks for a part: the other daemons lose that part.
func TestRatesDividedAmongDaemonsWithoutSlots(t *testing.T) {
	r := newLargeFleet(t, 30, 300)
	l := limitedServers{rate: 1}
	r.limits = &l
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, own := r.servers()
	r.reportWaiting([]schedule.Item{{ID: "i", Service: "s"}}, nil)
	var usable []string
	for _, s := range own {
		if s.Free > 0 {
			usable = append(usable, s.ID)
		}
	}
	slices.Sort(l.waiting)
	slices.Sort(usable)
	must.Eq(t, 300, len(l.waiting))
	must.Eq(t, len(l.waiting), len(usable), must.Sprint("servers with slots for this daemon"))
	must.SliceEqOp(t, l.waiting, usable)
}
