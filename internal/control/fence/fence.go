// Package fence bars the former holder of a duty from acting: by a bound on
// each act, and by a row of the table that only the newest holder can build on.
package fence

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// ErrSuperseded says that a newer epoch has begun.
var ErrSuperseded = errors.New("fence: superseded")

// Row is the row that names the newest epoch of a duty. Set Key; the rest is
// ready as zero. It belongs to one goroutine.
//
// Unlike the lease's own row, which every renewal changes, it is written once
// an epoch. A transaction that carries Condition therefore succeeds only while
// no newer holder has raised the row.
type Row struct {
	Key table.Key
	// epoch and version are those of the row as this holder knows it.
	epoch   fleet.Epoch
	version uint64
}

type value struct {
	Epoch fleet.Epoch
}

// Under checks a charge and returns a context for one act: it ends with the
// charge, carries the charge as a guard for the last step before the write,
// and comes with the epoch to send along. Its error is lease.ErrNotHeld.
func Under(ctx context.Context, c lease.Charge, limit time.Duration) (context.Context, context.CancelFunc, fleet.Epoch, error) {
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

// Condition holds only while no newer epoch has been raised.
func (r *Row) Condition() table.Condition {
	return table.Condition{Key: r.Key, Version: r.version}
}

// Epoch returns the epoch that was raised last, 0 for none.
func (r *Row) Epoch() fleet.Epoch {
	return r.epoch
}

// Raise makes e the newest epoch. Its errors are ErrSuperseded and those of
// the table; after one of the table the call is repeated.
func (r *Row) Raise(ctx context.Context, t table.Table, e fleet.Epoch) error {
	rows, err := t.Read(ctx, r.Key)
	if err != nil {
		return err
	}
	var v value
	if rows[0].Version > 0 {
		if err := json.Unmarshal(rows[0].Value, &v); err != nil {
			return errors.Wrap(err, "fence: row")
		}
	}
	switch {
	case v.Epoch > e:
		return ErrSuperseded
	case v.Epoch < e:
		return r.write(ctx, t, rows[0].Version, e)
	}
	r.epoch, r.version = e, rows[0].Version
	return nil
}

func (r *Row) write(ctx context.Context, t table.Table, version uint64, e fleet.Epoch) error {
	b, err := json.Marshal(value{Epoch: e})
	if err != nil {
		return errors.Wrap(err, "fence: row")
	}
	err = t.Commit(ctx, table.Txn{
		ID:         fmt.Sprintf("%s/%d", r.Key, e),
		Conditions: []table.Condition{{Key: r.Key, Version: version}},
		Writes:     []table.Write{{Key: r.Key, Value: b}},
	})
	if err != nil {
		return err
	}
	rows, err := t.Read(ctx, r.Key)
	if err != nil {
		return err
	}
	if rows[0].WriteID != fmt.Sprintf("%s/%d", r.Key, e) {
		return ErrSuperseded
	}
	r.epoch, r.version = e, rows[0].Version
	return nil
}
