package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// TestSweepRemovesExpiredJobs checks that a job is kept while it is open or its
// results must be kept, and that all its rows are removed after that.
func TestSweepRemovesExpiredJobs(t *testing.T) {
	m := &store.Memory{}
	l := Ledger{Store: m}
	submitted := time.UnixMilli(1_000_000)
	var items []Item
	var results []Result
	for i := range 40 {
		id := fmt.Sprint(i)
		items = append(items, Item{ID: id, Body: make([]byte, 4000)})
		results = append(results, Result{ID: id, State: Completed, Text: "t"})
	}
	h := numbered
	h.SubmittedAt, h.Shards = submitted.UnixMilli(), []Shard{{Member: "a"}}
	_, err := l.create(t.Context(), h, [][]Item{items}, "a-1")
	must.NoError(t, err)
	for n := range 3 {
		_, _, err := l.writePage(t.Context(), h, fmt.Sprint("p", n), results[n*10:n*10+10])
		must.NoError(t, err)
	}
	s := NewSweeper(nil, l, 2*time.Minute, "self", zap.NewNop())
	remainingRows := func(after time.Duration) int {
		must.NoError(t, s.sweep(t.Context(), submitted.Add(after)))
		n := 0
		for _, table := range []string{jobTable, bodyTable, doneTable, indexTable, pageTable} {
			rows, err := store.ReadAll(t.Context(), m, store.Range{Table: table, Part: "j"})
			must.NoError(t, err)
			n += len(rows.Rows)
		}
		return n
	}
	all := remainingRows(10 * time.Minute)
	must.Positive(t, all)
	must.NoError(t, l.end(t.Context(), "j"))
	must.Eq(t, all+1, remainingRows(2*time.Minute))
	must.Eq(t, 0, remainingRows(3*time.Minute))
}
