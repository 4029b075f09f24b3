package grant

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
)

// summaryTTL is how long a summary is used.
const summaryTTL = 2 * time.Second

// peers is what a client has recorded about other daemons. The zero value is
// empty. Its methods may be called from any goroutine.
type peers struct {
	mutex     sync.Mutex
	avoided   map[fleet.MemberID]time.Time
	summaries map[cell.ID]summary
	// wake is closed by addNotice. It is nil until nextNotice is called.
	wake chan struct{}
	// notices counts the leave notices that this daemon received directly, and
	// confirmed contains how many of them each daemon has confirmed.
	notices   uint64
	confirmed map[fleet.MemberID]uint64
}

type summary struct {
	cell.Summary
	until time.Time
}

// avoid makes reachable skip a dispatcher for avoidDuration.
func (p *peers) avoid(now time.Time, m fleet.MemberID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.avoided == nil {
		p.avoided = make(map[fleet.MemberID]time.Time)
	}
	p.avoided[m] = now.Add(avoidDuration)
}

// choiceFuncs returns the arguments of cell.Choose: the function that returns
// how busy a cell is, and the source of random numbers.
func (p *peers) choiceFuncs(now time.Time) (func(cell.ID) float64, func(int) int) {
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

// nextNotice returns a channel that is closed by the next addNotice.
func (p *peers) nextNotice() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.wake == nil {
		p.wake = make(chan struct{})
	}
	return p.wake
}

// noticeCount returns the number of notices so far.
func (p *peers) noticeCount() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.notices
}

// addNotice counts a notice and wakes the goroutine that sends notices.
func (p *peers) addNotice() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.notices++
	if p.wake != nil {
		close(p.wake)
		p.wake = nil
	}
}

// reachable returns the members that avoid does not exclude at now, or all
// members if it excludes all.
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

func (p *peers) setSummary(now time.Time, id cell.ID, s cell.Summary) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.summaries == nil {
		p.summaries = make(map[cell.ID]summary)
	}
	p.summaries[id] = summary{Summary: s, until: now.Add(summaryTTL)}
}

// prune removes the confirmation counts of daemons that are no longer members.
func (p *peers) prune(members []fleet.Member) {
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

// confirm records that a daemon has received the first n notices.
func (p *peers) confirm(m fleet.MemberID, n uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.confirmed == nil {
		p.confirmed = make(map[fleet.MemberID]uint64)
	}
	p.confirmed[m] = max(p.confirmed[m], n)
}

// upToDate reports whether a daemon has confirmed all notices.
func (p *peers) upToDate(m fleet.MemberID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.confirmed[m] >= p.notices
}
