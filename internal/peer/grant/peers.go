package grant

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
)

// summaryWindow is how long a summary is believed.
const summaryWindow = 2 * time.Second

// peers is what a client has learned of dispatchers. The zero value knows
// nothing. Its methods may be called from any goroutine.
type peers struct {
	mutex     sync.Mutex
	avoided   map[fleet.MemberID]time.Time
	summaries map[cell.ID]summary
	// wake is closed by notify; nil until someone waits.
	wake chan struct{}
}

type summary struct {
	cell.Summary
	until time.Time
}

// avoid passes a dispatcher over for a while.
func (p *peers) avoid(now time.Time, m fleet.MemberID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.avoided == nil {
		p.avoided = make(map[fleet.MemberID]time.Time)
	}
	p.avoided[m] = now.Add(avoidWindow)
}

// busy returns the function by which cells are compared, and the source of
// random choices.
func (p *peers) busy(now time.Time) (func(cell.ID) float64, func(int) int) {
	f := func(id cell.ID) float64 {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		s, ok := p.summaries[id]
		if !ok || clock.Passed(now, s.until) {
			return 1
		}
		return s.Busy()
	}
	return f, rand.IntN
}

// notified returns a channel that is closed by the next notify.
func (p *peers) notified() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.wake == nil {
		p.wake = make(chan struct{})
	}
	return p.wake
}

// notify wakes those who pass notices on.
func (p *peers) notify() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.wake != nil {
		close(p.wake)
		p.wake = nil
	}
}

// reachable returns the members that are not passed over now; all when there
// would be none.
func (p *peers) reachable(now time.Time, members []fleet.Member) []fleet.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for id, until := range p.avoided {
		if clock.Passed(now, until) {
			delete(p.avoided, id)
		}
	}
	if len(p.avoided) == 0 {
		return members
	}
	var out []fleet.Member
	for _, m := range members {
		if _, ok := p.avoided[m.ID]; !ok {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return members
	}
	return out
}

func (p *peers) summarise(now time.Time, id cell.ID, s cell.Summary) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.summaries == nil {
		p.summaries = make(map[cell.ID]summary)
	}
	p.summaries[id] = summary{Summary: s, until: now.Add(summaryWindow)}
}
