package batch

import (
	"context"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// numbered is the head of a job with items whose IDs are their positions.
var numbered = func() Head {
	h := Head{ID: "j"}
	for n := range 40 {
		h.Items = append(h.Items, ItemHead{ID: strconv.Itoa(n)})
	}
	return h
}()

// TestIndexOfEarlierBuild reads an index row that contains only the number of
// results, and one that lists their positions.
func TestIndexOfEarlierBuild(t *testing.T) {
	m := &store.Memory{}
	_, err := m.Commit(t.Context(), store.Txn{Puts: []store.Row{{Key: store.Key{Table: indexTable, Part: "j", Name: "a"}, Value: []byte("12")}}})
	must.NoError(t, err)
	l := Ledger{Store: m}
	_, _, err = l.writePage(t.Context(), numbered, "b", []Result{{ID: "7"}, {ID: "3"}})
	must.NoError(t, err)
	pages, err := l.pages(t.Context(), "j")
	must.NoError(t, err)
	must.Eq(t, 12, pages[0].Count)
	must.Nil(t, pages[0].Positions)
	must.Eq(t, 2, pages[1].Count)
	must.Eq(t, []int{7, 3}, pages[1].Positions)
}

// TestResultPositionsNeverChange writes pages from two daemons in any order,
// some for the same items and some whose responses are lost. Between the writes,
// it checks that results keep their positions, and reads from any position.
func TestResultPositionsNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loseResponse := false
		m := &store.Memory{LoseResponse: func() bool { return loseResponse }}
		l := Ledger{Store: m}
		ctx := context.Background()
		var listed []string
		for n := range rapid.IntRange(1, 12).Draw(t, "Writes") {
			var page []Result
			for range rapid.IntRange(1, 4).Draw(t, "Results") {
				id := strconv.Itoa(rapid.IntRange(0, 20).Draw(t, "Item"))
				page = append(without(page, map[string]bool{id: true}), Result{ID: id, State: Completed, Text: strings.Repeat(id, 9)})
			}
			loseResponse = rapid.Bool().Draw(t, "LoseAnswer")
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "Daemon") + "-" + strconv.Itoa(n)
			for len(page) > 0 {
				existing, stored, err := l.writePage(ctx, numbered, name, page)
				loseResponse = false
				if err == nil || stored {
					break
				}
				page = without(page, existing)
			}
			pages, err := l.pages(ctx, "j")
			must.NoError(t, err)
			found, total := locate(pages, 0)
			all, err := l.results(ctx, "j", found)
			must.NoError(t, err)
			must.Eq(t, total, len(all))
			must.GreaterEq(t, len(listed), total)
			seen := make(map[string]bool)
			for i, r := range all {
				must.False(t, seen[r.ID])
				seen[r.ID] = true
				if i < len(listed) {
					must.Eq(t, listed[i], r.ID)
				}
			}
			listed = listed[:0]
			for _, r := range all {
				listed = append(listed, r.ID)
			}
			after := rapid.IntRange(0, total).Draw(t, "After")
			found, _ = locate(pages, after)
			part, err := l.results(ctx, "j", found)
			must.NoError(t, err)
			must.Len(t, total-after, part)
		}
	})
}

// storeWritingDuringRead is a store that calls write before its second read.
type storeWritingDuringRead struct {
	store.Store

	write func()
	reads int
}

func (s *storeWritingDuringRead) Read(ctx context.Context, r store.Range) (store.Snapshot, error) {
	s.reads++
	if s.reads == 2 {
		s.write()
	}
	return s.Store.Read(ctx, r)
}

// TestPageWrittenDuringIndexRead writes two pages between two reads of an index.
// The name of one sorts before the row at which the read continues, so that the
// read misses it. It must then not return the other one either: the positions of
// results would change.
func TestPageWrittenDuringIndexRead(t *testing.T) {
	m := &store.Memory{}
	writePage := func(page string, ids ...string) {
		var results []Result
		for _, id := range ids {
			results = append(results, Result{ID: id, State: Completed})
		}
		_, _, err := Ledger{Store: m}.writePage(context.Background(), numbered, page, results)
		must.NoError(t, err)
	}
	writePage("b", "1")
	writePage("c", "2")
	s := &storeWritingDuringRead{Store: m, write: func() {
		writePage("a", "3")
		writePage("d", "4")
	}}
	pages, err := Ledger{Store: s, Limit: 1}.pages(context.Background(), "j")
	must.NoError(t, err)
	_, total := locate(pages, 0)
	must.Eq(t, 2, total)
	all, err := Ledger{Store: m}.pages(context.Background(), "j")
	must.NoError(t, err)
	for i, p := range pages {
		_, before := locate(all, 0)
		must.Eq(t, 4, before)
		must.Eq(t, all[i], p)
	}
}

// TestPageHoldsItemOnce writes a page with two results of one item, as a daemon
// does if a peer hands over a result that it has produced as well.
func TestPageHoldsItemOnce(t *testing.T) {
	l := Ledger{Store: &store.Memory{}}
	_, _, err := l.writePage(context.Background(), numbered, "p", []Result{{ID: "1", Text: "a"}, {ID: "2"}, {ID: "1", Text: "b"}})
	must.NoError(t, err)
	pages, err := l.pages(context.Background(), "j")
	must.NoError(t, err)
	found, total := locate(pages, 0)
	must.Eq(t, 2, total)
	got, err := l.results(context.Background(), "j", found)
	must.NoError(t, err)
	must.Len(t, 2, got)
	must.Eq(t, "a", got[0].Text)
}

func TestLongTextSpansSeveralRows(t *testing.T) {
	l := Ledger{Store: &store.Memory{}}
	text := strings.Repeat("x", 3*chunkBytes)
	_, _, err := l.writePage(context.Background(), numbered, "p", []Result{{ID: "1", State: Completed, Text: text}})
	must.NoError(t, err)
	pages, err := l.pages(context.Background(), "j")
	must.NoError(t, err)
	found, _ := locate(pages, 0)
	got, err := l.results(context.Background(), "j", found)
	must.NoError(t, err)
	must.Eq(t, text, got[0].Text)
}

func TestCheckpointsOfTwoRunsAreNotMixed(t *testing.T) {
	p := join([]Checkpoint{
		{From: 0, To: 2, Data: []string{"a", "b"}, Weights: []int{4}},
		{From: 1, To: 3, Data: []string{"x", "y"}},
		{From: 2, To: 3, Data: []string{"c"}, Weights: []int{5}},
		{From: 7, To: 8, Data: []string{"z"}},
	})
	must.Eq(t, 3, p.After)
	must.Eq(t, []string{"a", "b", "c"}, p.Data)
	must.Eq(t, []int{4, 5}, p.Weights)
	// Of two lineages, the longer text is used.
	p = join([]Checkpoint{
		{Lineage: "a", From: 0, To: 1, Data: []string{"a"}},
		{Lineage: "b", From: 0, To: 1, Data: []string{"x"}},
		{Lineage: "b", From: 1, To: 2, Data: []string{"y"}},
	})
	must.Eq(t, []string{"x", "y"}, p.Data)
}
