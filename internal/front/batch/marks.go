package batch

import (
	"context"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// mark writes checkpoints of items of a job, and returns those written.
func (l Ledger) mark(ctx context.Context, id string, marks []Mark) ([]Mark, error) {
	var t store.Txn
	size := 0
	var taken []Mark
	for _, m := range marks {
		b, err := msgpack.Marshal(&m)
		if err != nil {
			return nil, errors.Wrap(err, "batch: mark")
		}
		if size+len(b) > maxTxnBytes || len(t.Puts) >= maxEntries {
			break
		}
		size += len(b)
		t.Puts = append(t.Puts, store.Row{Key: store.Key{Table: markTable, Part: id, Name: m.name()}, Value: b})
		taken = append(taken, m)
	}
	if len(t.Puts) == 0 {
		return nil, nil
	}
	_, err := l.Store.Commit(ctx, t)
	return taken, err
}

// marks reads the checkpoints of a job, by item and in order.
func (l Ledger) marks(ctx context.Context, id string) (map[string][]Mark, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := store.ReadAll(ctx, l.Store, store.Range{Table: markTable, Part: id})
	if err != nil {
		return nil, err
	}
	out := make(map[string][]Mark)
	for _, r := range s.Rows {
		var m Mark
		if err := msgpack.Unmarshal(r.Value, &m); err != nil {
			return nil, errors.Wrap(err, "batch: mark")
		}
		out[m.Item] = append(out[m.Item], m)
	}
	return out, nil
}
