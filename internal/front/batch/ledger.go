package batch

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// Tables of the ledger. The part of each row key is the job's ID.
const (
	// jobTable contains the head of each job, and a row that marks its end. All
	// daemons follow it.
	jobTable = "jobs"
	// bodyTable contains the bodies of items, in chunks by shard.
	bodyTable = "bodies"
	// doneTable contains one row for each item that has a result.
	doneTable = "done"
	// indexTable contains the number of results of each page.
	indexTable = "index"
	// pageTable contains results.
	pageTable = "pages"
	// checkpointTable contains checkpoints, one per row.
	checkpointTable = "marks"

	headName = "head"
	endName  = "end"
)

const (
	// chunkBytes limits a row of bodies or results; the store accepts 64 KiB.
	chunkBytes = 48 << 10
	// maxIndexRows limits the rows of an index that one call reads.
	maxIndexRows = 500
	// maxTxnEntries limits the entries of one transaction.
	maxTxnEntries = 90
	// maxTxnBytes limits the values of one transaction.
	maxTxnBytes = 500 << 10
	// maxAnswerBytes limits the total length of the texts in one answer.
	maxAnswerBytes = 600 << 10
	// parallelReads limits the pages read concurrently for one answer.
	parallelReads = 6
	// readTimeout limits one read of the store.
	readTimeout = 900 * time.Millisecond
)

// Ledger stores jobs and their results. Its methods may be called from any
// goroutine.
type Ledger struct {
	Store store.Store
	// Limit is the maximum number of index rows that one call reads; 0 means
	// maxIndexRows.
	Limit int
}

// readLimit returns the maximum number of index rows to read per call.
func (l Ledger) readLimit() int {
	if l.Limit > 0 {
		return l.Limit
	}
	return maxIndexRows
}

// create writes a new job. Its errors are those of a store; store.ErrConflict
// means that the job exists already.
func (l Ledger) create(ctx context.Context, h Head, shards [][]Item) error {
	var t store.Txn
	for i, items := range shards {
		chunks, err := chunk(items)
		if err != nil {
			return err
		}
		h.Shards[i].Chunks = len(chunks)
		for n, b := range chunks {
			t.Puts = append(t.Puts, store.Row{Key: store.Key{Table: bodyTable, Part: h.ID, Name: chunkName(i, n)}, Value: b})
		}
	}
	b, err := msgpack.Marshal(&h)
	if err != nil {
		return errors.Wrap(err, "batch: head")
	}
	head := store.Key{Table: jobTable, Part: h.ID, Name: headName}
	t.Conditions = []store.Row{{Key: head}}
	t.Puts = append(t.Puts, store.Row{Key: head, Value: b})
	_, err = l.Store.Commit(ctx, t)
	return err
}

// bodies reads the items of a shard.
func (l Ledger) bodies(ctx context.Context, id string, shard int) ([]Item, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := store.ReadAll(ctx, l.Store, store.Range{
		Table: bodyTable, Part: id, From: chunkName(shard, 0), To: chunkName(shard+1, 0),
	})
	if err != nil {
		return nil, err
	}
	var items []Item
	for _, r := range s.Rows {
		var part []Item
		if err := msgpack.Unmarshal(r.Value, &part); err != nil {
			return nil, errors.Wrap(err, "batch: bodies")
		}
		items = append(items, part...)
	}
	return items, nil
}

// doneItems returns the set of items that have a result.
func (l Ledger) doneItems(ctx context.Context, id string) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := store.ReadAll(ctx, l.Store, store.Range{Table: doneTable, Part: id})
	if err != nil {
		return nil, err
	}
	out := make(map[string]bool, len(s.Rows))
	for _, r := range s.Rows {
		out[r.Key.Name] = true
	}
	return out, nil
}

// end writes the row that marks the end of a job.
func (l Ledger) end(ctx context.Context, id string) error {
	_, err := l.Store.Commit(ctx, store.Txn{
		Puts: []store.Row{{Key: store.Key{Table: jobTable, Part: id, Name: endName}, Value: []byte{1}}},
	})
	return err
}

// head reads a job's head. Its error is ErrNotFound if the store has no such
// job.
func (l Ledger) head(ctx context.Context, id string) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := l.Store.Read(ctx, store.Range{Table: jobTable, Part: id, From: headName, To: headName + "\x00"})
	if err != nil {
		return Head{}, err
	}
	if len(s.Rows) == 0 {
		return Head{}, ErrNotFound
	}
	return decodeHead(s.Rows[0].Value)
}

func decodeHead(b []byte) (Head, error) {
	var h Head
	err := msgpack.Unmarshal(b, &h)
	return h, errors.Wrap(err, "batch: head")
}

// chunk encodes items in rows no larger than the store accepts.
func chunk(items []Item) ([][]byte, error) {
	var out [][]byte
	for start := 0; start < len(items); {
		end, size := start, 0
		for end < len(items) && (end == start || size+items[end].encodedSize() < chunkBytes) {
			size += items[end].encodedSize()
			end++
		}
		b, err := msgpack.Marshal(items[start:end])
		if err != nil {
			return nil, errors.Wrap(err, "batch: bodies")
		}
		out = append(out, b)
		start = end
	}
	return out, nil
}

// encodedSize returns the estimated encoded size of an item, in bytes.
func (i Item) encodedSize() int {
	size := len(i.Body) + itemOverhead
	if i.Reward != nil {
		size += len(i.Reward.Body) + itemOverhead
	}
	return size
}

// itemOverhead is the estimated encoded size of an item or a reward call without
// its body, in bytes.
const itemOverhead = 400

func chunkName(shard, n int) string {
	return fmt.Sprintf("%04d-%04d", shard, n)
}
