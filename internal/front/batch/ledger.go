package batch

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

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

// pages reads the index of a job's results.
func (l Ledger) pages(ctx context.Context, id string) ([]page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := store.ReadAll(ctx, l.Store, store.Range{Table: indexTable, Part: id, Limit: l.readLimit()})
	if err != nil {
		return nil, err
	}
	pages := make([]page, 0, len(s.Rows))
	for _, r := range s.Rows {
		if r.Version > s.Version {
			// Read by a later call than the first rows: a page that was written
			// before this one may have been missed.
			continue
		}
		n, err := strconv.Atoi(string(r.Value))
		if err != nil {
			return nil, errors.Wrap(err, "batch: index")
		}
		pages = append(pages, page{Name: r.Key.Name, Version: r.Version, Count: n})
	}
	return pages, nil
}

// results reads results, up to a size and at least one.
func (l Ledger) results(ctx context.Context, id string, from []slice) ([]Result, error) {
	from = from[:min(len(from), maxEntries)]
	read := make([][]Result, len(from))
	var out []Result
	size := 0
	for start := 0; start < len(from) && size < maxAnswer; start += parallelReads {
		g, c := errgroup.WithContext(ctx)
		end := min(len(from), start+parallelReads)
		for i := start; i < end; i++ {
			g.Go(func() (err error) {
				read[i], err = l.page(c, id, from[i].Name)
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return nil, err
		}
		for i := start; i < end; i++ {
			for _, r := range read[i][from[i].Skip:] {
				if size += len(r.Text); size > maxAnswer && len(out) > 0 {
					return out, nil
				}
				out = append(out, r)
			}
		}
	}
	return out, nil
}

func (l Ledger) page(ctx context.Context, id, name string) ([]Result, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := store.ReadAll(ctx, l.Store, store.Range{Table: pageTable, Part: id, From: rowName(name, 0), To: rowName(name, maxRows)})
	if err != nil {
		return nil, err
	}
	var b []byte
	for _, r := range s.Rows {
		b = append(b, r.Value...)
	}
	var results []Result
	if err := msgpack.Unmarshal(b, &results); err != nil {
		return nil, errors.Wrap(err, "batch: page")
	}
	return results, nil
}

// list writes a page of results of items that have none yet. With
// store.ErrConflict, it returns the items that have one, or own is set if this
// very page was written before.
func (l Ledger) list(ctx context.Context, id, name string, results []Result) (taken map[string]bool, own bool, err error) {
	results = unique(results)
	b, err := msgpack.Marshal(results)
	if err != nil {
		return nil, false, errors.Wrap(err, "batch: page")
	}
	index := store.Key{Table: indexTable, Part: id, Name: name}
	t := store.Txn{
		Conditions: []store.Row{{Key: index}},
		Puts: []store.Row{
			{Key: index, Value: []byte(strconv.Itoa(len(results)))},
		},
	}
	for n, b := range slices.Collect(slices.Chunk(b, chunkBytes)) {
		t.Puts = append(t.Puts, store.Row{Key: store.Key{Table: pageTable, Part: id, Name: rowName(name, n)}, Value: b})
	}
	for _, r := range results {
		k := store.Key{Table: doneTable, Part: id, Name: r.ID}
		t.Conditions = append(t.Conditions, store.Row{Key: k})
		t.Puts = append(t.Puts, store.Row{Key: k, Value: []byte{1}})
	}
	s, err := l.Store.Commit(ctx, t)
	if !errors.Is(err, store.ErrConflict) {
		return nil, false, err
	}
	taken = make(map[string]bool)
	for _, r := range s.Rows {
		if r.Version == 0 {
			continue
		}
		if r.Key.Table == indexTable {
			own = true
			continue
		}
		taken[r.Key.Name] = true
	}
	return taken, own, err
}

// unique keeps the first result of each item. The store's conditions keep an
// item out of two pages, but not from standing twice in one.
func unique(results []Result) []Result {
	seen := make(map[string]bool, len(results))
	var out []Result
	for _, r := range results {
		if !seen[r.ID] {
			seen[r.ID] = true
			out = append(out, r)
		}
	}
	return out
}

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

// maxRows is beyond the number of rows that one page takes.
const maxRows = 999

func rowName(page string, n int) string {
	return fmt.Sprintf("%s-%03d", page, n)
}

func chunkName(parcel, n int) string {
	return fmt.Sprintf("%04d-%04d", parcel, n)
}
