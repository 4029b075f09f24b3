package batch

import (
	"context"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/balance"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// peerCaller is a wire.Caller that passes calls to the handlers of one runner;
// calls to other addresses fail.
type peerCaller struct {
	address netip.AddrPort
	mux     *wire.Mux
}

func (p peerCaller) Call(ctx context.Context, to netip.AddrPort, k wire.Kind, request, _ any) error {
	if to != p.address {
		return wire.ErrNotSent
	}
	b, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	_, err = p.mux.Handler(k)(ctx, to, b)
	return err
}

func newRunner(s store.Store, self string) *Runner {
	f := fleet.New(s, fleet.Codec{}, zap.NewNop())
	return NewRunner(f, Ledger{Store: s}, nil, unlimited{}, &balance.Balancer{}, nil, &metrics.Metrics{}, self, zap.NewNop())
}

// TestHandOverToPeerDuringStoreOutage covers a daemon that leaves during an
// outage of the store: its partly run item and a result that is not stored yet
// must reach a peer, also if the first peer cannot be reached.
func TestHandOverToPeerDuringStoreOutage(t *testing.T) {
	down := &store.Memory{Fail: func(bool) error { return store.ErrUnavailable }}
	from, to := newRunner(down, "a"), newRunner(down, "b")
	var mux wire.Mux
	to.Handle(&mux)
	accepting, unreachable := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	h := Head{ID: "j", Workspace: "w", Items: []ItemHead{{ID: "1"}, {ID: "2"}}, Shards: []Shard{{Member: "a"}}}
	j := from.add(h)
	j.put(&item{Item: Item{ID: "1", Body: []byte("x")}, progress: Progress{Lineage: "a-1", After: 2, Data: []string{"p", "q"}}})
	j.results = []Result{{ID: "2", State: Completed, Text: "t"}}
	handOvers := from.handOvers(&fleet.Members{List: []fleet.Member{{ID: "b", Address: accepting}}})
	must.MapLen(t, 1, handOvers)
	for k, sent := range handOvers {
		peers := map[string]netip.AddrPort{"b": accepting, "c": unreachable}
		must.Eq(t, "b", k.member)
		must.NoError(t, from.deliver(t.Context(), peerCaller{accepting, &mux}, peers, "c", sent))
	}
	got := to.jobs["j"]
	must.Eq(t, 2, got.items["1"].progress.After)
	must.Eq(t, "x", string(got.items["1"].Body))
	must.Eq(t, "t", got.results[0].Text)
	// A daemon that is leaving itself refuses a hand-over.
	to.leaving = true
	must.Error(t, from.deliver(t.Context(), peerCaller{accepting, &mux}, map[string]netip.AddrPort{"b": accepting}, "b", &handOver{Head: h}))
}
