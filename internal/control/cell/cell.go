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
	// Settings are the fractions of the slots kept for a class and the placement.
	Settings Settings

	asks    map[AskID]*askState
	entries map[fleet.MemberID]*entryDaemon
	grants  map[string]*grant
	load    classLoad
	// issued counts the grants issued.
	issued uint64
	// out holds the decisions that the current call returns.
	out        []Decision
	servers    serverSet
	workspaces map[fleet.Workspace]*workspaceState
	// settle tracks the daemons that have not registered yet.
	settle settling
	// times are the mean times for which completed grants were held, per class.
	times [classCount]mean
	// candidates, options and states are buffers reused between decisions.
	// states[i] is the server of options[i].
	candidates []Candidate[fleet.Workspace]
	options    []Option
	states     []*serverState
	// released contains the IDs of the grants released recently, which a
	// registration sent before the release may still list. releases lists them
	// in the order of their release.
	released map[string]struct{}
	releases []release
	// queued are the workspaces with waiting requests, per class.
	queued [classCount][]*workspaceState
}

// entryDaemon is the state of a daemon that asks for grants.
type entryDaemon struct {
	// sequence is that of the newest registration.
	sequence uint64
	// seenAt is when the daemon last sent an ask, a release or a
	// registration.
	seenAt time.Time
}

// release records that a grant was released.
type release struct {
	id string
	// until is when the entry may be dropped.
	until time.Time
}

// grant is a permission to run a request on a server, which takes a slot.
type grant struct {
	id     string
	ask    Ask
	server *serverState
	// startedAt is when the grant was issued or first registered.
	startedAt time.Time
	// notAfter is until when the grant may be used to send the request for the
	// first time. After that it ends when a registration of its daemon does not
	// list it or when the daemon stops responding.
	notAfter time.Time
	// onSpot is whether the grant counts against the limit of live work on
	// the spot servers of its failure domain.
	onSpot bool
}

// Ask submits a request. The decision on it is returned by this or a later
// call. Asking again while the request waits or has a grant changes nothing and
// returns the grant if there is one.
func (c *Cell) Ask(now time.Time, a Ask) []Decision {
	c.out = c.out[:0]
	c.recordContact(now, a.Entry)
	if st, ok := c.asks[a.ID]; ok {
		if st.grant != nil {
			c.out = append(c.out, c.grantDecision(st.grant))
		}
		return c.out
	}
	c.admit(now, a)
	c.schedule(now)
	return c.out
}

// Cancel withdraws a request: it is removed from the queue, or its grant ends.
func (c *Cell) Cancel(now time.Time, id AskID) []Decision {
	c.out = c.out[:0]
	st, ok := c.asks[id]
	if !ok {
		return nil
	}
	if st.grant != nil {
		c.endGrant(st.grant)
	} else {
		c.removeAsk(st)
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
	for _, st := range c.waiting(func(st *askState) bool { return st.ask.Entry == m }) {
		c.removeAsk(st)
	}
	for _, g := range c.grants {
		if g.ask.Entry == m {
			c.endGrant(g)
		}
	}
	c.schedule(now)
	return c.out
}

// Release ends a grant and records the outcome for its server. An unknown ID is
// ignored, so releases are idempotent.
func (c *Cell) Release(now time.Time, id string, r gate.Report) []Decision {
	c.out = c.out[:0]
	g, ok := c.grants[id]
	if !ok {
		return nil
	}
	c.recordContact(now, g.ask.Entry)
	c.recordRelease(now, id)
	g.server.recordOutcome(now, r.Outcome)
	c.endGrant(g)
	if r.Outcome == gate.Completed {
		held := now.Sub(g.startedAt)
		c.times[clampClass(g.ask.Request.Class)].add(held)
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

// Settle delays new grants until the given daemons have registered, for at most
// SettleWindow.
func (c *Cell) Settle(now time.Time, members []fleet.MemberID) {
	c.settle.begin(now, members)
}

// Tick refuses waiting requests whose deadline has passed, marks slow servers and
// ends the grants of unresponsive daemons.
func (c *Cell) Tick(now time.Time) []Decision {
	c.out = c.out[:0]
	for _, st := range c.waiting(func(st *askState) bool { return clock.Passed(now, st.ask.Request.Deadline) }) {
		c.refuse(now, st.ask, refusal.ReasonDeadline, now)
		c.removeAsk(st)
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
	for _, st := range c.waiting(func(*askState) bool { return true }) {
		out = append(out, st.ask.ID)
	}
	return out
}

func (c *Cell) endGrant(g *grant) {
	delete(c.grants, g.id)
	if st, ok := c.asks[g.ask.ID]; ok && st.grant == g {
		delete(c.asks, g.ask.ID)
	}
	g.server.running--
	c.load.add(g, -1)
	if g.onSpot {
		c.servers.liveOnSpot[g.server.server.FailureDomain]--
	}
	w := c.workspace(g.ask.Request.Workspace)
	w.running[clampClass(g.ask.Request.Class)]--
	c.dropIdleWorkspace(w)
}

func (c *Cell) grantDecision(g *grant) Decision {
	return Decision{Ask: g.ask.ID, Entry: g.ask.Entry, Grant: gate.Grant{
		ID: g.id, Server: g.server.server, NotAfter: g.notAfter, Request: g.ask.Request,
	}}
}

func (c *Cell) recordContact(now time.Time, m fleet.MemberID) *entryDaemon {
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

// expired reports whether a grant is past notAfter and its daemon has not
// contacted the dispatcher for daemonTimeout.
func (c *Cell) expired(now time.Time, g *grant) bool {
	if !clock.Passed(now, g.notAfter) {
		return false
	}
	e := c.entries[g.ask.Entry]
	return e == nil || clock.Passed(now, e.seenAt.Add(daemonTimeout))
}

// place issues a grant for an ask on server s.
func (c *Cell) place(now time.Time, st *askState, s *serverState) {
	c.issued++
	g := &grant{
		id:        c.Prefix + strconv.FormatUint(c.issued, 10),
		ask:       st.ask,
		server:    s,
		startedAt: now,
		notAfter:  now.Add(GrantWindow),
	}
	st.grant = g
	c.addGrant(g)
	s.recordPrefix(st.ask.Request.Prefix)
	c.out = append(c.out, c.grantDecision(g))
}

// addGrant adds g to the running grants and to the counts.
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
	c.workspace(g.ask.Request.Workspace).running[clampClass(g.ask.Request.Class)]++
}

func (c *Cell) refuse(now time.Time, a Ask, r refusal.Reason, retryAt time.Time) {
	c.out = append(c.out, Decision{
		Ask: a.ID, Entry: a.Entry, Reason: r, RetryAt: jitter(now, retryAt, a.ID),
	})
}

// waiting returns the waiting asks that f selects, sorted by ID.
func (c *Cell) waiting(f func(*askState) bool) []*askState {
	var out []*askState
	for _, st := range c.asks {
		if st.grant == nil && f(st) {
			out = append(out, st)
		}
	}
	slices.SortFunc(out, func(a, b *askState) int { return cmp.Compare(a.ask.ID, b.ask.ID) })
	return out
}

// Summary returns the cell's slots and waiting requests.
func (c *Cell) Summary() Summary {
	return Summary{Capacity: c.servers.capacity, Free: c.servers.free(), Waiting: len(c.asks) - len(c.grants)}
}
