package cell

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
)

// settling is the wait of a new dispatcher for what runs already. The zero
// value is over.
type settling struct {
	until   time.Time
	missing set.Set[fleet.MemberID]
}

func (s *settling) begin(now time.Time, members []fleet.MemberID) {
	s.until = now.Add(SettleWindow)
	s.missing = set.New(members...)
}

func (s *settling) heard(m fleet.MemberID) {
	s.missing.Remove(m)
}

func (s *settling) over(now time.Time) bool {
	return s.missing.Len() == 0 || clock.Passed(now, s.until)
}

// Register takes all that a daemon has running in the cell. Grants that the
// cell does not know are added, also above capacity; grants of that daemon
// that are not named and whose time to begin is over are ended.
func (c *Cell) Register(now time.Time, r Registration) []Decision {
	c.out = c.out[:0]
	e := c.heard(now, r.Entry)
	c.settle.heard(r.Entry)
	if r.Sequence <= e.sequence {
		c.schedule(now)
		return c.out
	}
	e.sequence = r.Sequence
	named := make(map[string]bool, len(r.Running))
	for _, v := range r.Running {
		named[v.Grant] = true
		c.adopt(now, r.Entry, v)
	}
	for id, g := range c.grants {
		if g.ask.Entry == r.Entry && !named[id] && clock.Passed(now, g.notAfter) {
			c.end(g)
		}
	}
	c.schedule(now)
	return c.out
}

func (c *Cell) adopt(now time.Time, m fleet.MemberID, v Running) {
	if _, ok := c.grants[v.Grant]; ok {
		return
	}
	if _, ok := c.released[v.Grant]; ok {
		return
	}
	if it, ok := c.asks[v.Ask]; ok && it.grant == nil {
		c.unqueue(it)
	}
	g := &grant{
		id:       v.Grant,
		ask:      Ask{ID: v.Ask, Entry: m, Request: v.Request},
		server:   c.servers.get(v.Server),
		heldAt:   now,
		notAfter: now,
	}
	if c.asks == nil {
		c.asks = make(map[AskID]*item)
	}
	c.asks[v.Ask] = &item{ask: g.ask, grant: g}
	c.hold(g)
}

// forgetReleased forgets the releases that no registration can name any more.
func (c *Cell) forgetReleased(now time.Time) {
	n := 0
	for n < len(c.releases) && clock.Passed(now, c.releases[n].until) {
		delete(c.released, c.releases[n].id)
		n++
	}
	if n > 0 {
		c.releases = slices.Delete(c.releases, 0, n)
	}
}

// remember keeps a released grant from being adopted again.
func (c *Cell) remember(now time.Time, id string) {
	if c.released == nil {
		c.released = make(map[string]struct{})
	}
	c.released[id] = struct{}{}
	c.releases = append(c.releases, release{id: id, until: now.Add(silentWindow)})
}
