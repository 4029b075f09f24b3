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

// state is a view.Source that never changes.
type state view.State

func (s *state) State() *view.State { return (*view.State)(s) }

// world is a few daemons in one process.
type world struct {
	ctx     context.Context
	network wire.Memory
	stop    context.CancelFunc
	table   table.Memory
	state   *state
}

func newWorld(daemons int) *world {
	w := &world{state: &state{}}
	w.ctx, w.stop = context.WithCancel(context.Background())
	for n := range daemons {
		w.state.Members = append(w.state.Members, fleet.Member{ID: fleet.MemberID{Address: at(n)}})
	}
	return w
}

func at(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 1)}), 80)
}

func (w *world) boot(n int) *suspect.Runtime {
	var mux wire.Mux
	l := loop.New()
	r := suspect.New(suspect.Options{
		Caller: w.network.Attach(at(n), nil), Loop: l, Self: at(n), Source: w.state, Table: &w.table,
	})
	r.Handle(&mux)
	// Calls arrive only once all is handled.
	w.network.Attach(at(n), &mux)
	go func() { _ = l.Serve(w.ctx) }()
	go func() { _ = r.Serve(w.ctx) }()
	return r
}

func (w *world) close() {
	w.stop()
	synctest.Wait()
}

func standing(r *suspect.Runtime, f quarantine.Fingerprint) quarantine.Status {
	return r.Check(time.Now(), f).Status
}

func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3)
		defer w.close()
		a, b := w.boot(0), w.boot(1)
		must.EqOp(t, quarantine.Suspect, a.Crashed(w.ctx, 1, quarantine.Crash{Server: "s1"}, false))
		synctest.Wait()
		must.EqOp(t, quarantine.Suspect, standing(b, 1))
		must.True(t, b.Reserve(w.ctx, 1, "s2"))
		must.False(t, a.Reserve(w.ctx, 1, "s3"), must.Sprint("two runs of one suspect"))
		must.Eq(t, []fleet.ServerID{"s2"}, a.Busy())
		must.EqOp(t, quarantine.Quarantined, b.Crashed(w.ctx, 1, quarantine.Crash{Server: "s2"}, true))
		synctest.Wait()
		must.EqOp(t, quarantine.Quarantined, standing(a, 1))
		must.SliceEmpty(t, a.Busy())
		// A daemon that boots now reads it in the table.
		c := w.boot(2)
		synctest.Wait()
		must.EqOp(t, quarantine.Quarantined, standing(c, 1))
		time.Sleep(quarantine.Window + time.Minute)
		rows, err := w.table.Scan(w.ctx, "Quarantine/", "", 10)
		must.NoError(t, err)
		must.SliceEmpty(t, rows)
		must.EqOp(t, quarantine.Clear, standing(a, 1))
	})
}

func TestAbsolveSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		defer w.close()
		a, b := w.boot(0), w.boot(1)
		a.Crashed(w.ctx, 1, quarantine.Crash{Server: "s1"}, false)
		must.True(t, a.Reserve(w.ctx, 1, "s2"))
		// The reservation is renewed for as long as the suspect runs.
		time.Sleep(time.Minute)
		must.Eq(t, []fleet.ServerID{"s2"}, b.Busy())
		a.Absolve(w.ctx, 1)
		synctest.Wait()
		must.EqOp(t, quarantine.Clear, standing(b, 1))
		must.SliceEmpty(t, b.Busy())
	})
}

// TestMatrixPeers reserves a server while the link to the peer is cut in each
// way, in each direction, and the store is up or down: what is reserved here
// stays, and a request quarantined here is refused here.
func TestMatrixPeers(t *testing.T) {
	cuts := []wire.Cut{0, wire.CutRefused, wire.CutSilent, wire.CutAnswers}
	n := 0
	for _, there := range cuts {
		for _, back := range cuts {
			for _, down := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) { peersCell(t, there, back, down) })
				n++
			}
		}
	}
	must.EqOp(t, 2*len(cuts)*len(cuts), n)
	t.Logf("%d cells", n)
}

func peersCell(t *testing.T, there, back wire.Cut, down bool) {
	w := newWorld(2)
	defer w.close()
	if down {
		w.table.Fault = func(bool, []table.Key) table.Fault { return table.FaultUnavailable }
	}
	a, b := w.boot(0), w.boot(1)
	w.network.Cut(at(0), at(1), there)
	w.network.Cut(at(1), at(0), back)
	a.Crashed(w.ctx, 1, quarantine.Crash{Server: "s1"}, false)
	begun := time.Now()
	must.True(t, a.Reserve(w.ctx, 1, "s2"))
	must.LessEq(t, time.Second, time.Since(begun))
	must.EqOp(t, quarantine.Quarantined, a.Crashed(w.ctx, 1, quarantine.Crash{Server: "s2"}, true))
	must.EqOp(t, quarantine.Quarantined, standing(a, 1))
	time.Sleep(time.Minute)
	told := there == 0 || there == wire.CutAnswers
	want := quarantine.Clear
	if told || !down {
		want = quarantine.Quarantined
	}
	must.EqOp(t, want, standing(b, 1))
}
