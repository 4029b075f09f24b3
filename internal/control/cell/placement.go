package cell

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// affinitySlack is the difference in load, as a fraction of the capacity, up to
// which a server with the cached prefix is preferred to a less loaded one. It
// applies to cells, too.
const affinitySlack = 0.25

// Option is a server that may run a request, as a Placement sees it.
type Option struct {
	Server fleet.ServerID
	Kind   fleet.Kind
	// Load is the fraction of the server's slots that are taken, from 0 to 1.
	Load float64
	// Reported is the fraction of its slots that the server last reported as
	// taken.
	Reported float64
	// Cached is whether the request's prefix was sent to the server recently.
	Cached bool
	// Slow is whether the server is clearly slower than the others.
	Slow bool
}

// Placement chooses among servers with a free slot. It need not be safe for
// concurrent use.
type Placement interface {
	// Choose returns the index of the server to use. There is at least one
	// option.
	Choose(class fleet.Class, options []Option) int
}

// PrefixPlacement prefers a server that has the prefix cached unless it is
// clearly busier than the least loaded one. Training prefers spot servers, other
// work standard ones. Slow servers are used last.
type PrefixPlacement struct{}

// Choose implements Placement.
func (PrefixPlacement) Choose(class fleet.Class, options []Option) int {
	best := 0
	for i := range options {
		if score(class, &options[i]) < score(class, &options[best]) {
			best = i
		}
	}
	return best
}

// ReportedPlacement chooses the server with the least reported load.
type ReportedPlacement struct{}

// Choose implements Placement.
func (ReportedPlacement) Choose(_ fleet.Class, options []Option) int {
	best := 0
	for i := range options {
		if options[i].Reported < options[best].Reported {
			best = i
		}
	}
	return best
}

func score(class fleet.Class, o *Option) float64 {
	s := o.Load
	if o.Cached {
		s -= affinitySlack
	}
	if (o.Kind == fleet.Spot) != (class == fleet.Training) {
		s++
	}
	if o.Slow {
		s += 2
	}
	return s
}

// choose returns a server with a free slot for the request, or nil if there is
// none now.
func (c *Cell) choose(now time.Time, a *Ask) *serverState {
	c.options, c.states = c.options[:0], c.states[:0]
	standard := c.standardAllowed(now, a.Request.Class)
	for _, s := range c.servers.usable {
		if s.free() <= 0 || s.suspended(now) || !s.canRun(a) || !c.kindAllowed(s, a, standard) {
			continue
		}
		c.states = append(c.states, s)
		c.options = append(c.options, Option{
			Server:   s.server.ID,
			Kind:     s.server.Kind,
			Load:     float64(s.running+s.external) / float64(s.server.Capacity),
			Reported: float64(s.reported) / float64(s.server.Capacity),
			Cached:   s.cached(a.Request.Prefix),
			Slow:     s.slow,
		})
	}
	if len(c.options) == 0 {
		return nil
	}
	if c.Settings.Placement == nil {
		return c.states[PrefixPlacement{}.Choose(a.Request.Class, c.options)]
	}
	return c.states[c.Settings.Placement.Choose(a.Request.Class, c.options)]
}

// kindAllowed reports whether the request may run on a server of this kind, where
// standard is whether its class may take a standard slot now. Live work on
// the spot servers of one failure domain is limited to the reserve, which has to
// absorb it when they are lost.
func (c *Cell) kindAllowed(s *serverState, a *Ask, standard bool) bool {
	if s.server.Kind != fleet.Spot {
		return standard
	}
	if a.Request.Class == fleet.Training || c.Settings.LiveReserve == 0 {
		return true
	}
	bound := c.Settings.LiveReserve * float64(c.servers.standard)
	return float64(c.servers.liveOnSpot[s.server.FailureDomain]) < bound
}

// standardAllowed reports whether a class may take a standard slot: training
// leaves the reserve free while live requests arrive, unless it is below its
// floor.
func (c *Cell) standardAllowed(now time.Time, class fleet.Class) bool {
	if class != fleet.Training || c.Settings.LiveReserve == 0 {
		return true
	}
	if c.load.lastLiveAt.IsZero() || now.Sub(c.load.lastLiveAt) > reserveWindow {
		return true
	}
	if float64(c.load.running[fleet.Training]) < c.Settings.TrainingFloor*float64(c.servers.capacity) {
		return true
	}
	return float64(c.servers.standardFree()) > c.Settings.LiveReserve*float64(c.servers.standard)
}
