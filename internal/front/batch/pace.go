package batch

import "time"

const (
	// paceWeight is the weight of a new sample in a server's pace.
	paceWeight = 0.15
	// tokensPerEvent is taken until the events of a deployment were counted.
	tokensPerEvent = 59
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
	}
	old, ok := p.events[id]
	if !ok {
		p.events[id] = d
		return
	}
	p.events[id] = old + time.Duration(paceWeight*float64(d-old))
}

// pace returns the time that a token takes, 0 if unknown.
func (p *paces) pace(id string) time.Duration {
	return p.events[id] / tokensPerEvent
}

// tokens returns the number of tokens in a number of events.
func (p *paces) tokens(events int) int {
	return events * tokensPerEvent
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
