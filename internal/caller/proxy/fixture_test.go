package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	"github.com/lacewingtally/lacewingtally/internal/backend/service"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/loop"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/caller/proxy"
	"github.com/lacewingtally/lacewingtally/internal/control/claim"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/server"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/peer/grant"
	"github.com/lacewingtally/lacewingtally/internal/peer/suspect"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	standengine "github.com/lacewingtally/lacewingtally/internal/standin/engine"
	"github.com/lacewingtally/lacewingtally/internal/standin/link"
	standservice "github.com/lacewingtally/lacewingtally/internal/standin/service"
)

const (
	key      = "key-of-bakers-5f1c"
	otherKey = "key-of-caterers-77aa"
	region   = "cz-stred"
)

// killableGate is the gate of a daemon that a test may kill. A killed daemon
// releases no grants.
type killableGate struct {
	*grant.Client
	daemon *daemon
}

func (k killableGate) Release(g gate.Grant, r gate.Report) {
	if !k.daemon.killed.Load() {
		k.Client.Release(g, r)
	}
}

// daemon is one daemon, with the components of its traffic path.
type daemon struct {
	address netip.AddrPort
	// killed is set by kill.
	killed   atomic.Bool
	kill     func()
	gate     *gate.FirstLive
	requests *proxy.ActiveRequests
	suspects *suspect.Runtime
}

// fleetFixture runs daemons, engines and services in one process.
type fleetFixture struct {
	t         *testing.T
	ctx       context.Context
	callers   link.Network
	network   link.Network
	peers     wire.Memory
	table     table.Memory
	source    *view.Memory
	daemons   []*daemon
	engines   []*standengine.Engine
	services  []*standservice.Service
	listeners []net.Listener
	options   fixtureOptions
	wait      sync.WaitGroup
	stop      context.CancelFunc
}

// daemonTable is the access of one daemon to the table. It fails once the daemon
// is killed.
type daemonTable struct {
	table.Table
	daemon  *daemon
	fixture *fleetFixture
	index   int
}

func (t daemonTable) Commit(ctx context.Context, x table.Txn) error {
	if t.daemon.killed.Load() {
		return table.ErrUnavailable
	}
	commit := func() error { return t.Table.Commit(ctx, x) }
	if t.fixture.options.commit == nil {
		return commit()
	}
	return t.fixture.options.commit(t.index, x, commit)
}

func (t daemonTable) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if t.daemon.killed.Load() {
		return nil, table.ErrUnavailable
	}
	return t.Table.Read(ctx, keys...)
}

type fixtureOptions struct {
	daemons, engines, services int
	engine                     []standengine.Option
	// acquire and release, if set, are called at the start of Acquire and
	// Release of the gates.
	acquire, release func()
	budget           proxy.Budget
	// dispatchers selects admission by the dispatchers of cells instead of
	// gate.FirstLive.
	dispatchers bool
	// commit, if set, wraps each commit of a daemon.
	commit     func(d int, t table.Txn, commit func() error) error
	decide     func(e link.Event) link.Action
	tableFault func(commit bool, keys []table.Key) table.Fault
}

func address(net, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(net), byte(i + 1)}), 80)
}

func newFixture(t *testing.T, o fixtureOptions) *fleetFixture {
	ctx, stop := context.WithCancel(context.Background())
	f := &fleetFixture{t: t, ctx: ctx, stop: stop, options: o, source: &view.Memory{}}
	f.network.Decide = o.decide
	f.table.Fault = o.tableFault
	var servers []fleet.Server
	for i := range o.engines {
		e := standengine.New(o.engine...)
		f.engines = append(f.engines, e)
		l := f.network.Listen(address(1, i))
		f.listeners = append(f.listeners, l)
		f.goServe(func() error { return e.Serve(ctx, l) })
		servers = append(servers, fleet.Server{
			ID: fleet.ServerID(fmt.Sprintf("engine-%d", i)), Address: address(1, i),
			Pool: "assistant", State: fleet.StateLive, Capacity: 64, Region: region, Kind: fleet.Standard,
		})
	}
	for i := range o.services {
		s := &standservice.Service{}
		f.services = append(f.services, s)
		l := f.network.Listen(address(2, i))
		f.listeners = append(f.listeners, l)
		f.goServe(func() error { return s.Serve(ctx, l) })
		servers = append(servers, fleet.Server{
			ID: fleet.ServerID(fmt.Sprintf("service-%d", i)), Address: address(2, i),
			Pool: "bookings", State: fleet.StateLive, Capacity: 64, Region: region, Kind: fleet.Standard,
		})
	}
	f.source.Change(func(s *view.State) {
		s.Config = config.NewSnapshot(document())
		s.ConfirmedUntil = time.Now().Add(time.Hour)
		s.Servers = servers
		for i := range max(o.daemons, 1) {
			s.Members = append(s.Members, fleet.Member{ID: fleet.MemberID{Address: address(3, i)}, Region: region})
		}
	})
	for i := range max(o.daemons, 1) {
		f.addDaemon(i)
	}
	return f
}

func document() config.Config {
	return config.Config{
		Revision:   1,
		Workspaces: []config.Workspace{{Name: "bakers"}, {Name: "caterers"}},
		Keys: []config.Key{
			{Hash: config.HashKey(key), Workspace: "bakers"},
			{Hash: config.HashKey(otherKey), Workspace: "caterers"},
		},
		Pools: []config.Pool{
			{Name: "assistant", Protocol: config.ProtocolEngine},
			{Name: "bookings", Protocol: config.ProtocolService},
		},
		Routes: []config.Route{
			{Path: "/bookings", Pool: "bookings"},
			{Path: "/prices", Pool: "bookings", Repeatable: true},
			{Path: "/open", Pool: "bookings", Open: true, Repeatable: true},
		},
	}
}

func (f *fleetFixture) addDaemon(i int) {
	ctx, cancel := context.WithCancel(f.ctx)
	d := &daemon{address: address(3, i), requests: proxy.NewActiveRequests(f.source)}
	d.gate = &gate.FirstLive{Source: f.source, BeforeAcquire: f.options.acquire, BeforeRelease: f.options.release}
	t := daemonTable{Table: &f.table, daemon: d, fixture: f, index: i}
	l := loop.New()
	var mux wire.Mux
	d.suspects = suspect.New(suspect.Options{
		Caller: f.peers.Attach(d.address, nil), Loop: l, Self: d.address, Source: f.source, Table: t,
	})
	d.suspects.Handle(&mux)
	claims := claim.NewStore(t)
	client := exchange.New(exchange.WithDial(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if d.killed.Load() {
			return nil, link.ErrBroken
		}
		return f.network.Dial(ctx, to)
	}))
	var admission gate.Gate = d.gate
	if f.options.dispatchers {
		admission = killableGate{Client: f.addDispatcher(ctx, d, &mux), daemon: d}
	}
	// Attach the mux only when all handlers are registered, so that no peer
	// call arrives earlier.
	f.peers.Attach(d.address, &mux)
	o := proxy.Options{
		Budget:   f.options.budget,
		Claims:   claims,
		Engines:  func(s fleet.Server) engine.Engine { return engine.NewHTTP(s.Address, client) },
		Gate:     admission,
		Services: service.NewHTTP(client),
		Source:   f.source,
		Suspects: d.suspects,
	}
	m := http.NewServeMux()
	m.Handle(proxy.NewHTTPHandler(proxy.NewGenerationHandler(o, proxy.NewGenerator(o), d.requests)))
	m.Handle("/", proxy.NewPassThrough(o, d.requests))
	s := &http.Server{
		Handler: m, ReadHeaderTimeout: time.Minute,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	listener := f.callers.Listen(d.address)
	f.goServe(func() error { return l.Serve(ctx) })
	f.goServe(func() error { return claims.Serve(ctx) })
	f.goServe(func() error { return d.requests.Serve(ctx) })
	f.goServe(func() error { return d.suspects.Serve(ctx) })
	f.goServe(func() error { return s.Serve(listener) })
	context.AfterFunc(ctx, func() { _ = s.Close() })
	d.kill = func() {
		d.killed.Store(true)
		f.peers.Attach(d.address, nil)
		cancel()
	}
	f.daemons = append(f.daemons, d)
}

// addDispatcher adds a dispatcher of cells to the daemon and returns a client
// of the cells.
func (f *fleetFixture) addDispatcher(ctx context.Context, d *daemon, mux *wire.Mux) *grant.Client {
	servers := server.NewRegistry()
	servers.UpdateList(time.Now(), f.source.State().Servers)
	m := fleet.Member{ID: fleet.MemberID{Address: d.address}, Region: region}
	dispatcher := grant.NewDispatcher(m, f.source, servers)
	dispatcher.Handle(mux)
	c := grant.NewClient(m, f.peers.Attach(d.address, nil), f.source, servers, dispatcher)
	f.goServe(func() error { return dispatcher.Serve(ctx) })
	f.goServe(func() error { return c.Serve(ctx) })
	return c
}

func (f *fleetFixture) goServe(serve func() error) {
	f.wait.Go(func() { _ = serve() })
}

// close stops the fixture and checks that every grant was released.
func (f *fleetFixture) close() {
	drain, cancel := context.WithTimeout(f.ctx, time.Minute)
	defer cancel()
	for _, d := range f.daemons {
		if d.killed.Load() {
			continue
		}
		must.NoError(f.t, d.requests.Drain(drain))
		must.Zero(f.t, d.gate.Unreleased(), must.Sprint("grants not released"))
	}
	f.stop()
	f.wait.Wait()
	// Abandoned dials end by their own timeouts.
	time.Sleep(time.Minute)
}

// client returns an HTTP client that connects to daemon i only.
func (f *fleetFixture) client(i int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return f.callers.Dial(ctx, address(3, i))
		},
	}}
}

// tokens is the number of tokens of a requested answer.
const tokens = 12

// generate requests an answer from daemon i and returns the text received.
func (f *fleetFixture) generate(i int, k, prompt string, emit func(*callerv1.GenerateResponse)) (string, error) {
	return f.resume(i, k, &callerv1.GenerateRequest{Prompt: prompt}, emit)
}

// resume requests the rest of an answer from daemon i and returns the text
// received.
func (f *fleetFixture) resume(
	i int, k string, m *callerv1.GenerateRequest, emit func(*callerv1.GenerateResponse),
) (string, error) {
	m.Pool, m.MaxTokens, m.Seed = "assistant", tokens, 7
	c := callerv1.NewGenerationServiceClient(f.client(i), "http://daemon")
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+k)
	s, err := c.Generate(f.ctx, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = s.Close() }()
	var text strings.Builder
	next, end := int(m.Offset), false
	for s.Receive() {
		v := s.Msg()
		must.False(f.t, end, must.Sprint("chunk after the final chunk"))
		must.EqOp(f.t, next, int(v.Offset))
		next += int(v.Tokens)
		text.WriteString(v.Text)
		end = v.End
		if emit != nil {
			emit(v)
		}
	}
	if s.Err() == nil {
		must.True(f.t, end, must.Sprint("stream ended without a final chunk"))
	}
	return text.String(), s.Err()
}

// post sends a request to a service through daemon i. Status 0 means that the
// response was lost or truncated.
func (f *fleetFixture) post(i int, path, id, body string, header http.Header) (int, http.Header, string) {
	r, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://daemon"+path, strings.NewReader(body))
	must.NoError(f.t, err)
	for k, v := range header {
		r.Header[k] = v
	}
	if id != "" {
		r.Header.Set("Request-Id", id)
	}
	if r.Header.Get("Authorization") == "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := f.client(i).Do(r)
	if err != nil {
		return 0, nil, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, resp.Header, string(b)
	}
	return resp.StatusCode, resp.Header, string(b)
}

// runs returns how often a request was started, over all services.
func (f *fleetFixture) runs(id string) int {
	n := 0
	for _, s := range f.services {
		n += s.Runs(fleet.RequestID(id))
	}
	return n
}

// refusalOf returns the refusal in the details of a connect error.
func refusalOf(t *testing.T, err error) *callerv1.Refusal {
	var c *connect.Error
	must.True(t, errors.As(err, &c), must.Sprintf("%v", err))
	for _, d := range c.Details() {
		v, err := d.Value()
		must.NoError(t, err)
		if r, ok := v.(*callerv1.Refusal); ok {
			return r
		}
	}
	t.Fatalf("no refusal in %v", err)
	return nil
}
