package batch

import (
	"maps"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// paceWeight is the weight of a new sample in a server's pace.
	paceWeight = 0.15
	// recentFor is how long a pace is told to the other daemons.
	recentFor = 3 * time.Second
	// lapEvents is the number of events over which a pace is taken: single ones
	// may come late and together.
	lapEvents = 6
	// maxPause is the longest pause between events that tells of a server's
	// pace; longer ones come from loading weights.
	maxPause = 600 * time.Millisecond
)

// paces keeps how fast servers are. The zero value knows none.
type paces struct {
	// events holds the average time between two events.
	events map[string]time.Duration
	// seenAt holds when the newest of them was seen.
	seenAt map[string]time.Time
	// until holds the instants up to which servers get no items.
	until map[string]time.Time
}

// lap takes the time of a few successive events. The zero value has seen none.
type lap struct {
	begunAt time.Time
	lastAt  time.Time
	events  int
}

// event takes the instant of an event, and returns the average time between two
// at the end of a lap.
func (l *lap) event(now time.Time) (time.Duration, bool) {
	if l.lastAt.IsZero() || now.Sub(l.lastAt) > maxPause {
		*l = lap{begunAt: now, lastAt: now}
		return 0, false
	}
	l.lastAt = now
	l.events++
	if l.events < lapEvents {
		return 0, false
	}
	d := now.Sub(l.begunAt) / lapEvents
	*l = lap{begunAt: now, lastAt: now}
	return d, true
}

// saw takes the average time between two events of a server.
func (p *paces) saw(id string, d time.Duration) {
	if p.events == nil {
		p.events = make(map[string]time.Duration)
		p.seenAt = make(map[string]time.Time)
	}
	p.seenAt[id] = time.Now()
	old, ok := p.events[id]
	if !ok {
		p.events[id] = d
		return
	}
	p.events[id] = old + time.Duration(paceWeight*float64(d-old))
}

// recent returns the average times between two events that were seen lately.
func (p *paces) recent() map[string]time.Duration {
	out := make(map[string]time.Duration)
	for id, d := range p.events {
		if time.Since(p.seenAt[id]) < recentFor {
			out[id] = d
		}
	}
	return out
}

// forget drops servers that are gone.
func (p *paces) forget(known *fleet.Servers) {
	gone := func(id string) bool {
		_, ok := known.Get(id)
		return !ok
	}
	maps.DeleteFunc(p.events, func(id string, _ time.Duration) bool { return gone(id) })
	maps.DeleteFunc(p.seenAt, func(id string, _ time.Time) bool { return gone(id) })
	maps.DeleteFunc(p.until, func(id string, _ time.Time) bool { return gone(id) })
}

// rest keeps items away from a server for a while.
func (p *paces) rest(id string, d time.Duration) {
	if p.until == nil {
		p.until = make(map[string]time.Time)
	}
	p.until[id] = time.Now().Add(d)
}

func (p *paces) resting(id string) bool {
	return time.Now().Before(p.until[id])
}
