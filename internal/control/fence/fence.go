// Package fence prevents past holders of a duty from acting: by a deadline on
// each action, and by transaction conditions that hold only in the newest epoch.
package fence

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// ErrSuperseded reports that the holder's epoch is not the newest.
var ErrSuperseded = errors.New("fence: epoch superseded")

// WithCharge checks a charge and returns a context for one action and the epoch
// to send with it. The context ends at the charge's deadline or after limit, and
// carries a guard that checks the charge again as the last step before the
// write. Its error is lease.ErrNotHeld.
func WithCharge(ctx context.Context, c lease.Charge, limit time.Duration) (context.Context, context.CancelFunc, fleet.Epoch, error) {
	now := time.Now()
	epoch, until, err := c.Check(now)
	if err != nil {
		return nil, nil, 0, err
	}
	if end := now.Add(limit); end.Before(until) {
		until = end
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	ctx = rest.WithGuard(ctx, func() error {
		now := time.Now()
		if clock.Passed(now, until) {
			return context.DeadlineExceeded
		}
		e, _, err := c.Check(now)
		if err == nil && e != epoch {
			return ErrSuperseded
		}
		return err
	})
	return ctx, cancel, epoch, nil
}

// Condition returns the condition that epoch e of a lease is the newest. A
// transaction with this condition fails once another daemon has acquired the
// lease. Its errors are ErrSuperseded and those of the table.
func Condition(ctx context.Context, t table.Table, r fleet.Region, d fleet.Duty, e fleet.Epoch) (table.Condition, error) {
	rows, err := t.Read(ctx, lease.EpochKey(r, d))
	if err != nil {
		return table.Condition{}, err
	}
	var row lease.Row
	if rows[0].Version > 0 {
		if err := msgpack.Unmarshal(rows[0].Value, &row); err != nil {
			return table.Condition{}, errors.Wrap(err, "fence: decode row")
		}
	}
	if row.Epoch != e {
		return table.Condition{}, ErrSuperseded
	}
	return table.Condition{Key: rows[0].Key, Version: rows[0].Version}, nil
}
