package relay

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// network is a wire.Caller that passes calls to the handlers of daemons.
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
	resp, err := m.Handler(k)(ctx, to, b)
	if err != nil {
		return err
	}
	if b, err = msgpack.Marshal(resp); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, response)
}

// refusingStore is a store whose calls fail with refuse if that is set.
type refusingStore struct {
	store.Store

	refuse error
	calls  int
}

func (r *refusingStore) Commit(ctx context.Context, t store.Txn) (store.Snapshot, error) {
	r.calls++
	if r.refuse != nil {
		return store.Snapshot{}, r.refuse
	}
	return r.Store.Commit(ctx, t)
}

func (r *refusingStore) Read(ctx context.Context, g store.Range) (store.Snapshot, error) {
	r.calls++
	if r.refuse != nil {
		return store.Snapshot{}, r.refuse
	}
	return r.Store.Read(ctx, g)
}

// newStores returns the stores of n daemons over one shared store, and the direct
// connection of each.
func newStores(t *testing.T, n int) ([]*Store, []*refusingStore) {
	t.Helper()
	shared := &store.Memory{}
	net := make(network)
	var addresses []netip.AddrPort
	var stores []*Store
	var direct []*refusingStore
	for i := range n {
		self := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		d := &refusingStore{Store: shared}
		s := New(d, net, func() []netip.AddrPort {
			var others []netip.AddrPort
			for _, a := range addresses {
				if a != self {
					others = append(others, a)
				}
			}
			return others
		}, zap.NewNop())
		net[self] = &wire.Mux{}
		s.Handle(net[self])
		addresses = append(addresses, self)
		stores, direct = append(stores, s), append(direct, d)
	}
	return stores, direct
}

var put = store.Txn{Puts: []store.Row{{Key: store.Key{Table: "t", Name: "a"}, Value: []byte("v")}}}

func TestRefusedDaemonReachesTheStoreThroughPeers(t *testing.T) {
	stores, direct := newStores(t, 3)
	direct[0].refuse, direct[1].refuse = store.ErrUnavailable, store.ErrUnavailable
	_, err := stores[0].Commit(t.Context(), put)
	must.NoError(t, err)
	s, err := stores[0].Read(t.Context(), store.Range{Table: "t"})
	must.NoError(t, err)
	must.Len(t, 1, s.Rows)
	// While the daemon is refused, it calls the store directly only to probe it.
	must.Eq(t, 1, direct[0].calls)
	direct[0].refuse = nil
	stores[0].probe(t.Context())
	must.False(t, stores[0].Unreachable())
}

func TestWriteWithUnknownOutcomeIsNotRepeated(t *testing.T) {
	stores, direct := newStores(t, 2)
	direct[0].refuse = store.ErrUnknown
	_, err := stores[0].Commit(t.Context(), put)
	must.ErrorIs(t, err, store.ErrUnknown)
	must.Eq(t, 0, direct[1].calls)
}

// TestCallPassesThroughAllowedPeersOnly relays a call that carries what some peers must not get,
// also if one of these relayed the call before.
func TestCallPassesThroughAllowedPeersOnly(t *testing.T) {
	stores, direct := newStores(t, 8)
	direct[0].refuse = store.ErrUnavailable
	for allowed := 1; allowed < 8; allowed++ {
		for _, d := range direct {
			d.calls = 0
		}
		ctx := store.WithPeers(t.Context(), func(p netip.AddrPort) bool { return int(p.Port()) == allowed+1 })
		_, err := stores[0].Commit(ctx, put)
		must.NoError(t, err)
		for n, d := range direct[1:] {
			must.Eq(t, n+1 == allowed, d.calls > 0)
		}
	}
	_, err := stores[0].Commit(store.WithPeers(t.Context(), func(netip.AddrPort) bool { return false }), put)
	must.ErrorIs(t, err, store.ErrUnavailable)
}

func TestConflictsAreRelayed(t *testing.T) {
	stores, direct := newStores(t, 2)
	_, err := stores[1].Commit(t.Context(), put)
	must.NoError(t, err)
	direct[0].refuse = store.ErrUnavailable
	txn := put
	txn.Conditions = []store.Row{{Key: txn.Puts[0].Key}}
	s, err := stores[0].Commit(t.Context(), txn)
	must.ErrorIs(t, err, store.ErrConflict)
	must.Len(t, 1, s.Rows)
}

// TestOnlyPeerThatReachesTheStoreIsFound uses a store that serves only one of
// twelve daemons: each other daemon must find that peer within three calls and
// keep using it.
func TestOnlyPeerThatReachesTheStoreIsFound(t *testing.T) {
	stores, direct := newStores(t, 12)
	for i := range 11 {
		direct[i].refuse = store.ErrUnavailable
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

func TestStoreDownForAllDaemonsIsUnavailable(t *testing.T) {
	stores, direct := newStores(t, 5)
	for _, d := range direct {
		d.refuse = store.ErrUnavailable
	}
	for range 3 {
		for _, s := range stores {
			_, err := s.Read(t.Context(), store.Range{Table: "t"})
			must.True(t, errors.Is(err, store.ErrUnavailable))
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	direct[2].refuse = nil
	stores[2].probe(ctx)
	_, err := stores[2].Read(ctx, store.Range{Table: "t"})
	must.NoError(t, err)
}

// TestPartsThroughEarlierBuilds guards against a daemon that takes one page of parts for all
// of them, or reads the same page again, when one of the two daemons is of an earlier build.
func TestPartsThroughEarlierBuilds(t *testing.T) {
	m := &store.Memory{}
	for n := range 1500 {
		_, err := m.Commit(t.Context(), store.Txn{Puts: []store.Row{{Key: store.Key{Table: "t", Part: fmt.Sprintf("%04d", n)}}}})
		must.NoError(t, err)
	}
	at := netip.MustParseAddrPort("127.0.0.1:1")
	var mux wire.Mux
	New(m, nil, nil, zap.NewNop()).Handle(&mux)
	var r response
	must.NoError(t, network{at: &mux}.Call(t.Context(), at, wire.KindStore, map[string]any{"Op": opParts, "Table": "t"}, &r))
	must.SliceLen(t, 1500, r.Parts)

	var earlier wire.Mux
	earlier.Handle(wire.KindStore, func(context.Context, netip.AddrPort, []byte) (any, error) {
		return map[string]any{"Parts": r.Parts}, nil
	})
	for _, peer := range []*wire.Mux{&mux, &earlier} {
		s := New(&refusingStore{Store: m, refuse: store.ErrUnavailable}, network{at: peer}, func() []netip.AddrPort { return []netip.AddrPort{at} }, zap.NewNop())
		_, err := s.Read(t.Context(), store.Range{Table: "t"})
		must.True(t, s.Unreachable(), must.Sprint(err))
		all, err := store.AllParts(t.Context(), s, "t")
		must.NoError(t, err)
		must.Eq(t, r.Parts, all)
		rest, _, err := s.Parts(t.Context(), "t", "1498")
		must.NoError(t, err)
		must.Eq(t, []string{"1499"}, rest)
	}
}

// slowStore is a store that takes a time for each read.
type slowStore struct {
	store.Store

	// takes is that time, in nanoseconds.
	takes atomic.Int64
}

// Read implements store.Store.
func (l *slowStore) Read(ctx context.Context, g store.Range) (store.Snapshot, error) {
	select {
	case <-time.After(time.Duration(l.takes.Load())):
		return l.Store.Read(ctx, g)
	case <-ctx.Done():
		return store.Snapshot{}, store.ErrUnknown
	}
}

// TestSlowStoreIsReachedAgain guards against probes that are stricter than calls: after one call
// that took too long, daemons refused their callers for as long as the store stayed slow.
func TestSlowStoreIsReachedAgain(t *testing.T) {
	for _, takes := range []time.Duration{0, 200 * time.Millisecond, 450 * time.Millisecond, 650 * time.Millisecond} {
		t.Run(takes.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				direct := &slowStore{Store: &store.Memory{}}
				direct.takes.Store(int64(2 * directTimeout))
				core, logged := observer.New(zap.InfoLevel)
				s := New(direct, nil, func() []netip.AddrPort { return nil }, zap.New(core))
				go func() { _ = s.Serve(ctx) }()
				_, err := s.Read(ctx, store.Range{Table: "t"})
				must.ErrorIs(t, err, store.ErrUnavailable)
				direct.takes.Store(int64(takes))
				time.Sleep(2 * time.Second)
				_, err = s.Read(ctx, store.Range{Table: "t"})
				must.NoError(t, err)
				must.False(t, s.Unreachable())
				must.Eq(t, 1, logged.FilterMessage("store reached directly again").Len())
			})
		})
	}
}
