package batch_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
	"github.com/lacewingtally/lacewingtally/internal/platform/object"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	"github.com/lacewingtally/lacewingtally/internal/standin/matrix"
)

// Steps of a group's and a batch's life.
const (
	stepHead     matrix.Step = "Head"
	stepSubmit   matrix.Step = "Submit"
	stepPending  matrix.Step = "Pending"
	stepFinish   matrix.Step = "Finish"
	stepReady    matrix.Step = "Ready"
	stepSendBack matrix.Step = "SendBack"
	stepForm     matrix.Step = "Form"
	stepFetch    matrix.Step = "Fetch"
	stepAnswer   matrix.Step = "Answer"
)

const (
	// callLimit is how long the trainer waits for a daemon.
	callLimit = 3 * time.Second
	// runLimit bounds a run.
	runLimit = 5 * time.Minute
	// trainerSteps is how many batches the trainer fetches.
	trainerSteps = 3
)

var steps = []matrix.Step{
	stepHead, stepSubmit, stepPending, matrix.StepPut, stepFinish, stepReady, stepSendBack, stepForm, stepFetch, matrix.StepGet, stepAnswer,
}

func step(commit bool, keys []table.Key) matrix.Step {
	first, last := string(keys[0]), string(keys[len(keys)-1])
	switch {
	case strings.HasPrefix(first, "Rollout/Head/") && commit:
		return stepHead
	case strings.HasPrefix(first, "Rollout/Group/") && commit:
		return stepSubmit
	case strings.HasPrefix(first, "Rollout/Pending/") && len(keys) == 1 && !commit:
		return stepPending
	case strings.HasPrefix(first, "Rollout/Ready/") && commit:
		return stepFinish
	case strings.HasPrefix(first, "Rollout/Ready/"):
		return stepReady
	case strings.HasPrefix(first, "Rollout/Pending/") && commit:
		return stepSendBack
	case strings.HasPrefix(first, "Rollout/Batch/") && commit:
		return stepForm
	case strings.HasPrefix(last, "Rollout/Batch/"):
		return stepFetch
	}
	return ""
}

// world is one life of two daemons and a trainer.
type world struct {
	table   table.Memory
	objects object.Memory
	// version is what the engines serve.
	version atomic.Uint64
	daemons []*worker
	// calls counts the trainer's calls, which go to the daemons in turn.
	calls int
	// late are calls that the trainer has given up.
	late sync.WaitGroup
	// delivered names the cursor of each sample.
	delivered map[batch.SampleID]uint64
	// batches holds what each cursor gave first.
	batches map[uint64][]batch.Sample
}

// worker is one daemon that generates groups at once.
type worker struct {
	process *matrix.Process
	ledger  *batch.Ledger
	wait    sync.WaitGroup
}

func (w *world) start(ctx context.Context, i *matrix.Injector, n int) {
	ctx, kill := context.WithCancel(ctx)
	d := &worker{process: matrix.NewProcess(i, kill)}
	t := &matrix.Table{Inner: &w.table, Process: d.process, Step: step}
	d.ledger = batch.NewLedger(t, matrix.Objects{Inner: &w.objects, Process: d.process}, fleet.Incarnation(fmt.Sprint(n)))
	w.daemons = append(w.daemons, d)
	d.wait.Go(func() {
		for ctx.Err() == nil {
			d.process.Pause()
			d.work(ctx, fleet.WeightVersion(w.version.Load()))
			time.Sleep(time.Second)
		}
	})
}

func (d *worker) work(ctx context.Context, v fleet.WeightVersion) {
	pending, err := d.ledger.Pending(ctx, trainer)
	if err != nil {
		return
	}
	for _, p := range pending {
		// A failure is tried again with the next look.
		_ = d.ledger.Finish(ctx, trainer, p, samples(p, v))
	}
}

// call makes one call to the next daemon, and gives it up after callLimit.
func (w *world) call(f func(l *batch.Ledger) (batch.Batch, error)) (batch.Batch, error) {
	d := w.daemons[w.calls%len(w.daemons)]
	w.calls++
	type result struct {
		batch batch.Batch
		err   error
	}
	answer := make(chan result, 1)
	w.late.Go(func() {
		var found batch.Batch
		err := d.process.Do(stepAnswer, matrix.Rest(), func() error {
			got, err := f(d.ledger)
			found = got
			return err
		})
		if err != nil {
			// A late call may still write what it found.
			answer <- result{err: err}
			return
		}
		answer <- result{batch: found}
	})
	select {
	case r := <-answer:
		return r.batch, r.err
	case <-time.After(callLimit):
		return batch.Batch{}, rest.ErrUnknown
	}
}

// until repeats a call until it succeeds.
func (w *world) until(f func(l *batch.Ledger) (batch.Batch, error)) (batch.Batch, error) {
	end := time.Now().Add(runLimit)
	for time.Now().Before(end) {
		if w.daemons[0].process.Dead() && w.daemons[1].process.Dead() {
			return batch.Batch{}, errDead
		}
		b, err := w.call(f)
		if err == nil {
			return b, nil
		}
		time.Sleep(time.Second)
	}
	return batch.Batch{}, errors.New("not done in time")
}

var errDead = errors.New("both daemons are dead")

// train lives through the trainer's steps.
func (w *world) train(ctx context.Context) error {
	w.delivered = make(map[batch.SampleID]uint64)
	w.batches = make(map[uint64][]batch.Sample)
	for cursor := uint64(1); cursor <= trainerSteps; cursor++ {
		// The trainer moves on by more than the bound, and the engines follow
		// late, so that some groups are made by versions past it.
		v := fleet.WeightVersion(3*cursor - 2)
		if err := w.submit(ctx, cursor, v); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		w.version.Store(uint64(v))
		for range 2 {
			if err := w.fetch(ctx, cursor, v); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) submit(ctx context.Context, cursor uint64, v fleet.WeightVersion) error {
	var all []batch.Group
	for i := range 2 {
		id := batch.GroupID(fmt.Sprintf("%d-%d", cursor, i))
		all = append(all, batch.Group{ID: id, Pool: "p", Samples: 2, MaxTokens: 1})
	}
	_, err := w.until(func(l *batch.Ledger) (batch.Batch, error) {
		if _, err := l.Advance(ctx, trainer, "p", v); err != nil {
			return batch.Batch{}, err
		}
		return batch.Batch{}, l.Submit(ctx, trainer, "k", all)
	})
	return err
}

func (w *world) fetch(ctx context.Context, cursor uint64, v fleet.WeightVersion) error {
	b, err := w.until(func(l *batch.Ledger) (batch.Batch, error) {
		if _, err := l.Advance(ctx, trainer, "", v); err != nil {
			return batch.Batch{}, err
		}
		if _, err := l.Form(ctx, trainer, cursor, 2, lag); err != nil {
			return batch.Batch{}, err
		}
		return l.Fetch(ctx, trainer, cursor, lag)
	})
	if err != nil {
		return err
	}
	// The trainer has not moved on since the batch was formed.
	if len(b.Samples) != 4 || b.Discarded != 0 {
		return errors.Errorf("batch %d has %d samples and %d discarded", cursor, len(b.Samples), b.Discarded)
	}
	if known, ok := w.batches[cursor]; ok && !slices.EqualFunc(known, b.Samples, same) {
		return errors.Errorf("batch %d has changed", cursor)
	}
	w.batches[cursor] = b.Samples
	for _, s := range b.Samples {
		if s.Oldest()+lag < v {
			return errors.Errorf("sample %s is past the bound at version %d", s.ID, v)
		}
		// Rounds and restarts of one sample count as the same.
		parts := strings.Split(string(s.ID), "/")
		id := batch.SampleID(parts[0] + "/" + parts[len(parts)-1])
		if c, ok := w.delivered[id]; ok && c != cursor {
			return errors.Errorf("sample %s is in batches %d and %d", s.ID, c, cursor)
		}
		w.delivered[id] = cursor
	}
	return nil
}

func same(a, b batch.Sample) bool {
	return a.ID == b.ID && a.Text == b.Text && slices.Equal(a.Segments, b.Segments)
}

func run(t *testing.T, c matrix.Cell) (err error) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		w.version.Store(1)
		ctx, stop := context.WithCancel(t.Context())
		i := matrix.NewInjector(c)
		w.start(ctx, i, 1)
		w.start(ctx, i, 2)
		err = w.train(ctx)
		stop()
		for _, d := range w.daemons {
			d.wait.Wait()
		}
		w.late.Wait()
		for _, d := range w.daemons {
			d.process.Wait()
		}
		if errors.Is(err, errDead) {
			err = nil
		}
	})
	return err
}

func TestMatrixSamplesDeliveredOnceAndFresh(t *testing.T) {
	matrix.Run(t, steps, 1, func(t *testing.T, c matrix.Cell, _ int) error { return run(t, c) })
}

func TestNoFaults(t *testing.T) {
	must.NoError(t, run(t, nil))
}
