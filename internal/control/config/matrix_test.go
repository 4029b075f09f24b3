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

// applyCalls is how many calls of the table the matrix looks at: the head, the
// base, the commit, and the calls that settle it.
const applyCalls = 6

// strike is a fault at one call of an operator, by number from 1.
type strike struct {
	call  int
	fault table.Fault
}

// applyCell is one operator's change of revision 1, with faults and a rival.
type applyCell struct {
	strikes []strike
	// rivalAt is the call before which a rival changes revision 1; 0 is none.
	rivalAt int
}

// run requires that the outcome that the operator is told is true.
func (c applyCell) run(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	m := &table.Memory{}
	plain := config.Store{Table: m}
	base, err := plain.Apply(ctx, 0, valid(), "first", "start")
	must.NoError(t, err)
	calls := 0
	rival := false
	m.Fault = func(bool, []table.Key) table.Fault {
		if rival {
			return 0
		}
		calls++
		if calls == c.rivalAt {
			rival = true
			other := valid()
			other.Workspaces = append(other.Workspaces, config.Workspace{Name: "rival"})
			_, _ = plain.Apply(ctx, 1, other, "rival", "race")
			rival = false
		}
		for _, s := range c.strikes {
			if s.call == calls {
				return s.fault
			}
		}
		return 0
	}
	mine := base
	mine.Drains = nil
	_, err = config.Store{Table: table.Settle{Table: m}}.Apply(ctx, 1, mine, "op", "change")
	m.Fault = nil
	c.verdict(t, plain, err, calls)
}

func (c applyCell) verdict(t *testing.T, s config.Store, err error, calls int) {
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
		// Either may be true, and the operator is told so.
	default:
		must.False(t, written, must.Sprintf("%v", err))
	}
	if c.rivalAt > 0 && c.rivalAt <= calls {
		must.Len(t, 2, es)
		must.True(t, err == nil || !written || errors.Is(err, table.ErrUnknown))
	}
}

// TestMatrixApply lets every fault strike every call of an operator's change,
// singly and with every fault at every later call, while a rival changes the
// same revision at every moment or never.
func TestMatrixApply(t *testing.T) {
	faults := []table.Fault{
		table.FaultUnavailable, table.FaultAnswerLost, table.FaultRequestLost, table.FaultSilent,
	}
	sets := [][]strike{nil}
	for i := 1; i <= applyCalls; i++ {
		for _, f := range faults {
			sets = append(sets, []strike{{i, f}})
			for j := i + 1; j <= applyCalls; j++ {
				for _, g := range faults {
					sets = append(sets, []strike{{i, f}, {j, g}})
				}
			}
		}
	}
	cells := 0
	synctest.Test(t, func(t *testing.T) {
		for rivalAt := range applyCalls + 1 {
			for _, s := range sets {
				cells++
				applyCell{strikes: s, rivalAt: rivalAt}.run(t)
			}
		}
	})
	t.Logf("cells: %d", cells)
	n := len(faults)
	pairs := applyCalls * (applyCalls - 1) / 2
	must.Eq(t, (applyCalls+1)*(1+applyCalls*n+pairs*n*n), cells)
}
