package relay

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// network hands calls to the handlers of daemons.
type network map[netip.AddrPort]*wire.Mux

// Call implements wire.Caller.
func (n network) Call(ctx context.Context, to netip.AddrPort, k wire.Kind, request, response any) error {
	m, ok := n[to]
	if !ok {
		return wire.ErrNotSent
	}
	b, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	a, err := m.Handler(k)(ctx, to, b)
	if err != nil {
		return err
	}
	if b, err = msgpack.Marshal(a); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, response)
}

// refusing is a store that refuses this daemon while refuse is set.
type refusing struct {
	store.Store

	refuse error
	calls  int
}

func (r *refusing) Commit(ctx context.Context, t store.Txn) (store.Snapshot, error) {
	r.calls++
	if r.refuse != nil {
		return store.Snapshot{}, r.refuse
	}
	return r.Store.Commit(ctx, t)
}

func (r *refusing) Read(ctx context.Context, g store.Range) (store.Snapshot, error) {
	r.calls++
	if r.refuse != nil {
		return store.Snapshot{}, r.refuse
	}
	return r.Store.Read(ctx, g)
}

// fleet returns daemons over one store, each with its own way to it.
func fleet(t *testing.T, n int) ([]*Store, []*refusing) {
	t.Helper()
	shared := &store.Memory{}
	net := make(network)
	var all []netip.AddrPort
	var stores []*Store
	var ways []*refusing
	for i := range n {
		at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		way := &refusing{Store: shared}
		s := New(way, net, func() []netip.AddrPort {
			var others []netip.AddrPort
			for _, a := range all {
				if a != at {
					others = append(others, a)
				}
			}
			return others
		}, zap.NewNop())
		net[at] = &wire.Mux{}
		s.Handle(net[at])
		all = append(all, at)
		stores, ways = append(stores, s), append(ways, way)
	}
	return stores, ways
}

var put = store.Txn{Puts: []store.Row{{Key: store.Key{Table: "t", Name: "a"}, Value: []byte("v")}}}

func TestRefusedDaemonReachesTheStoreThroughPeers(t *testing.T) {
	stores, ways := fleet(t, 3)
	ways[0].refuse, ways[1].refuse = store.ErrUnavailable, store.ErrUnavailable
	_, err := stores[0].Commit(t.Context(), put)
	must.NoError(t, err)
	s, err := stores[0].Read(t.Context(), store.Range{Table: "t"})
	must.NoError(t, err)
	must.Len(t, 1, s.Rows)
	// While it is refused, the store itself is left alone but for probes.
	must.Eq(t, 1, ways[0].calls)
	ways[0].refuse = nil
	stores[0].probe(t.Context())
	must.False(t, stores[0].Away())
}

func TestWriteWithoutAnAnswerIsNotMadeTwice(t *testing.T) {
	stores, ways := fleet(t, 2)
	ways[0].refuse = store.ErrUnknown
	_, err := stores[0].Commit(t.Context(), put)
	must.ErrorIs(t, err, store.ErrUnknown)
	must.Eq(t, 0, ways[1].calls)
}

func TestConflictsArePassedOn(t *testing.T) {
	stores, ways := fleet(t, 2)
	_, err := stores[1].Commit(t.Context(), put)
	must.NoError(t, err)
	ways[0].refuse = store.ErrUnavailable
	x := put
	x.Conditions = []store.Row{{Key: x.Puts[0].Key}}
	s, err := stores[0].Commit(t.Context(), x)
	must.ErrorIs(t, err, store.ErrConflict)
	must.Len(t, 1, s.Rows)
}

// TestOnePeerThatReachesTheStoreIsFound replays a store that serves one daemon
// of twelve: each other one finds it and stays with it.
func TestOnePeerThatReachesTheStoreIsFound(t *testing.T) {
	stores, ways := fleet(t, 12)
	for i := range 11 {
		ways[i].refuse = store.ErrUnavailable
	}
	for i := range 11 {
		var err error
		for range 3 {
			if _, err = stores[i].Read(t.Context(), store.Range{Table: "t"}); err == nil {
				break
			}
		}
		must.NoError(t, err)
		for range 20 {
			_, err = stores[i].Read(t.Context(), store.Range{Table: "t"})
			must.NoError(t, err)
		}
	}
}

func TestStoreThatIsDownForAllIsUnavailable(t *testing.T) {
	stores, ways := fleet(t, 5)
	for _, w := range ways {
		w.refuse = store.ErrUnavailable
	}
	for range 3 {
		for _, s := range stores {
			_, err := s.Read(t.Context(), store.Range{Table: "t"})
			must.True(t, errors.Is(err, store.ErrUnavailable))
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	ways[2].refuse = nil
	stores[2].probe(ctx)
	_, err := stores[2].Read(ctx, store.Range{Table: "t"})
	must.NoError(t, err)
}
