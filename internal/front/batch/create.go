package batch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// createTimeout limits one transaction of a new job.
	createTimeout = 900 * time.Millisecond
	// parallelCreates limits the concurrent transactions of a new job.
	parallelCreates = 4
	// maxArrayHeader is the maximum length of the header of an array in msgpack, in bytes.
	maxArrayHeader = 5
)

// create writes a new job. If one transaction cannot hold it, the bodies are
// written first, under the name bodySet, which only this submission uses; the job
// exists once its head is written. So a submission that is interrupted or that
// another one precedes leaves no partial job, only bodies without a head, which the
// Sweeper removes. It returns the head as written. Its errors are ErrTooLarge and
// those of a store; store.ErrConflict means that the job exists already.
func (l Ledger) create(ctx context.Context, h Head, shards [][]Item, bodySet string) (Head, error) {
	h.Shards = slices.Clone(h.Shards)
	rows, err := bodyRows(&h, shards, "")
	if err != nil {
		return Head{}, err
	}
	head, err := headRow(h)
	if err != nil {
		return Head{}, err
	}
	txns := splitRows(append(rows, head))
	if len(txns) > 1 {
		h.BodySet = bodySet
		if rows, err = bodyRows(&h, shards, bodySet); err != nil {
			return Head{}, err
		}
		if err := l.writeBodies(ctx, splitRows(rows)); err != nil {
			return Head{}, err
		}
		if head, err = headRow(h); err != nil {
			return Head{}, err
		}
		txns = []store.Txn{{Puts: []store.Row{head}}}
	}
	txns[0].Conditions = []store.Row{{Key: head.Key}}
	return h, l.commitNew(ctx, txns[0])
}

// writeBodies writes bodies of a job that has no head yet. The job does not exist
// after an error: an unknown outcome is therefore reported as store.ErrUnavailable.
func (l Ledger) writeBodies(ctx context.Context, txns []store.Txn) error {
	g, c := errgroup.WithContext(ctx)
	g.SetLimit(parallelCreates)
	for _, t := range txns {
		g.Go(func() error { return l.commitNew(c, t) })
	}
	err := g.Wait()
	if errors.Is(err, store.ErrUnknown) {
		return errors.Wrap(store.ErrUnavailable, err.Error())
	}
	return err
}

func (l Ledger) commitNew(ctx context.Context, t store.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, createTimeout)
	defer cancel()
	_, err := l.Store.Commit(ctx, t)
	return err
}

// headRow encodes a job's head. Its error is ErrTooLarge if the head does not fit a
// row.
func headRow(h Head) (store.Row, error) {
	b, err := msgpack.Marshal(&h)
	if err != nil {
		return store.Row{}, errors.Wrap(err, "batch: head")
	}
	if len(b) > maxRowBytes {
		return store.Row{}, errors.Wrapf(ErrTooLarge, "%d items", len(h.Items))
	}
	return store.Row{Key: store.Key{Table: jobTable, Part: h.ID, Name: headName}, Value: b}, nil
}

// bodyRows encodes the items of a job's shards, and sets Chunks of the shards. Its
// error is ErrTooLarge if an item does not fit a row.
func bodyRows(h *Head, shards [][]Item, bodySet string) ([]store.Row, error) {
	var rows []store.Row
	for i, items := range shards {
		chunks, err := chunk(items)
		if err != nil {
			return nil, err
		}
		h.Shards[i].Chunks = len(chunks)
		for n, b := range chunks {
			if len(b) > maxRowBytes {
				return nil, errors.Wrapf(ErrTooLarge, "item of %d bytes", len(b))
			}
			k := store.Key{Table: bodyTable, Part: h.ID, Name: chunkName(bodySet, i, n)}
			rows = append(rows, store.Row{Key: k, Value: b})
		}
	}
	return rows, nil
}

// splitRows divides rows into transactions that the store accepts.
func splitRows(rows []store.Row) []store.Txn {
	var out []store.Txn
	size := 0
	for _, r := range rows {
		last := len(out) - 1
		if last < 0 || len(out[last].Puts) >= maxTxnEntries || size+len(r.Value) > maxTxnBytes {
			out = append(out, store.Txn{})
			last, size = last+1, 0
		}
		out[last].Puts = append(out[last].Puts, r)
		size += len(r.Value)
	}
	return out
}

// chunk encodes items in rows of at most chunkBytes, or of one item.
func chunk(items []Item) ([][]byte, error) {
	var out [][]byte
	var rows [][]msgpack.RawMessage
	size := 0
	for _, i := range items {
		b, err := msgpack.Marshal(&i)
		if err != nil {
			return nil, errors.Wrap(err, "batch: bodies")
		}
		if len(rows) == 0 || size+len(b) > chunkBytes {
			rows, size = append(rows, nil), maxArrayHeader
		}
		last := len(rows) - 1
		rows[last] = append(rows[last], b)
		size += len(b)
	}
	for _, r := range rows {
		b, err := msgpack.Marshal(r)
		if err != nil {
			return nil, errors.Wrap(err, "batch: bodies")
		}
		out = append(out, b)
	}
	return out, nil
}

// chunkName returns the name of a row of bodies. Names of a shard's rows follow each
// other.
func chunkName(bodySet string, shard, n int) string {
	if bodySet != "" {
		bodySet += "/"
	}
	return fmt.Sprintf("%s%04d-%04d", bodySet, shard, n)
}
