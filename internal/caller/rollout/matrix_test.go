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

// Steps in the processing of a trainer's groups by two daemons.
const (
	stepOwn     matrix.Step = "Own"
	stepPending matrix.Step = "Pending"
	stepGroup   matrix.Step = "Group"
	stepChunk   matrix.Step = "Chunk"
	stepFinish  matrix.Step = "Finish"
	stepForm    matrix.Step = "Form"
)

const (
	callTimeout = 5 * time.Second
	runTimeout  = 4 * time.Minute
)

var steps = []matrix.Step{stepOwn, stepPending, stepGroup, stepChunk, matrix.StepPut, stepFinish, stepForm, matrix.StepGet}

// stepOf returns the step that an access to the table belongs to.
func stepOf(commit bool, keys []table.Key) matrix.Step {
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

// faultyGenerator is the generator of one process, with injected faults.
type faultyGenerator struct {
	inner   gate.Generator
	process *matrix.Process
}

// Generate drops a chunk, or the stream, when a fault is injected at a chunk.
func (g faultyGenerator) Generate(ctx context.Context, r gate.Generation, emit func(engine.Chunk) error) error {
	return g.inner.Generate(ctx, r, func(c engine.Chunk) error {
		return g.process.Do(stepChunk, matrix.PlatformErrors(), func() error { return emit(c) })
	})
}

// node is one daemon of a matrix cell.
type node struct {
	daemon
	process *matrix.Process
}

// startNode starts a daemon whose calls are subject to the faults of its process.
func (f *testFleet) startNode(t *testing.T, i *matrix.Injector, n int) node {
	ctx, kill := context.WithCancel(t.Context())
	p := matrix.NewProcess(i, kill)
	ledgerTable := &matrix.Table{Inner: &f.table, Process: p, Step: stepOf}
	m := f.addMember(n)
	deps := rollout.Dependencies{
		Events: nopRecorder{}, Generator: faultyGenerator{inner: &f.generator, process: p}, Self: m.ID, View: &f.view, Weights: &f.weights,
		Ledger: batch.NewLedger(ledgerTable, matrix.Objects{Inner: &f.objects, Process: p}, fleet.Incarnation(fmt.Sprint(n))),
	}
	return node{process: p, daemon: run(ctx, kill, deps)}
}

// fetchFromAny tries the daemons in turn until one returns the batch.
func fetchFromAny(t *testing.T, nodes []node, cursor uint64, calls *sync.WaitGroup) (*callerv1.FetchBatchResponse, error) {
	for end := time.Now().Add(runTimeout); time.Now().Before(end); {
		for _, n := range nodes {
			if nodes[0].process.Killed() && nodes[1].process.Killed() {
				return nil, errAllDead
			}
			if n.process.Killed() {
				continue
			}
			answer := make(chan *callerv1.FetchBatchResponse, 1)
			calls.Go(func() {
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
			case <-time.After(callTimeout):
			}
			time.Sleep(time.Second)
		}
	}
	return nil, errors.New("batch not fetched within the time limit")
}

var errAllDead = errors.New("both daemons are dead")

// runCell submits and fetches groups with the faults of a cell.
func runCell(t *testing.T, c matrix.Cell) (err error) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.generator.burst = 5
		i := matrix.NewInjector(c)
		nodes := []node{f.startNode(t, i, 1), f.startNode(t, i, 2)}
		var calls sync.WaitGroup
		err = f.train(t, nodes, &calls)
		calls.Wait()
		for _, n := range nodes {
			n.stop()
			n.process.Wait()
		}
		if errors.Is(err, errAllDead) {
			err = nil
		}
	})
	return err
}

// train submits four groups and fetches them in two batches.
func (f *testFleet) train(t *testing.T, nodes []node, calls *sync.WaitGroup) error {
	must.NoError(t, f.submitDirectly(t, 4))
	seen := make(map[string]bool)
	for cursor := uint64(1); cursor <= 2; cursor++ {
		b, err := fetchFromAny(t, nodes, cursor, calls)
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
				return errors.Errorf("sample %s was delivered twice", id)
			}
			seen[id] = true
			if len(s.GetText()) != 20 || len(s.GetSegments()) != 1 || s.GetSegments()[0].GetTokens() != 20 {
				return errors.Errorf("sample %s is incomplete: %v", s.GetSampleId(), s)
			}
		}
	}
	return nil
}

// submitDirectly writes groups to the table without a daemon.
func (f *testFleet) submitDirectly(t *testing.T, n int) error {
	l := batch.NewLedger(&f.table, &f.objects, "trainer")
	tr := batch.Trainer{Workspace: "w", Name: "t"}
	if _, err := l.Advance(t.Context(), tr, "p", 1); err != nil {
		return err
	}
	var groups []batch.Group
	for i := range n {
		groups = append(groups, batch.Group{ID: batch.GroupID(fmt.Sprint(i)), Pool: "p", Prompt: "q", Samples: 3, MaxTokens: 20})
	}
	return l.Submit(t.Context(), tr, testKeyHash, groups)
}

func TestMatrixRolloutSurvivesFaults(t *testing.T) {
	matrix.Run(t, steps, 1, func(t *testing.T, c matrix.Cell, _ int) error { return runCell(t, c) })
}

func TestNoFaults(t *testing.T) {
	must.NoError(t, runCell(t, nil))
}
