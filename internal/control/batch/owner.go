package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// StaleAfter is how long an owner's row must have stood still, on the clock of
// the daemon that looks at it, before another daemon takes over.
const StaleAfter = 5 * time.Second

// Owner is one daemon's claim to generate a trainer's groups. It saves work
// and decides nothing: two owners at once make some samples twice, of which
// the ledger takes the first. Its zero value knows nothing. It belongs to one
// goroutine.
type Owner struct {
	// version is that of the row when it was last seen to change.
	version uint64
	// since is when that was.
	since time.Time
}

// ownerRow is the row of the owner.
type ownerRow struct {
	Holder fleet.Incarnation
	// Beat changes with each renewal.
	Beat uint64
}

// See takes the row's version as read at now and reports whether it has stood
// still for so long that the daemon may take it. An absent row has version 0
// and may be taken after patience.
func (o *Owner) See(now time.Time, version uint64, patience time.Duration) bool {
	if o.since.IsZero() || version != o.version {
		o.version, o.since = version, now
	}
	wait := patience
	if version > 0 {
		wait += StaleAfter
	}
	return clock.Passed(now, o.since.Add(wait))
}

// Disown gives a trainer up in order.
func (l *Ledger) Disown(ctx context.Context, t Trainer) error {
	rows, err := l.table.Read(ctx, t.owner())
	if err != nil {
		return err
	}
	row, err := decode[ownerRow](rows[0])
	if err != nil || row.Holder != l.run {
		return err
	}
	return l.commit(ctx,
		[]table.Condition{{Key: rows[0].Key, Version: rows[0].Version}},
		[]table.Write{{Key: rows[0].Key, Delete: true}})
}

// Own takes or renews the claim to a trainer and reports whether this daemon
// holds it.
func (l *Ledger) Own(ctx context.Context, t Trainer, o *Owner, patience time.Duration) (bool, error) {
	rows, err := l.table.Read(ctx, t.owner())
	if err != nil {
		return false, err
	}
	row, err := decode[ownerRow](rows[0])
	if err != nil {
		return false, err
	}
	mine := rows[0].Version > 0 && row.Holder == l.run
	if !mine && !o.See(time.Now(), rows[0].Version, patience) {
		return false, nil
	}
	w, err := put(t.owner(), ownerRow{Holder: l.run, Beat: row.Beat + 1})
	if err != nil {
		return false, err
	}
	err = l.commit(ctx, []table.Condition{{Key: w.Key, Version: rows[0].Version}}, []table.Write{w})
	if errors.Is(err, table.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}
