package suspect

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// prefix is the prefix of the keys of quarantined fingerprints.
	prefix table.Key = "Quarantine/"
	// scanLimit bounds the rows of one scan.
	scanLimit = 1000
)

func keyOf(f quarantine.Fingerprint) table.Key {
	return prefix + table.Key(fmt.Sprintf("%016x", uint64(f)))
}

// syncTable writes queued fingerprints to the table. It also reads the
// quarantined fingerprints at start and at each tableReadInterval, so that a
// daemon that boots later has them, and deletes expired rows.
func (r *Runtime) syncTable(ctx context.Context) {
	if r.options.Table == nil {
		return
	}
	t := time.NewTicker(tableReadInterval)
	defer t.Stop()
	r.readTable(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-r.writes:
			r.writeRow(ctx, f)
		case <-t.C:
			r.readTable(ctx)
		}
	}
}

// queueWrite queues a quarantined fingerprint for writing to the table, and
// drops it when the queue is full. Peers receive the crash by a message, so
// losing the row can only shorten the quarantine: it then ends once all daemons
// that have recorded it have stopped.
func (r *Runtime) queueWrite(f quarantine.Fingerprint) {
	if r.options.Table == nil {
		return
	}
	select {
	case r.writes <- f:
	default:
	}
}

func (r *Runtime) readTable(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := r.options.Table.Scan(c, prefix, "", scanLimit)
	if err != nil {
		return
	}
	var expired []table.Row
	r.do(ctx, func(now time.Time) {
		for _, x := range rows {
			var v row
			if err := msgpack.Unmarshal(x.Value, &v); err != nil {
				continue
			}
			if !now.Before(v.Until) {
				expired = append(expired, x)
				continue
			}
			// Clocks of VMs differ; the window bounds the effect of a wrong
			// clock.
			until := min(time.Until(v.Until), quarantine.Window)
			r.quarantine.MarkQuarantined(now, v.Fingerprint, now.Add(until))
		}
	})
	r.deleteRows(c, expired)
}

func (r *Runtime) deleteRows(ctx context.Context, rows []table.Row) {
	if len(rows) == 0 {
		return
	}
	t := table.Txn{ID: uuid.NewString()}
	for _, x := range rows {
		t.Conditions = append(t.Conditions, table.Condition{Key: x.Key, Version: x.Version})
		t.Writes = append(t.Writes, table.Write{Key: x.Key, Delete: true})
	}
	// Another daemon may have deleted some rows; the next read retries.
	_ = r.options.Table.Commit(ctx, t)
}

func (r *Runtime) writeRow(ctx context.Context, f quarantine.Fingerprint) {
	e := r.Check(time.Now(), f)
	b, err := msgpack.Marshal(row{Fingerprint: f, Until: e.Until.Round(0)})
	if err != nil || e.Status != quarantine.Quarantined {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	w := table.Write{Key: keyOf(f), Value: b}
	_ = r.options.Table.Commit(ctx, table.Txn{ID: uuid.NewString(), Writes: []table.Write{w}})
}
