package exchange_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	"github.com/lacewingtally/lacewingtally/internal/standin/raw"
)

// TestBrokenResponses checks that broken responses of backend servers are errors: when they are received, or
// when their body is read.
func TestBrokenResponses(t *testing.T) {
	raw.EachBroken(t, "body", func(t *testing.T, to netip.AddrPort, padding string) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+to.String()+"/x", strings.NewReader(padding))
		must.NoError(t, err)
		resp, err := exchange.New().Do(r)
		if err != nil {
			must.ErrorIs(t, err, exchange.ErrTruncated)
			return
		}
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		must.Error(t, err)
	})
}
