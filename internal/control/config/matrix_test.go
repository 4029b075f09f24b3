package config_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// applyCalls is the number of table calls at which the matrix injects faults:
// the reads of the head and the base, the commit, and the calls that determine
// the outcome of the commit.
const applyCalls = 6

// callFault is a fault at one table call of an operator's change, numbered
// from 1.
type callFault struct {
	call  int
	fault table.Fault
}

// applyCell is one case of the matrix: an operator's change of revision 1, with
// faults and a concurrent change by a rival.
type applyCell struct {
	faults []callFault
	// rivalAt is the call before which the rival changes revision 1; 0 is
	// never.
	rivalAt int
}

// run requires that the outcome returned to the operator is correct.
func (c applyCell) run(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	m := &table.Memory{}
	plain := config.Store{Table: m}
	base, err := plain.Apply(ctx, 0, valid(), "first", "start")
	must.NoError(t, err)
	calls := 0
	inRival := false
	m.Fault = func(bool, []table.Key) table.Fault {
		if inRival {
			return 0
		}
		calls++
		if calls == c.rivalAt {
			inRival = true
			other := valid()
			other.Workspaces = append(other.Workspaces, config.Workspace{Name: "rival"})
			_, _ = plain.Apply(ctx, 1, other, "rival", "race")
			inRival = false
		}
		for _, s := range c.faults {
			if s.call == calls {
				return s.fault
			}
		}
		return 0
	}
	mine := base
	mine.Drains = nil
	_, err = config.Store{Table: table.Resolver{Table: m}}.Apply(ctx, 1, mine, "op", "change")
	m.Fault = nil
	c.check(t, plain, err, calls)
}

func (c applyCell) check(t *testing.T, s config.Store, err error, calls int) {
	es, listErr := s.List(context.Background(), 0, 10)
	must.NoError(t, listErr)
	head, headErr := s.Head(context.Background())
	must.NoError(t, headErr)
	must.Len(t, int(head), es)
	written := len(es) > 1 && es[1].Operator == "op"
	switch {
	case err == nil:
		must.True(t, written)
	case errors.Is(err, table.ErrUnknown):
		// The change may or may not be written, as the error reports.
	default:
		must.False(t, written, must.Sprintf("%v", err))
	}
	if c.rivalAt > 0 && c.rivalAt <= calls {
		must.Len(t, 2, es)
		must.True(t, err == nil || !written || errors.Is(err, table.ErrUnknown))
	}
}

// TestMatrixApply injects every fault at every call of an operator's change,
// alone and combined with every fault at every later call, while a rival
// changes the same revision before any of the calls or never.
func TestMatrixApply(t *testing.T) {
	faults := []table.Fault{
		table.FaultUnavailable, table.FaultAnswerLost, table.FaultRequestLost, table.FaultHang,
	}
	faultSets := [][]callFault{nil}
	for i := 1; i <= applyCalls; i++ {
		for _, f := range faults {
			faultSets = append(faultSets, []callFault{{i, f}})
			for j := i + 1; j <= applyCalls; j++ {
				for _, g := range faults {
					faultSets = append(faultSets, []callFault{{i, f}, {j, g}})
				}
			}
		}
	}
	cells := 0
	synctest.Test(t, func(t *testing.T) {
		for rivalAt := range applyCalls + 1 {
			for _, s := range faultSets {
				cells++
				applyCell{faults: s, rivalAt: rivalAt}.run(t)
			}
		}
	})
	t.Logf("cells: %d", cells)
	n := len(faults)
	pairs := applyCalls * (applyCalls - 1) / 2
	must.Eq(t, (applyCalls+1)*(1+applyCalls*n+pairs*n*n), cells)
}
