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

// setView sets a confirmed view with the given members.
func setView(m *view.Memory, c *config.Snapshot, members []fleet.Member) {
	m.Change(func(s *view.State) {
		s.Config, s.Members, s.ConfirmedUntil = c, members, time.Now().Add(time.Hour)
	})
}

// daemon is one daemon of a cluster.
type daemon struct {
	member     fleet.Member
	view       *view.Memory
	servers    *server.Registry
	dispatcher *Dispatcher
	client     *Client
	stop       context.CancelFunc
	stopped    chan struct{}
}

// cluster is a set of daemons on one in-process network.
type cluster struct {
	t       *testing.T
	network wire.Memory
	daemons []*daemon
	config  *config.Snapshot
	servers []fleet.Server
}

func newCluster(t *testing.T, daemons, servers, capacity int) *cluster {
	c := &cluster{t: t, config: config.NewSnapshot(config.Config{})}
	for i := range servers {
		c.servers = append(c.servers, fleet.Server{
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
		c.start(i, "a")
	}
	c.setViews()
	return c
}

// start starts a daemon at index i and replaces any previous one.
func (c *cluster) start(i int, inc fleet.Incarnation) *daemon {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000)
	m := fleet.Member{ID: fleet.MemberID{Address: at, Incarnation: inc}, Region: testRegion}
	d := &daemon{member: m, view: &view.Memory{}, servers: server.NewRegistry(), stopped: make(chan struct{})}
	setView(d.view, c.config, []fleet.Member{m})
	d.servers.UpdateList(time.Now(), c.servers)
	mux := &wire.Mux{}
	d.dispatcher = NewDispatcher(m, d.view, d.servers)
	d.dispatcher.Handle(mux)
	d.client = NewClient(m, c.network.Attach(at, mux), d.view, d.servers, d.dispatcher)
	ctx, cancel := context.WithCancel(c.t.Context())
	d.stop = cancel
	var g sync.WaitGroup
	g.Go(func() { _ = d.dispatcher.Serve(ctx) })
	g.Go(func() { _ = d.client.Serve(ctx) })
	go func() {
		g.Wait()
		close(d.stopped)
	}()
	if i < len(c.daemons) {
		c.daemons[i] = d
	} else {
		c.daemons = append(c.daemons, d)
	}
	return d
}

// kill disconnects a daemon from the network and stops it.
func (c *cluster) kill(d *daemon) {
	c.network.Attach(d.member.ID.Address, nil)
	d.stop()
	<-d.stopped
}

// setViews gives every daemon a view in which all daemons but those in without
// are members.
func (c *cluster) setViews(without ...*daemon) {
	var members []fleet.Member
	for _, d := range c.daemons {
		excluded := false
		for _, x := range without {
			excluded = excluded || x == d
		}
		if !excluded {
			members = append(members, d.member)
		}
	}
	for _, d := range c.daemons {
		setView(d.view, c.config, members)
	}
}

func (c *cluster) end() {
	for _, d := range c.daemons {
		d.stop()
	}
	for _, d := range c.daemons {
		<-d.stopped
	}
}

// owner returns the dispatcher of the pool's only cell.
func (c *cluster) owner() *daemon {
	s := c.daemons[0].servers.Snapshot()
	n := s.Count(server.RegionPool{Region: testRegion, Pool: testPool})
	must.Positive(c.t, n)
	_, m, ok := c.daemons[0].client.locate(time.Now(), c.servers[0])
	must.True(c.t, ok)
	for _, d := range c.daemons {
		if d.member.ID == m.ID {
			return d
		}
	}
	c.t.Fatal("no daemon dispatches for the cell")
	return nil
}

func (c *cluster) otherThan(d *daemon) *daemon {
	for _, o := range c.daemons {
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

func runWithFakeTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}
