package batch_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
	"github.com/lacewingtally/lacewingtally/internal/platform/object"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const lag = 2

var trainer = batch.Trainer{Workspace: "w", Name: "t"}

func groups(n int) []batch.Group {
	var all []batch.Group
	for i := range n {
		all = append(all, batch.Group{ID: batch.GroupID(fmt.Sprintf("g%03d", i)), Pool: "p", Prompt: "q", Samples: 2, MaxTokens: 8})
	}
	return all
}

// samples returns complete samples of a pending group, all of one version.
func samples(p batch.Pending, v fleet.WeightVersion) []batch.Sample {
	var all []batch.Sample
	for i := range 2 {
		all = append(all, batch.Sample{
			ID: batch.NewSampleID(p.Group, p.Round, 0, i), Group: p.Group, Text: "x",
			Segments: []batch.Segment{{Version: v, Tokens: 1}},
		})
	}
	return all
}

// finishAll makes every pending group ready.
func finishAll(t *testing.T, l *batch.Ledger, v fleet.WeightVersion) {
	pending, err := l.Pending(t.Context(), trainer)
	must.NoError(t, err)
	for _, p := range pending {
		must.NoError(t, l.Finish(t.Context(), trainer, p, samples(p, v)))
	}
}

func TestFetchReturnsSameBatchForCursor(t *testing.T) {
	l := batch.NewLedger(&table.Memory{}, &object.Memory{}, "a")
	_, err := l.Advance(t.Context(), trainer, "p", 5)
	must.NoError(t, err)
	must.NoError(t, l.Submit(t.Context(), trainer, "k", groups(4)))
	must.NoError(t, l.Submit(t.Context(), trainer, "k", groups(5)))
	_, err = l.Form(t.Context(), trainer, 1, 2, lag)
	must.ErrorIs(t, err, batch.ErrNotFormed)
	finishAll(t, l, 5)
	_, err = l.Form(t.Context(), trainer, 2, 2, lag)
	must.ErrorIs(t, err, batch.ErrCursor)
	_, err = l.Form(t.Context(), trainer, 1, 2, lag)
	must.NoError(t, err)
	first, err := l.Fetch(t.Context(), trainer, 1, lag)
	must.NoError(t, err)
	must.Len(t, 4, first.Samples)
	again, err := l.Fetch(t.Context(), trainer, 1, lag)
	must.NoError(t, err)
	must.Eq(t, first, again)
	_, err = l.Fetch(t.Context(), trainer, 2, lag)
	must.ErrorIs(t, err, batch.ErrNotFormed)
	must.NoError(t, l.Submit(t.Context(), trainer, "k", groups(5)))
	pending, err := l.Pending(t.Context(), trainer)
	must.NoError(t, err)
	must.SliceEmpty(t, pending)
	must.NoError(t, l.Acknowledge(t.Context(), trainer, 1))
	must.ErrorIs(t, l.Acknowledge(t.Context(), trainer, 2), batch.ErrCursor)
}

func TestFormAndFetchExcludeStaleSamples(t *testing.T) {
	l := batch.NewLedger(&table.Memory{}, &object.Memory{}, "a")
	advance := func(v fleet.WeightVersion) {
		_, err := l.Advance(t.Context(), trainer, "p", v)
		must.NoError(t, err)
	}
	advance(5)
	must.NoError(t, l.Submit(t.Context(), trainer, "k", groups(2)))
	finishAll(t, l, 5)
	// The trainer advances before the batch is formed: the groups become pending
	// again.
	advance(8)
	stale, err := l.Form(t.Context(), trainer, 1, 2, lag)
	must.ErrorIs(t, err, batch.ErrNotFormed)
	must.Eq(t, 2, stale)
	finishAll(t, l, 7)
	_, err = l.Form(t.Context(), trainer, 1, 2, lag)
	must.NoError(t, err)
	// A trainer that restarts from an older checkpoint does not make stale samples
	// fresh again.
	advance(9)
	advance(3)
	b, err := l.Fetch(t.Context(), trainer, 1, lag)
	must.NoError(t, err)
	must.Len(t, 4, b.Samples)
	advance(10)
	advance(3)
	b, err = l.Fetch(t.Context(), trainer, 1, lag)
	must.NoError(t, err)
	must.SliceEmpty(t, b.Samples)
	must.Eq(t, 4, b.Discarded)
}
