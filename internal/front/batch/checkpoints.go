package batch

import (
	"context"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// writeCheckpoints writes checkpoints of items of a job, as many as fit one
// transaction, and returns those written.
func (l Ledger) writeCheckpoints(ctx context.Context, id string, checkpoints []Checkpoint) ([]Checkpoint, error) {
	var t store.Txn
	size := 0
	var written []Checkpoint
	for _, c := range checkpoints {
		b, err := msgpack.Marshal(&c)
		if err != nil {
			return nil, errors.Wrap(err, "batch: checkpoint")
		}
		if size+len(b) > maxTxnBytes || len(t.Puts) >= maxTxnEntries {
			break
		}
		size += len(b)
		t.Puts = append(t.Puts, store.Row{Key: store.Key{Table: checkpointTable, Part: id, Name: c.name()}, Value: b})
		written = append(written, c)
	}
	if len(t.Puts) == 0 {
		return nil, nil
	}
	_, err := l.Store.Commit(ctx, t)
	return written, err
}

// checkpoints reads the checkpoints of a job, grouped by item and in order.
func (l Ledger) checkpoints(ctx context.Context, id string) (map[string][]Checkpoint, error) {
	s, err := l.readAll(ctx, store.Range{Table: checkpointTable, Part: id})
	if err != nil {
		return nil, err
	}
	out := make(map[string][]Checkpoint)
	for _, r := range s.Rows {
		var c Checkpoint
		if err := msgpack.Unmarshal(r.Value, &c); err != nil {
			return nil, errors.Wrap(err, "batch: checkpoint")
		}
		out[c.Item] = append(out[c.Item], c)
	}
	return out, nil
}
