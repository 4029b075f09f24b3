// Package cell decides which request may start on which backend server. The
// servers of a pool are split into cells; one daemon, the dispatcher, holds the
// queue of a cell.
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
	// GrantWindow is how long after it is issued a grant may be used to send
	// the request for the first time.
	GrantWindow = 2 * time.Second
	// SettleWindow is how long a new dispatcher waits for the daemons to
	// register their running grants.
	SettleWindow = 250 * time.Millisecond
	// daemonTimeout is how long the grants of an unresponsive daemon are kept.
	daemonTimeout = 15 * time.Second
)

// Cell is the scheduling state of one cell. The zero value has no servers and
// uses the MaxMin policy. It is not safe for concurrent use. The decisions that
// a method returns are valid until the next call.
type Cell struct {
	// Prefix is the prefix of the grants' IDs; it differs between dispatchers.
	Prefix string
	// Policy orders the workspaces within a class; nil is MaxMin.
	Policy Policy[fleet.Workspace]
	// Settings are the shares of the slots that are kept for a class.
	Settings Settings

	asks    map[AskID]*askState
	entries map[fleet.MemberID]*entryDaemon
	grants  map[string]*grant
	load    classLoad
	// issued counts the grants issued.
	issued     uint64
	out        []Decision
	servers    serverSet
	workspaces map[fleet.Workspace]*workspaceState
	// settle tracks the daemons that have not registered yet.
	settle settling
	// times are the mean times that a grant is held, per class.
	times [classes]mean
	// scratch, options and states are buffers reused between decisions.
	scratch []Candidate[fleet.Workspace]
	options []Option
	states  []*serverState
	// released are the IDs of grants that ended recently: a registration sent
	// before may still list them. releases are the same, in the order in which
	// they ended.
	released map[string]struct{}
	releases []release
	// queued are the workspaces with waiting requests, per class.
	queued [classes][]*workspaceState
}

// entryDaemon is the state of a daemon that asks for grants.
type entryDaemon struct {
	// sequence is that of the newest registration.
	sequence uint64
	// seenAt is when the daemon last sent an ask, a release or a
	// registration.
	seenAt time.Time
}

// release is a grant that has ended.
type release struct {
	id string
	// until is when the release may be dropped.
	until time.Time
}

type grant struct {
	id     string
	ask    Ask
	server *serverState
	// startedAt is when the grant was issued or first registered.
	startedAt time.Time
	// notAfter is when the grant ends unless its daemon registers it.
	notAfter time.Time
	// onSpot is whether the grant counts against the limit of live work on
	// the spot servers of its failure domain.
	onSpot bool
}

// Ask submits a request. The decision on it is returned by this or a later
// call. Asking again with the same ID changes nothing; it returns the grant
// again if there is one.
func (c *Cell) Ask(now time.Time, a Ask) []Decision {
	c.out = c.out[:0]
	c.seen(now, a.Entry)
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

// Cancel withdraws a request: it is removed from the queue, or its unused grant
// ends.
func (c *Cell) Cancel(now time.Time, id AskID) []Decision {
	c.out = c.out[:0]
	it, ok := c.asks[id]
	if !ok {
		return nil
	}
	if it.grant != nil {
		c.endGrant(it.grant)
	} else {
		c.removeAsk(it)
	}
	c.schedule(now)
	return c.out
}

// Entries returns the daemons that have contacted this dispatcher, in no
// particular order.
func (c *Cell) Entries() []fleet.MemberID {
	return slices.Collect(maps.Keys(c.entries))
}

// Forget drops the grants and waiting requests of a daemon that has left the
// fleet.
func (c *Cell) Forget(now time.Time, m fleet.MemberID) []Decision {
	c.out = c.out[:0]
	c.settle.registered(m)
	delete(c.entries, m)
	for _, it := range c.waiting(func(it *askState) bool { return it.ask.Entry == m }) {
		c.removeAsk(it)
	}
	for _, g := range c.grants {
		if g.ask.Entry == m {
			c.endGrant(g)
		}
	}
	c.schedule(now)
	return c.out
}

// Release ends a grant. An unknown ID is ignored, so releases are idempotent.
func (c *Cell) Release(now time.Time, id string, r gate.Report) []Decision {
	c.out = c.out[:0]
	g, ok := c.grants[id]
	if !ok {
		return nil
	}
	c.seen(now, g.ask.Entry)
	c.recordRelease(now, id)
	g.server.recordOutcome(now, r.Outcome)
	c.endGrant(g)
	if r.Outcome == gate.Completed {
		held := now.Sub(g.startedAt)
		c.times[classOf(g.ask.Request.Class)].add(held)
		g.server.throughput.add(now, r.Tokens, held)
	}
	c.schedule(now)
	return c.out
}

// Report records the load reported by a server, which lags behind the actual
// load.
func (c *Cell) Report(now time.Time, l Load) []Decision {
	c.out = c.out[:0]
	if s := c.servers.byID[l.Server]; s != nil {
		s.report(l)
	}
	c.schedule(now)
	return c.out
}

// Settle delays the first grant until the given daemons have registered, for at
// most SettleWindow.
func (c *Cell) Settle(now time.Time, members []fleet.MemberID) {
	c.settle.begin(now, members)
}

// Tick refuses waiting requests whose deadline has passed and ends the grants of
// unresponsive daemons.
func (c *Cell) Tick(now time.Time) []Decision {
	c.out = c.out[:0]
	for _, it := range c.waiting(func(it *askState) bool { return clock.Passed(now, it.ask.Request.Deadline) }) {
		c.refuse(now, it.ask, refusal.ReasonDeadline, now)
		c.removeAsk(it)
	}
	c.dropOldReleases(now)
	c.servers.markSlow(now)
	for _, g := range c.grants {
		if c.expired(now, g) {
			c.endGrant(g)
		}
	}
	c.schedule(now)
	return c.out
}

// Waiting returns the IDs of the waiting requests, sorted.
func (c *Cell) Waiting() []AskID {
	var out []AskID
	for _, it := range c.waiting(func(*askState) bool { return true }) {
		out = append(out, it.ask.ID)
	}
	return out
}

func (c *Cell) endGrant(g *grant) {
	delete(c.grants, g.id)
	if it, ok := c.asks[g.ask.ID]; ok && it.grant == g {
		delete(c.asks, g.ask.ID)
	}
	g.server.running--
	c.load.add(g, -1)
	if g.onSpot {
		c.servers.liveOnSpot[g.server.server.FailureDomain]--
	}
	w := c.workspace(g.ask.Request.Workspace)
	w.running[classOf(g.ask.Request.Class)]--
	c.dropIdleWorkspace(w)
}

func (c *Cell) granted(g *grant) Decision {
	return Decision{Ask: g.ask.ID, Entry: g.ask.Entry, Grant: gate.Grant{
		ID: g.id, Server: g.server.server, NotAfter: g.notAfter, Request: g.ask.Request,
	}}
}

func (c *Cell) seen(now time.Time, m fleet.MemberID) *entryDaemon {
	if c.entries == nil {
		c.entries = make(map[fleet.MemberID]*entryDaemon)
	}
	e := c.entries[m]
	if e == nil {
		e = &entryDaemon{}
		c.entries[m] = e
	}
	e.seenAt = now
	return e
}

// expired reports whether a grant's time is over and its daemon is unresponsive.
func (c *Cell) expired(now time.Time, g *grant) bool {
	if !clock.Passed(now, g.notAfter) {
		return false
	}
	e := c.entries[g.ask.Entry]
	return e == nil || clock.Passed(now, e.seenAt.Add(daemonTimeout))
}

// place issues a grant for an ask on server s.
func (c *Cell) place(now time.Time, it *askState, s *serverState) {
	c.issued++
	g := &grant{
		id:        c.Prefix + strconv.FormatUint(c.issued, 10),
		ask:       it.ask,
		server:    s,
		startedAt: now,
		notAfter:  now.Add(GrantWindow),
	}
	it.grant = g
	c.addGrant(g)
	s.recordPrefix(it.ask.Request.Prefix)
	c.out = append(c.out, c.granted(g))
}

// addGrant adds g to the running grants.
func (c *Cell) addGrant(g *grant) {
	if c.grants == nil {
		c.grants = make(map[string]*grant)
	}
	c.grants[g.id] = g
	g.server.addGrant()
	c.load.add(g, 1)
	g.onSpot = g.server.server.Kind == fleet.Spot && g.ask.Request.Class != fleet.Training
	if g.onSpot {
		c.servers.liveOnSpot[g.server.server.FailureDomain]++
	}
	c.workspace(g.ask.Request.Workspace).running[classOf(g.ask.Request.Class)]++
}

func (c *Cell) refuse(now time.Time, a Ask, r refusal.Reason, retryAt time.Time) {
	c.out = append(c.out, Decision{
		Ask: a.ID, Entry: a.Entry, Reason: r, RetryAt: jitter(now, retryAt, a.ID),
	})
}

// waiting returns the waiting asks that f selects, sorted by ID.
func (c *Cell) waiting(f func(*askState) bool) []*askState {
	var out []*askState
	for _, it := range c.asks {
		if it.grant == nil && f(it) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b *askState) int { return cmp.Compare(a.ask.ID, b.ask.ID) })
	return out
}

// Summary returns the cell's slots and waiting requests.
func (c *Cell) Summary() Summary {
	return Summary{Capacity: c.servers.capacity, Free: c.servers.free(), Waiting: len(c.asks) - len(c.grants)}
}
