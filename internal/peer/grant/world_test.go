package grant

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/server"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

const (
	testRegion = "cz-stred"
	testPool   = "assistant"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

// set makes a confirmed view of some members.
func set(m *view.Memory, c *config.Snapshot, members []fleet.Member) {
	m.Change(func(s *view.State) {
		s.Config, s.Members, s.ConfirmedUntil = c, members, time.Now().Add(time.Hour)
	})
}

// daemon is one daemon of a test.
type daemon struct {
	member     fleet.Member
	view       *view.Memory
	servers    *server.Registry
	dispatcher *Dispatcher
	client     *Client
	stop       context.CancelFunc
	stopped    chan struct{}
}

// world is a few daemons on one network.
type world struct {
	t       *testing.T
	network wire.Memory
	daemons []*daemon
	config  *config.Snapshot
	list    []fleet.Server
}

func newWorld(t *testing.T, daemons, servers, capacity int) *world {
	w := &world{t: t, config: config.NewSnapshot(config.Config{})}
	for i := range servers {
		w.list = append(w.list, fleet.Server{
			ID:            fleet.ServerID(fmt.Sprintf("server-%02d", i)),
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 80),
			Region:        testRegion,
			FailureDomain: fleet.FailureDomain(fmt.Sprintf("praha-%d", i%3)),
			Pool:          testPool,
			Kind:          fleet.Standard,
			State:         fleet.StateLive,
			Capacity:      capacity,
		})
	}
	for i := range daemons {
		w.start(i, "a")
	}
	w.spread()
	return w
}

// start starts a daemon; i is its place, replacing the one that had it.
func (w *world) start(i int, inc fleet.Incarnation) *daemon {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000)
	m := fleet.Member{ID: fleet.MemberID{Address: at, Incarnation: inc}, Region: testRegion}
	d := &daemon{member: m, view: &view.Memory{}, servers: server.NewRegistry(), stopped: make(chan struct{})}
	set(d.view, w.config, []fleet.Member{m})
	d.servers.UpdateList(time.Now(), w.list)
	mux := &wire.Mux{}
	d.dispatcher = NewDispatcher(m, d.view, d.servers)
	d.dispatcher.Handle(mux)
	d.client = NewClient(m, w.network.Attach(at, mux), d.view, d.servers, d.dispatcher)
	ctx, cancel := context.WithCancel(w.t.Context())
	d.stop = cancel
	var g sync.WaitGroup
	g.Go(func() { _ = d.dispatcher.Serve(ctx) })
	g.Go(func() { _ = d.client.Serve(ctx) })
	go func() {
		g.Wait()
		close(d.stopped)
	}()
	if i < len(w.daemons) {
		w.daemons[i] = d
	} else {
		w.daemons = append(w.daemons, d)
	}
	return d
}

// kill takes a daemon off the network and stops it.
func (w *world) kill(d *daemon) {
	w.network.Attach(d.member.ID.Address, nil)
	d.stop()
	<-d.stopped
}

// spread gives every daemon the view that all in live are members.
func (w *world) spread(without ...*daemon) {
	var members []fleet.Member
	for _, d := range w.daemons {
		out := false
		for _, x := range without {
			out = out || x == d
		}
		if !out {
			members = append(members, d.member)
		}
	}
	for _, d := range w.daemons {
		set(d.view, w.config, members)
	}
}

func (w *world) end() {
	for _, d := range w.daemons {
		d.stop()
	}
	for _, d := range w.daemons {
		<-d.stopped
	}
}

// owner returns the daemon that dispatches for the pool's one cell.
func (w *world) owner() *daemon {
	s := w.daemons[0].servers.Snapshot()
	n := s.Count(server.RegionPool{Region: testRegion, Pool: testPool})
	must.Positive(w.t, n)
	_, m, ok := w.daemons[0].client.home(time.Now(), w.list[0])
	must.True(w.t, ok)
	for _, d := range w.daemons {
		if d.member.ID == m.ID {
			return d
		}
	}
	w.t.Fatal("no owner")
	return nil
}

func (w *world) other(d *daemon) *daemon {
	for _, o := range w.daemons {
		if o != d {
			return o
		}
	}
	return nil
}

func ask(id string, wait time.Duration) gate.Request {
	return gate.Request{
		ID:        fleet.RequestID(id),
		Workspace: "bakery",
		Pool:      testPool,
		Class:     fleet.Live,
		Tokens:    100,
		Deadline:  time.Now().Add(wait),
	}
}

func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}
