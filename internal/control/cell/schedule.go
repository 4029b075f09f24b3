package cell

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
)

// schedule places waiting requests while there are free slots.
func (c *Cell) schedule(now time.Time) {
	if !c.settle.over(now) {
		return
	}
	for c.servers.free() > 0 && c.placeNext(now) {
		continue
	}
}

// placeNext places one request and reports whether one could be placed.
func (c *Cell) placeNext(now time.Time) bool {
	if c.placeNextOf(now, fleet.Critical) {
		return true
	}
	floor := c.Settings.TrainingFloor * float64(c.servers.capacity)
	if float64(c.load.running[fleet.Training]) < floor && c.placeNextOf(now, fleet.Training) {
		return true
	}
	return c.placeNextOf(now, fleet.Live) || c.placeNextOf(now, fleet.Training)
}

func (c *Cell) placeNextOf(now time.Time, class fleet.Class) bool {
	if len(c.queued[class]) == 0 {
		return false
	}
	c.candidates(now, class)
	for len(c.scratch) > 0 {
		i := c.policy().Next(now, c.scratch)
		chosen := c.scratch[i]
		it, s := c.placeable(now, chosen.Key, class)
		if s != nil {
			c.dequeue(it)
			c.place(now, it, s)
			c.policy().Started(now, chosen, float64(max(it.ask.Request.Tokens, 1)))
			return true
		}
		c.scratch = slices.Delete(c.scratch, i, i+1)
	}
	return false
}

// candidates fills scratch with the workspaces that have a waiting request for
// which a slot of the right kind may be free.
func (c *Cell) candidates(now time.Time, class fleet.Class) {
	c.scratch = c.scratch[:0]
	standard, spot := c.servers.freeKinds(now)
	standard = standard && c.standardAllowed(now, class)
	if !standard && !spot {
		return
	}
	for _, w := range c.queued[class] {
		if !standard && (!spot || w.queues[class][1].size == 0) {
			continue
		}
		c.scratch = append(c.scratch, Candidate[fleet.Workspace]{
			Key:        w.workspace,
			Since:      w.oldest(class),
			Running:    float64(w.running[class]),
			MaxRunning: float64(max(c.servers.maxRunning(w.spotAllowed[class]), 1)),
			Weight:     w.weight,
		})
	}
}

// placeable returns the oldest waiting request of a workspace that can be placed,
// and a server for it. The server is nil if none can be placed.
func (c *Cell) placeable(now time.Time, name fleet.Workspace, class fleet.Class) (*askState, *serverState) {
	w := c.workspace(name)
	first, second := &w.queues[class][0], &w.queues[class][1]
	if a, b := first.first(), second.first(); a == nil || b != nil && b.ask.Since.Before(a.ask.Since) {
		first, second = second, first
	}
	if it, s := c.placeableIn(now, first); s != nil {
		return it, s
	}
	return c.placeableIn(now, second)
}

func (c *Cell) placeableIn(now time.Time, q *queue) (*askState, *serverState) {
	tried := 0
	for i := q.head; i < len(q.asks) && tried < lookAhead; i++ {
		it := q.asks[i]
		if it == nil || !it.queued {
			continue
		}
		tried++
		s := c.choose(now, &it.ask)
		if s == nil {
			continue
		}
		if !clock.Passed(now, it.ask.Request.Deadline) {
			return it, s
		}
		c.refuse(now, it.ask, refusal.ReasonDeadline, now)
		c.removeAsk(it)
	}
	return nil, nil
}

func (c *Cell) policy() Policy[fleet.Workspace] {
	if c.Policy == nil {
		c.Policy = MaxMin[fleet.Workspace]{}
	}
	return c.Policy
}
