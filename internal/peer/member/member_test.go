package member_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/loop"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/peer/member"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// daemon is one Runtime under test.
type daemon struct {
	*member.Runtime
	self fleet.Member
	// halt ends the control goroutine before the rest, as a crash does.
	halt context.CancelFunc
	stop context.CancelFunc
	// tableCut makes the daemon's own path to the table fail.
	tableCut *cutTable
	done     sync.WaitGroup
}

// cutTable is one daemon's path to the table.
type cutTable struct {
	table.Table
	mutex sync.Mutex
	cut   bool
}

func (c *cutTable) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if c.isCut() {
		return nil, table.ErrUnavailable
	}
	return c.Table.Read(ctx, keys...)
}

func (c *cutTable) Commit(ctx context.Context, t table.Txn) error {
	if c.isCut() {
		return table.ErrUnavailable
	}
	return c.Table.Commit(ctx, t)
}

func (c *cutTable) Set(cut bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut = cut
}

func (c *cutTable) isCut() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cut
}

// cluster is a few daemons on a network and a table in memory.
type cluster struct {
	t       *testing.T
	network *wire.Memory
	table   *table.Memory
	daemons []*daemon
	boots   int
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, network: &wire.Memory{}, table: &table.Memory{}}
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 9000)
}

// start boots a daemon at an address of a region.
func (c *cluster) start(n int, region fleet.Region, options ...member.Option) *daemon {
	c.boots++
	d := &daemon{tableCut: &cutTable{Table: table.Settle{Table: c.table}}}
	d.self = fleet.Member{
		ID:     fleet.MemberID{Address: address(n), Incarnation: fleet.Incarnation(fmt.Sprint(c.boots))},
		Region: region,
	}
	control, halt := context.WithCancel(context.Background())
	ctx, stop := context.WithCancel(control)
	d.halt, d.stop = halt, stop
	l := loop.New()
	mux := &wire.Mux{}
	d.Runtime = member.New(l, d.tableCut, c.network.Attach(address(n), mux), d.self, options...)
	d.Register(mux)
	d.done.Go(func() { _ = l.Serve(control) })
	d.done.Go(func() {
		_ = d.Serve(ctx)
		halt()
	})
	c.daemons = append(c.daemons, d)
	return d
}

// kill ends a daemon without its taking itself out.
func (c *cluster) kill(d *daemon) {
	c.network.Attach(d.self.ID.Address, nil)
	d.tableCut.Set(true)
	d.halt()
	d.done.Wait()
}

func (c *cluster) close() {
	for _, d := range c.daemons {
		d.stop()
	}
	for _, d := range c.daemons {
		d.done.Wait()
	}
}

func (c *cluster) apply(base fleet.ConfigRevision, doc config.Config) config.Config {
	got, err := config.Store{Table: table.Settle{Table: c.table}}.Apply(context.Background(), base, doc, "op", "test")
	must.NoError(c.t, err)
	return got
}

// cutPeers cuts a daemon off from all peers, both ways.
func (c *cluster) cutPeers(d *daemon, cut wire.Cut) {
	for _, o := range c.daemons {
		if o != d {
			c.network.Cut(d.self.ID.Address, o.self.ID.Address, cut)
			c.network.Cut(o.self.ID.Address, d.self.ID.Address, cut)
		}
	}
}

func keyed(names ...string) config.Config {
	c := config.Config{Workspaces: []config.Workspace{{Name: "w"}}}
	for _, n := range names {
		c.Keys = append(c.Keys, config.Key{Hash: config.HashKey(n), Workspace: "w"})
	}
	return c
}

func withdrawn(doc config.Config, at time.Time) config.Config {
	doc.Keys = []config.Key{{Hash: doc.Keys[0].Hash, Workspace: "w", WithdrawnAt: at}}
	return doc
}

// serves reports whether a daemon would run a request with the key now.
func serves(d *daemon, key string) bool {
	s := d.State()
	_, ok := s.Config.Workspace(key)
	return ok && s.Confirmed(time.Now())
}

func registered(t *testing.T, d *daemon) bool {
	s, err := d.Status(context.Background())
	must.NoError(t, err)
	return s.Registered
}

func TestDaemonsRegisterAndServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.apply(0, keyed("k"))
		for n := range 5 {
			c.start(n+1, "r")
		}
		time.Sleep(10 * time.Second)
		for _, d := range c.daemons {
			must.True(t, registered(t, d))
			must.True(t, serves(d, "k"))
			must.Eq(t, 5, len(d.State().Members))
		}
	})
}

func TestConfirmAfterWithdrawal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		doc := c.apply(0, keyed("k"))
		for n := range 6 {
			c.start(n+1, fleet.Region([]string{"r", "s"}[n%2]))
		}
		time.Sleep(10 * time.Second)
		start := time.Now()
		doc = c.apply(1, withdrawn(doc, start))
		a, err := c.daemons[0].Confirm(context.Background(), doc.Revision)
		must.NoError(t, err)
		must.True(t, a.Accepted())
		must.Less(t, 3*time.Second, time.Since(start))
		for _, d := range c.daemons {
			must.False(t, serves(d, "k"))
			must.Eq(t, 2, d.State().Config.Config.Revision)
		}
	})
}

func TestServesThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.apply(0, keyed("k"))
		for n := range 3 {
			c.start(n+1, "r")
		}
		time.Sleep(10 * time.Second)
		for _, d := range c.daemons {
			d.tableCut.Set(true)
		}
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, d := range c.daemons {
				must.True(t, serves(d, "k"))
			}
		}
		late := c.start(9, "r", member.WithSeeds([]netip.AddrPort{address(1), address(2), address(3)}))
		late.tableCut.Set(true)
		time.Sleep(5 * time.Second)
		must.True(t, serves(late, "k"))
		must.False(t, registered(t, late))
	})
}

func TestSilentMemberIsTakenOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.apply(0, keyed("k"))
		for n := range 4 {
			c.start(n+1, "r")
		}
		time.Sleep(10 * time.Second)
		c.kill(c.daemons[3])
		c.daemons = c.daemons[:3]
		time.Sleep(20 * time.Second)
		s, err := c.daemons[0].Status(context.Background())
		must.NoError(t, err)
		must.Eq(t, 3, len(s.Peers))
	})
}

func TestGracefulStopTakesItselfOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.apply(0, keyed("k"))
		for n := range 3 {
			c.start(n+1, "r")
		}
		time.Sleep(10 * time.Second)
		c.daemons[2].stop()
		c.daemons[2].done.Wait()
		must.False(t, serves(c.daemons[2], "k"))
		time.Sleep(2 * time.Second)
		s, err := c.daemons[0].Status(context.Background())
		must.NoError(t, err)
		must.Eq(t, 2, len(s.Peers))
	})
}

func TestCutOffDaemonStopsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		doc := c.apply(0, keyed("k"))
		for n := range 3 {
			c.start(n+1, "r")
		}
		time.Sleep(10 * time.Second)
		cut := c.daemons[2]
		c.cutPeers(cut, wire.CutSilent)
		cut.tableCut.Set(true)
		doc = c.apply(1, withdrawn(doc, time.Now()))
		a, err := c.daemons[0].Confirm(context.Background(), doc.Revision)
		must.NoError(t, err)
		must.True(t, a.Accepted())
		must.False(t, serves(cut, "k"))
		c.cutPeers(cut, 0)
	})
}
