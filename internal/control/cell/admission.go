package cell

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
)

const (
	// maxKeptWorkspaces is the number of workspaces above which the state of a
	// workspace with nothing waiting or running is dropped. RoundRobin keeps as
	// many passes before it sweeps.
	maxKeptWorkspaces = 256
	// meanSamples sets the decay of a mean: a new sample has a weight of
	// 1/meanSamples.
	meanSamples = 32
	// noServerRetryDelay is the retry delay for a pool that has no server.
	noServerRetryDelay = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the retry delay of a refusal for
	// overload.
	maxRetryDelay = 30 * time.Second
	minRetryDelay = 100 * time.Millisecond
)

// mean is an exponentially decayed mean of durations. The zero value has no
// samples.
type mean struct {
	value time.Duration
	valid bool
}

func (m *mean) add(d time.Duration) {
	if !m.valid {
		m.value, m.valid = d, true
		return
	}
	m.value += (d - m.value) / meanSamples
}

// admit queues a request. It refuses one that no server can run, that is above
// the workspace's limit of waiting requests, or that is expected to wait past its
// deadline.
func (c *Cell) admit(now time.Time, a Ask) {
	if a.Request.Class != fleet.Training {
		c.load.lastLiveAt = now
	}
	w := c.workspace(a.Request.Workspace)
	w.weight = a.Weight
	if w.weight <= 0 {
		w.weight = 1
	}
	w.spotAllowed[clampClass(a.Request.Class)] = a.Request.SpotAllowed
	wait := c.expectedWait(w, a.Request.Class)
	switch {
	case clock.Passed(now, a.Request.Deadline):
		c.refuse(now, a, refusal.ReasonDeadline, now)
	case !c.servers.canRun(&a):
		c.refuse(now, a, refusal.ReasonNoServer, now.Add(noServerRetryDelay))
	case a.MaxWaiting > 0 && w.waiting() >= a.MaxWaiting:
		c.refuse(now, a, refusal.ReasonOverload, now.Add(clampRetryDelay(wait/2)))
	case clock.Passed(now.Add(wait), a.Request.Deadline):
		c.refuse(now, a, refusal.ReasonOverload, now.Add(clampRetryDelay(wait/2)))
	default:
		c.enqueue(&askState{ask: a})
	}
}

// expectedWait estimates how long the next request of a workspace would wait:
// the number of its waiting requests of this or a more urgent class, divided by
// its fair share of the rate at which slots become free. It is zero while that
// rate is unknown.
func (c *Cell) expectedWait(w *workspaceState, class fleet.Class) time.Duration {
	class = clampClass(class)
	ahead := 0
	for k := range class + 1 {
		ahead += w.waitingIn(k)
	}
	if ahead == 0 {
		return 0
	}
	totalWeight := w.weight
	for _, o := range c.queued[class] {
		if o != w {
			totalWeight += o.weight
		}
	}
	r := c.releaseRate() * w.weight / totalWeight
	if r <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / r * float64(time.Second))
}

// releaseRate returns the number of slots that become free per second.
func (c *Cell) releaseRate() float64 {
	sum := 0.0
	for class, n := range c.load.running {
		if m := c.times[class]; m.valid && m.value > 0 {
			sum += float64(n) / m.value.Seconds()
		}
	}
	return sum
}

func clampRetryDelay(d time.Duration) time.Duration {
	return min(max(d, minRetryDelay), maxRetryDelay)
}
