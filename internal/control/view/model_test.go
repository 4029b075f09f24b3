package view_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
)

const (
	// maxDaemons bounds the daemons that one run boots.
	maxDaemons = 30
	// modelSteps is the number of steps of one run.
	modelSteps = 2000
)

// model is a region of daemons and a table, with every call in flight for as
// long as the test likes.
type model struct {
	now     time.Time
	daemons []*node
	flights []*flight
	writers []*writer
	offers  []*offer
	config  fleet.ConfigRevision
	set     member.Set
	// accepted is the newest revision that a writer has called accepted.
	accepted fleet.ConfigRevision
	// acceptances, changes and refusals count what a run has reached.
	acceptances int
	changes     int
}

type node struct {
	view     view.View
	evidence member.Evidence
	// side is the side of a partition that the daemon is on. Calls arrive on
	// the same side only, and the table is on side 0. Answers under way arrive
	// all the same.
	side int
	// ended is whether the daemon was killed or has left.
	ended bool
}

// flight is a ping or a read of the table under way. A nil target is the
// table.
type flight struct {
	from, to *node
	sentAt   time.Time
	answered bool
	echo     view.Echo
	heads    member.HeldRevisions
}

// writer is a change of the configuration between its commit and the answer.
type writer struct {
	node     *node
	revision fleet.ConfigRevision
	set      member.Set
	read     bool
	// heldAt is when enough members held the revision; zero before.
	heldAt time.Time
}

// offer is a change of the set between the reading of the table and the
// commit.
type offer struct {
	node   *node
	head   fleet.ConfigRevision
	set    member.Set
	change member.Change
}

func newModel(names ...string) *model {
	m := &model{now: time.Unix(1_000_000, 0), config: 1}
	for _, n := range names {
		m.boot(n)
	}
	var all []fleet.Member
	for _, d := range m.daemons {
		all = append(all, d.view.Self)
	}
	m.set, _ = m.set.Next(member.Change{Add: all}, 1, member.Evidence{})
	for _, d := range m.daemons {
		m.fetch(d)
	}
	return m
}

func (m *model) boot(name string) *node {
	d := &node{evidence: member.Evidence{Held: make(map[fleet.MemberID]member.HeldRevisions)}}
	d.view.Self = daemon(name)
	d.view.Region = "r"
	m.daemons = append(m.daemons, d)
	return d
}

// fetch takes over what the table holds.
func (m *model) fetch(d *node) {
	d.view.TookConfig(m.now, m.config)
	d.view.TookSet(m.now, m.set)
	m.learn(d, d.view.Self.ID, d.view.Held())
}

// copyFrom takes over what a peer holds, as at boot or in an outage.
func (m *model) copyFrom(d, from *node) {
	d.view.TookConfig(m.now, from.view.Held().Config)
	d.view.TookSet(m.now, from.view.Set())
	m.learn(d, d.view.Self.ID, d.view.Held())
}

func (m *model) learn(d *node, id fleet.MemberID, h member.HeldRevisions) {
	k := d.evidence.Held[id]
	d.evidence.Held[id] = member.HeldRevisions{Config: max(k.Config, h.Config), Set: max(k.Set, h.Set)}
}

// deliver moves a flight one step on: to its target, or back.
func (m *model) deliver(i int) {
	f := m.flights[i]
	if !f.answered && f.from.side != side(f.to) {
		return
	}
	if f.answered || f.from.ended || f.to != nil && f.to.ended {
		m.flights = append(m.flights[:i], m.flights[i+1:]...)
	}
	switch {
	case f.from.ended:
	case !f.answered && f.to == nil:
		f.heads = member.HeldRevisions{Config: m.config, Set: m.set.Revision}
		f.answered = true
	case !f.answered && f.to.ended:
		f.from.evidence.Gone.Add(f.to.view.Self.ID)
	case !f.answered:
		f.echo = f.to.view.Echo(m.now)
		f.answered = true
	case f.to == nil:
		f.from.view.TableRead(m.now, f.sentAt, f.heads)
	default:
		f.from.view.Heard(m.now, f.sentAt, f.echo)
		m.learn(f.from, f.to.view.Self.ID, f.echo.Held)
	}
}

// deliverAll delivers the answers under way to one daemon.
func (m *model) deliverAll(d *node) {
	for i := len(m.flights) - 1; i >= 0; i-- {
		if f := m.flights[i]; f.from == d && f.answered {
			m.deliver(i)
		}
	}
}

// round lets one daemon ping all others, each ping lost with a chance of one
// in lossOneIn, and answered at once otherwise. Late answers stay under way.
func (m *model) round(d *node, lossOneIn int, late bool, r *rand.Rand) {
	for _, o := range m.daemons {
		if o == d || d.side != o.side || r.IntN(lossOneIn) == 0 {
			continue
		}
		f := &flight{from: d, to: o, sentAt: m.now}
		m.flights = append(m.flights, f)
		m.deliver(len(m.flights) - 1)
		if f.answered && !late {
			m.deliver(len(m.flights) - 1)
		}
	}
}

// commit writes a change of the set if nothing has changed since it was read.
func (m *model) commit(o *offer) {
	if o.set.Revision != m.set.Revision || o.head != m.config {
		return
	}
	n, err := o.set.Next(o.change, o.head, o.node.evidence)
	if err != nil {
		return
	}
	m.set = n
	m.changes++
	o.node.view.TookSet(m.now, n)
	m.learn(o.node, o.node.view.Self.ID, o.node.view.Held())
}

// name returns a name that no daemon has.
func (m *model) name() string {
	return fmt.Sprint(len(m.daemons))
}

func (m *model) check(t rapid.TB) {
	for _, d := range m.daemons {
		if d.ended || clock.Passed(m.now, d.view.ConfirmedUntil()) {
			continue
		}
		if h := d.view.Held().Config; h < m.accepted {
			t.Fatalf("daemon %v is confirmed with revision %d after %d was accepted", d.view.Self.ID, h, m.accepted)
		}
	}
}

// step does one thing of those that may happen next.
func (m *model) step(t *rapid.T, r *rand.Rand) {
	live := m.live()
	if len(live) == 0 {
		live = append(live, m.boot(m.name()))
	}
	d, o := live[r.IntN(len(live))], live[r.IntN(len(live))]
	switch r.IntN(18) {
	case 0, 1:
		m.now = m.now.Add(time.Duration(10+r.IntN(900)) * time.Millisecond)
	case 2:
		m.flights = append(m.flights, &flight{from: d, to: o, sentAt: m.now})
	case 3:
		m.flights = append(m.flights, &flight{from: d, sentAt: m.now})
	case 4, 5:
		if len(m.flights) > 0 {
			m.deliver(r.IntN(len(m.flights)))
		}
	case 6, 7, 8:
		m.round(d, 2+r.IntN(8), false, r)
	case 9:
		m.round(d, 2+r.IntN(8), true, r)
	case 10:
		m.deliverAll(d)
	case 11, 12:
		m.take(d, o, r)
	case 13:
		if d.side == 0 {
			m.write(d)
		}
	case 14:
		m.finish(r)
	case 15:
		if d.side == 0 {
			m.reform(d, r)
		}
	case 16:
		m.endOrBoot(d, r)
	case 17:
		if r.IntN(3) == 0 {
			m.split(r)
		}
	}
	m.check(t)
}

// split puts the daemons on two sides, or all on one.
func (m *model) split(r *rand.Rand) {
	whole := r.IntN(2) == 0
	for _, d := range m.daemons {
		d.side = 0
		if !whole {
			d.side = r.IntN(2)
		}
	}
}

// take lets a daemon take over what the table or a peer holds, of either kind.
func (m *model) take(d, from *node, r *rand.Rand) {
	set, config := m.set, m.config
	if r.IntN(2) == 0 && from.side == d.side {
		set, config = from.view.Set(), from.view.Held().Config
	} else if d.side != 0 {
		return
	}
	if r.IntN(3) > 0 {
		d.view.TookSet(m.now, set)
	}
	if r.IntN(3) > 0 {
		d.view.TookConfig(m.now, config)
	}
	m.learn(d, d.view.Self.ID, d.view.Held())
}

// write commits a new configuration.
func (m *model) write(d *node) {
	if len(m.writers) < 2 {
		m.config++
		m.writers = append(m.writers, &writer{node: d, revision: m.config})
	}
}

func (m *model) finish(r *rand.Rand) {
	if len(m.writers) == 0 {
		return
	}
	i := r.IntN(len(m.writers))
	w := m.writers[i]
	switch {
	case w.node.ended:
		m.writers = append(m.writers[:i], m.writers[i+1:]...)
	case !w.read && w.node.side != 0:
	case !w.read:
		w.set, w.read = m.set, true
	case w.heldAt.IsZero():
		m.round(w.node, 4, false, r)
		m.count(w)
	case m.finished(w):
		m.writers = append(m.writers[:i], m.writers[i+1:]...)
	}
}

// count notices that enough members hold a writer's revision.
func (m *model) count(w *writer) {
	if w.set.Accepted(w.revision, w.node.evidence) {
		w.heldAt = m.now
	}
}

// finished notices that a writer may call its revision accepted.
func (m *model) finished(w *writer) bool {
	if w.heldAt.IsZero() || clock.Elapsed(w.heldAt, m.now) < view.ContactWindow {
		return false
	}
	m.accepted = max(m.accepted, w.revision)
	m.acceptances++
	return true
}

// reform reads the table for a change of the set, or commits one read before.
func (m *model) reform(d *node, r *rand.Rand) {
	if len(m.offers) > 1 || len(m.offers) > 0 && r.IntN(2) == 0 {
		i := r.IntN(len(m.offers))
		o := m.offers[i]
		m.offers = append(m.offers[:i], m.offers[i+1:]...)
		m.commit(o)
		return
	}
	o := &offer{node: d, head: m.config, set: m.set}
	for _, x := range m.daemons {
		if !x.ended && !m.set.Contains(x.view.Self.ID) && r.IntN(2) == 0 {
			o.change.Add = append(o.change.Add, x.view.Self)
		}
	}
	for _, id := range m.set.IDs() {
		if r.IntN(3) == 0 {
			o.change.Remove = append(o.change.Remove, id)
		}
	}
	m.offers = append(m.offers, o)
}

// endOrBoot kills or stops a daemon, or boots one that copies a peer.
func (m *model) endOrBoot(d *node, r *rand.Rand) {
	if len(m.live()) > 7 || len(m.daemons) > maxDaemons || r.IntN(3) > 0 {
		return
	}
	x := m.boot(m.name())
	x.side = d.side
	m.copyFrom(x, d)
	if r.IntN(2) == 0 {
		return
	}
	d.ended = true
	if d.side == 0 && r.IntN(2) == 0 {
		id := []fleet.MemberID{d.view.Self.ID}
		m.commit(&offer{node: d, head: m.config, set: m.set, change: member.Change{Remove: id, Departing: id}})
	}
}

func (m *model) live() []*node {
	var live []*node
	for _, d := range m.daemons {
		if !d.ended {
			live = append(live, d)
		}
	}
	return live
}

// side is where a daemon is, nil being the table.
func side(d *node) int {
	if d == nil {
		return 0
	}
	return d.side
}

// TestModelAcceptedIsInForce runs daemons, writers and changes of the set
// against each other, in any order and with any delay. Once a writer has called
// a revision accepted, no daemon is confirmed with an older one.
func TestModelAcceptedIsInForce(t *testing.T) {
	acceptances, changes := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel([]string{"0", "1", "2", "3", "4", "5"}[:rapid.IntRange(1, 6).Draw(t, "daemons")]...)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range modelSteps {
			m.step(t, r)
		}
		acceptances += m.acceptances
		changes += m.changes
	})
	t.Logf("acceptances: %d, changes of the set: %d", acceptances, changes)
	must.Greater(t, 500, acceptances)
	must.Greater(t, 500, changes)
}
