package duty

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/tenure"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// holder is a Holder that a test sets.
type holder struct{ fence int64 }

func (h holder) Check() (int64, error) {
	if h.fence == 0 {
		return 0, tenure.ErrNotHeld
	}
	return h.fence, nil
}

// reports keeps the reports that arrived; fail, if set, is returned after one
// was taken.
type reports struct {
	counts map[int64][]Counts
	fail   error
}

func (r *reports) Usage(_ context.Context, _ string, _, window int64, c Counts) error {
	r.counts[window] = append(r.counts[window], c)
	return r.fail
}

func newUsage(s store.Store, r Reporter, fence int64) *Usage {
	f := fleet.New(s, fleet.Codec{}, zap.NewNop())
	return NewUsage(f, s, r, holder{fence}, "d", time.Second, 5*time.Second, zap.NewNop())
}

// TestAWindowHasOneSetOfFigures reports a window whose answer is lost, lets a
// late count arrive, and has another holder report it again.
func TestAWindowHasOneSetOfFigures(t *testing.T) {
	s := &store.Memory{}
	f := fleet.New(s, fleet.Codec{}, zap.NewNop())
	a, b := NewMeter(f, s, "a", time.Second, zap.NewNop()), NewMeter(f, s, "b", time.Second, zap.NewNop())
	ago := 4 * time.Second
	a.Count("w", ago)
	a.Flush(t.Context())
	window := windowAt(time.Now().Add(-ago), time.Second)
	r := &reports{counts: make(map[int64][]Counts), fail: errors.New("answer lost")}
	one := newUsage(s, r, 1)
	one.next = window
	must.Error(t, one.step(t.Context()))
	b.Count("w", ago)
	b.Flush(t.Context())
	r.fail = nil
	two := newUsage(s, r, 2)
	must.NoError(t, two.step(t.Context()))
	must.SliceNotEmpty(t, r.counts[window])
	for _, c := range r.counts[window] {
		must.Eq(t, Counts{"w": 1}, c)
	}
	must.GreaterEq(t, 2, len(r.counts[window]))
}

func TestNobodyReportsWithoutTheDuty(t *testing.T) {
	r := &reports{counts: make(map[int64][]Counts)}
	u := newUsage(&store.Memory{}, r, 0)
	must.ErrorIs(t, u.step(t.Context()), tenure.ErrNotHeld)
	must.MapEmpty(t, r.counts)
}

// TestOneKeeperHolds lets two daemons look at the duty; the second one gets it
// once the first has given it back.
func TestOneKeeperHolds(t *testing.T) {
	s := &store.Memory{}
	keeper := func(id string) *Keeper {
		return NewKeeper(fleet.New(s, fleet.Codec{}, zap.NewNop()), s, id, "vm-"+id, 3*time.Second, zap.NewNop())
	}
	a, b := keeper("a"), keeper("b")
	a.fleet.Clock.Observe(time.Now(), fleet.Uptime())
	must.NoError(t, a.look(t.Context()))
	first, err := a.Check()
	must.NoError(t, err)
	must.NoError(t, b.look(t.Context()))
	_, err = b.Check()
	must.ErrorIs(t, err, tenure.ErrNotHeld)
	a.Release(t.Context())
	_, err = a.Check()
	must.ErrorIs(t, err, tenure.ErrNotHeld)
	// The second is not the first in line, and waits a little more.
	now := time.Now().Add(5 * time.Second)
	action := b.tenure.Next(a.row, now, fleet.Uptime(), true)
	must.Eq(t, tenure.Acquire, action.Kind)
	must.Greater(t, first, action.Row.Fence)
}
