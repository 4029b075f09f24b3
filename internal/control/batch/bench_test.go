package batch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
	"github.com/lacewingtally/lacewingtally/internal/platform/object"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// Size of a training step at the design load: 1,024 samples in groups of 8.
const (
	benchGroups  = 128
	benchSamples = 8
	benchTokens  = 800
)

func benchGroup(i int) batch.Group {
	return batch.Group{
		ID: batch.GroupID(fmt.Sprintf("g%06d", i)), Pool: "p", Prompt: strings.Repeat("q", 400),
		Samples: benchSamples, MaxTokens: benchTokens,
	}
}

// BenchmarkStep submits, finishes, forms and fetches one step of 1,024 samples
// over an in-memory table and object store.
func BenchmarkStep(b *testing.B) {
	t, o := &table.Memory{}, &object.Memory{}
	l := batch.NewLedger(t, o, "a")
	text := strings.Repeat("x", 4*benchTokens)
	var forming, fetching time.Duration
	for n := range b.N {
		_, err := l.Advance(b.Context(), trainer, "p", 1)
		must.NoError(b, err)
		var all []batch.Group
		for i := range benchGroups {
			all = append(all, benchGroup(n*benchGroups+i))
		}
		must.NoError(b, l.Submit(b.Context(), trainer, "k", all))
		pending, err := l.Pending(b.Context(), trainer)
		must.NoError(b, err)
		for _, p := range pending {
			var s []batch.Sample
			for i := range benchSamples {
				s = append(s, batch.Sample{
					ID: batch.NewSampleID(p.Group, 0, 0, i), Group: p.Group, Text: text,
					Segments: []batch.Segment{{Version: 1, Tokens: benchTokens}},
				})
			}
			must.NoError(b, l.Finish(b.Context(), trainer, p, s))
		}
		start := time.Now()
		_, err = l.Form(b.Context(), trainer, uint64(n+1), benchGroups, lag)
		must.NoError(b, err)
		forming += time.Since(start)
		start = time.Now()
		got, err := l.Fetch(b.Context(), trainer, uint64(n+1), lag)
		must.NoError(b, err)
		must.Len(b, benchGroups*benchSamples, got.Samples)
		fetching += time.Since(start)
		must.NoError(b, l.Acknowledge(b.Context(), trainer, uint64(n+1)))
	}
	b.ReportMetric(float64(forming.Microseconds())/float64(b.N), "us/form")
	b.ReportMetric(float64(fetching.Microseconds())/float64(b.N), "us/fetch")
}

// BenchmarkChunk adds one chunk to one of 1,024 running samples.
func BenchmarkChunk(b *testing.B) {
	d, starts, _ := benchDispatcher()
	b.ResetTimer()
	for n := range b.N {
		s := starts[n%len(starts)]
		d.AddChunk(s.Sample, s.Attempt, engine.Chunk{Offset: n / len(starts), Tokens: 1, Text: "x", Version: 1})
	}
}

// BenchmarkDecide decides on 1,024 running samples.
func BenchmarkDecide(b *testing.B) {
	d, _, now := benchDispatcher()
	b.ResetTimer()
	for range b.N {
		d.Decide(now)
	}
}

func benchDispatcher() (*batch.Dispatcher, []batch.Start, time.Time) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := &batch.Dispatcher{Policy: batch.Policy{InFlight: benchGroups * benchSamples}}
	d.SetKeys(set.New("k"))
	d.SetBound(batch.StalenessBound{Version: 1, Lag: lag}, 1)
	for i := range benchGroups {
		g := benchGroup(i)
		d.Add(batch.Pending{Group: g.ID, Key: "k"}, g)
	}
	return d, d.Decide(now).Starts, now.Add(time.Second)
}
