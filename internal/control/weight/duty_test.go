package weight_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/control/weight"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
)

var errSwap = errors.New("test: swap failed")

// fakeEngine takes a second to swap and reports the new version statusLag
// later.
type fakeEngine struct {
	engine.Engine
	mutex   sync.Mutex
	version fleet.WeightVersion
	swapped time.Time
	failing bool
	orders  []engine.LoadOrder
}

const statusLag = 700 * time.Millisecond

func (e *fakeEngine) Load(_ context.Context, o engine.LoadOrder) error {
	time.Sleep(time.Second)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.orders = append(e.orders, o)
	if e.failing {
		return errSwap
	}
	e.version, e.swapped = o.Version, time.Now()
	return nil
}

func (e *fakeEngine) Status(context.Context) (engine.Status, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if time.Since(e.swapped) < statusLag {
		return engine.Status{Version: e.version - 1}, nil
	}
	return engine.Status{Version: e.version}, nil
}

type source struct {
	state *view.State
}

func (s source) State() *view.State { return s.state }

type events struct{}

func (events) Record(timeline.Event) {}

type charge struct {
	err error
}

func (c *charge) Check(now time.Time) (fleet.Epoch, time.Time, error) {
	return 7, now.Add(6 * time.Second), c.err
}

func newDuty(t *testing.T, n int, rate float64) (*weight.Duty, map[fleet.ServerID]*fakeEngine, *weights.Memory) {
	all := servers(n)
	engines := make(map[fleet.ServerID]*fakeEngine)
	for i := range all {
		all[i].Region = "r"
		engines[all[i].ID] = &fakeEngine{version: 1}
	}
	w := &weights.Memory{}
	must.NoError(t, w.Publish(t.Context(), weights.Weights{Pool: "p", Version: 2}))
	v := source{state: &view.State{Servers: all, Config: config.NewSnapshot(config.Config{
		Defaults: map[config.Setting]float64{config.SwapsPerSecond: rate},
		Pools:    []config.Pool{{Name: "p", Protocol: config.ProtocolEngine}},
	})}}
	dial := func(s fleet.Server) engine.Engine { return engines[s.ID] }
	return weight.NewDuty(weight.Policy{MaxFailures: 2, Regions: 2}, dial, w, v, "r", events{}), engines, w
}

func TestDutyRollsOutAndQuarantinesFailingServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, engines, w := newDuty(t, 9, 0)
		engines["s004"].failing = true
		c := &charge{}
		for range 20 {
			must.NoError(t, d.Step(t.Context(), c))
			time.Sleep(time.Second)
		}
		for id, e := range engines {
			if id == "s004" {
				must.Len(t, 2, e.orders)
				continue
			}
			// A late status causes no second order.
			must.Len(t, 1, e.orders, must.Sprint(id))
			must.Eq(t, fleet.Epoch(7), e.orders[0].Epoch)
			must.Eq(t, fleet.WeightVersion(2), e.version)
		}
		must.NoError(t, w.Publish(t.Context(), weights.Weights{Pool: "p", Version: 3}))
		must.NoError(t, d.Step(t.Context(), c))
		must.Eq(t, fleet.WeightVersion(3), engines["s000"].version)
	})
}

func TestDutyWithoutChargeOrdersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, engines, _ := newDuty(t, 3, 0)
		must.ErrorIs(t, d.Step(t.Context(), &charge{err: lease.ErrNotHeld}), lease.ErrNotHeld)
		for _, e := range engines {
			must.SliceEmpty(t, e.orders)
		}
	})
}

// TestDutyKeepsToItsShareOfRate requires that one of two regions begins swaps
// at half of the rate of the whole fleet.
func TestDutyKeepsToItsShareOfRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, engines, _ := newDuty(t, 9, 1)
		for range 30 {
			must.NoError(t, d.Step(t.Context(), &charge{}))
			time.Sleep(time.Second)
		}
		var ends []time.Time
		for _, e := range engines {
			must.Len(t, 1, e.orders)
			ends = append(ends, e.swapped)
		}
		slices.SortFunc(ends, time.Time.Compare)
		for i := range len(ends) - 1 {
			must.GreaterEq(t, 2*time.Second, ends[i+1].Sub(ends[i]))
		}
	})
}
