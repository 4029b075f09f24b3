package fence_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/fence"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

type charge struct {
	epoch fleet.Epoch
	until time.Time
	err   error
}

var _ lease.Charge = (*charge)(nil)

func (c *charge) Check(time.Time) (fleet.Epoch, time.Time, error) {
	return c.epoch, c.until, c.err
}

func TestOldEpochCannotCommit(t *testing.T) {
	m := &table.Memory{}
	old, young := fence.Row{Key: "e"}, fence.Row{Key: "e"}
	must.NoError(t, old.Raise(t.Context(), m, 1))
	write := func(r fence.Row, id string) error {
		return m.Commit(t.Context(), table.Txn{
			ID: id, Conditions: []table.Condition{r.Condition()}, Writes: []table.Write{{Key: "w"}},
		})
	}
	must.NoError(t, write(old, "1"))
	must.NoError(t, young.Raise(t.Context(), m, 2))
	must.ErrorIs(t, write(old, "2"), table.ErrConflict)
	must.NoError(t, write(young, "3"))
	must.ErrorIs(t, old.Raise(t.Context(), m, 1), fence.ErrSuperseded)
}

func TestGuardFollowsTheCharge(t *testing.T) {
	for _, k := range []struct {
		name   string
		change func(c *charge)
		stops  bool
	}{
		{name: "held", change: func(*charge) {}},
		{name: "lost", change: func(c *charge) { c.epoch++ }, stops: true},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := &charge{epoch: 1, until: time.Now().Add(time.Hour)}
			ctx, cancel, epoch, err := fence.Under(t.Context(), c, time.Minute)
			must.NoError(t, err)
			defer cancel()
			must.Eq(t, fleet.Epoch(1), epoch)
			k.change(c)
			must.Eq(t, k.stops, rest.CheckGuard(ctx) != nil)
		})
	}
	c := &charge{epoch: 1, until: time.Now().Add(-time.Second)}
	ctx, cancel, _, err := fence.Under(t.Context(), c, time.Minute)
	must.NoError(t, err)
	defer cancel()
	must.ErrorIs(t, rest.CheckGuard(ctx), rest.ErrGuarded)
}
