package batch

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// Tables of the ledger. The part of each row is the job's ID.
const (
	// jobTable holds a job's head, and a row that marks its end. All daemons
	// follow it.
	jobTable = "jobs"
	// bodyTable holds the bodies of items, in chunks by parcel.
	bodyTable = "bodies"
	// doneTable holds one row for each item that has a result.
	doneTable = "done"
	// indexTable holds the number of results of each page.
	indexTable = "index"
	// pageTable holds results.
	pageTable = "pages"
	// markTable holds checkpoints, one row for each stretch of events.
	markTable = "marks"

	headName = "head"
	endName  = "end"
)

const (
	// chunkBytes bounds a row of bodies or results; the store takes 64 KiB.
	chunkBytes = 48 << 10
	// maxIndex bounds the rows of an index that one call reads.
	maxIndex = 500
	// maxEntries bounds the entries of one transaction.
	maxEntries = 90
	// maxTxnBytes bounds the values of one transaction.
	maxTxnBytes = 500 << 10
	// maxAnswer bounds the text of the results of one answer, in bytes.
	maxAnswer = 600 << 10
	// parallelReads bounds the pages read at a time for one answer.
	parallelReads = 6
	// readTimeout bounds one read of the store.
	readTimeout = 900 * time.Millisecond
)

// Ledger keeps jobs in the store. Its methods may be called from any goroutine.
type Ledger struct {
	Store store.Store
	// Limit bounds the rows of the index that one call reads; 0 is maxIndex.
	Limit int
}

// readLimit returns the number of rows of an index to read at a time.
func (l Ledger) readLimit() int {
	if l.Limit > 0 {
		return l.Limit
	}
	return maxIndex
}

// accept writes a new job. Its errors are those of a store; store.ErrConflict
// says that the job is there already.
func (l Ledger) accept(ctx context.Context, h Head, parcels [][]Item) error {
	var t store.Txn
	for i, items := range parcels {
		chunks, err := chunk(items)
		if err != nil {
			return err
		}
		h.Parcels[i].Chunks = len(chunks)
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

// bodies reads the items of a parcel.
func (l Ledger) bodies(ctx context.Context, id string, parcel int) ([]Item, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := store.ReadAll(ctx, l.Store, store.Range{
		Table: bodyTable, Part: id, From: chunkName(parcel, 0), To: chunkName(parcel+1, 0),
	})
	if err != nil {
		return nil, err
	}
	var items []Item
	for _, r := range s.Rows {
		var some []Item
		if err := msgpack.Unmarshal(r.Value, &some); err != nil {
			return nil, errors.Wrap(err, "batch: bodies")
		}
		items = append(items, some...)
	}
	return items, nil
}

// done reads which items have a result.
func (l Ledger) done(ctx context.Context, id string) (map[string]bool, error) {
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

// end marks the end of a job.
func (l Ledger) end(ctx context.Context, id string) error {
	_, err := l.Store.Commit(ctx, store.Txn{
		Puts: []store.Row{{Key: store.Key{Table: jobTable, Part: id, Name: endName}, Value: []byte{1}}},
	})
	return err
}

// head reads a job's head. Its error is ErrNotFound if the store has none.
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

// chunk encodes items in rows that the store takes.
func chunk(items []Item) ([][]byte, error) {
	var out [][]byte
	for start := 0; start < len(items); {
		end, size := start, 0
		for end < len(items) && (end == start || size+len(items[end].Body) < chunkBytes) {
			size += len(items[end].Body) + itemOverhead
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

// itemOverhead is what an item takes besides its body, in bytes.
const itemOverhead = 400

func chunkName(parcel, n int) string {
	return fmt.Sprintf("%04d-%04d", parcel, n)
}
