package platform_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/fake"
	"github.com/lacewingtally/lacewingtally/internal/platform/object"
	"github.com/lacewingtally/lacewingtally/internal/platform/order"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
	"github.com/lacewingtally/lacewingtally/internal/platform/usage"
	"github.com/lacewingtally/lacewingtally/internal/platform/vmlist"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
	"github.com/lacewingtally/lacewingtally/internal/standin/platform"
)

func start(t *testing.T, p *platform.Platform) netip.AddrPort {
	s := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		s.Close()
	})
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func put(t *testing.T, at netip.AddrPort, path string, v any) {
	b, err := json.Marshal(v)
	must.NoError(t, err)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+at.String()+path, bytes.NewReader(b))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusNoContent, resp.StatusCode)
}

func TestObjectsOverHTTP(t *testing.T) {
	at := start(t, &platform.Platform{})
	c := object.NewHTTP(at)
	defer c.Close()
	_, err := c.Get(t.Context(), "a")
	must.ErrorIs(t, err, object.ErrAbsent)
	must.NoError(t, c.Put(t.Context(), "a", []byte("1")))
	must.NoError(t, c.Put(t.Context(), "a", []byte("1")))
	must.ErrorIs(t, c.Put(t.Context(), "a", []byte("2")), object.ErrExists)
	b, err := c.Get(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, "1", string(b))
	put(t, at, platform.PathFault, platform.Fault{Service: "Objects", Fault: fake.Unavailable})
	_, err = c.Get(t.Context(), "a")
	must.ErrorIs(t, err, rest.ErrUnavailable)
	put(t, at, platform.PathFault, platform.Fault{Service: "Objects"})
	must.NoError(t, c.Delete(t.Context(), "a"))
	_, err = c.Get(t.Context(), "a")
	must.ErrorIs(t, err, object.ErrAbsent)
}

func TestOrdersOverHTTP(t *testing.T) {
	p := &platform.Platform{}
	p.Orders.Fenced = true
	c := order.NewHTTP(start(t, p))
	defer c.Close()
	line := order.Line{Slot: order.Slot{Region: "r", FailureDomain: "d", Pool: "p", Kind: fleet.Spot}, Count: 2}
	o := order.Order{ID: "1", Epoch: 2, Line: line}
	must.NoError(t, c.Place(t.Context(), o))
	must.NoError(t, c.Place(t.Context(), o))
	must.ErrorIs(t, c.Place(t.Context(), order.Order{ID: "2", Epoch: 1, Line: line}), order.ErrStale)
	found, err := c.Find(t.Context(), order.Query{ID: "1", Region: "r", Epoch: 3})
	must.NoError(t, err)
	must.Eq(t, o, found)
	must.ErrorIs(t, c.Place(t.Context(), o), order.ErrStale)
	_, err = c.Find(t.Context(), order.Query{ID: "3", Region: "r", Epoch: 3})
	must.ErrorIs(t, err, order.ErrAbsent)
	lines, err := c.List(t.Context(), "r")
	must.NoError(t, err)
	must.Eq(t, []order.Line{line}, lines)
}

func TestUsageListAndWeightsOverHTTP(t *testing.T) {
	at := start(t, &platform.Platform{})
	u := usage.NewHTTP(at)
	defer u.Close()
	r := usage.Report{Region: "r", Window: "w", Body: []byte(`{}`)}
	must.NoError(t, u.Report(t.Context(), r))
	r.Body = []byte(`{"A":1}`)
	must.ErrorIs(t, u.Report(t.Context(), r), usage.ErrMismatch)

	v := vmlist.NewHTTP(at)
	defer v.Close()
	want := []fleet.Server{{ID: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), State: fleet.StateLive}}
	put(t, at, platform.PathVMs, vmlist.List{Servers: want})
	l, err := v.List(t.Context())
	must.NoError(t, err)
	must.Eq(t, want, l.Servers)

	w := weights.NewHTTP(at)
	defer w.Close()
	_, err = w.Newest(t.Context(), "p")
	must.ErrorIs(t, err, weights.ErrAbsent)
	must.NoError(t, w.Publish(t.Context(), weights.Weights{Pool: "p", Version: 2}))
	must.ErrorIs(t, w.Publish(t.Context(), weights.Weights{Pool: "p", Version: 1}), weights.ErrNotNewer)
	b, err := w.Fetch(t.Context(), "p", 2)
	must.NoError(t, err)
	must.Eq(t, "p@2", string(b))
}
