package batch

import (
	"context"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// peerCalls hands calls to one runner's handlers; other addresses refuse.
type peerCalls struct {
	at  netip.AddrPort
	mux *wire.Mux
}

func (p peerCalls) Call(ctx context.Context, to netip.AddrPort, k wire.Kind, request, _ any) error {
	if to != p.at {
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
	return NewRunner(f, Ledger{Store: s}, nil, &metrics.Metrics{}, self, zap.NewNop())
}

// TestItemsGoToAPeerWhileTheStoreIsAway replays a daemon that leaves during an
// outage: its item, half done, and a result that is not listed yet go to a peer,
// also if the first one asked refuses.
func TestItemsGoToAPeerWhileTheStoreIsAway(t *testing.T) {
	away := &store.Memory{Fail: func(bool) error { return store.ErrUnavailable }}
	from, to := newRunner(away, "a"), newRunner(away, "b")
	var mux wire.Mux
	to.Handle(&mux)
	good, bad := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	h := Head{ID: "j", Workspace: "w", Items: []ItemHead{{ID: "1"}, {ID: "2"}}, Parcels: []Parcel{{Member: "a"}}}
	j := from.add(h)
	j.items["1"] = &item{Item: Item{ID: "1", Body: []byte("x")}, progress: Progress{Lineage: "a-1", After: 2, Data: []string{"p", "q"}}}
	j.results = []Result{{ID: "2", State: Completed, Text: "t"}}
	parts := from.parts(&fleet.Members{List: []fleet.Member{{ID: "b", Address: good}}})
	must.MapLen(t, 1, parts)
	for id, p := range parts {
		peers := map[string]netip.AddrPort{"b": good, "c": bad}
		must.Eq(t, "b", id.member)
		must.NoError(t, from.give(t.Context(), peerCalls{good, &mux}, peers, "c", p))
	}
	got := to.jobs["j"]
	must.Eq(t, 2, got.items["1"].progress.After)
	must.Eq(t, "x", string(got.items["1"].Body))
	must.Eq(t, "t", got.results[0].Text)
	// One that leaves itself takes nothing.
	to.leaving = true
	must.Error(t, from.give(t.Context(), peerCalls{good, &mux}, map[string]netip.AddrPort{"b": good}, "b", &handOver{Head: h}))
}
