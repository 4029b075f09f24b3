package table_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// faults returns a fault function that returns one fault for each call in turn,
// and none afterwards.
func faults(fs ...table.Fault) func(bool, []table.Key) table.Fault {
	return func(bool, []table.Key) table.Fault {
		if len(fs) == 0 {
			return 0
		}
		f := fs[0]
		fs = fs[1:]
		return f
	}
}

// TestMatrixResolver combines every fault of the commit with every pair of faults
// of the two calls that follow. A commit that reports success must have taken
// effect exactly once, and one that reports a definite failure must not have
// taken effect.
func TestMatrixResolver(t *testing.T) {
	all := []table.Fault{0, table.FaultUnavailable, table.FaultAnswerLost, table.FaultRequestLost, table.FaultHang}
	cells := 0
	for _, version := range []uint64{0, 1} {
		for _, first := range all {
			for _, second := range all {
				for _, third := range all {
					cells++
					resolverCell(t, version, first, second, third)
				}
			}
		}
	}
	t.Logf("cells: %d", cells)
	must.Eq(t, 2*len(all)*len(all)*len(all), cells)
}

func resolverCell(t *testing.T, version uint64, fs ...table.Fault) {
	synctest.Test(t, func(t *testing.T) {
		m := &table.Memory{}
		if version > 0 {
			must.NoError(t, m.Commit(context.Background(), txn("before", 0)))
		}
		m.Fault = faults(fs...)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		err := table.Resolver{Table: m}.Commit(ctx, txn("a", version))
		m.Fault = nil
		rows, readErr := m.Read(context.Background(), "A/1")
		must.NoError(t, readErr)
		written := rows[0].WriteID == "a"
		switch {
		case err == nil:
			must.True(t, written)
			must.Eq(t, version+1, rows[0].Version)
		case isAny(err, table.ErrUnavailable, table.ErrConflict):
			must.False(t, written)
		default:
			must.ErrorIs(t, err, table.ErrUnknown)
		}
	})
}

func isAny(err error, targets ...error) bool {
	for _, x := range targets {
		if errors.Is(err, x) {
			return true
		}
	}
	return false
}
