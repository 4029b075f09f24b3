package table_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	"github.com/lacewingtally/lacewingtally/internal/standin/raw"
)

// TestBrokenResponses checks that no broken response counts as one of the table: the outcome of a commit is
// unknown, and nothing is read.
func TestBrokenResponses(t *testing.T) {
	raw.EachBroken(t, `{"Rows":[{"Key":"A/1","Version":1}]}`, func(t *testing.T, to netip.AddrPort, padding string) {
		c := table.NewHTTP(to, table.WithCallTimeout(5*time.Second))
		t.Cleanup(c.Close)
		must.ErrorIs(t, c.Commit(t.Context(), txn("a"+padding, 0)), table.ErrUnknown)
		if padding != "" {
			return
		}
		_, err := c.Read(t.Context(), "A/1")
		must.ErrorIs(t, err, table.ErrUnavailable)
		_, err = c.Scan(t.Context(), "A/", "", 1)
		must.ErrorIs(t, err, table.ErrUnavailable)
	})
}
