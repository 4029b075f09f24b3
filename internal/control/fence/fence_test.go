package fence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"

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

// acquire writes the row of an epoch as the acquisition of a lease does.
func acquire(t *testing.T, m *table.Memory, e fleet.Epoch) {
	b, err := msgpack.Marshal(lease.Row{Epoch: e})
	must.NoError(t, err)
	must.NoError(t, m.Commit(t.Context(), table.Txn{
		ID: fmt.Sprint(e), Writes: []table.Write{{Key: lease.EpochKey("r", lease.Orders), Value: b}},
	}))
}

func TestOldEpochCannotCommit(t *testing.T) {
	m := &table.Memory{}
	write := func(c table.Condition, id string) error {
		return m.Commit(t.Context(), table.Txn{
			ID: id, Conditions: []table.Condition{c}, Writes: []table.Write{{Key: "w"}},
		})
	}
	acquire(t, m, 1)
	old, err := fence.Condition(t.Context(), m, "r", lease.Orders, 1)
	must.NoError(t, err)
	must.NoError(t, write(old, "a"))
	acquire(t, m, 2)
	must.ErrorIs(t, write(old, "b"), table.ErrConflict)
	current, err := fence.Condition(t.Context(), m, "r", lease.Orders, 2)
	must.NoError(t, err)
	must.NoError(t, write(current, "c"))
	_, err = fence.Condition(t.Context(), m, "r", lease.Orders, 1)
	must.ErrorIs(t, err, fence.ErrSuperseded)
}

func TestGuardChecksCharge(t *testing.T) {
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
			ctx, cancel, epoch, err := fence.WithCharge(t.Context(), c, time.Minute)
			must.NoError(t, err)
			defer cancel()
			must.Eq(t, fleet.Epoch(1), epoch)
			k.change(c)
			must.Eq(t, k.stops, rest.CheckGuard(ctx) != nil)
		})
	}
	c := &charge{epoch: 1, until: time.Now().Add(-time.Second)}
	ctx, cancel, _, err := fence.WithCharge(t.Context(), c, time.Minute)
	must.NoError(t, err)
	defer cancel()
	must.ErrorIs(t, rest.CheckGuard(ctx), rest.ErrGuarded)
}
