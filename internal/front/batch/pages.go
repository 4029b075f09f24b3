package batch

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

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
			// This row comes from a later call than the first rows: the earlier
			// calls may have missed a page written before it.
			continue
		}
		p, err := decodeIndex(r)
		if err != nil {
			return nil, errors.Wrap(err, "batch: index")
		}
		pages = append(pages, p)
	}
	return pages, nil
}

// decodeIndex decodes an index row. Daemons of earlier builds wrote the number of
// results as decimal text; now a row lists the positions of the items.
func decodeIndex(r store.Row) (page, error) {
	p := page{Name: r.Key.Name, Version: r.Version}
	if n, err := strconv.Atoi(string(r.Value)); err == nil {
		p.Count = n
		return p, nil
	}
	err := msgpack.Unmarshal(r.Value, &p.Positions)
	p.Count = len(p.Positions)
	return p, err
}

// results reads the results of page ranges, up to maxAnswerBytes of text but at
// least one result, and from at most maxTxnEntries pages.
func (l Ledger) results(ctx context.Context, id string, ranges []pageRange) ([]Result, error) {
	ranges = ranges[:min(len(ranges), maxTxnEntries)]
	pages := make([][]Result, len(ranges))
	var out []Result
	size := 0
	for start := 0; start < len(ranges) && size < maxAnswerBytes; start += parallelReads {
		g, c := errgroup.WithContext(ctx)
		end := min(len(ranges), start+parallelReads)
		for i := start; i < end; i++ {
			g.Go(func() (err error) {
				pages[i], err = l.page(c, id, ranges[i].Name)
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return nil, err
		}
		for i := start; i < end; i++ {
			for _, r := range pages[i][ranges[i].Skip:] {
				if size += len(r.Text); size > maxAnswerBytes && len(out) > 0 {
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
	s, err := store.ReadAll(ctx, l.Store, store.Range{Table: pageTable, Part: id, From: rowName(name, 0), To: rowName(name, maxPageRows)})
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

// writePage writes a page of results of a job's items that have none yet. With
// store.ErrConflict, it returns the items that have a result already; stored is
// set if this page itself was written by an earlier attempt.
func (l Ledger) writePage(ctx context.Context, h Head, name string, results []Result) (existing map[string]bool, stored bool, err error) {
	id := h.ID
	results = unique(results)
	b, err := msgpack.Marshal(results)
	if err != nil {
		return nil, false, errors.Wrap(err, "batch: page")
	}
	positions, err := msgpack.Marshal(h.positions(results))
	if err != nil {
		return nil, false, errors.Wrap(err, "batch: index")
	}
	index := store.Key{Table: indexTable, Part: id, Name: name}
	t := store.Txn{
		Conditions: []store.Row{{Key: index}},
		Puts: []store.Row{
			{Key: index, Value: positions},
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
	existing = make(map[string]bool)
	for _, r := range s.Rows {
		if r.Version == 0 {
			continue
		}
		if r.Key.Table == indexTable {
			stored = true
			continue
		}
		existing[r.Key.Name] = true
	}
	return existing, stored, err
}

// positions returns the positions in the job of the items that have the results.
func (h Head) positions(results []Result) []int {
	out := make([]int, len(results))
	for i, r := range results {
		out[i] = slices.IndexFunc(h.Items, func(x ItemHead) bool { return x.ID == r.ID })
	}
	return out
}

// unique returns the first result of each item. The conditions of the
// transaction prevent an item from being in two pages, but not from being in
// one page twice.
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

// maxPageRows is an upper limit on the number of rows of one page.
const maxPageRows = 999

func rowName(page string, n int) string {
	return fmt.Sprintf("%s-%03d", page, n)
}
