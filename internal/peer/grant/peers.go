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
	// notices counts the notices that this daemon was given itself, and
	// confirmed how many of them each daemon is known to have.
	notices   uint64
	confirmed map[fleet.MemberID]uint64
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

// noticesGiven returns the number of notices given so far.
func (p *peers) noticesGiven() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.notices
}

// notify counts a notice and wakes those who pass notices on.
func (p *peers) notify() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.notices++
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

// keep forgets the daemons that are not members any more.
func (p *peers) keep(members []fleet.Member) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.confirmed) <= len(members) {
		return
	}
	next := make(map[fleet.MemberID]uint64, len(members))
	for _, m := range members {
		next[m.ID] = p.confirmed[m.ID]
	}
	p.confirmed = next
}

// told notes that a daemon has the first n notices.
func (p *peers) told(m fleet.MemberID, n uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.confirmed == nil {
		p.confirmed = make(map[fleet.MemberID]uint64)
	}
	p.confirmed[m] = max(p.confirmed[m], n)
}

// toldAll reports whether a daemon has all notices.
func (p *peers) toldAll(m fleet.MemberID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.confirmed[m] >= p.notices
}
