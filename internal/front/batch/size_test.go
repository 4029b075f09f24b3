package batch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/balance"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// newLargeFleet returns the runner of one of many daemons, with the state of a fleet
// in which each daemon runs items on some servers and reports their paces.
func newLargeFleet(b testing.TB, daemons, servers int) *Runner {
	m := &store.Memory{}
	put := func(table, name string, value []byte) {
		_, err := m.Commit(b.Context(), store.Txn{Puts: []store.Row{{Key: store.Key{Table: table, Name: name}, Value: value}}})
		must.NoError(b, err)
	}
	for n := range servers {
		put("servers", fmt.Sprintf("i-%04d", n), []byte("x"))
	}
	for n := range daemons {
		o := fleet.Member{ID: fmt.Sprintf("vm-%d", n), Machine: fmt.Sprint(n), Share: 0.5, Running: make(map[string]int), Paces: make(map[string]time.Duration)}
		for k := range 30 {
			id := fmt.Sprintf("i-%04d", (n*10+k)%servers)
			o.Running[id], o.Paces[id] = 1, 30*time.Millisecond
		}
		value, err := msgpack.Marshal(&o)
		must.NoError(b, err)
		put("members", o.ID, value)
	}
	f := fleet.New(m, fleet.Codec{ServerTable: "servers", Server: func(id string, _ []byte, _ time.Time) (backend.Server, error) {
		return backend.Server{ID: id, Service: "s", Slots: 6, Weights: map[string]int{"m": 1}}, nil
	}}, zap.NewNop())
	ctx, cancel := context.WithCancel(b.Context())
	b.Cleanup(cancel)
	go func() { _ = f.ServeServers(ctx) }()
	go func() {
		_ = f.ServeMembers(ctx, func() fleet.Member { return fleet.Member{ID: "self", Machine: "self", Share: 0.6} })
	}()
	for len(f.Servers().List) < servers || len(f.Members().List) < daemons {
		fleet.Sleep(ctx, time.Millisecond)
	}
	return NewRunner(f, Ledger{Store: m}, nil, unlimited{}, &balance.Balancer{}, nil, &metrics.Metrics{}, "self", zap.NewNop())
}

// BenchmarkStep measures one check for items to start or move, which a daemon makes
// about twenty times a second, with 30 items running.
func BenchmarkStep(b *testing.B) {
	for _, daemons := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			r := newLargeFleet(b, daemons, 10*daemons)
			j := r.add(Head{ID: "j", Model: "m", DueAt: time.Now().Add(time.Hour).UnixMilli(), GiveUpAt: 1 << 60})
			for n := range 30 {
				id := fmt.Sprint(n)
				now := time.Now().Add(time.Hour)
				j.put(&item{Item: Item{ID: id, Tokens: 500}, server: fmt.Sprintf("i-%04d", n), stop: func() {}, sentAt: now.Add(-2 * time.Hour), progressAt: now, started: true})
			}
			b.ResetTimer()
			for b.Loop() {
				r.step(b.Context(), time.Now())
			}
		})
	}
}

// TestCheckpointsLeaveRoomForResults adds up the writes of all daemons that run items
// of one job: half of what the store accepts for a part is left for results.
func TestCheckpointsLeaveRoomForResults(t *testing.T) {
	const partWritesPerSecond = 200
	must.Eq(t, minCheckpointInterval, checkpointInterval(8))
	for _, runners := range []int{1, 28, 166, 500} {
		rate := float64(runners) / checkpointInterval(runners).Seconds()
		must.LessEq(t, partWritesPerSecond/2, rate)
	}
}
