package member_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/loop"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/peer/member"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// daemon is one Runtime under test.
type daemon struct {
	*member.Runtime
	gate *gate
	loop *loop.Loop
	self fleet.Member
	// halt ends the control goroutine first, as a crash does; stop ends Serve.
	halt context.CancelFunc
	stop context.CancelFunc
	// table is the daemon's own link to the table.
	table *tableLink
	done  sync.WaitGroup
	// killed is whether the daemon was killed.
	killed atomic.Bool
}

// gate blocks callers of Wait while it is closed. The zero value is open.
type gate struct {
	mutex  sync.Mutex
	closed chan struct{}
}

func (g *gate) Close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) Open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *gate) IsClosed() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.closed != nil
}

func (g *gate) Wait() {
	g.mutex.Lock()
	c := g.closed
	g.mutex.Unlock()
	if c != nil {
		<-c
	}
}

// tableLink is one daemon's link to the table.
type tableLink struct {
	table.Table
	gate  *gate
	mutex sync.Mutex
	cut   bool
	delay time.Duration
}

func (l *tableLink) Commit(ctx context.Context, t table.Txn) error {
	if err := l.enter(ctx); err != nil {
		return err
	}
	defer l.gate.Wait()
	return l.Table.Commit(ctx, t)
}

func (l *tableLink) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if err := l.enter(ctx); err != nil {
		return nil, err
	}
	defer l.gate.Wait()
	return l.Table.Read(ctx, keys...)
}

func (l *tableLink) SetCut(cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = cut
}

func (l *tableLink) SetDelay(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.delay = d
}

func (l *tableLink) enter(ctx context.Context) error {
	l.gate.Wait()
	l.mutex.Lock()
	cut, delay := l.cut, l.delay
	l.mutex.Unlock()
	if cut {
		return table.ErrUnavailable
	}
	select {
	case <-ctx.Done():
		return table.ErrUnavailable
	case <-time.After(delay):
		return nil
	}
}

// gatedCaller is a daemon's link to its peers.
type gatedCaller struct {
	wire.Caller
	gate *gate
}

func (c gatedCaller) Call(ctx context.Context, to netip.AddrPort, k wire.Kind, q, a any) error {
	c.gate.Wait()
	defer c.gate.Wait()
	return c.Caller.Call(ctx, to, k, q, a)
}

// cluster is several daemons with an in-memory network and table.
type cluster struct {
	t       must.T
	network *wire.Memory
	table   *table.Memory
	// answersLost is whether the answers of commits that took effect are lost.
	answersLost atomic.Bool
	// traffic counts the calls. It may be nil.
	traffic *traffic
	// mutex guards the fields below.
	mutex   sync.Mutex
	daemons []*daemon
	boots   int
}

func newCluster(t must.T) *cluster {
	c := &cluster{t: t, network: &wire.Memory{}, table: &table.Memory{}}
	c.table.Fault = func(commit bool, _ []table.Key) table.Fault {
		if commit && c.answersLost.Load() {
			return table.FaultAnswerLost
		}
		return 0
	}
	return c
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 9000)
}

// start boots a daemon of a region at address(n).
func (c *cluster) start(n int, region fleet.Region, options ...member.Option) *daemon {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.boots++
	g := &gate{}
	d := &daemon{gate: g, loop: loop.New(), table: &tableLink{Table: c.table, gate: g}}
	d.self = fleet.Member{
		ID:     fleet.MemberID{Address: address(n), Incarnation: fleet.Incarnation(fmt.Sprint(c.boots))},
		Region: region,
	}
	control, halt := context.WithCancel(context.Background())
	ctx, stop := context.WithCancel(control)
	d.halt, d.stop = halt, stop
	inner, outer := &wire.Mux{}, &wire.Mux{}
	for _, k := range []wire.Kind{wire.KindPing, wire.KindView} {
		outer.Handle(k, func(ctx context.Context, from netip.AddrPort, body []byte) (any, error) {
			g.Wait()
			defer g.Wait()
			return inner.Handler(k)(ctx, from, body)
		})
	}
	var caller wire.Caller = gatedCaller{Caller: c.network.Attach(address(n), nil), gate: g}
	if c.traffic != nil {
		caller = countingCaller{Caller: caller, traffic: c.traffic}
	}
	d.Runtime = member.New(d.loop, table.Resolver{Table: d.table}, caller, d.self, options...)
	d.Register(inner)
	c.network.Attach(address(n), outer)
	d.done.Go(func() { _ = d.loop.Serve(control) })
	d.done.Go(func() {
		_ = d.Serve(ctx)
		halt()
	})
	c.daemons = append(c.daemons, d)
	return d
}

// freeze blocks a daemon's control goroutine and all its calls until its gate
// is opened.
func (c *cluster) freeze(d *daemon) {
	if d.gate.IsClosed() || d.killed.Load() {
		return
	}
	d.gate.Close()
	d.done.Go(func() {
		_ = d.loop.Do(context.Background(), func(time.Time) { d.gate.Wait() })
	})
}

// kill ends a daemon without its removal from the set.
func (c *cluster) kill(d *daemon) {
	c.network.Attach(d.self.ID.Address, nil)
	d.table.SetCut(true)
	d.gate.Open()
	d.killed.Store(true)
	d.halt()
	d.done.Wait()
}

func (c *cluster) close() {
	for _, d := range c.all() {
		d.gate.Open()
		d.stop()
	}
	for _, d := range c.all() {
		d.done.Wait()
	}
}

// all returns the daemons, including ended ones.
func (c *cluster) all() []*daemon {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.daemons)
}

func (c *cluster) at(i int) *daemon {
	return c.all()[i]
}

func (c *cluster) apply(base fleet.ConfigRevision, doc config.Config) config.Config {
	got, err := config.Store{Table: table.Resolver{Table: c.table}}.Apply(context.Background(), base, doc, "op", "test")
	must.NoError(c.t, err)
	return got
}

// cutPeers cuts a daemon off from all peers, both ways.
func (c *cluster) cutPeers(d *daemon, cut wire.Cut) {
	for _, o := range c.all() {
		if o != d {
			c.cutLink(d, o, cut)
		}
	}
}

// cutLink cuts two daemons off from each other, both ways.
func (c *cluster) cutLink(a, b *daemon, cut wire.Cut) {
	c.network.SetCut(a.self.ID.Address, b.self.ID.Address, cut)
	c.network.SetCut(b.self.ID.Address, a.self.ID.Address, cut)
}

// clearFaults removes all faults of the network and of the links to the table.
func (c *cluster) clearFaults() {
	c.answersLost.Store(false)
	for _, d := range c.all() {
		c.cutPeers(d, 0)
		if d.killed.Load() {
			continue
		}
		d.table.SetCut(false)
		d.table.SetDelay(0)
		d.gate.Open()
	}
}
