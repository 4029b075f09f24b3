package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// OwnerTimeout is how long an owner's row must have been unchanged, by the clock
// of the daemon that reads it, before another daemon takes over.
const OwnerTimeout = 5 * time.Second

// Owner tracks, for one daemon, the row that records which daemon generates a
// trainer's groups. Ownership only avoids duplicate work and is not needed for
// correctness: two concurrent owners generate some samples twice, of which the
// ledger takes the first. The zero value is ready. It is not safe for concurrent
// use.
type Owner struct {
	// version is that of the row when it last changed.
	version uint64
	// changedAt is when that change was observed.
	changedAt time.Time
}

// ownerRow is the stored row of a trainer's owner.
type ownerRow struct {
	Holder fleet.Incarnation
	// Heartbeat changes with each renewal.
	Heartbeat uint64 `json:"Beat"`
}

// Observe records the row's version as read at now and reports whether it has
// been unchanged for so long that the daemon may take over. An absent row has
// version 0 and may be taken after delay, any other row after OwnerTimeout and
// delay.
func (o *Owner) Observe(now time.Time, version uint64, delay time.Duration) bool {
	if o.changedAt.IsZero() || version != o.version {
		o.version, o.changedAt = version, now
	}
	wait := delay
	if version > 0 {
		wait += OwnerTimeout
	}
	return clock.Passed(now, o.changedAt.Add(wait))
}

// Disown deletes the owner's row if this daemon holds it, so that another daemon
// can take the trainer over without waiting for OwnerTimeout.
func (l *Ledger) Disown(ctx context.Context, t Trainer) error {
	rows, err := l.table.Read(ctx, t.owner())
	if err != nil {
		return err
	}
	row, err := decode[ownerRow](rows[0])
	if err != nil || row.Holder != l.incarnation {
		return err
	}
	return l.commit(ctx,
		[]table.Condition{{Key: rows[0].Key, Version: rows[0].Version}},
		[]table.Write{{Key: rows[0].Key, Delete: true}})
}

// Own takes or renews the ownership of a trainer and reports whether this daemon
// is the owner. It takes the trainer over when Owner.Observe permits that.
func (l *Ledger) Own(ctx context.Context, t Trainer, o *Owner, delay time.Duration) (bool, error) {
	rows, err := l.table.Read(ctx, t.owner())
	if err != nil {
		return false, err
	}
	row, err := decode[ownerRow](rows[0])
	if err != nil {
		return false, err
	}
	mine := rows[0].Version > 0 && row.Holder == l.incarnation
	if !mine && !o.Observe(time.Now(), rows[0].Version, delay) {
		return false, nil
	}
	w, err := put(t.owner(), ownerRow{Holder: l.incarnation, Heartbeat: row.Heartbeat + 1})
	if err != nil {
		return false, err
	}
	err = l.commit(ctx, []table.Condition{{Key: w.Key, Version: rows[0].Version}}, []table.Write{w})
	if errors.Is(err, table.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}
