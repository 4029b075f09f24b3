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
	// maxDaemons limits the daemons started in one run.
	maxDaemons = 30
	// modelSteps is the number of steps of one run.
	modelSteps = 2000
)

// model simulates the daemons of a region and the table. The test controls how
// long each call is in flight.
type model struct {
	now        time.Time
	daemons    []*node
	calls      []*call
	writers    []*writer
	setChanges []*setChange
	config     fleet.ConfigRevision
	set        member.Set
	// accepted is the newest revision that a writer has reported as accepted.
	accepted fleet.ConfigRevision
	// acceptances and changes count the accepted revisions and the committed
	// set changes of a run.
	acceptances int
	changes     int
}

type node struct {
	view     view.View
	evidence member.Evidence
	// side is the side of a network partition that the daemon is on. Requests
	// arrive on the same side only, and the table is on side 0. Answers in
	// flight cross the partition.
	side int
	// ended is whether the daemon was killed or has left the set.
	ended bool
}

// call is a ping or a read of the table in flight. A nil target is the table.
type call struct {
	from, to *node
	sentAt   time.Time
	answered bool
	echo     view.Echo
	heads    member.HeldRevisions
}

// writer is a configuration change that is committed and not yet reported as
// accepted.
type writer struct {
	node     *node
	revision fleet.ConfigRevision
	set      member.Set
	read     bool
	// heldAt is when enough members were known to hold the revision; zero
	// before.
	heldAt time.Time
}

// setChange is a change of the member set between the read of the table and the
// commit.
type setChange struct {
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
	var members []fleet.Member
	for _, d := range m.daemons {
		members = append(members, d.view.Self)
	}
	m.set, _ = m.set.Next(member.Change{Add: members}, 1, member.Evidence{})
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

// fetch lets a daemon adopt the table's configuration and set.
func (m *model) fetch(d *node) {
	d.view.TookConfig(m.now, m.config)
	d.view.TookSet(m.now, m.set)
	m.learn(d, d.view.Self.ID, d.view.Held())
}

// copyFrom lets a daemon adopt what a peer holds, as at start or during an
// outage of the table.
func (m *model) copyFrom(d, from *node) {
	d.view.TookConfig(m.now, from.view.Held().Config)
	d.view.TookSet(m.now, from.view.Set())
	m.learn(d, d.view.Self.ID, d.view.Held())
}

// learn records the revisions that a member holds in a daemon's evidence.
func (m *model) learn(d *node, id fleet.MemberID, h member.HeldRevisions) {
	k := d.evidence.Held[id]
	d.evidence.Held[id] = member.HeldRevisions{Config: max(k.Config, h.Config), Set: max(k.Set, h.Set)}
}

// deliver moves a call one step forward: the request to its target, or the
// answer to its sender.
func (m *model) deliver(i int) {
	c := m.calls[i]
	if !c.answered && c.from.side != side(c.to) {
		return
	}
	if c.answered || c.from.ended || c.to != nil && c.to.ended {
		m.calls = append(m.calls[:i], m.calls[i+1:]...)
	}
	switch {
	case c.from.ended:
	case !c.answered && c.to == nil:
		c.heads = member.HeldRevisions{Config: m.config, Set: m.set.Revision}
		c.answered = true
	case !c.answered && c.to.ended:
		c.from.evidence.Gone.Add(c.to.view.Self.ID)
	case !c.answered:
		c.echo = c.to.view.Echo(m.now)
		c.answered = true
	case c.to == nil:
		c.from.view.TableRead(m.now, c.sentAt, c.heads)
	default:
		c.from.view.Heard(m.now, c.sentAt, c.echo)
		m.learn(c.from, c.to.view.Self.ID, c.echo.Held)
	}
}

// deliverAll delivers all answers in flight to one daemon.
func (m *model) deliverAll(d *node) {
	for i := len(m.calls) - 1; i >= 0; i-- {
		if c := m.calls[i]; c.from == d && c.answered {
			m.deliver(i)
		}
	}
}

// pingAll lets one daemon ping all others. Each ping is lost with a probability
// of one in lossOneIn, and answered at once otherwise. If late is true, the
// answers stay in flight.
func (m *model) pingAll(d *node, lossOneIn int, late bool, r *rand.Rand) {
	for _, o := range m.daemons {
		if o == d || d.side != o.side || r.IntN(lossOneIn) == 0 {
			continue
		}
		c := &call{from: d, to: o, sentAt: m.now}
		m.calls = append(m.calls, c)
		m.deliver(len(m.calls) - 1)
		if c.answered && !late {
			m.deliver(len(m.calls) - 1)
		}
	}
}

// commit applies a set change if the table has not changed since it was read.
func (m *model) commit(o *setChange) {
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

// name returns an unused daemon name.
func (m *model) name() string {
	return fmt.Sprint(len(m.daemons))
}

// check requires that no confirmed daemon holds a revision older than the newest
// accepted one.
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

// step runs one random action.
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
		m.calls = append(m.calls, &call{from: d, to: o, sentAt: m.now})
	case 3:
		m.calls = append(m.calls, &call{from: d, sentAt: m.now})
	case 4, 5:
		if len(m.calls) > 0 {
			m.deliver(r.IntN(len(m.calls)))
		}
	case 6, 7, 8:
		m.pingAll(d, 2+r.IntN(8), false, r)
	case 9:
		m.pingAll(d, 2+r.IntN(8), true, r)
	case 10:
		m.deliverAll(d)
	case 11, 12:
		m.adopt(d, o, r)
	case 13:
		if d.side == 0 {
			m.write(d)
		}
	case 14:
		m.finish(r)
	case 15:
		if d.side == 0 {
			m.changeSet(d, r)
		}
	case 16:
		m.endOrBoot(d, r)
	case 17:
		if r.IntN(3) == 0 {
			m.partition(r)
		}
	}
	m.check(t)
}

// partition distributes the daemons over two sides, or puts all on one.
func (m *model) partition(r *rand.Rand) {
	healed := r.IntN(2) == 0
	for _, d := range m.daemons {
		d.side = 0
		if !healed {
			d.side = r.IntN(2)
		}
	}
}

// adopt lets a daemon adopt the set, the configuration or both from the
// table or a peer.
func (m *model) adopt(d, from *node, r *rand.Rand) {
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

// finish moves a random writer one step towards acceptance, or removes it if its
// daemon has ended.
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
		m.pingAll(w.node, 4, false, r)
		m.checkHeld(w)
	case m.accept(w):
		m.writers = append(m.writers[:i], m.writers[i+1:]...)
	}
}

// checkHeld records the time at which enough members hold a writer's revision.
func (m *model) checkHeld(w *writer) {
	if w.set.Accepted(w.revision, w.node.evidence) {
		w.heldAt = m.now
	}
}

// accept records a writer's revision as accepted if ContactWindow has passed
// since enough members held it, and reports whether it did.
func (m *model) accept(w *writer) bool {
	if w.heldAt.IsZero() || clock.Elapsed(w.heldAt, m.now) < view.ContactWindow {
		return false
	}
	m.accepted = max(m.accepted, w.revision)
	m.acceptances++
	return true
}

// changeSet prepares a set change from the table's contents, or commits a
// prepared one.
func (m *model) changeSet(d *node, r *rand.Rand) {
	if len(m.setChanges) > 1 || len(m.setChanges) > 0 && r.IntN(2) == 0 {
		i := r.IntN(len(m.setChanges))
		o := m.setChanges[i]
		m.setChanges = append(m.setChanges[:i], m.setChanges[i+1:]...)
		m.commit(o)
		return
	}
	o := &setChange{node: d, head: m.config, set: m.set}
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
	m.setChanges = append(m.setChanges, o)
}

// endOrBoot starts a daemon that copies a peer, and may kill or stop the peer.
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
		m.commit(&setChange{node: d, head: m.config, set: m.set, change: member.Change{Remove: id, Departing: id}})
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

// side returns the side of the partition that a daemon is on; nil is the table.
func side(d *node) int {
	if d == nil {
		return 0
	}
	return d.side
}

// TestModelAcceptedRevisionIsInEffect runs daemons, writers and set changes
// concurrently, in random order and with random delays. Once a writer has
// reported a revision as accepted, no daemon is confirmed with an older one.
func TestModelAcceptedRevisionIsInEffect(t *testing.T) {
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
