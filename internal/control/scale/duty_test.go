package scale_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/control/scale"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/platform/order"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

type events struct{}

func (events) Record(timeline.Event) {}

type source struct {
	state *view.State
}

func (s source) State() *view.State { return s.state }

func pools(p ...config.Pool) source {
	return source{state: &view.State{Config: config.NewSnapshot(config.Config{Pools: p})}}
}

var domains = []fleet.FailureDomain{"a", "b", "c"}

func newDuty(t table.Table, o order.Service) *scale.Duty {
	p := config.Pool{Name: "p", LiveFloor: 2, MaxServers: 5, SpotAllowed: true}
	demand := func() map[fleet.Pool]int { return map[fleet.Pool]int{"p": 5} }
	return scale.NewDuty(t, o, pools(p), "r", domains, demand, events{})
}

func TestOrdersReachTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &order.Memory{}
		d := newDuty(acquired(t), o)
		c := charge{epoch: 1}
		for range 3 {
			must.NoError(t, d.Step(t.Context(), c))
			time.Sleep(time.Second)
		}
		lines, err := o.List(t.Context(), "r")
		must.NoError(t, err)
		standard, spot := count(lines)
		must.Eq(t, 3, standard)
		must.Eq(t, 2, spot)
		must.Len(t, 5, o.Received())
	})
}

func TestDriftIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &order.Memory{}
		d := newDuty(acquired(t), o)
		c := charge{epoch: 1}
		must.NoError(t, d.Step(t.Context(), c))
		stray := order.Line{Slot: order.Slot{Region: "r", FailureDomain: "a", Pool: "p", Kind: fleet.Spot}, Count: 9}
		must.NoError(t, o.Place(t.Context(), order.Order{ID: "stray", Line: stray}))
		must.NoError(t, d.Step(t.Context(), c))
		lines, err := o.List(t.Context(), "r")
		must.NoError(t, err)
		_, spot := count(lines)
		must.Eq(t, 2, spot)
	})
}

// charge is a lease.Charge that is always held.
type charge struct {
	epoch fleet.Epoch
}

func (c charge) Check(now time.Time) (fleet.Epoch, time.Time, error) {
	return c.epoch, now.Add(3 * time.Second), nil
}

// acquired returns a table in which epoch 1 has begun.
func acquired(t *testing.T) *table.Memory {
	m := &table.Memory{}
	b, err := msgpack.Marshal(lease.Row{Epoch: 1})
	must.NoError(t, err)
	must.NoError(t, m.Commit(t.Context(), table.Txn{
		ID: "1", Writes: []table.Write{{Key: lease.EpochKey("r", lease.Orders), Value: b}},
	}))
	return m
}
