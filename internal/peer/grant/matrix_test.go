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

// Faults of the matrix of leaving servers.
const (
	// listLags shows the leaving server as live in the VM list for 10 s.
	listLags fault = iota
	// noticeAlone cuts the daemon that has the notice from all others.
	noticeAlone
	// dispatcherDies stops the cell's dispatcher; the view shows it 2 s later.
	dispatcherDies
	// grantHeld keeps a grant of the leaving server and uses it afterwards.
	grantHeld
	// releaseLost loses the answers and messages of the daemon that releases.
	releaseLost
	// registerTwice repeats a registration, and an old one.
	registerTwice
	faults = iota
)

// Steps at which faults strike.
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
	// closedWithin is how long after its notice a server may get work.
	closedWithin = 4 * time.Second
	// capacity is that of each server of the matrix.
	capacity = 2
)

type fault int

type step int

// strike is one fault at one step.
type strike struct {
	fault fault
	step  step
}

// scene is one cell of the matrix.
type scene struct {
	*world
	strikes []strike
	leaving fleet.ServerID
	noticed *daemon
	owner   *daemon
	dead    *daemon
	mutex   sync.Mutex
	// noticeAt is zero before the notice; it and what follows are guarded by
	// mutex.
	noticeAt time.Time
	// held are grants not released yet, with their daemons.
	held []holding
	// late are uses of the leaving server after closedWithin.
	late []string
	// using counts the requests that run, a server; over are those above what
	// is allowed.
	using map[fleet.ServerID]int
	over  []string
	group sync.WaitGroup
}

type holding struct {
	daemon *daemon
	grant  gate.Grant
	at     time.Time
}

// TestMatrixLeavingServer runs every fault at every step singly, twice in a
// row and in pairs. In each, a leaving server gets no work some seconds after
// its notice, and no slot of the other servers is lost for good.
func TestMatrixLeavingServer(t *testing.T) {
	cells := 0
	check := func(strikes ...strike) {
		cells++
		t.Run(fmt.Sprint(strikes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, strikes) })
		})
	}
	for s := range step(steps) {
		for f := range fault(faults) {
			check(strike{f, s})
			check(strike{f, s}, strike{f, s})
			for g := f + 1; g < faults; g++ {
				check(strike{f, s}, strike{g, s})
			}
		}
	}
	must.Eq(t, steps*(2*faults+faults*(faults-1)/2), cells)
	t.Logf("%d cells", cells)
}

func play(t *testing.T, strikes []strike) {
	s := &scene{world: newWorld(t, 4, 3, capacity), strikes: strikes}
	defer s.end()
	s.leaving = s.list[0].ID
	s.owner = s.world.owner()
	s.noticed = s.other(s.owner)
	ctx, stop := context.WithCancel(t.Context())
	s.group.Go(func() { s.relist(ctx) })

	s.strike(beforeAsk)
	s.load(ctx, 0, 12)
	time.Sleep(300 * time.Millisecond)
	s.strike(whileWaiting)
	time.Sleep(300 * time.Millisecond)
	s.strike(whenGranted)
	time.Sleep(300 * time.Millisecond)
	s.strike(whileRunning)
	s.notice(time.Now())
	s.strike(atNotice)
	s.load(ctx, 12, 24)
	time.Sleep(time.Second)
	s.strike(atRelease)
	time.Sleep(6 * time.Second)
	s.useHeld()
	s.load(ctx, 24, 48)
	time.Sleep(14 * time.Second)
	s.settled()
	stop()
	s.group.Wait()
	must.SliceEmpty(t, s.late)
	must.SliceEmpty(t, s.over)
}

// load asks for grants through all daemons and uses each for a second.
func (s *scene) load(ctx context.Context, from, to int) {
	for i := from; i < to; i++ {
		d := s.alive()[i%len(s.alive())]
		s.group.Go(func() { s.request(ctx, d, fmt.Sprint(i)) })
	}
}

func (s *scene) request(ctx context.Context, d *daemon, id string) {
	g, err := d.client.Acquire(ctx, ask(id, 15*time.Second))
	if err != nil {
		return
	}
	if s.has(grantHeld) && g.Server.ID == s.leaving && s.hold(d, g) {
		return
	}
	if d.client.Check(time.Now(), g) != nil {
		d.client.Release(g, gate.Report{Outcome: gate.Stopped})
		return
	}
	s.use(g, time.Now())
	time.Sleep(time.Second)
	s.unuse(g)
	d.client.Release(g, gate.Report{Outcome: gate.Completed, Tokens: 100})
}

// use counts a request as running. One dispatcher never lets more run than a
// server has room for. Several dispatchers may, when one dies or a daemon is
// cut from it, until settled.
func (s *scene) use(g gate.Grant, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.using == nil {
		s.using = make(map[fleet.ServerID]int)
	}
	s.using[g.Server.ID]++
	alone := !s.has(dispatcherDies) && !s.has(noticeAlone) && !s.has(releaseLost)
	if n := s.using[g.Server.ID]; alone && n > capacity {
		s.over = append(s.over, fmt.Sprintf("%d run on %s", n, g.Server.ID))
	}
	if g.Server.ID == s.leaving && !s.noticeAt.IsZero() && now.Sub(s.noticeAt) >= closedWithin {
		s.late = append(s.late, fmt.Sprintf("%s %v after the notice", g.ID, now.Sub(s.noticeAt)))
	}
}

func (s *scene) unuse(g gate.Grant) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.using[g.Server.ID]--
}

func (s *scene) hold(d *daemon, g gate.Grant) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.held) > 0 {
		return false
	}
	s.held = append(s.held, holding{daemon: d, grant: g, at: time.Now()})
	return true
}

// useHeld tries to use the grants held, long after the notice.
func (s *scene) useHeld() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, h := range s.held {
		must.ErrorIs(s.t, h.daemon.client.Check(time.Now(), h.grant), ErrLeaving)
		h.daemon.client.Release(h.grant, gate.Report{Outcome: gate.Stopped})
	}
}

// settled checks that all slots of the servers that stay can be had at once.
func (s *scene) settled() {
	d := s.alive()[0]
	want := capacity * (len(s.list) - 1)
	var grants []gate.Grant
	for i := range want {
		g, err := d.client.Acquire(s.t.Context(), ask(fmt.Sprint("settled-", i), 5*time.Second))
		must.NoError(s.t, err, must.Sprintf("slot %d of %d is lost; %s", i, want, s.describe()))
		grants = append(grants, g)
	}
	_, err := d.client.Acquire(s.t.Context(), ask("one more", 3*time.Second))
	must.Error(s.t, err, must.Sprint("above capacity"))
	for _, g := range grants {
		d.client.Release(g, gate.Report{Outcome: gate.Completed})
	}
}

// relist shows the VM list each second: the leaving server is live in it, for
// ever when the list lags, else until 3 s after the notice.
func (s *scene) relist(ctx context.Context) {
	for ctx.Err() == nil {
		list := slices.Clone(s.list)
		if s.seen(time.Now()) && !s.has(listLags) {
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

// notice gives the notice to one daemon.
func (s *scene) notice(now time.Time) {
	s.mutex.Lock()
	s.noticeAt = now
	s.mutex.Unlock()
	s.noticed.client.Leave(now, s.leaving)
}

// seen reports whether a VM list that does not lag shows the notice.
func (s *scene) seen(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.noticeAt.IsZero() && now.Sub(s.noticeAt) > 3*time.Second
}

func (s *scene) alive() []*daemon {
	var out []*daemon
	for _, d := range s.daemons {
		if d != s.dead {
			out = append(out, d)
		}
	}
	return out
}

func (s *scene) has(f fault) bool {
	return slices.ContainsFunc(s.strikes, func(v strike) bool { return v.fault == f })
}

// strike makes the faults of a step happen, one after another.
func (s *scene) strike(at step) {
	for _, v := range s.strikes {
		if v.step == at {
			s.make(v.fault)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (s *scene) make(f fault) {
	switch f {
	case noticeAlone:
		s.cutFor(s.noticed, wire.CutSilent, 2*time.Second)
	case releaseLost:
		s.cutFor(s.alive()[len(s.alive())-1], wire.CutAnswers, 2*time.Second)
	case dispatcherDies:
		if s.dead != nil {
			return
		}
		s.dead = s.owner
		s.kill(s.owner)
		s.group.Go(func() {
			time.Sleep(2 * time.Second)
			s.spread(s.dead)
		})
	case registerTwice:
		s.repeatRegistrations()
	default:
		// listLags and grantHeld act throughout.
	}
}

// cutFor cuts a daemon from all others, both ways, for a while.
func (s *scene) cutFor(d *daemon, c wire.Cut, while time.Duration) {
	set := func(c wire.Cut) {
		for _, o := range s.daemons {
			if o != d {
				s.network.Cut(d.member.ID.Address, o.member.ID.Address, c)
				s.network.Cut(o.member.ID.Address, d.member.ID.Address, c)
			}
		}
	}
	set(c)
	s.group.Go(func() {
		time.Sleep(while)
		set(0)
	})
}

// repeatRegistrations sends each daemon's newest registration twice, and one
// that is older and empty.
func (s *scene) repeatRegistrations() {
	for _, d := range s.alive() {
		lists, sequence := d.client.running.list(func(g gate.Grant) cell.ID {
			id, _, _ := d.client.home(time.Now(), g.Server)
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

// describe tells what each dispatcher holds, for a failure's message.
func (s *scene) describe() string {
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
