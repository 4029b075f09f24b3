package batch_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/seed"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
)

const (
	modelTick    = 200 * time.Millisecond
	modelSteps   = 8
	modelGroups  = 16
	modelSamples = 8
	modelTokens  = 1000
	// trainTime is how long the trainer processes a batch, while the groups of
	// the next one are generated.
	trainTime = 45 * time.Second
	// rate is the rate of a healthy server for one sample, in tokens per second.
	rate = 20.0
	// slowRate is the rate of a slow server, which is one in eight.
	slowRate = 2.0
)

// model simulates a trainer and a dispatcher over servers of different speeds.
type model struct {
	random       *rand.Rand
	d            batch.Dispatcher
	now          time.Time
	version      fleet.WeightVersion
	lengths      map[batch.GroupID]float64
	sampleTokens map[string]int
	attempts     map[batch.SampleID]*modelAttempt
	complete     []batch.GroupID
	submitted    int
	// idle is the time that the trainer waited; wasted and generated count tokens.
	idle      time.Duration
	wasted    int
	generated int
}

type modelAttempt struct {
	batch.Start
	rate float64
	// due is the number of tokens that are generated but not sent yet, with the
	// fraction of the next one; done is the number of tokens
	// that the sample has.
	due  float64
	done int
}

func (m *model) submit(n int) {
	for range n {
		id := batch.GroupID(fmt.Sprintf("g%04d", m.submitted))
		m.submitted++
		m.lengths[id] = math.Exp(math.Log(180) + 0.5*m.random.NormFloat64())
		m.d.Add(batch.Pending{Group: id, Key: "k"}, batch.Group{ID: id, Samples: modelSamples, MaxTokens: modelTokens})
	}
}

// length returns the number of tokens of a sample, the same in each attempt.
func (m *model) length(s batch.Start) int {
	k := string(s.Sample)
	if m.sampleTokens[k] == 0 {
		n := m.lengths[s.Group.ID] * math.Exp(0.4*m.random.NormFloat64())
		m.sampleTokens[k] = min(modelTokens, max(10, int(n)))
	}
	return m.sampleTokens[k]
}

func (m *model) tick() {
	m.d.SetBound(batch.StalenessBound{Version: m.version, Lag: lag}, m.version)
	a := m.d.Decide(m.now)
	for _, s := range a.Stops {
		delete(m.attempts, s.Sample)
	}
	for _, s := range a.Starts {
		r := rate
		if m.random.IntN(8) == 0 {
			r = slowRate
		}
		m.attempts[s.Sample] = &modelAttempt{Start: s, rate: r, done: s.Offset}
	}
	for _, f := range a.Finishes {
		m.complete = append(m.complete, f.Pending.Group)
		m.d.Remove(f.Pending.Group)
	}
	for _, s := range a.Discards {
		m.wasted += s.Tokens
	}
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		m.advance(id, m.attempts[id])
	}
	m.now = m.now.Add(modelTick)
}

func (m *model) advance(id batch.SampleID, a *modelAttempt) {
	a.due += a.rate * modelTick.Seconds()
	n := min(int(a.due), m.length(a.Start)-a.done)
	a.due -= float64(n)
	if n > 0 && !m.d.AddChunk(id, a.Attempt, engine.Chunk{Offset: a.done, Tokens: n, Text: "x", Version: m.version}) {
		delete(m.attempts, id)
		return
	}
	a.done += n
	m.generated += n
	if a.done == m.length(a.Start) {
		m.d.EndAttempt(m.now, id, a.Attempt, true, m.now)
		delete(m.attempts, id)
	}
}

// runModel simulates modelSteps training steps and returns the model.
func runModel(p batch.Policy, spare int, stream uint64) *model {
	p.InFlight = 64
	m := &model{
		random: seed.Rand(stream), d: batch.Dispatcher{Policy: p}, version: 1,
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		lengths: make(map[batch.GroupID]float64), sampleTokens: make(map[string]int), attempts: make(map[batch.SampleID]*modelAttempt),
	}
	m.d.SetKeys(set.New("k"))
	m.submit(modelGroups + spare)
	for step := range modelSteps {
		start := m.now
		for len(m.complete) < modelGroups {
			m.tick()
		}
		if step > 0 {
			m.idle += m.now.Sub(start)
		}
		m.complete = m.complete[modelGroups:]
		m.submit(modelGroups)
		for end := m.now.Add(trainTime); m.now.Before(end); {
			m.tick()
		}
		m.version++
	}
	return m
}

// TestStragglersInVirtualTime measures how much idle time of the trainer the
// handling of stragglers saves when one server in eight runs at a tenth of the
// rate.
func TestStragglersInVirtualTime(t *testing.T) {
	const runs = 5
	idle := make(map[string]float64)
	for _, c := range []struct {
		name   string
		policy batch.Policy
		spare  int
	}{
		{name: "none", policy: batch.Policy{NoStragglers: true}},
		{name: "none, 4 spare groups", policy: batch.Policy{NoStragglers: true}, spare: 4},
		{name: "moved", policy: batch.Policy{}},
		{name: "moved, 4 spare groups", policy: batch.Policy{}, spare: 4},
	} {
		var seconds, wasted, minIdle, maxIdle float64
		for r := range uint64(runs) {
			m := runModel(c.policy, c.spare, r+1)
			s := m.idle.Seconds() / (modelSteps - 1)
			seconds += s / runs
			wasted += float64(m.wasted) / float64(m.generated) / runs
			if r == 0 || s < minIdle {
				minIdle = s
			}
			maxIdle = max(maxIdle, s)
		}
		idle[c.name] = seconds
		t.Logf("%-22s idle %5.1f s per step (%.1f to %.1f), discarded %.2f %% of the tokens",
			c.name, seconds, minIdle, maxIdle, 100*wasted)
	}
	must.Less(t, idle["none"], idle["moved"])
	must.Less(t, idle["none, 4 spare groups"], idle["moved, 4 spare groups"])
	must.LessEq(t, idle["moved"], idle["moved, 4 spare groups"])
}
