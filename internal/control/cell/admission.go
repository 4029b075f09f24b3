package cell

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
)

const (
	// maxIdleTenants is how many workspaces are remembered while they have
	// nothing waiting or running.
	maxIdleTenants = 256
	// meanLength is the number of times that a mean is taken over.
	meanLength = 32
	// noServerRetry is when to come back to a pool that has no server.
	noServerRetry = 2 * time.Second
	// longestRetry bounds the time to come back.
	longestRetry = 30 * time.Second
	// shortestRetry bounds it from below.
	shortestRetry = 100 * time.Millisecond
)

// mean is a decayed mean of times. The zero value has none.
type mean struct {
	value time.Duration
	known bool
}

func (m *mean) add(d time.Duration) {
	if !m.known {
		m.value, m.known = d, true
		return
	}
	m.value += (d - m.value) / meanLength
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
	t.spotAllowed[classOf(a.Request.Class)] = a.Request.SpotAllowed
	wait := c.expectedWait(t, a.Request.Class)
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
// what it has waiting over its fair part of the rate at which slots become
// free. It is zero while that rate is not known.
func (c *Cell) expectedWait(t *tenant, class fleet.Class) time.Duration {
	class = classOf(class)
	ahead := 0
	for k := range class + 1 {
		ahead += t.waitingIn(k)
	}
	if ahead == 0 {
		return 0
	}
	weights := t.weight
	for _, o := range c.queued[class] {
		if o != t {
			weights += o.weight
		}
	}
	r := c.freeing() * t.weight / weights
	if r <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / r * float64(time.Second))
}

// freeing returns the rate at which slots become free, a second.
func (c *Cell) freeing() float64 {
	sum := 0.0
	for class, n := range c.load.running {
		if m := c.times[class]; m.known && m.value > 0 {
			sum += float64(n) / m.value.Seconds()
		}
	}
	return sum
}

func bounded(d time.Duration) time.Duration {
	return min(max(d, shortestRetry), longestRetry)
}
