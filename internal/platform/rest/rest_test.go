package rest_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
)

var errSentinel = errors.New("test: named")

type message struct {
	Text string
}

func serve(t *testing.T, f func(context.Context, message) (message, error)) netip.AddrPort {
	mux := http.NewServeMux()
	rest.Handle(mux, "/Call", f, errSentinel)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func TestCallAnswers(t *testing.T) {
	for _, k := range []struct {
		name string
		err  error
		want error
	}{
		{name: "complete"},
		{name: "named", err: errors.Wrap(errSentinel, "why"), want: errSentinel},
		{name: "unavailable", err: rest.ErrUnavailable, want: rest.ErrUnavailable},
		{name: "response lost", err: rest.ErrUnknown, want: rest.ErrUnknown},
	} {
		t.Run(k.name, func(t *testing.T) {
			at := serve(t, func(_ context.Context, m message) (message, error) {
				return message{Text: m.Text + "!"}, k.err
			})
			c := rest.New(at, errSentinel)
			defer c.Close()
			var m message
			err := c.Call(t.Context(), "/Call", message{Text: "a"}, &m)
			must.ErrorIs(t, err, k.want)
			if k.want == nil {
				must.Eq(t, "a!", m.Text)
			}
		})
	}
}

func TestCallWithoutServerIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	at := netip.MustParseAddrPort(l.Addr().String())
	must.NoError(t, l.Close())
	err = rest.New(at).Call(t.Context(), "/Call", message{}, nil)
	must.ErrorIs(t, err, rest.ErrUnavailable)
}

func TestGuardRunsBeforeFirstByte(t *testing.T) {
	var arrived atomic.Int32
	at := serve(t, func(context.Context, message) (message, error) {
		arrived.Add(1)
		return message{}, nil
	})
	c := rest.New(at)
	defer c.Close()
	closed := errors.New("test: closed")
	checks := 0
	ctx := rest.WithGuard(t.Context(), func() error {
		checks++
		return closed
	})
	must.ErrorIs(t, c.Call(ctx, "/Call", message{}, nil), rest.ErrGuarded)
	must.Positive(t, checks)
	must.Zero(t, arrived.Load())
	must.ErrorIs(t, rest.CheckGuard(ctx), rest.ErrGuarded)

	ctx = rest.WithGuard(t.Context(), func() error { return nil })
	must.NoError(t, c.Call(ctx, "/Call", message{}, nil))
	must.Eq(t, 1, arrived.Load())
}
