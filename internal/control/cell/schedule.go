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
	c.collectCandidates(now, class)
	for len(c.candidates) > 0 {
		i := c.policy().Next(now, c.candidates)
		chosen := c.candidates[i]
		st, s := c.placeable(now, chosen.Key, class)
		if s != nil {
			c.dequeue(st)
			c.place(now, st, s)
			c.policy().Started(now, chosen, float64(max(st.ask.Request.Tokens, 1)))
			return true
		}
		c.candidates = slices.Delete(c.candidates, i, i+1)
	}
	return false
}

// collectCandidates fills c.candidates with the workspaces that have a waiting
// request for which a slot of the right kind may be free.
func (c *Cell) collectCandidates(now time.Time, class fleet.Class) {
	c.candidates = c.candidates[:0]
	standard, spot := c.servers.freeKinds(now)
	standard = standard && c.standardAllowed(now, class)
	if !standard && !spot {
		return
	}
	for _, w := range c.queued[class] {
		if !standard && (!spot || w.queues[class][1].size == 0) {
			continue
		}
		c.candidates = append(c.candidates, Candidate[fleet.Workspace]{
			Key:        w.workspace,
			Since:      w.oldest(class),
			Running:    float64(w.running[class]),
			MaxRunning: float64(max(c.servers.maxRunning(w.spotAllowed[class]), 1)),
			Weight:     w.weight,
		})
	}
}

// placeable returns a waiting request of a workspace that can be placed, and a
// server for it. It tries the queue with the older first request before the
// other, each up to lookAhead, and refuses requests past their deadline that it
// meets. The server is nil if none can be placed.
func (c *Cell) placeable(now time.Time, name fleet.Workspace, class fleet.Class) (*askState, *serverState) {
	w := c.workspace(name)
	first, second := &w.queues[class][0], &w.queues[class][1]
	if a, b := first.first(), second.first(); a == nil || b != nil && b.ask.Since.Before(a.ask.Since) {
		first, second = second, first
	}
	if st, s := c.placeableIn(now, first); s != nil {
		return st, s
	}
	return c.placeableIn(now, second)
}

func (c *Cell) placeableIn(now time.Time, q *queue) (*askState, *serverState) {
	tried := 0
	for i := q.head; i < len(q.asks) && tried < lookAhead; i++ {
		st := q.asks[i]
		if st == nil || !st.queued {
			continue
		}
		tried++
		s := c.choose(now, &st.ask)
		if s == nil {
			continue
		}
		if !clock.Passed(now, st.ask.Request.Deadline) {
			return st, s
		}
		c.refuse(now, st.ask, refusal.ReasonDeadline, now)
		c.removeAsk(st)
	}
	return nil, nil
}

func (c *Cell) policy() Policy[fleet.Workspace] {
	if c.Policy == nil {
		c.Policy = MaxMin[fleet.Workspace]{}
	}
	return c.Policy
}
