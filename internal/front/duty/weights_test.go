package duty

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// alwaysHeld is a Holder that holds the duty at all times.
type alwaysHeld struct{}

func (alwaysHeld) Check() (int64, error) { return 1, nil }

// lossyServers is a backend.Client of servers that do not receive the first losses
// orders. Later orders are carried out at once.
type lossyServers struct {
	backend.Client

	mutex sync.Mutex
	// losses is the number of orders still to be lost.
	losses int
	// orderedAt holds the times of the orders that were carried out.
	orderedAt []time.Time
	// orders holds the number of accepted orders, and versions the weight version,
	// by server.
	orders   map[string]int
	versions map[string]int
}

func (l *lossyServers) QueryStatus(_ context.Context, s backend.Server) (backend.Status, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return backend.Status{Weights: map[string]int{"m": l.versions[s.ID]}, Orders: l.orders[s.ID]}, nil
}

func (l *lossyServers) SendOrder(ctx context.Context, s backend.Server, o backend.Order) (backend.Outcome, error) {
	l.mutex.Lock()
	l.losses--
	if l.losses >= 0 {
		l.mutex.Unlock()
		<-ctx.Done()
		return backend.Refused, errors.New("no response")
	}
	defer l.mutex.Unlock()
	if o.Expected != l.orders[s.ID] {
		return backend.Refused, nil
	}
	l.orders[s.ID]++
	l.versions[s.ID] = o.Version
	l.orderedAt = append(l.orderedAt, time.Now())
	return backend.Accepted, nil
}

// unlimited is Limits without limited servers.
type unlimited struct{}

func (unlimited) Free(_ backend.Server, most int) int { return most }

// newState returns a State with two servers that run version 1 of a model, for
// which the operators have set version 2.
func newState(t *testing.T) *fleet.State {
	m := &store.Memory{}
	put := func(table, name string) {
		_, err := m.Commit(t.Context(), store.Txn{Puts: []store.Row{{Key: store.Key{Table: table, Name: name}, Value: []byte{1}}}})
		must.NoError(t, err)
	}
	put("operator", "config")
	put("operator", "weights")
	put("servers", "a")
	put("servers", "b")
	return fleet.New(m, fleet.Codec{
		OperatorTable: "operator", ConfigName: "config", ServerTable: "servers",
		Config: func([]byte) (*route.Config, error) {
			return &route.Config{Version: 1, Services: map[string]route.Service{"x": {Models: []string{"m"}}}}, nil
		},
		Version: func(string, []byte) (string, int, bool) { return "m", 2, true },
		Server: func(id string, _ []byte, _ time.Time) (backend.Server, error) {
			return backend.Server{ID: id, Service: "x", Slots: 4, Weights: map[string]int{"m": 1}}, nil
		},
	}, zap.NewNop())
}

// TestLostOrdersAreSentAgain loses an order to one of the servers. Its status must
// be queried once the load should have finished, and the order sent again: a lost
// order must not block the loads of the other servers.
func TestLostOrdersAreSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newState(t)
		l := &lossyServers{losses: 1, orders: make(map[string]int), versions: map[string]int{"a": 1, "b": 1}}
		notify := func(context.Context, []fleet.Load) {}
		w := NewWeights(f, l, unlimited{}, alwaysHeld{}, func(string) float64 { return 1 }, notify, "self", zap.NewNop())
		ctx, stop := context.WithCancel(t.Context())
		var g sync.WaitGroup
		for _, serve := range []func(context.Context) error{f.ServeOperator, f.ServeServers, w.Serve} {
			g.Go(func() { _ = serve(ctx) })
		}
		start := time.Now()
		time.Sleep(4 * time.Second)
		stop()
		g.Wait()
		synctest.Wait()
		must.SliceNotEmpty(t, l.orderedAt)
		must.Less(t, 2*loadTime, l.orderedAt[0].Sub(start))
	})
}

// TestEndedLoadsAreAnnouncedTogether ends the loads of many servers at once: the
// number of messages to peers must not grow with them.
func TestEndedLoadsAreAnnouncedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var announced [][]fleet.Load
		notify := func(_ context.Context, loads []fleet.Load) { announced = append(announced, loads) }
		w := NewWeights(newState(t), nil, unlimited{}, alwaysHeld{}, func(string) float64 { return 1 }, notify, "self", zap.NewNop())
		w.mutex.Lock()
		for n := range 1000 {
			s := backend.Server{ID: strconv.Itoa(n)}
			l := &load{model: "m", version: 2}
			w.loads[s.ID] = l
			w.finish(t.Context(), s, l)
			must.Eq(t, 2, w.fleet.Loaded(s, "m"))
		}
		w.mutex.Unlock()
		time.Sleep(announceDelay)
		synctest.Wait()
		must.Len(t, 1, announced)
		must.Len(t, 1000, announced[0])
	})
}

// TestHeartbeatListsOnlyLoadsThatRowsDoNotShow keeps the heartbeat small: the row of
// a daemon must not grow with the number of servers.
func TestHeartbeatListsOnlyLoadsThatRowsDoNotShow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &store.Memory{}
		version := 1
		f := fleet.New(m, fleet.Codec{ServerTable: "servers", Server: func(id string, _ []byte, _ time.Time) (backend.Server, error) {
			return backend.Server{ID: id, Weights: map[string]int{"m": version}}, nil
		}}, zap.NewNop())
		writeRow := func() {
			_, err := m.Commit(t.Context(), store.Txn{Puts: []store.Row{{Key: store.Key{Table: "servers", Name: "a"}}}})
			must.NoError(t, err)
		}
		writeRow()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.ServeServers(ctx) }()
		synctest.Wait()
		w := NewWeights(f, nil, unlimited{}, alwaysHeld{}, nil, func(context.Context, []fleet.Load) {}, "self", zap.NewNop())
		w.mutex.Lock()
		w.finish(ctx, backend.Server{ID: "a"}, &load{model: "m", version: 2})
		w.pruneLoaded()
		w.mutex.Unlock()
		must.MapLen(t, 1, w.Loaded())
		version = 2
		writeRow()
		time.Sleep(time.Second)
		w.mutex.Lock()
		w.pruneLoaded()
		w.mutex.Unlock()
		must.MapEmpty(t, w.Loaded())
		cancel()
		must.NoError(t, <-done)
	})
}
