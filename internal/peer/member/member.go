// Package member runs the confirmed view of one daemon: it registers the
// daemon, reads the table's heads, exchanges pings with peers and publishes
// what traffic may rely on.
package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/loop"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// errLeft answers peers once the daemon has taken itself out.
var errLeft = errors.New("member: left")

const (
	// callTimeout bounds one call of the table.
	callTimeout = time.Second
	// fetchInterval is the time between two attempts to fetch what is lacking.
	fetchInterval = 100 * time.Millisecond
	// idleFetchInterval is the time between two looks without news.
	idleFetchInterval = time.Second
	// leaveTimeout bounds taking oneself out.
	leaveTimeout = 2 * time.Second
	// maxPings bounds the pings in flight of the regular rounds.
	maxPings = 8
	// maxReads bounds the reads of the heads in flight.
	maxReads = 2
	// pingTimeout bounds one ping.
	pingTimeout = 500 * time.Millisecond
	// publishStep is how much later a published state must end for the sake
	// of its end alone.
	publishStep = 500 * time.Millisecond
	// readInterval is the time between two reads of the heads. It is kept in
	// an outage too: the rate is then no higher than on an ordinary day.
	readInterval = 800 * time.Millisecond
	// registerInterval is the mean time between two looks at whether the set
	// must change.
	registerInterval = time.Second
)

// Runtime keeps one daemon's view. Use New, Register on the daemon's wire.Mux,
// then Serve. Its methods may be called from any goroutine.
type Runtime struct {
	caller   wire.Caller
	gone     func(fleet.Member) bool
	log      *zap.Logger
	loop     *loop.Loop
	recorder timeline.Recorder
	seeds    []netip.AddrPort
	self     fleet.Member
	table    table.Table

	// control is owned by the loop.
	control control
	// epochs mirrors the view's epochs.
	epochs atomic.Pointer[map[fleet.Duty]fleet.Epoch]
	// state is never nil.
	state atomic.Pointer[published]
	// wake asks for a fetch at once.
	wake chan struct{}
}

// Option changes a Runtime under construction.
type Option func(*Runtime)

// control is the state that the loop owns.
type control struct {
	view view.View
	// candidates are daemons of the region that ping and are not registered,
	// with the instant of the last ping.
	candidates map[fleet.MemberID]candidate
	config     *config.Snapshot
	confirmed  bool
	evidence   member.Evidence
	// lack is what the last publish found lacking. Only news wake the
	// fetching, which otherwise tries again at its interval.
	lack view.Lack
	// left is whether the daemon has taken itself out.
	left bool
	// members are the live daemons at the last tend. The slice is published,
	// so it is replaced and never changed.
	members []fleet.Member
	// others holds the sets of the other regions.
	others map[fleet.Region]member.Set
	// reached is whether the last call of the table succeeded.
	reached bool
	servers []fleet.Server
	// setAt is when the set was taken over.
	setAt time.Time
}

type candidate struct {
	member fleet.Member
	at     time.Time
}

type published struct {
	state      *view.State
	superseded chan struct{}
}

// New returns a Runtime for the daemon self, whose control state l owns. The
// table should settle lost answers.
func New(l *loop.Loop, t table.Table, c wire.Caller, self fleet.Member, options ...Option) *Runtime {
	r := &Runtime{caller: c, log: zap.NewNop(), loop: l, self: self, table: t, wake: make(chan struct{}, 1)}
	r.control = control{
		view:       view.View{Self: self, Region: self.Region},
		candidates: make(map[fleet.MemberID]candidate),
		config:     config.NewSnapshot(config.Config{}),
		evidence:   member.Evidence{Held: make(map[fleet.MemberID]member.HeldRevisions)},
		others:     make(map[fleet.Region]member.Set),
	}
	p := &published{superseded: make(chan struct{})}
	p.state = &view.State{Config: r.control.config, Superseded: p.superseded}
	r.state.Store(p)
	for _, o := range options {
		o(r)
	}
	return r
}

// WithGone sets how the platform's VM list tells that a member's VM has been
// deleted for good. A list that lags does no harm.
func WithGone(gone func(fleet.Member) bool) Option {
	return func(r *Runtime) { r.gone = gone }
}

// WithLog sets the log.
func WithLog(l *zap.Logger) Option {
	return func(r *Runtime) { r.log = l }
}

// WithRecorder sets where events go.
func WithRecorder(t timeline.Recorder) Option {
	return func(r *Runtime) { r.recorder = t }
}

// WithSeeds sets addresses of daemons to ask when the table does not answer
// at boot.
func WithSeeds(seeds []netip.AddrPort) Option {
	return func(r *Runtime) { r.seeds = seeds }
}

// Epoch returns the newest epoch heard of for a duty of the region.
func (r *Runtime) Epoch(d fleet.Duty) fleet.Epoch {
	if m := r.epochs.Load(); m != nil {
		return (*m)[d]
	}
	return 0
}

// HeardEpoch takes an epoch seen in the table.
func (r *Runtime) HeardEpoch(d fleet.Duty, e fleet.Epoch) {
	if e <= r.Epoch(d) {
		return
	}
	_ = r.loop.Do(context.Background(), func(now time.Time) {
		r.control.view.HeardEpoch(d, e)
		r.publish(now)
	})
}

// Register sets the handlers of the daemon's calls.
func (r *Runtime) Register(m *wire.Mux) {
	m.Handle(wire.KindPing, r.handlePing)
	m.Handle(wire.KindView, r.handleView)
}

// Serve runs until the context ends, then takes the daemon out of the set.
// Everything that serves callers or does duties must have stopped before.
func (r *Runtime) Serve(ctx context.Context) error {
	g, c := errgroup.WithContext(ctx)
	g.Go(func() error { return r.readTable(c) })
	g.Go(func() error { return r.pingPeers(c) })
	g.Go(func() error { return r.fetchLacking(c) })
	g.Go(func() error { return r.keepRegistered(c) })
	err := g.Wait()
	r.leave(context.WithoutCancel(ctx))
	return err
}

// SetServers sets the backend servers of the published state.
func (r *Runtime) SetServers(ctx context.Context, servers []fleet.Server) error {
	return r.loop.Do(ctx, func(time.Time) {
		r.control.servers = servers
		r.replace()
	})
}

// State implements view.Source.
func (r *Runtime) State() *view.State {
	return r.state.Load().state
}

// ask runs f on the control goroutine, publishes what it changed, and returns
// its result. Nothing that f writes is shared with a caller that has given up.
func ask[T any](ctx context.Context, r *Runtime, f func(now time.Time) T) (T, error) {
	v := new(T)
	if err := r.do(ctx, func(now time.Time) { *v = f(now) }); err != nil {
		var zero T
		return zero, err
	}
	return *v, nil
}

// do runs f on the control goroutine and publishes what it changed.
func (r *Runtime) do(ctx context.Context, f func(now time.Time)) error {
	return r.loop.Do(ctx, func(now time.Time) {
		f(now)
		r.publish(now)
	})
}

// liveMembers returns the live daemons in the order of their addresses: the
// region's registered ones that were heard of, and all registered ones of
// other regions. An unregistered daemon lists itself only while it knows of
// nobody else, so that daemons agree on the list during an outage.
func (r *Runtime) liveMembers(now time.Time) []fleet.Member {
	c := &r.control
	live := set.New(c.view.Contacts(now, liveWindow)...)
	var ms []fleet.Member
	for _, m := range c.view.Set().Members {
		if m.ID == r.self.ID || live.Contains(m.ID) {
			ms = append(ms, m)
		}
	}
	if len(ms) == 0 {
		ms = append(ms, r.self)
	}
	for _, s := range c.others {
		ms = append(ms, s.Members...)
	}
	sortMembers(ms)
	return ms
}

// publish makes a new state if the last one is outdated.
func (r *Runtime) publish(now time.Time) {
	c := &r.control
	r.mirrorEpochs()
	old := r.state.Load().state
	until := c.view.ConfirmedUntil()
	r.noticeConfirmed(now, until)
	if l := c.view.Lacks(); l != c.lack {
		c.lack = l
		r.fetchNow()
	}
	if c.config != old.Config || until.Sub(old.ConfirmedUntil) >= publishStep {
		r.replace()
	}
}

func (r *Runtime) fetchNow() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// mirrorEpochs copies the epochs for goroutines of duties when they changed.
func (r *Runtime) mirrorEpochs() {
	es := r.control.view.Epochs()
	if m := r.epochs.Load(); m != nil && sameEpochs(*m, es) {
		return
	}
	m := make(map[fleet.Duty]fleet.Epoch, len(es))
	for _, e := range es {
		m[e.Duty] = e.Epoch
	}
	r.epochs.Store(&m)
}

// noticeConfirmed records when the view becomes confirmed or stops being so.
func (r *Runtime) noticeConfirmed(now, until time.Time) {
	c := &r.control
	confirmed := !c.left && now.Before(until)
	if confirmed == c.confirmed {
		return
	}
	c.confirmed = confirmed
	kind := timeline.ViewUnconfirmed
	if confirmed {
		kind = timeline.ViewConfirmed
	}
	r.record(timeline.Event{Kind: kind, Revision: c.view.Held().Config})
}

func (r *Runtime) record(e timeline.Event) {
	r.log.Debug(string(e.Kind), zap.Uint64("Revision", uint64(e.Revision)), zap.String("Detail", e.Detail))
	if r.recorder != nil {
		r.recorder.Record(e)
	}
}

// replace publishes a new state.
func (r *Runtime) replace() {
	c := &r.control
	p := &published{superseded: make(chan struct{})}
	p.state = &view.State{
		Config:     c.config,
		Members:    c.members,
		Servers:    c.servers,
		Superseded: p.superseded,
	}
	if !c.left {
		p.state.ConfirmedUntil = c.view.ConfirmedUntil()
	}
	close(r.state.Swap(p).superseded)
}

func sameEpochs(m map[fleet.Duty]fleet.Epoch, es []view.Epoch) bool {
	if len(m) != len(es) {
		return false
	}
	for _, e := range es {
		if m[e.Duty] != e.Epoch {
			return false
		}
	}
	return true
}

// jitter returns a duration between half of d and one and a half of it.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

var _ view.Source = (*Runtime)(nil)
