package rest_test

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
	"github.com/lacewingtally/lacewingtally/internal/standin/raw"
)

// TestBrokenResponses checks that no broken response counts as one: the outcome of the call is unknown.
func TestBrokenResponses(t *testing.T) {
	raw.EachBroken(t, `{"Text":"a"}`, func(t *testing.T, to netip.AddrPort, padding string) {
		c := rest.New(to)
		t.Cleanup(c.Close)
		guarded := rest.WithGuard(t.Context(), func() error { return nil })
		must.ErrorIs(t, c.Call(t.Context(), "/Call", message{Text: padding}, nil), rest.ErrUnknown)
		must.ErrorIs(t, c.Call(guarded, "/Call", message{Text: padding}, nil), rest.ErrUnknown)
	})
}
