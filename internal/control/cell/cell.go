// Package cell decides who may start a request on which backend server. One
// daemon, the dispatcher, holds the queue of a cell of servers.
package cell

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
)

const (
	// GrantWindow is how long a grant may be used for a first send.
	GrantWindow = 2 * time.Second
	// SettleWindow is how long a new dispatcher waits for the daemons to
	// register what runs.
	SettleWindow = 250 * time.Millisecond
	// silentWindow is how long the grants of a daemon are kept that has
	// registered nothing.
	silentWindow = 15 * time.Second
)

// Cell is the decision value of one cell. The zero value has no server; it
// grants by the MaxMin policy. Its methods are called by one goroutine. The
// decisions that a method returns are valid until the next call.
type Cell struct {
	// Prefix begins the IDs of the grants; it differs between dispatchers.
	Prefix string
	// Policy orders the workspaces of one class; nil is MaxMin.
	Policy Policy[fleet.Workspace]
	// Settings are the floors and reserves.
	Settings Settings

	asks    map[AskID]*item
	entries map[fleet.MemberID]*entryDaemon
	grants  map[string]*grant
	load    classLoad
	// made counts the grants given.
	made    uint64
	out     []Decision
	servers serverSet
	tenants map[fleet.Workspace]*tenant
	// settle is the set of daemons that have not registered yet.
	settle settling
	// times are the mean times that a grant is held, a class.
	times [classes]mean
	// scratch, options and states are reused between decisions.
	scratch []Candidate[fleet.Workspace]
	options []Option
	states  []*serverState
	// released are grants that ended of late: a registration made before may
	// still name them. releases are the same in the order of their ends.
	released map[string]struct{}
	releases []release
	// queued are the tenants with something waiting, a class.
	queued [classes][]*tenant
}

// entryDaemon is what is known of a daemon that asks.
type entryDaemon struct {
	// sequence is that of the newest registration.
	sequence uint64
	// heardAt is when the daemon last asked, released or registered.
	heardAt time.Time
}

// release is a grant that has ended.
type release struct {
	id string
	// until is when it may be forgotten.
	until time.Time
}

type grant struct {
	id     string
	ask    Ask
	server *serverState
	// heldAt is when the grant was given, or heard of.
	heldAt time.Time
	// notAfter is when the grant ends unless its daemon registers it.
	notAfter time.Time
	// onSpot is whether it counts against the server's failure domain's
	// share of live work on spot servers.
	onSpot bool
}

// Ask takes a request. The decision on it may come at once or later. Asking
// again with the same ID changes nothing, and gives the grant anew if there is
// one.
func (c *Cell) Ask(now time.Time, a Ask) []Decision {
	c.out = c.out[:0]
	c.heard(now, a.Entry)
	if it, ok := c.asks[a.ID]; ok {
		if it.grant != nil {
			c.out = append(c.out, c.granted(it.grant))
		}
		return c.out
	}
	c.admit(now, a)
	c.schedule(now)
	return c.out
}

// Cancel takes back a request: it leaves the queue, or its grant ends unused.
func (c *Cell) Cancel(now time.Time, id AskID) []Decision {
	c.out = c.out[:0]
	it, ok := c.asks[id]
	if !ok {
		return nil
	}
	if it.grant != nil {
		c.end(it.grant)
	} else {
		c.unqueue(it)
	}
	c.schedule(now)
	return c.out
}

// Entries returns the daemons heard from, in no order.
func (c *Cell) Entries() []fleet.MemberID {
	return slices.Collect(maps.Keys(c.entries))
}

// Forget drops the grants and requests of a daemon that is gone.
func (c *Cell) Forget(now time.Time, m fleet.MemberID) []Decision {
	c.out = c.out[:0]
	c.settle.heard(m)
	delete(c.entries, m)
	for _, it := range c.waiting(func(it *item) bool { return it.ask.Entry == m }) {
		c.unqueue(it)
	}
	for _, g := range c.grants {
		if g.ask.Entry == m {
			c.end(g)
		}
	}
	c.schedule(now)
	return c.out
}

// Release ends a grant. An unknown ID is ignored, so a release may be sent
// again.
func (c *Cell) Release(now time.Time, id string, r gate.Report) []Decision {
	c.out = c.out[:0]
	g, ok := c.grants[id]
	if !ok {
		return nil
	}
	c.heard(now, g.ask.Entry)
	c.remember(now, id)
	g.server.ended(now, r.Outcome)
	c.end(g)
	if r.Outcome == gate.Completed {
		held := now.Sub(g.heldAt)
		c.times[classOf(g.ask.Request.Class)].add(held)
		g.server.pace.add(now, r.Tokens, held)
	}
	c.schedule(now)
	return c.out
}

// Report takes a server's own report of its load, which lags.
func (c *Cell) Report(now time.Time, l Load) []Decision {
	c.out = c.out[:0]
	if s := c.servers.byID[l.Server]; s != nil {
		s.report(l)
	}
	c.schedule(now)
	return c.out
}

// Settle makes the cell wait for the registrations of the given daemons, for
// SettleWindow at most, before its first grant.
func (c *Cell) Settle(now time.Time, members []fleet.MemberID) {
	c.settle.begin(now, members)
}

// Tick refuses what can no longer be served and ends the grants of daemons
// that have been silent for long.
func (c *Cell) Tick(now time.Time) []Decision {
	c.out = c.out[:0]
	for _, it := range c.waiting(func(it *item) bool { return clock.Passed(now, it.ask.Request.Deadline) }) {
		c.refuse(now, it.ask, refusal.ReasonDeadline, now)
		c.unqueue(it)
	}
	c.forgetReleased(now)
	c.servers.repace(now)
	for _, g := range c.grants {
		if c.lapsed(now, g) {
			c.end(g)
		}
	}
	c.schedule(now)
	return c.out
}

// Waiting returns the requests that wait, in the order of their IDs.
func (c *Cell) Waiting() []AskID {
	var out []AskID
	for _, it := range c.waiting(func(*item) bool { return true }) {
		out = append(out, it.ask.ID)
	}
	return out
}

func (c *Cell) end(g *grant) {
	delete(c.grants, g.id)
	if it, ok := c.asks[g.ask.ID]; ok && it.grant == g {
		delete(c.asks, g.ask.ID)
	}
	g.server.running--
	c.load.add(g, -1)
	if g.onSpot {
		c.servers.liveOnSpot[g.server.server.FailureDomain]--
	}
	t := c.tenant(g.ask.Request.Workspace)
	t.running[classOf(g.ask.Request.Class)]--
	c.dropTenant(t)
}

func (c *Cell) granted(g *grant) Decision {
	return Decision{Ask: g.ask.ID, Entry: g.ask.Entry, Grant: gate.Grant{
		ID: g.id, Server: g.server.server, NotAfter: g.notAfter, Request: g.ask.Request,
	}}
}

func (c *Cell) heard(now time.Time, m fleet.MemberID) *entryDaemon {
	if c.entries == nil {
		c.entries = make(map[fleet.MemberID]*entryDaemon)
	}
	e := c.entries[m]
	if e == nil {
		e = &entryDaemon{}
		c.entries[m] = e
	}
	e.heardAt = now
	return e
}

// lapsed reports whether a grant has ended because its daemon has been silent
// for long.
func (c *Cell) lapsed(now time.Time, g *grant) bool {
	if !clock.Passed(now, g.notAfter) {
		return false
	}
	e := c.entries[g.ask.Entry]
	return e == nil || clock.Passed(now, e.heardAt.Add(silentWindow))
}

// place gives it a grant on s.
func (c *Cell) place(now time.Time, it *item, s *serverState) {
	c.made++
	g := &grant{
		id:       c.Prefix + strconv.FormatUint(c.made, 10),
		ask:      it.ask,
		server:   s,
		heldAt:   now,
		notAfter: now.Add(GrantWindow),
	}
	it.grant = g
	c.hold(g)
	s.remember(it.ask.Request.Prefix)
	c.out = append(c.out, c.granted(g))
}

// hold counts g as running.
func (c *Cell) hold(g *grant) {
	if c.grants == nil {
		c.grants = make(map[string]*grant)
	}
	c.grants[g.id] = g
	g.server.start()
	c.load.add(g, 1)
	g.onSpot = g.server.server.Kind == fleet.Spot && g.ask.Request.Class != fleet.Training
	if g.onSpot {
		c.servers.liveOnSpot[g.server.server.FailureDomain]++
	}
	c.tenant(g.ask.Request.Workspace).running[classOf(g.ask.Request.Class)]++
}

func (c *Cell) refuse(now time.Time, a Ask, r refusal.Reason, retryAt time.Time) {
	c.out = append(c.out, Decision{
		Ask: a.ID, Entry: a.Entry, Reason: r, RetryAt: spread(now, retryAt, a.ID),
	})
}

// waiting returns the waiting items that f selects, in the order of their IDs.
func (c *Cell) waiting(f func(*item) bool) []*item {
	var out []*item
	for _, it := range c.asks {
		if it.grant == nil && f(it) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b *item) int { return cmp.Compare(a.ask.ID, b.ask.ID) })
	return out
}

// Summary returns the load of the cell.
func (c *Cell) Summary() Summary {
	return Summary{Capacity: c.servers.capacity, Free: c.servers.free(), Waiting: len(c.asks) - len(c.grants)}
}
