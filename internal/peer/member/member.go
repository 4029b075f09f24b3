// Package member maintains the confirmed view of one daemon: it registers the
// daemon, reads the table's heads, exchanges pings with peers and publishes
// the state that request handling relies on.
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

// errLeft is returned to peers once the daemon has begun to leave the set.
var errLeft = errors.New("member: left")

const (
	// callTimeout bounds one call of the table.
	callTimeout = time.Second
	// fetchInterval is the time between two attempts to fetch missing
	// revisions.
	fetchInterval = 100 * time.Millisecond
	// idleFetchInterval is the time between two checks for missing revisions
	// after one that found none.
	idleFetchInterval = time.Second
	// leaveTimeout bounds the daemon's removal of itself from the set.
	leaveTimeout = 2 * time.Second
	// maxPings bounds the pings in flight of the regular rounds.
	maxPings = 8
	// maxReads bounds the reads of the heads in flight.
	maxReads = 2
	// pingTimeout bounds one ping.
	pingTimeout = 500 * time.Millisecond
	// minExtension is the smallest increase of ConfirmedUntil for which a
	// state is published when nothing else has changed.
	minExtension = 500 * time.Millisecond
	// readInterval is the time between two reads of the heads. It does not
	// change in an outage of the table, so failures do not raise the rate.
	readInterval = 800 * time.Millisecond
	// registerInterval is the mean time between two checks whether the set
	// must change.
	registerInterval = time.Second
)

// Runtime maintains one daemon's view. Use New, Register on the daemon's
// wire.Mux, then Serve. Its methods may be called from any goroutine.
type Runtime struct {
	caller    wire.Caller
	vmDeleted func(fleet.Member) bool
	log       *zap.Logger
	loop      *loop.Loop
	recorder  timeline.Recorder
	seeds     []netip.AddrPort
	self      fleet.Member
	table     table.Table

	// control is owned by the loop.
	control control
	// epochs is a copy of the view's epochs for readers on other goroutines.
	epochs atomic.Pointer[map[fleet.Duty]fleet.Epoch]
	// state is never nil.
	state atomic.Pointer[published]
	// wake triggers a fetch.
	wake chan struct{}
}

// Option changes a Runtime under construction.
type Option func(*Runtime)

// control is the state that the loop owns.
type control struct {
	view view.View
	// candidates are daemons of the region that send pings and are not
	// registered.
	candidates map[fleet.MemberID]candidate
	config     *config.Snapshot
	confirmed  bool
	evidence   member.Evidence
	// missing is what the last call of publishIfChanged found missing. Only a
	// change of it triggers a fetch; retries wait for the fetch interval.
	missing view.MissingRevisions
	// left is whether the daemon has begun to remove itself from the set.
	left bool
	// members are the live daemons at the last call of refreshMembers. The
	// slice is published, so it is replaced and never modified.
	members []fleet.Member
	// otherSets holds the sets of the other regions.
	otherSets map[fleet.Region]member.Set
	// tableReached is whether the last read of the table's heads succeeded.
	tableReached bool
	servers      []fleet.Server
	// setAppliedAt is when the current set was applied.
	setAppliedAt time.Time
}

type candidate struct {
	member fleet.Member
	// pingedAt is when its last ping arrived.
	pingedAt time.Time
}

type published struct {
	state      *view.State
	superseded chan struct{}
}

// New returns a Runtime for the daemon self. Its control state is owned by l.
// The table should resolve commits whose answers were lost, as table.Resolver
// does.
func New(l *loop.Loop, t table.Table, c wire.Caller, self fleet.Member, options ...Option) *Runtime {
	r := &Runtime{caller: c, log: zap.NewNop(), loop: l, self: self, table: t, wake: make(chan struct{}, 1)}
	r.control = control{
		view:       view.View{Self: self, Region: self.Region},
		candidates: make(map[fleet.MemberID]candidate),
		config:     config.NewSnapshot(config.Config{}),
		evidence:   member.Evidence{Held: make(map[fleet.MemberID]member.HeldRevisions)},
		otherSets:  make(map[fleet.Region]member.Set),
	}
	p := &published{superseded: make(chan struct{})}
	p.state = &view.State{Config: r.control.config, Superseded: p.superseded}
	r.state.Store(p)
	for _, o := range options {
		o(r)
	}
	return r
}

// WithVMDeleted sets the function that reports whether the platform's VM list
// shows a member's VM as permanently deleted. A list that is out of date does
// no harm.
func WithVMDeleted(deleted func(fleet.Member) bool) Option {
	return func(r *Runtime) { r.vmDeleted = deleted }
}

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option {
	return func(r *Runtime) { r.log = l }
}

// WithRecorder sets the recorder of timeline events.
func WithRecorder(t timeline.Recorder) Option {
	return func(r *Runtime) { r.recorder = t }
}

// WithSeeds sets the addresses of daemons to fetch from when the table does not
// answer at boot.
func WithSeeds(seeds []netip.AddrPort) Option {
	return func(r *Runtime) { r.seeds = seeds }
}

// Epoch returns the newest known epoch of a duty of the region.
func (r *Runtime) Epoch(d fleet.Duty) fleet.Epoch {
	if m := r.epochs.Load(); m != nil {
		return (*m)[d]
	}
	return 0
}

// HeardEpoch records an epoch read from the table.
func (r *Runtime) HeardEpoch(d fleet.Duty, e fleet.Epoch) {
	if e <= r.Epoch(d) {
		return
	}
	_ = r.loop.Do(context.Background(), func(now time.Time) {
		r.control.view.HeardEpoch(d, e)
		r.publishIfChanged(now)
	})
}

// Register registers the handlers of peers' calls.
func (r *Runtime) Register(m *wire.Mux) {
	m.Handle(wire.KindPing, r.handlePing)
	m.Handle(wire.KindView, r.handleView)
}

// Serve runs until the context ends, then removes the daemon from the set.
// Everything that serves callers or runs duties must have stopped before.
func (r *Runtime) Serve(ctx context.Context) error {
	g, c := errgroup.WithContext(ctx)
	g.Go(func() error { return r.pollHeads(c) })
	g.Go(func() error { return r.pingPeers(c) })
	g.Go(func() error { return r.fetchMissing(c) })
	g.Go(func() error { return r.keepRegistered(c) })
	err := g.Wait()
	r.leave(context.WithoutCancel(ctx))
	return err
}

// SetServers sets the backend servers of the published state.
func (r *Runtime) SetServers(ctx context.Context, servers []fleet.Server) error {
	return r.loop.Do(ctx, func(time.Time) {
		r.control.servers = servers
		r.publishState()
	})
}

// State implements view.Source.
func (r *Runtime) State() *view.State {
	return r.state.Load().state
}

// doResult is like do and returns the result of f. When the context ends first,
// nothing that f still writes is shared with the caller.
func doResult[T any](ctx context.Context, r *Runtime, f func(now time.Time) T) (T, error) {
	v := new(T)
	if err := r.do(ctx, func(now time.Time) { *v = f(now) }); err != nil {
		var zero T
		return zero, err
	}
	return *v, nil
}

// do runs f on the control goroutine and publishes the state if f changed it.
func (r *Runtime) do(ctx context.Context, f func(now time.Time)) error {
	return r.loop.Do(ctx, func(now time.Time) {
		f(now)
		r.publishIfChanged(now)
	})
}

// liveMembers returns the live daemons in the order of their addresses: the
// region's registered ones with a contact within liveWindow, and all registered
// ones of other regions. An unregistered daemon lists itself only while it has
// no live member of its region, so that daemons agree on the list during an
// outage.
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
	for _, s := range c.otherSets {
		ms = append(ms, s.Members...)
	}
	sortMembers(ms)
	return ms
}

// publishIfChanged copies the view's epochs, records whether the view is
// confirmed, triggers a fetch if the missing revisions have changed, and
// publishes a new state if the last one is out of date.
func (r *Runtime) publishIfChanged(now time.Time) {
	c := &r.control
	r.copyEpochs()
	old := r.state.Load().state
	until := c.view.ConfirmedUntil()
	r.recordConfirmed(now, until)
	if l := c.view.Lacks(); l != c.missing {
		c.missing = l
		r.triggerFetch()
	}
	if c.config != old.Config || until.Sub(old.ConfirmedUntil) >= minExtension {
		r.publishState()
	}
}

func (r *Runtime) triggerFetch() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// copyEpochs updates r.epochs if the view's epochs have changed. Goroutines of
// duties read r.epochs, since only the loop may read the view.
func (r *Runtime) copyEpochs() {
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

// recordConfirmed records an event when the view becomes confirmed or stops
// being confirmed.
func (r *Runtime) recordConfirmed(now, until time.Time) {
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

// publishState publishes a new state and closes Superseded of the last one.
func (r *Runtime) publishState() {
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

// jitter returns a random duration from d/2 to 3d/2.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

var _ view.Source = (*Runtime)(nil)
