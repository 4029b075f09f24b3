package cell

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
)

// settling is the period in which a new dispatcher waits for the daemons to
// register their running grants. The zero value does not wait.
type settling struct {
	until   time.Time
	missing set.Set[fleet.MemberID]
}

func (s *settling) begin(now time.Time, members []fleet.MemberID) {
	s.until = now.Add(SettleWindow)
	s.missing = set.New(members...)
}

func (s *settling) registered(m fleet.MemberID) {
	s.missing.Remove(m)
}

func (s *settling) over(now time.Time) bool {
	return s.missing.Len() == 0 || clock.Passed(now, s.until)
}

// Register records all grants that a daemon has running in the cell. Unknown
// grants are added, even above capacity. Grants of that daemon that are not
// listed and may no longer be used for a first send are ended. A registration
// that arrives out of order is ignored.
func (c *Cell) Register(now time.Time, r Registration) []Decision {
	c.out = c.out[:0]
	e := c.recordContact(now, r.Entry)
	c.settle.registered(r.Entry)
	if r.Sequence <= e.sequence {
		c.schedule(now)
		return c.out
	}
	e.sequence = r.Sequence
	listed := make(map[string]bool, len(r.Running))
	for _, v := range r.Running {
		listed[v.Grant] = true
		c.adopt(now, r.Entry, v)
	}
	for id, g := range c.grants {
		if g.ask.Entry == r.Entry && !listed[id] && clock.Passed(now, g.notAfter) {
			c.endGrant(g)
		}
	}
	c.schedule(now)
	return c.out
}

// adopt adds a grant that a daemon has registered, unless it is known or was
// released recently. A waiting ask for it is removed from the queue.
func (c *Cell) adopt(now time.Time, m fleet.MemberID, v Running) {
	if _, ok := c.grants[v.Grant]; ok {
		return
	}
	if _, ok := c.released[v.Grant]; ok {
		return
	}
	if st, ok := c.asks[v.Ask]; ok && st.grant == nil {
		c.removeAsk(st)
	}
	g := &grant{
		id:        v.Grant,
		ask:       Ask{ID: v.Ask, Entry: m, Request: v.Request},
		server:    c.servers.get(v.Server),
		startedAt: now,
		notAfter:  now,
	}
	if c.asks == nil {
		c.asks = make(map[AskID]*askState)
	}
	c.asks[v.Ask] = &askState{ask: g.ask, grant: g}
	c.addGrant(g)
}

// dropOldReleases drops the releases that no registration can list any more.
func (c *Cell) dropOldReleases(now time.Time) {
	n := 0
	for n < len(c.releases) && clock.Passed(now, c.releases[n].until) {
		delete(c.released, c.releases[n].id)
		n++
	}
	if n > 0 {
		c.releases = c.releases[n:]
	}
}

// recordRelease records a release, so that the grant is not adopted again.
func (c *Cell) recordRelease(now time.Time, id string) {
	if c.released == nil {
		c.released = make(map[string]struct{})
	}
	c.dropOldReleases(now)
	c.released[id] = struct{}{}
	c.releases = append(c.releases, release{id: id, until: now.Add(daemonTimeout)})
}
