package rollout_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/caller/rollout"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	"github.com/lacewingtally/lacewingtally/internal/standin/matrix"
)

// Steps of a trainer's groups on their way through two daemons.
const (
	stepOwn     matrix.Step = "Own"
	stepPending matrix.Step = "Pending"
	stepGroup   matrix.Step = "Group"
	stepChunk   matrix.Step = "Chunk"
	stepFinish  matrix.Step = "Finish"
	stepForm    matrix.Step = "Form"
)

const (
	callLimit = 5 * time.Second
	runLimit  = 4 * time.Minute
)

var steps = []matrix.Step{stepOwn, stepPending, stepGroup, stepChunk, matrix.StepPut, stepFinish, stepForm, matrix.StepGet}

func step(commit bool, keys []table.Key) matrix.Step {
	k := string(keys[0])
	switch {
	case strings.HasPrefix(k, "Rollout/Owner/") && commit:
		return stepOwn
	case strings.HasPrefix(k, "Rollout/Pending/") && !commit && len(keys) == 1:
		return stepPending
	case strings.HasPrefix(k, "Rollout/Group/") && !commit && len(keys) == 1:
		return stepGroup
	case strings.HasPrefix(k, "Rollout/Ready/") && commit:
		return stepFinish
	case strings.HasPrefix(k, "Rollout/Batch/") && commit:
		return stepForm
	}
	return ""
}

// through is the generator as one process sees it.
type through struct {
	inner   gate.Generator
	process *matrix.Process
}

// Generate loses the chunk or the stream where a fault hits a chunk.
func (g through) Generate(ctx context.Context, r gate.Generation, emit func(engine.Chunk) error) error {
	return g.inner.Generate(ctx, r, func(c engine.Chunk) error {
		return g.process.Do(stepChunk, matrix.Rest(), func() error { return emit(c) })
	})
}

// node is one daemon of a cell.
type node struct {
	daemon
	process *matrix.Process
}

// node starts a daemon whose calls go through a process.
func (w *world) node(t *testing.T, i *matrix.Injector, n int) node {
	ctx, kill := context.WithCancel(t.Context())
	p := matrix.NewProcess(i, kill)
	seen := &matrix.Table{Inner: &w.table, Process: p, Step: step}
	m := w.member(n)
	parts := rollout.Parts{
		Events: events{}, Generator: through{inner: &w.generator, process: p}, Self: m.ID, View: &w.view, Weights: &w.weights,
		Ledger: batch.NewLedger(seen, matrix.Objects{Inner: &w.objects, Process: p}, fleet.Incarnation(fmt.Sprint(n))),
	}
	return node{process: p, daemon: run(ctx, kill, parts)}
}

// until fetches a batch through the daemons in turn until one answers.
func until(t *testing.T, nodes []node, cursor uint64, late *sync.WaitGroup) (*callerv1.FetchBatchResponse, error) {
	for end := time.Now().Add(runLimit); time.Now().Before(end); {
		for _, n := range nodes {
			if nodes[0].process.Dead() && nodes[1].process.Dead() {
				return nil, errDead
			}
			if n.process.Dead() {
				continue
			}
			answer := make(chan *callerv1.FetchBatchResponse, 1)
			late.Go(func() {
				b, err := fetch(t, n.daemon, cursor)
				if err != nil {
					b = nil
				}
				answer <- b
			})
			select {
			case b := <-answer:
				if b != nil {
					return b, nil
				}
			case <-time.After(callLimit):
			}
			time.Sleep(time.Second)
		}
	}
	return nil, errors.New("not done in time")
}

var errDead = errors.New("both daemons are dead")

func live(t *testing.T, c matrix.Cell) (err error) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.generator.burst = 5
		i := matrix.NewInjector(c)
		nodes := []node{w.node(t, i, 1), w.node(t, i, 2)}
		var late sync.WaitGroup
		err = w.trainer(t, nodes, &late)
		late.Wait()
		for _, n := range nodes {
			n.stop()
			n.process.Wait()
		}
		if errors.Is(err, errDead) {
			err = nil
		}
	})
	return err
}

// trainer submits four groups and fetches them in two batches.
func (w *world) trainer(t *testing.T, nodes []node, late *sync.WaitGroup) error {
	must.NoError(t, w.submitDirectly(t, 4))
	seen := make(map[string]bool)
	for cursor := uint64(1); cursor <= 2; cursor++ {
		b, err := until(t, nodes, cursor, late)
		if err != nil {
			return err
		}
		if len(b.GetSamples()) != 6 {
			return errors.Errorf("batch %d has %d samples", cursor, len(b.GetSamples()))
		}
		for _, s := range b.GetSamples() {
			parts := strings.Split(s.GetSampleId(), "/")
			id := parts[0] + "/" + parts[len(parts)-1]
			if seen[id] {
				return errors.Errorf("sample %s came twice", id)
			}
			seen[id] = true
			if len(s.GetText()) != 20 || len(s.GetSegments()) != 1 || s.GetSegments()[0].GetTokens() != 20 {
				return errors.Errorf("sample %s is not whole: %v", s.GetSampleId(), s)
			}
		}
	}
	return nil
}

// submitDirectly puts groups into the table without a daemon.
func (w *world) submitDirectly(t *testing.T, n int) error {
	l := batch.NewLedger(&w.table, &w.objects, "trainer")
	tr := batch.Trainer{Workspace: "w", Name: "t"}
	if _, err := l.Advance(t.Context(), tr, "p", 1); err != nil {
		return err
	}
	var all []batch.Group
	for i := range n {
		all = append(all, batch.Group{ID: batch.GroupID(fmt.Sprint(i)), Pool: "p", Prompt: "q", Samples: 3, MaxTokens: 20})
	}
	return l.Submit(t.Context(), tr, keyOfTests, all)
}

func TestMatrixRolloutOutlivesItsDaemons(t *testing.T) {
	matrix.Run(t, steps, 1, func(t *testing.T, c matrix.Cell, _ int) error { return live(t, c) })
}

func TestNoFaults(t *testing.T) {
	must.NoError(t, live(t, nil))
}
