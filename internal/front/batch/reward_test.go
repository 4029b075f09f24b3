package batch

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// completeItem returns a runner with an item whose text of two events is complete
// and awaits its score.
func completeItem(s store.Store, self string) (*Runner, *job) {
	r := newRunner(s, self)
	j := r.add(Head{ID: "j", Items: []ItemHead{{ID: "1"}}, Shards: []Shard{{Member: self}}})
	j.put(&item{
		Item:     Item{ID: "1", Reward: &Reward{ID: "score"}},
		progress: Progress{Lineage: self + "-1", After: 2, Data: []string{"p", "q"}, Weights: []int{1}},
	})
	r.completeText(j.items["1"])
	return r, j
}

func (r *Runner) checkpointNow(t *testing.T, j *job) {
	t.Helper()
	r.work.Add(1)
	r.writeCheckpoints(t.Context(), j, j.pendingCheckpoints())
}

// TestCompleteTextIsTakenOver has a daemon take over an item whose text another
// one completed: only its reward call may be left to do, and the failures that
// servers answered it with must still count.
func TestCompleteTextIsTakenOver(t *testing.T) {
	m := &store.Memory{}
	r, j := completeItem(m, "a")
	r.checkpointNow(t, j)
	must.SliceEmpty(t, j.pendingCheckpoints())
	j.items["1"].progress.RewardFailures.Add("s1")
	r.checkpointNow(t, j)
	must.SliceEmpty(t, j.pendingCheckpoints())
	checkpoints, err := r.ledger.checkpoints(t.Context(), "j")
	must.NoError(t, err)
	p := join(checkpoints["1"])
	must.True(t, p.Complete)
	must.Eq(t, "p q", strings.Join(p.Data, " "))
	must.Eq(t, schedule.Failures{Runs: 1, Servers: []string{"s1"}}, p.RewardFailures)
	must.SliceEmpty(t, p.Failures.Servers)
	next := newRunner(m, "b")
	k := next.add(j.head)
	next.addItems(k, []Item{j.items["1"].Item}, nil, checkpoints)
	must.True(t, k.items["1"].awaitsScore())
	must.SliceEmpty(t, next.waiting(time.Now()))
}

// TestCompleteTextIsPreferred joins the checkpoints of two daemons that ran the
// same item. The complete text must be chosen, although the other one is longer.
func TestCompleteTextIsPreferred(t *testing.T) {
	p := join([]Checkpoint{
		{Item: "1", Lineage: "a", To: 2, Data: []string{"p", "q"}, Complete: true},
		{Item: "1", Lineage: "b", To: 3, Data: []string{"x", "y", "z"}},
	})
	must.Eq(t, "a", p.Lineage)
	must.True(t, p.Complete)
}

// TestTextWithoutItsEndIsNotComplete loses the checkpoint before the one that
// marks the end of the text.
func TestTextWithoutItsEndIsNotComplete(t *testing.T) {
	p := join([]Checkpoint{
		{Item: "1", Lineage: "a", To: 2, Data: []string{"p", "q"}},
		{Item: "1", Lineage: "a", From: 3, To: 4, Data: []string{"s"}, Complete: true},
	})
	must.Eq(t, 2, p.After)
	must.False(t, p.Complete)
}

// TestHandOverKeepsTheCompleteText hands an item that awaits its score to a peer.
func TestHandOverKeepsTheCompleteText(t *testing.T) {
	down := &store.Memory{Fail: func(bool) error { return store.ErrUnavailable }}
	from, j := completeItem(down, "a")
	to := newRunner(down, "b")
	must.NoError(t, to.acceptHandOver(handOver{
		Head: j.head, Items: []Item{j.items["1"].Item}, States: map[string]Progress{"1": j.items["1"].progress},
	}))
	must.True(t, to.jobs["j"].items["1"].awaitsScore())
	must.NotEq(t, "", to.jobs["j"].items["1"].progress.Lineage)
	_, _, scoring, _ := from.Counts()
	must.Eq(t, 1, scoring)
}

// TestRowsOfOlderBuilds decodes an item and a checkpoint without the fields of
// reward calls.
func TestRowsOfOlderBuilds(t *testing.T) {
	type oldItem struct {
		ID   string
		Body []byte
	}
	type oldCheckpoint struct {
		Item, Lineage string
		From, To      int
		Data          []string
	}
	b, err := msgpack.Marshal([]oldItem{{ID: "1", Body: []byte("x")}})
	must.NoError(t, err)
	var items []Item
	must.NoError(t, msgpack.Unmarshal(b, &items))
	must.Eq(t, []Item{{ID: "1", Body: []byte("x")}}, items)
	b, err = msgpack.Marshal(oldCheckpoint{Item: "1", Lineage: "a", To: 1, Data: []string{"p"}})
	must.NoError(t, err)
	var c Checkpoint
	must.NoError(t, msgpack.Unmarshal(b, &c))
	must.False(t, join([]Checkpoint{c}).Complete)
}

// TestChunksCountRewardBodies keeps rows of bodies within the store's limit when
// most of an item is the body of its reward call.
func TestChunksCountRewardBodies(t *testing.T) {
	var items []Item
	for range 40 {
		items = append(items, Item{ID: "1", Body: []byte("x"), Reward: &Reward{Body: make([]byte, 4000)}})
	}
	rows, err := chunk(items)
	must.NoError(t, err)
	for _, b := range rows {
		must.LessEq(t, 64<<10, len(b))
	}
}

// TestLateResultsAreListedAtOnce keeps the last results of a step, for which a trainer
// waits, from being collected as long as those that come in bursts.
func TestLateResultsAreListedAtOnce(t *testing.T) {
	r := newRunner(&store.Memory{}, "a")
	now := time.Now()
	j := r.add(Head{ID: "j", DueAt: now.Add(7 * time.Second).UnixMilli()})
	must.Eq(t, listDelay, r.listDelay(j))
	r.fleet.Clock.Observe(now, fleet.Uptime())
	must.Eq(t, listDelay, r.listDelay(j))
	late := r.add(Head{ID: "late", DueAt: now.Add(urgentListTime).UnixMilli()})
	must.Eq(t, urgentListDelay, r.listDelay(late))
}
