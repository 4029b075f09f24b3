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
	// prefix begins the keys of quarantined fingerprints.
	prefix table.Key = "Quarantine/"
	// scanLimit bounds the rows read at once.
	scanLimit = 1000
)

func keyOf(f quarantine.Fingerprint) table.Key {
	return prefix + table.Key(fmt.Sprintf("%016x", uint64(f)))
}

// follow reads the quarantined fingerprints of the table now and then, so that
// a daemon that boots later knows them, and deletes the rows that have ended.
func (r *Runtime) follow(ctx context.Context) {
	if r.options.Table == nil {
		return
	}
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	r.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-r.rows:
			r.write(ctx, f)
		case <-t.C:
			r.read(ctx)
		}
	}
}

// keep has a quarantined fingerprint written soon. Peers have been told already,
// so a failure only shortens the quarantine's life.
func (r *Runtime) keep(f quarantine.Fingerprint) {
	if r.options.Table == nil {
		return
	}
	select {
	case r.rows <- f:
	default:
	}
}

func (r *Runtime) read(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := r.options.Table.Scan(c, prefix, "", scanLimit)
	if err != nil {
		return
	}
	var over []table.Row
	r.do(ctx, func(now time.Time) {
		for _, x := range rows {
			var v row
			if err := msgpack.Unmarshal(x.Value, &v); err != nil {
				continue
			}
			if !now.Before(v.Until) {
				over = append(over, x)
				continue
			}
			// Clocks of VMs differ: the window bounds what a wrong one does.
			until := min(time.Until(v.Until), quarantine.Window)
			r.quarantine.MarkQuarantined(now, v.Fingerprint, now.Add(until))
		}
	})
	r.remove(c, over)
}

func (r *Runtime) remove(ctx context.Context, rows []table.Row) {
	if len(rows) == 0 {
		return
	}
	t := table.Txn{ID: uuid.NewString()}
	for _, x := range rows {
		t.Conditions = append(t.Conditions, table.Condition{Key: x.Key, Version: x.Version})
		t.Writes = append(t.Writes, table.Write{Key: x.Key, Delete: true})
	}
	// Another daemon may have deleted some; the next reading tries again.
	_ = r.options.Table.Commit(ctx, t)
}

func (r *Runtime) write(ctx context.Context, f quarantine.Fingerprint) {
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
