package batch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// TestReturningItemsAreForgotten keeps texts of items for a later job that never comes,
// one of an ended job and one of a job that nobody ends.
func TestReturningItemsAreForgotten(t *testing.T) {
	r := newRunner(&store.Memory{}, "a")
	now := time.Now()
	stopped := 0
	for id, i := range map[string]*item{
		"ended":     {keepUntil: now.Add(returnTimeout), sentAt: now},
		"abandoned": {sentAt: now},
	} {
		i.ID, i.job, i.stop = id, &job{returning: true}, func() { stopped++ }
		i.progressAt = now.Add(time.Hour)
		r.returning[id] = i
	}
	r.checkReturning(now.Add(returnTimeout / 2))
	must.MapLen(t, 2, r.returning)
	r.checkReturning(now.Add(returnTimeout + time.Second))
	must.MapNotContainsKey(t, r.returning, "ended")
	r.checkReturning(now.Add(itemTimeout + time.Second))
	must.MapLen(t, 0, r.returning)
	must.Eq(t, 2, stopped)
}

// TestKeptTextFitsOnlyTheSameRequest lets an item return under its ID with other
// contents, for another workspace, and in a job that its text is too old for.
func TestKeptTextFitsOnlyTheSameRequest(t *testing.T) {
	head := Head{ID: "j1", Workspace: "w", Host: "h", Model: "m", MinVersion: 3}
	kept := Item{ID: "1", Target: "/x", Body: []byte("b"), Header: map[string]string{"A": "1"}}
	for _, test := range []struct {
		name string
		edit func(h *Head, i *Item)
		want bool
	}{
		{"same", func(*Head, *Item) {}, true},
		{"new reward call", func(_ *Head, i *Item) { i.Reward = &Reward{ID: "other"} }, true},
		{"body", func(_ *Head, i *Item) { i.Body = []byte("c") }, false},
		{"header", func(_ *Head, i *Item) { i.Header = map[string]string{"A": "2"} }, false},
		{"target", func(_ *Head, i *Item) { i.Target = "/y" }, false},
		{"workspace", func(h *Head, _ *Item) { h.Workspace = "v" }, false},
		{"model", func(h *Head, _ *Item) { h.Model = "n" }, false},
		{"newer weights required", func(h *Head, _ *Item) { h.MinVersion = 4 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRunner(&store.Memory{}, "a")
			i := &item{Item: kept, job: &job{head: head, returning: true}, progress: Progress{After: 2, Data: []string{"p", "q"}, Weights: []int{3, 5}}}
			i.progress.Failures.Add("s")
			i.progress.RewardFailures.Add("s")
			r.returning["1"] = i
			h, returned := head, kept
			h.ID = "j2"
			test.edit(&h, &returned)
			got := r.adopt(r.add(h), returned, Progress{}, false)
			must.Eq(t, test.want, got != nil)
			if got != nil {
				must.Eq(t, 0, got.progress.Failures.Runs+got.progress.RewardFailures.Runs, must.Sprint("failures count for each job"))
			}
			must.MapLen(t, 0, r.returning)
		})
	}
}

// TestStoredTextGoesBeforeAShorterKeptOne takes over an item whose job has a longer
// checkpoint than the kept text, and one that has a result already.
func TestStoredTextGoesBeforeAShorterKeptOne(t *testing.T) {
	for _, test := range []struct {
		stored Progress
		done   bool
	}{{Progress{After: 3}, false}, {Progress{}, true}} {
		r := newRunner(&store.Memory{}, "a")
		r.returning["1"] = &item{Item: Item{ID: "1"}, job: &job{returning: true}, progress: Progress{After: 2, Weights: []int{3}}}
		must.Nil(t, r.adopt(r.add(Head{ID: "j2"}), Item{ID: "1"}, test.stored, test.done))
		must.MapLen(t, 0, r.returning)
	}
}
