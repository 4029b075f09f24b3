package grant

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// Faults in the test matrix of leaving servers.
const (
	// listLag keeps the leaving server live in the VM list throughout.
	listLag fault = iota
	// noticePartition cuts the daemon that receives the leave notice off from all
	// others for 2 s.
	noticePartition
	// dispatcherStops stops the cell's dispatcher; the views change 2 s later.
	dispatcherStops
	// grantHeld keeps a grant of the leaving server and checks it after the
	// notice.
	grantHeld
	// releaseLost loses all answers to and from one daemon for 2 s, among them
	// those to releases.
	releaseLost
	// registerTwice repeats the newest registrations and sends outdated ones.
	registerTwice
	faults = iota
)

// Steps at which faults are injected.
const (
	beforeAsk step = iota
	whileWaiting
	whenGranted
	whileRunning
	atNotice
	atRelease
	steps = iota
)

const (
	// closeTimeout is how long a server may still get work after its leave notice.
	closeTimeout = 4 * time.Second
	// capacity is the capacity of each server.
	capacity = 2
)

type fault int

type step int

// injection is one fault at one step.
type injection struct {
	fault fault
	step  step
}

// scenario is one test case of the matrix.
type scenario struct {
	*cluster
	injections []injection
	leaving    fleet.ServerID
	notified   *daemon
	owner      *daemon
	stopped    *daemon
	mutex      sync.Mutex
	// noticeAt is zero before the notice. It and the following fields are
	// guarded by mutex.
	noticeAt time.Time
	// held contains grants not released yet, with their daemons.
	held []heldGrant
	// lateUses lists uses of the leaving server after closeTimeout.
	lateUses []string
	// using is the number of running requests of each server. overCapacity
	// describes each time that it exceeded the server's capacity.
	using        map[fleet.ServerID]int
	overCapacity []string
	group        sync.WaitGroup
}

type heldGrant struct {
	daemon *daemon
	grant  gate.Grant
	at     time.Time
}

// TestMatrixLeavingServer injects every fault at every step once, twice in a
// row and in pairs. In each case, a leaving server gets no work from
// closeTimeout after its notice, and no slot of the other servers is lost
// permanently.
func TestMatrixLeavingServer(t *testing.T) {
	cells := 0
	check := func(injections ...injection) {
		cells++
		t.Run(fmt.Sprint(injections), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScenario(t, injections) })
		})
	}
	for s := range step(steps) {
		for f := range fault(faults) {
			check(injection{f, s})
			check(injection{f, s}, injection{f, s})
			for g := f + 1; g < faults; g++ {
				check(injection{f, s}, injection{g, s})
			}
		}
	}
	must.Eq(t, steps*(2*faults+faults*(faults-1)/2), cells)
	t.Logf("%d cells", cells)
}

func runScenario(t *testing.T, injections []injection) {
	s := &scenario{cluster: newCluster(t, 4, 3, capacity), injections: injections}
	defer s.end()
	s.leaving = s.servers[0].ID
	s.owner = s.cluster.owner()
	s.notified = s.otherThan(s.owner)
	ctx, stop := context.WithCancel(t.Context())
	s.group.Go(func() { s.updateLists(ctx) })

	s.inject(beforeAsk)
	s.load(ctx, 0, 12)
	time.Sleep(300 * time.Millisecond)
	s.inject(whileWaiting)
	time.Sleep(300 * time.Millisecond)
	s.inject(whenGranted)
	time.Sleep(300 * time.Millisecond)
	s.inject(whileRunning)
	s.notice(time.Now())
	s.inject(atNotice)
	s.load(ctx, 12, 24)
	time.Sleep(time.Second)
	s.inject(atRelease)
	time.Sleep(6 * time.Second)
	s.checkHeld()
	s.load(ctx, 24, 48)
	time.Sleep(14 * time.Second)
	s.checkSlots()
	stop()
	s.group.Wait()
	must.SliceEmpty(t, s.lateUses)
	must.SliceEmpty(t, s.overCapacity)
}

// load acquires grants through all daemons and uses each for a second.
func (s *scenario) load(ctx context.Context, from, to int) {
	for i := from; i < to; i++ {
		d := s.alive()[i%len(s.alive())]
		s.group.Go(func() { s.request(ctx, d, fmt.Sprint(i)) })
	}
}

func (s *scenario) request(ctx context.Context, d *daemon, id string) {
	g, err := d.client.Acquire(ctx, ask(id, 15*time.Second))
	if err != nil {
		return
	}
	if s.hasFault(grantHeld) && g.Server.ID == s.leaving && s.hold(d, g) {
		return
	}
	if d.client.Check(time.Now(), g) != nil {
		d.client.Release(g, gate.Report{Outcome: gate.Stopped})
		return
	}
	s.beginUse(g, time.Now())
	time.Sleep(time.Second)
	s.endUse(g)
	d.client.Release(g, gate.Report{Outcome: gate.Completed, Tokens: 100})
}

// beginUse counts a request as running. One dispatcher never exceeds a server's
// capacity. Several dispatchers may exceed it while one has stopped or a daemon
// is cut from it, until the registrations have arrived.
func (s *scenario) beginUse(g gate.Grant, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.using == nil {
		s.using = make(map[fleet.ServerID]int)
	}
	s.using[g.Server.ID]++
	singleDispatcher := !s.hasFault(dispatcherStops) && !s.hasFault(noticePartition) && !s.hasFault(releaseLost)
	if n := s.using[g.Server.ID]; singleDispatcher && n > capacity {
		s.overCapacity = append(s.overCapacity, fmt.Sprintf("%d run on %s", n, g.Server.ID))
	}
	if g.Server.ID == s.leaving && !s.noticeAt.IsZero() && now.Sub(s.noticeAt) >= closeTimeout {
		s.lateUses = append(s.lateUses, fmt.Sprintf("%s %v after the notice", g.ID, now.Sub(s.noticeAt)))
	}
}

func (s *scenario) endUse(g gate.Grant) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.using[g.Server.ID]--
}

func (s *scenario) hold(d *daemon, g gate.Grant) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.held) > 0 {
		return false
	}
	s.held = append(s.held, heldGrant{daemon: d, grant: g, at: time.Now()})
	return true
}

// checkHeld checks that held grants are unusable long after the notice, and
// releases them.
func (s *scenario) checkHeld() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, h := range s.held {
		must.ErrorIs(s.t, h.daemon.client.Check(time.Now(), h.grant), ErrUnusable)
		h.daemon.client.Release(h.grant, gate.Report{Outcome: gate.Stopped})
	}
}

// checkSlots checks that all slots of the remaining servers can be acquired at
// once, and no more.
func (s *scenario) checkSlots() {
	d := s.alive()[0]
	want := capacity * (len(s.servers) - 1)
	var grants []gate.Grant
	for i := range want {
		g, err := d.client.Acquire(s.t.Context(), ask(fmt.Sprint("settled-", i), 5*time.Second))
		must.NoError(s.t, err, must.Sprintf("slot %d of %d cannot be acquired; %s", i, want, s.describe()))
		grants = append(grants, g)
	}
	_, err := d.client.Acquire(s.t.Context(), ask("one more", 3*time.Second))
	must.Error(s.t, err, must.Sprint("above capacity"))
	for _, g := range grants {
		d.client.Release(g, gate.Report{Outcome: gate.Completed})
	}
}

// updateLists updates the VM list each second. The leaving server is live in the
// list until 3 s after the notice, or throughout with listLag.
func (s *scenario) updateLists(ctx context.Context) {
	for ctx.Err() == nil {
		list := slices.Clone(s.servers)
		if s.listed(time.Now()) && !s.hasFault(listLag) {
			list[0].State = fleet.StateLeaving
		}
		for _, d := range s.daemons {
			d.servers.UpdateList(time.Now(), list)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// notice sends the leave notice to one daemon.
func (s *scenario) notice(now time.Time) {
	s.mutex.Lock()
	s.noticeAt = now
	s.mutex.Unlock()
	s.notified.client.MarkLeaving(now, s.leaving)
}

// listed reports whether a VM list without lag lists the server as leaving.
func (s *scenario) listed(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.noticeAt.IsZero() && now.Sub(s.noticeAt) > 3*time.Second
}

func (s *scenario) alive() []*daemon {
	var out []*daemon
	for _, d := range s.daemons {
		if d != s.stopped {
			out = append(out, d)
		}
	}
	return out
}

func (s *scenario) hasFault(f fault) bool {
	return slices.ContainsFunc(s.injections, func(v injection) bool { return v.fault == f })
}

// inject injects the faults of a step, one after another.
func (s *scenario) inject(at step) {
	for _, v := range s.injections {
		if v.step == at {
			s.injectFault(v.fault)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (s *scenario) injectFault(f fault) {
	switch f {
	case noticePartition:
		s.cutFor(s.notified, wire.CutUnresponsive, 2*time.Second)
	case releaseLost:
		s.cutFor(s.alive()[len(s.alive())-1], wire.CutAnswers, 2*time.Second)
	case dispatcherStops:
		if s.stopped != nil {
			return
		}
		s.stopped = s.owner
		s.kill(s.owner)
		s.group.Go(func() {
			time.Sleep(2 * time.Second)
			s.setViews(s.stopped)
		})
	case registerTwice:
		s.repeatRegistrations()
	default:
		// listLag and grantHeld apply throughout.
	}
}

// cutFor cuts a daemon off from all others, in both directions, for the given time.
func (s *scenario) cutFor(d *daemon, c wire.Cut, length time.Duration) {
	set := func(c wire.Cut) {
		for _, o := range s.daemons {
			if o != d {
				s.network.SetCut(d.member.ID.Address, o.member.ID.Address, c)
				s.network.SetCut(o.member.ID.Address, d.member.ID.Address, c)
			}
		}
	}
	set(c)
	s.group.Go(func() {
		time.Sleep(length)
		set(0)
	})
}

// repeatRegistrations sends each daemon's newest registrations twice, followed
// by an outdated, empty one.
func (s *scenario) repeatRegistrations() {
	for _, d := range s.alive() {
		lists, sequence := d.client.grants.list(func(g gate.Grant) cell.ID {
			id, _, _ := d.client.locate(time.Now(), g.Server)
			return id
		})
		for id, list := range lists {
			m, ok := id.Dispatcher(d.view.State().Members)
			if !ok {
				continue
			}
			r := cell.Registration{Entry: d.member.ID, Sequence: sequence, Running: list}
			d.client.register(s.t.Context(), m, registerMessage{Cell: id, Registration: r})
			d.client.register(s.t.Context(), m, registerMessage{Cell: id, Registration: r})
			r.Sequence, r.Running = 1, nil
			d.client.register(s.t.Context(), m, registerMessage{Cell: id, Registration: r})
		}
	}
}

// describe returns the state of each dispatcher's cells for failure messages.
func (s *scenario) describe() string {
	var b strings.Builder
	for _, d := range s.alive() {
		text, err := run(s.t.Context(), d.dispatcher.loop, func(time.Time) string {
			var out []string
			for id, c := range d.dispatcher.host.cells {
				out = append(out, fmt.Sprintf("cell %d/%d %+v", id.Index, id.Of, c.cell.Summary()))
			}
			return strings.Join(out, ", ")
		})
		fmt.Fprintf(&b, "%v: %s %v; ", d.member.ID, text, err)
	}
	return b.String()
}
