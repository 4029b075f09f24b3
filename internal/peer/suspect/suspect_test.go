package suspect_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/loop"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/peer/suspect"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

// staticView is a view.Source that never changes.
type staticView view.State

func (s *staticView) State() *view.State { return (*view.State)(s) }

// cluster is several daemons in one process.
type cluster struct {
	ctx     context.Context
	network wire.Memory
	stop    context.CancelFunc
	table   table.Memory
	state   *staticView
}

func newCluster(daemons int) *cluster {
	c := &cluster{state: &staticView{}}
	c.ctx, c.stop = context.WithCancel(context.Background())
	for n := range daemons {
		c.state.Members = append(c.state.Members, fleet.Member{ID: fleet.MemberID{Address: address(n)}})
	}
	return c
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 1)}), 80)
}

func (c *cluster) boot(n int) *suspect.Runtime {
	var mux wire.Mux
	l := loop.New()
	r := suspect.New(suspect.Options{
		Caller: c.network.Attach(address(n), nil), Loop: l, Self: address(n), Source: c.state, Table: &c.table,
	})
	r.Handle(&mux)
	// The mux is attached only after all handlers are registered.
	c.network.Attach(address(n), &mux)
	go func() { _ = l.Serve(c.ctx) }()
	go func() { _ = r.Serve(c.ctx) }()
	return r
}

func (c *cluster) close() {
	c.stop()
	synctest.Wait()
}

func statusOf(r *suspect.Runtime, f quarantine.Fingerprint) quarantine.Status {
	return r.Check(time.Now(), f).Status
}

func TestCrashReachesPeersAndTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		defer c.close()
		a, b := c.boot(0), c.boot(1)
		must.EqOp(t, quarantine.Suspect, a.RecordCrash(c.ctx, 1, quarantine.Crash{Server: "s1"}, false))
		synctest.Wait()
		must.EqOp(t, quarantine.Suspect, statusOf(b, 1))
		must.True(t, b.Reserve(c.ctx, 1, "s2"))
		must.False(t, a.Reserve(c.ctx, 1, "s3"), must.Sprint("one suspect reserved two servers"))
		must.Eq(t, []fleet.ServerID{"s2"}, a.ReservedServers())
		must.EqOp(t, quarantine.Quarantined, b.RecordCrash(c.ctx, 1, quarantine.Crash{Server: "s2"}, true))
		synctest.Wait()
		must.EqOp(t, quarantine.Quarantined, statusOf(a, 1))
		must.SliceEmpty(t, a.ReservedServers())
		// A daemon that boots now reads the quarantine from the table.
		d := c.boot(2)
		synctest.Wait()
		must.EqOp(t, quarantine.Quarantined, statusOf(d, 1))
		time.Sleep(quarantine.Window + time.Minute)
		rows, err := c.table.Scan(c.ctx, "Quarantine/", "", 10)
		must.NoError(t, err)
		must.SliceEmpty(t, rows)
		must.EqOp(t, quarantine.Clear, statusOf(a, 1))
	})
}

func TestClearedSuspectReachesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		defer c.close()
		a, b := c.boot(0), c.boot(1)
		a.RecordCrash(c.ctx, 1, quarantine.Crash{Server: "s1"}, false)
		must.True(t, a.Reserve(c.ctx, 1, "s2"))
		// The reservation is renewed for as long as the suspect runs.
		time.Sleep(time.Minute)
		must.Eq(t, []fleet.ServerID{"s2"}, b.ReservedServers())
		a.ClearSuspect(c.ctx, 1)
		synctest.Wait()
		must.EqOp(t, quarantine.Clear, statusOf(b, 1))
		must.SliceEmpty(t, b.ReservedServers())
	})
}

// TestMatrixPeers reserves a server while the link to the peer has each kind of
// cut in each direction, and the table is up or down. The local reservation
// must hold, and a request quarantined locally must stay quarantined locally.
// The peer must quarantine it too if the message reaches it or the table is up.
func TestMatrixPeers(t *testing.T) {
	cuts := []wire.Cut{0, wire.CutRefused, wire.CutUnresponsive, wire.CutAnswers}
	n := 0
	for _, toPeer := range cuts {
		for _, fromPeer := range cuts {
			for _, down := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) { testPeers(t, toPeer, fromPeer, down) })
				n++
			}
		}
	}
	must.EqOp(t, 2*len(cuts)*len(cuts), n)
	t.Logf("%d cells", n)
}

func testPeers(t *testing.T, toPeer, fromPeer wire.Cut, down bool) {
	c := newCluster(2)
	defer c.close()
	if down {
		c.table.Fault = func(bool, []table.Key) table.Fault { return table.FaultUnavailable }
	}
	a, b := c.boot(0), c.boot(1)
	c.network.SetCut(address(0), address(1), toPeer)
	c.network.SetCut(address(1), address(0), fromPeer)
	a.RecordCrash(c.ctx, 1, quarantine.Crash{Server: "s1"}, false)
	start := time.Now()
	must.True(t, a.Reserve(c.ctx, 1, "s2"))
	must.LessEq(t, time.Second, time.Since(start))
	must.EqOp(t, quarantine.Quarantined, a.RecordCrash(c.ctx, 1, quarantine.Crash{Server: "s2"}, true))
	must.EqOp(t, quarantine.Quarantined, statusOf(a, 1))
	time.Sleep(time.Minute)
	delivered := toPeer == 0 || toPeer == wire.CutAnswers
	want := quarantine.Clear
	if delivered || !down {
		want = quarantine.Quarantined
	}
	must.EqOp(t, want, statusOf(b, 1))
}
