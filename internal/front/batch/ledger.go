package batch

import (
	"context"
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
	// indexTable contains the positions of the items that have results in each page.
	indexTable = "index"
	// pageTable contains results.
	pageTable = "pages"
	// checkpointTable contains checkpoints, one per row.
	checkpointTable = "marks"

	// closedTable contains a row for each job in which no daemon has work left. Its parts
	// are the jobs of jobTable that need not be read. Earlier builds do not write it.
	closedTable = "closed"

	headName   = "head"
	endName    = "end"
	closedName = "closed"
)

const (
	// chunkBytes limits a row of bodies or results; the store accepts maxRowBytes.
	chunkBytes = 48 << 10
	// maxRowBytes is the maximum length of a row's value.
	maxRowBytes = 64 << 10
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
	// readTimeout limits one call that reads from the store, and readAttempts how often
	// it is made.
	readTimeout  = 900 * time.Millisecond
	readAttempts = 3
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

// bodies reads the items of a job's shard.
func (l Ledger) bodies(ctx context.Context, h Head, shard int) ([]Item, error) {
	s, err := l.readAll(ctx, store.Range{
		Table: bodyTable, Part: h.ID, From: chunkName(h.BodySet, shard, 0), To: chunkName(h.BodySet, shard+1, 0),
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
	s, err := l.readAll(ctx, store.Range{Table: doneTable, Part: id})
	if err != nil {
		return nil, err
	}
	out := make(map[string]bool, len(s.Rows))
	for _, r := range s.Rows {
		out[r.Key.Name] = true
	}
	return out, nil
}

// end writes the rows that mark the end of a job.
func (l Ledger) end(ctx context.Context, id string) error {
	_, err := l.Store.Commit(ctx, store.Txn{
		Puts: []store.Row{{Key: store.Key{Table: jobTable, Part: id, Name: endName}, Value: []byte{1}}, closedRow(id)},
	})
	return err
}

// close marks a job as one in which no daemon has work left.
func (l Ledger) close(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err := l.Store.Commit(ctx, store.Txn{Puts: []store.Row{closedRow(id)}})
	return err
}

func closedRow(id string) store.Row {
	return store.Row{Key: store.Key{Table: closedTable, Part: id, Name: closedName}, Value: []byte{1}}
}

// readAll reads all rows of a range. Each call has readTimeout for itself, and one that
// fails is repeated up to readAttempts times, so that a long read does not begin again.
func (l Ledger) readAll(ctx context.Context, g store.Range) (store.Snapshot, error) {
	var all store.Snapshot
	for first, failed := true, 0; first || all.More; {
		c, cancel := context.WithTimeout(ctx, readTimeout)
		s, err := l.Store.Read(c, g)
		cancel()
		if err != nil {
			if failed++; failed >= readAttempts || ctx.Err() != nil {
				return store.Snapshot{}, err
			}
			continue
		}
		if first {
			all.Version, all.Now = s.Version, s.Now
		}
		first, failed = false, 0
		all.Rows, all.More = append(all.Rows, s.Rows...), s.More && len(s.Rows) > 0
		if all.More {
			g.From = s.Rows[len(s.Rows)-1].Key.Name + "\x00"
		}
	}
	return all, nil
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
