package cell

import (
	"math"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
)

const (
	// maxIdleTenants is how many workspaces are remembered while they have
	// nothing waiting or running.
	maxIdleTenants = 256
	// rateWindow is the time over which rates are averaged.
	rateWindow = 10 * time.Second
	// noServerRetry is when to come back to a pool that has no server.
	noServerRetry = 2 * time.Second
	// longestRetry bounds the time to come back.
	longestRetry = 30 * time.Second
	// shortestRetry bounds it from below.
	shortestRetry = 100 * time.Millisecond
)

// rate is a decayed rate of events. The zero value is none.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time) {
	r.perSecond = r.value(now) + 1/rateWindow.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	passed := max(clock.Elapsed(r.at, now), 0)
	return r.perSecond * math.Exp(-passed.Seconds()/rateWindow.Seconds())
}

// admit queues a request or refuses it.
func (c *Cell) admit(now time.Time, a Ask) {
	if a.Request.Class != fleet.Training {
		c.load.liveAt = now
	}
	t := c.tenant(a.Request.Workspace)
	t.weight = a.Weight
	if t.weight <= 0 {
		t.weight = 1
	}
	t.spotAllowed = a.Request.SpotAllowed
	wait := c.expectedWait(now, t, a.Request.Class)
	switch {
	case clock.Passed(now, a.Request.Deadline):
		c.refuse(now, a, refusal.ReasonDeadline, now)
	case !c.servers.suits(&a):
		c.refuse(now, a, refusal.ReasonNoServer, now.Add(noServerRetry))
	case a.MaxWaiting > 0 && t.waiting() >= a.MaxWaiting:
		c.refuse(now, a, refusal.ReasonOverload, now.Add(bounded(wait/2)))
	case clock.Passed(now.Add(wait), a.Request.Deadline):
		c.refuse(now, a, refusal.ReasonOverload, now.Add(bounded(wait/2)))
	default:
		c.enqueue(&item{ask: a})
	}
}

// expectedWait estimates how long the next request of a workspace would wait:
// what it has waiting over the rate at which it is served, which is at least
// its fair part of the cell's rate.
func (c *Cell) expectedWait(now time.Time, t *tenant, class fleet.Class) time.Duration {
	ahead := 0
	for k := range classOf(class) + 1 {
		ahead += t.waitingIn(k)
	}
	if ahead == 0 {
		return 0
	}
	all := c.rate.value(now)
	weights := t.weight
	for _, o := range c.queued[classOf(class)] {
		if o != t {
			weights += o.weight
		}
	}
	r := max(t.rate.value(now), all*t.weight/weights)
	if r <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / r * float64(time.Second))
}

func bounded(d time.Duration) time.Duration {
	return min(max(d, shortestRetry), longestRetry)
}
