package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/object"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// concurrentGets bounds the objects that one fetch reads concurrently.
	concurrentGets = 16
	// groupsPerTxn bounds the groups that one transaction submits.
	groupsPerTxn = 64
	// keptBatches is how many acknowledged batches are kept with the rows of
	// their groups, so that a late resubmission of a group is recognized.
	keptBatches = 8
	// scanLimit is how many rows are read at a time.
	scanLimit = 1000
	// maxAttempts bounds the attempts of a transaction that fails with a conflict.
	maxAttempts = 8
)

// Ledger keeps groups and batches in the table and their samples in the object
// store. Use NewLedger. Its methods are safe for concurrent use, also by several
// daemons over one table.
type Ledger struct {
	objects object.Store
	table   table.Table
	// incarnation is unique to this process and is part of transaction IDs and
	// object keys.
	incarnation fleet.Incarnation
	// txns counts transactions, to make their IDs unique.
	txns atomic.Uint64
}

// NewLedger returns a Ledger for one incarnation of a daemon.
func NewLedger(t table.Table, o object.Store, i fleet.Incarnation) *Ledger {
	return &Ledger{objects: o, table: t, incarnation: i}
}

// Acknowledge records that the trainer has received all batches up to and
// including cursor. It removes rows and objects that are no longer needed. It
// returns ErrCursor if the batch at cursor has not been formed.
func (l *Ledger) Acknowledge(ctx context.Context, t Trainer, cursor uint64) error {
	for range maxAttempts {
		h, version, err := l.Head(ctx, t)
		if err != nil {
			return err
		}
		if cursor > h.Cursor {
			return ErrCursor
		}
		if cursor <= h.Acknowledged {
			return nil
		}
		from := h.Acknowledged
		h.Acknowledged = cursor
		if err = l.putHead(ctx, h, version); err == nil {
			return l.clean(ctx, t, from, cursor)
		}
		if !errors.Is(err, table.ErrConflict) {
			return err
		}
	}
	return table.ErrConflict
}

// Advance records the weight version that the trainer reports, and its pool if p
// is not empty, and returns the trainer's head. A version lower than the recorded
// one does not replace it.
func (l *Ledger) Advance(ctx context.Context, t Trainer, p fleet.Pool, v fleet.WeightVersion) (Head, error) {
	for range maxAttempts {
		h, version, err := l.Head(ctx, t)
		if err != nil {
			return Head{}, err
		}
		if version > 0 && v <= h.Version && (p == "" || p == h.Pool) {
			return h, nil
		}
		h.Version = max(h.Version, v)
		if p != "" {
			h.Pool = p
		}
		if err = l.putHead(ctx, h, version); err == nil {
			return h, nil
		}
		if !errors.Is(err, table.ErrConflict) {
			return Head{}, err
		}
	}
	return Head{}, table.ErrConflict
}

// Fetch returns the batch at a cursor without the samples that are more than lag
// versions behind the trainer. It returns ErrNotFormed, ErrCursor,
// ErrAcknowledged, or an error of the table or the object store.
func (l *Ledger) Fetch(ctx context.Context, t Trainer, cursor, lag uint64) (Batch, error) {
	rows, err := l.table.Read(ctx, t.head(), t.batch(cursor))
	if err != nil {
		return Batch{}, err
	}
	h, err := decode[Head](rows[0])
	if err != nil {
		return Batch{}, err
	}
	row, err := decode[batchRow](rows[1])
	if err != nil {
		return Batch{}, err
	}
	switch {
	case rows[1].Version > 0:
		return l.load(ctx, row, StalenessBound{Version: h.Version, Lag: lag})
	case cursor == h.Cursor+1:
		return Batch{}, ErrNotFormed
	case cursor <= h.Acknowledged:
		return Batch{}, errors.Wrapf(ErrAcknowledged, "next cursor is %d", h.Cursor+1)
	}
	return Batch{}, errors.Wrapf(ErrCursor, "next cursor is %d", h.Cursor+1)
}

// Head returns a trainer's head and the version of its row, 0 if there is none.
func (l *Ledger) Head(ctx context.Context, t Trainer) (Head, uint64, error) {
	rows, err := l.table.Read(ctx, t.head())
	if err != nil {
		return Head{}, 0, err
	}
	h, err := decode[Head](rows[0])
	h.Trainer = t
	return h, rows[0].Version, err
}

// Heads returns the heads of all trainers.
func (l *Ledger) Heads(ctx context.Context) ([]Head, error) {
	rows, err := l.scan(ctx, headPrefix)
	if err != nil {
		return nil, err
	}
	return decodeAll[Head](rows)
}

// clean removes acknowledged batches and their objects, except for the newest
// keptBatches. An interrupted clean is not retried: the rows and objects that
// remain are harmless.
func (l *Ledger) clean(ctx context.Context, t Trainer, from, to uint64) error {
	for c := from + 1; c <= to; c++ {
		if c <= keptBatches {
			continue
		}
		if err := l.cleanBatch(ctx, t, c-keptBatches); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) cleanBatch(ctx context.Context, t Trainer, cursor uint64) error {
	rows, err := l.table.Read(ctx, t.batch(cursor))
	if err != nil || rows[0].Version == 0 {
		return err
	}
	row, err := decode[batchRow](rows[0])
	if err != nil {
		return err
	}
	writes := []table.Write{{Key: rows[0].Key, Delete: true}}
	for _, r := range row.Groups {
		if err := l.objects.Delete(ctx, object.Key(r.Object)); err != nil {
			return err
		}
		writes = append(writes, table.Write{Key: t.group(r.Group), Delete: true})
	}
	return l.commit(ctx, []table.Condition{{Key: rows[0].Key, Version: rows[0].Version}}, writes)
}

// commit writes a transaction and resolves an unknown outcome by reading one of
// its rows back. It returns table.ErrUnknown if the outcome is still unknown.
func (l *Ledger) commit(ctx context.Context, conditions []table.Condition, writes []table.Write) error {
	id := fmt.Sprintf("Rollout/%s/%d", l.incarnation, l.txns.Add(1))
	err := l.table.Commit(ctx, table.Txn{ID: id, Conditions: conditions, Writes: writes})
	if !errors.Is(err, table.ErrUnknown) {
		return err
	}
	for _, w := range writes {
		if w.Delete {
			continue
		}
		rows, e := l.table.Read(ctx, w.Key)
		if e == nil && rows[0].WriteID == id {
			return nil
		}
		break
	}
	return err
}

func (l *Ledger) load(ctx context.Context, row batchRow, b StalenessBound) (Batch, error) {
	groups := make([][]Sample, len(row.Groups))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(concurrentGets)
	for i, r := range row.Groups {
		g.Go(func() error {
			body, err := l.objects.Get(ctx, object.Key(r.Object))
			if err != nil {
				return err
			}
			return errors.Wrap(json.Unmarshal(body, &groups[i]), "batch: decode samples")
		})
	}
	if err := g.Wait(); err != nil {
		return Batch{}, err
	}
	out := Batch{Cursor: row.Cursor}
	for _, samples := range groups {
		fresh, discarded := b.Split(samples)
		out.Samples = append(out.Samples, fresh...)
		out.Discarded += discarded
	}
	return out, nil
}

func (l *Ledger) putHead(ctx context.Context, h Head, version uint64) error {
	w, err := put(h.Trainer.head(), h)
	if err != nil {
		return err
	}
	return l.commit(ctx, []table.Condition{{Key: w.Key, Version: version}}, []table.Write{w})
}

func (l *Ledger) scan(ctx context.Context, prefix table.Key) ([]table.Row, error) {
	var out []table.Row
	after := table.Key("")
	for {
		rows, err := l.table.Scan(ctx, prefix, after, scanLimit)
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
		if len(rows) < scanLimit {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func decodeAll[T any](rows []table.Row) ([]T, error) {
	values := make([]T, 0, len(rows))
	for _, r := range rows {
		v, err := decode[T](r)
		if err != nil {
			return nil, err
		}
		values = append(values, v)
	}
	return values, nil
}
