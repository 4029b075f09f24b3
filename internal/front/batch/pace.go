package batch

import (
	"maps"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/control/pace"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// paceWeight is the weight of a new sample in the moving average of a
	// server's pace.
	paceWeight = 0.15
	// paceMaxAge is how long a pace is reported to the other daemons.
	paceMaxAge = 3 * time.Second
	// paceEvents is the number of events over which a pace is averaged: single
	// events may arrive late and in bursts.
	paceEvents = 6
	// maxEventGap is the longest time between events that counts towards a
	// server's pace; longer gaps come from loading weights.
	maxEventGap = 600 * time.Millisecond
)

// paces records how fast servers are. The zero value is empty.
type paces struct {
	// effect is the effect of load on the servers' paces.
	effect schedule.LoadEffect
	// intervals contains the average time between two events of each server at low
	// load.
	intervals map[string]time.Duration
	// seenAt contains the time of the newest sample of each server.
	seenAt map[string]time.Time
	// neighbours contains the servers that report their slowdown. What is measured while a
	// neighbour slows them down does not count as their pace.
	neighbours map[string]*pace.Neighbour
	// backoffUntil contains the times until which servers get no items.
	backoffUntil map[string]time.Time
}

// paceTimer measures the time between successive events of a run. The zero
// value has seen no event.
type paceTimer struct {
	startedAt time.Time
	lastAt    time.Time
	events    int
}

// observe records an event. After every paceEvents intervals, it returns their
// average. An interval longer than maxEventGap restarts the measurement.
func (t *paceTimer) observe(now time.Time) (time.Duration, bool) {
	if t.lastAt.IsZero() || now.Sub(t.lastAt) > maxEventGap {
		*t = paceTimer{startedAt: now, lastAt: now}
		return 0, false
	}
	t.lastAt = now
	t.events++
	if t.events < paceEvents {
		return 0, false
	}
	d := now.Sub(t.startedAt) / paceEvents
	*t = paceTimer{startedAt: now, lastAt: now}
	return d, true
}

// observe adds a sample of the average time between two events of a server that ran
// load items.
func (p *paces) observe(id string, measured time.Duration, load int) {
	d := p.effect.Unloaded(measured, load)
	if n := p.neighbours[id]; n != nil && !n.Sample(d, p.intervals[id], time.Now()) {
		p.seenAt[id] = time.Now()
		return
	}
	p.effect.Observe(id, measured, load)
	d = p.effect.Unloaded(measured, load)
	if p.intervals == nil {
		p.intervals = make(map[string]time.Duration)
		p.seenAt = make(map[string]time.Time)
	}
	p.seenAt[id] = time.Now()
	old, ok := p.intervals[id]
	if !ok {
		p.intervals[id] = d
		return
	}
	p.intervals[id] = old + time.Duration(paceWeight*float64(d-old))
}

// report records the slowdown that a server reports; 0 is unknown.
func (p *paces) report(id string, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	if p.neighbours == nil {
		p.neighbours = make(map[string]*pace.Neighbour)
	}
	if p.neighbours[id] == nil {
		p.neighbours[id] = &pace.Neighbour{}
	}
	p.neighbours[id].Report(slowdown, time.Now())
}

// slowdown returns the slowdown that is expected of a server at a time, 1 if it reports none.
func (p *paces) slowdown(id string, at time.Time) float64 {
	if n := p.neighbours[id]; n != nil {
		return n.Slowdown(at)
	}
	return 1
}

// recent returns the recently updated average times between two events.
func (p *paces) recent() map[string]time.Duration {
	out := make(map[string]time.Duration)
	for id, d := range p.intervals {
		if time.Since(p.seenAt[id]) < paceMaxAge {
			out[id] = d
		}
	}
	return out
}

// removeGone removes servers that no longer exist.
func (p *paces) removeGone(servers *fleet.Servers) {
	known := func(id string) bool {
		_, ok := servers.Get(id)
		return ok
	}
	gone := func(id string) bool { return !known(id) }
	p.effect.Retain(known)
	maps.DeleteFunc(p.intervals, func(id string, _ time.Duration) bool { return gone(id) })
	maps.DeleteFunc(p.seenAt, func(id string, _ time.Time) bool { return gone(id) })
	maps.DeleteFunc(p.neighbours, func(id string, _ *pace.Neighbour) bool { return gone(id) })
	maps.DeleteFunc(p.backoffUntil, func(id string, _ time.Time) bool { return gone(id) })
}

// backOff keeps items away from a server for the duration d.
func (p *paces) backOff(id string, d time.Duration) {
	if p.backoffUntil == nil {
		p.backoffUntil = make(map[string]time.Time)
	}
	p.backoffUntil[id] = time.Now().Add(d)
}

func (p *paces) inBackoff(id string, at time.Time) bool {
	return at.Before(p.backoffUntil[id])
}
