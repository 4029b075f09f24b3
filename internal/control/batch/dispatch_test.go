package batch_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
	"github.com/lacewingtally/lacewingtally/internal/standin/recorded"
)

// trace is a recorded run of a dispatcher with the expected actions.
type trace struct {
	InFlight int          `yaml:"InFlight"`
	Groups   []traceGroup `yaml:"Groups"`
	Events   []event      `yaml:"Events"`
	// Outcome lists the actions, each with its time.
	Outcome []string `yaml:"Outcome"`
}

type traceGroup struct {
	ID        batch.GroupID `yaml:"ID"`
	Samples   int           `yaml:"Samples"`
	MaxTokens int           `yaml:"MaxTokens"`
}

// event is one input; absent fields have no effect.
type event struct {
	At time.Duration `yaml:"At"`
	// Trainer is the version of the trainer, Newest the newest version in the
	// weight store.
	Trainer fleet.WeightVersion `yaml:"Trainer"`
	Newest  fleet.WeightVersion `yaml:"Newest"`
	// Revoked makes the API key invalid.
	Revoked bool   `yaml:"Revoked"`
	Chunk   *chunk `yaml:"Chunk"`
	End     *end   `yaml:"End"`
}

type chunk struct {
	Sample  batch.SampleID      `yaml:"Sample"`
	Attempt int                 `yaml:"Attempt"`
	Offset  int                 `yaml:"Offset"`
	Tokens  int                 `yaml:"Tokens"`
	Version fleet.WeightVersion `yaml:"Version"`
}

type end struct {
	Sample   batch.SampleID `yaml:"Sample"`
	Attempt  int            `yaml:"Attempt"`
	Complete bool           `yaml:"Complete"`
}

func (e event) apply(now time.Time, d *batch.Dispatcher) {
	if e.Trainer > 0 || e.Newest > 0 {
		d.SetBound(batch.StalenessBound{Version: e.Trainer, Lag: lag}, e.Newest)
	}
	if e.Revoked {
		d.SetKeys(set.New[string]())
	}
	if c := e.Chunk; c != nil {
		d.AddChunk(c.Sample, c.Attempt, engine.Chunk{Offset: c.Offset, Tokens: c.Tokens, Version: c.Version, Text: "x"})
	}
	if n := e.End; n != nil {
		d.EndAttempt(now, n.Sample, n.Attempt, n.Complete, now)
	}
}

// formatActions returns one line for each action or finished sample.
func formatActions(at time.Duration, a batch.Actions) []string {
	var out []string
	for _, s := range a.Stops {
		out = append(out, fmt.Sprintf("%s Stop %s attempt %d", at, s.Sample, s.Attempt))
	}
	for _, s := range a.Starts {
		out = append(out, fmt.Sprintf("%s Start %s attempt %d from %d", at, s.Sample, s.Attempt, s.Offset))
	}
	for _, f := range a.Finishes {
		for _, s := range f.Samples {
			out = append(out, fmt.Sprintf("%s Finish %s %v", at, s.ID, s.Segments))
		}
	}
	for _, s := range a.Discards {
		out = append(out, fmt.Sprintf("%s Discard %s %s", at, s.Sample, s.Reason))
	}
	return out
}

func TestTraces(t *testing.T) {
	recorded.Each(t, func(t *testing.T, r trace) {
		d := &batch.Dispatcher{Policy: batch.Policy{InFlight: r.InFlight}}
		d.SetKeys(set.New("k"))
		for _, g := range r.Groups {
			d.Add(batch.Pending{Group: g.ID, Key: "k"}, batch.Group{ID: g.ID, Pool: "p", Samples: g.Samples, MaxTokens: g.MaxTokens})
		}
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var got []string
		for _, e := range r.Events {
			now := start.Add(e.At)
			e.apply(now, d)
			got = append(got, formatActions(e.At, d.Decide(now))...)
		}
		must.Eq(t, r.Outcome, got)
	})
}

// TestDispatcherInvariants drives a dispatcher with random chunks, ends and
// versions, and with late chunks of stopped attempts.
func TestDispatcherInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inFlight := rapid.IntRange(1, 4).Draw(t, "inFlight")
		d := &batch.Dispatcher{Policy: batch.Policy{InFlight: inFlight}}
		d.SetKeys(set.New("k"))
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		version := fleet.WeightVersion(1)
		for _, g := range groups(3) {
			d.Add(batch.Pending{Group: g.ID, Key: "k"}, g)
		}
		running := make(map[batch.SampleID]batch.Start)
		generated := make(map[batch.SampleID]int)
		var stopped []batch.Start
		finished := set.New[batch.GroupID]()
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "advance") == 0 {
				version++
			}
			d.SetBound(batch.StalenessBound{Version: version, Lag: lag}, version)
			a := d.Decide(now)
			for _, s := range a.Stops {
				stopped = append(stopped, running[s.Sample])
				delete(running, s.Sample)
			}
			for _, s := range a.Starts {
				must.MapNotContainsKey(t, running, s.Sample)
				must.Eq(t, generated[s.Sample], s.Offset)
				running[s.Sample] = s
			}
			must.LessEq(t, inFlight, len(running))
			for _, f := range a.Finishes {
				must.True(t, finished.Add(f.Pending.Group))
				for _, s := range f.Samples {
					must.Eq(t, generated[s.ID], s.Tokens())
					must.Eq(t, 8, s.Tokens())
					must.True(t, batch.StalenessBound{Version: version, Lag: lag}.Fresh(s.Oldest()))
				}
			}
			for _, s := range stopped {
				must.False(t, d.AddChunk(s.Sample, s.Attempt, engine.Chunk{Offset: generated[s.Sample], Tokens: 1, Text: "x", Version: version}))
			}
			for _, id := range slices.Sorted(maps.Keys(running)) {
				drive(t, d, now, running[id], version, generated, running)
			}
		}
	})
}

// drive lets a running attempt generate a token, fail, or send a chunk without a
// version.
func drive(t *rapid.T, d *batch.Dispatcher, now time.Time, s batch.Start, v fleet.WeightVersion,
	generated map[batch.SampleID]int, running map[batch.SampleID]batch.Start,
) {
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		d.EndAttempt(now, s.Sample, s.Attempt, false, now)
		delete(running, s.Sample)
	case 1:
		must.False(t, d.AddChunk(s.Sample, s.Attempt, engine.Chunk{Offset: generated[s.Sample], Tokens: 1, Text: "x"}))
		delete(running, s.Sample)
	default:
		must.True(t, d.AddChunk(s.Sample, s.Attempt, engine.Chunk{Offset: generated[s.Sample], Tokens: 1, Text: "x", Version: v}))
		generated[s.Sample]++
		if generated[s.Sample] == 8 {
			d.EndAttempt(now, s.Sample, s.Attempt, true, now)
			delete(running, s.Sample)
		}
	}
}
