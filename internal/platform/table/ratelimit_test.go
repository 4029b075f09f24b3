package table_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := table.NewRateLimited(&table.Memory{}, 10)
		start := time.Now()
		for range 30 {
			_, err := r.Read(context.Background(), "A/1")
			must.NoError(t, err)
		}
		must.Eq(t, 2*time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		must.ErrorIs(t, r.Commit(ctx, txn("a", 0)), table.ErrUnavailable)
		must.NoError(t, table.RateLimited{Table: &table.Memory{}}.Commit(ctx, txn("a", 0)))
	})
}
