package table_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	standin "github.com/lacewingtally/lacewingtally/internal/standin/table"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func txn(id string, version uint64) table.Txn {
	return table.Txn{
		ID:         id,
		Conditions: []table.Condition{{Key: "A/1", Version: version}},
		Writes:     []table.Write{{Key: "A/1", Value: []byte(id)}},
	}
}

func serve(t *testing.T, h http.Handler) *table.HTTP {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c := table.NewHTTP(netip.MustParseAddrPort(s.Listener.Addr().String()), table.WithCallTimeout(5*time.Second))
	t.Cleanup(c.Close)
	return c
}

func TestHTTP(t *testing.T) {
	ctx := context.Background()
	c := serve(t, standin.NewHandler(&table.Memory{}))
	must.NoError(t, c.Commit(ctx, txn("a", 0)))
	must.ErrorIs(t, c.Commit(ctx, txn("b", 0)), table.ErrConflict)
	must.ErrorIs(t, c.Commit(ctx, table.Txn{}), table.ErrInvalid)
	rows, err := c.Read(ctx, "A/2", "A/1")
	must.NoError(t, err)
	must.Eq(t, 0, rows[0].Version)
	must.Eq(t, "a", rows[1].WriteID)
	must.Eq(t, "a", string(rows[1].Value))
	rows, err = c.Scan(ctx, "A/", "A/0", 10)
	must.NoError(t, err)
	must.Len(t, 1, rows)
}

func TestHTTPFaults(t *testing.T) {
	ctx := context.Background()
	h := standin.NewHandler(&table.Memory{})
	c := serve(t, h)
	h.SetFault(standin.Fault{Mode: standin.Outage})
	must.ErrorIs(t, c.Commit(ctx, txn("a", 0)), table.ErrUnavailable)
	_, err := c.Read(ctx, "A/1")
	must.ErrorIs(t, err, table.ErrUnavailable)
	h.SetFault(standin.Fault{Mode: standin.AnswersLost})
	must.ErrorIs(t, c.Commit(ctx, txn("a", 0)), table.ErrUnknown)
	must.NoError(t, table.Resolver{Table: c}.Commit(ctx, txn("b", 1)))
	rows, err := c.Read(ctx, "A/1")
	must.NoError(t, err)
	must.Eq(t, "b", rows[0].WriteID)
}

// TestHTTPCommitIsSentOnce checks that net/http does not retry a commit whose
// connection breaks.
func TestHTTPCommitIsSentOnce(t *testing.T) {
	var calls atomic.Int64
	c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	must.NoError(t, c.Commit(context.Background(), txn("a", 0)))
	must.ErrorIs(t, c.Commit(context.Background(), txn("b", 1)), table.ErrUnknown)
	must.Eq(t, 2, calls.Load())
}

func TestHTTPConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	a := netip.MustParseAddrPort(l.Addr().String())
	must.NoError(t, l.Close())
	c := table.NewHTTP(a)
	defer c.Close()
	must.ErrorIs(t, c.Commit(context.Background(), txn("a", 0)), table.ErrUnavailable)
}
