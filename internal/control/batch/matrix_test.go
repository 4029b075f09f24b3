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

// Steps in the processing of a group and a batch, at which faults are injected.
const (
	stepHead    matrix.Step = "Head"
	stepSubmit  matrix.Step = "Submit"
	stepPending matrix.Step = "Pending"
	stepFinish  matrix.Step = "Finish"
	stepReady   matrix.Step = "Ready"
	stepRequeue matrix.Step = "Requeue"
	stepForm    matrix.Step = "Form"
	stepFetch   matrix.Step = "Fetch"
	stepAnswer  matrix.Step = "Answer"
)

const (
	// callTimeout is how long the trainer waits for a daemon's response.
	callTimeout = 3 * time.Second
	// retryTimeout bounds the retries of one call.
	retryTimeout = 5 * time.Minute
	// trainerSteps is how many batches the trainer fetches.
	trainerSteps = 3
)

var steps = []matrix.Step{
	stepHead, stepSubmit, stepPending, matrix.StepPut, stepFinish, stepReady, stepRequeue, stepForm, stepFetch, matrix.StepGet, stepAnswer,
}

// step returns the step that a transaction or a read of these keys belongs to;
// empty if it is none of the steps.
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
		return stepRequeue
	case strings.HasPrefix(first, "Rollout/Batch/") && commit:
		return stepForm
	case strings.HasPrefix(last, "Rollout/Batch/"):
		return stepFetch
	}
	return ""
}

// cluster is one run of two daemons and a trainer.
type cluster struct {
	table   table.Memory
	objects object.Memory
	// version is the weight version that the engines serve.
	version atomic.Uint64
	daemons []*daemon
	// calls counts the trainer's calls, which are sent to the daemons in turn.
	calls int
	// running tracks the calls that have not returned, including those that timed
	// out.
	running sync.WaitGroup
	// delivered maps each sample to the cursor of its batch.
	delivered map[batch.SampleID]uint64
	// batches contains the samples that were first fetched at each cursor.
	batches map[uint64][]batch.Sample
}

// daemon is one daemon, which generates groups without delay.
type daemon struct {
	process *matrix.Process
	ledger  *batch.Ledger
	wait    sync.WaitGroup
}

func (c *cluster) start(ctx context.Context, i *matrix.Injector, n int) {
	ctx, kill := context.WithCancel(ctx)
	d := &daemon{process: matrix.NewProcess(i, kill)}
	t := &matrix.Table{Inner: &c.table, Process: d.process, Step: step}
	d.ledger = batch.NewLedger(t, matrix.Objects{Inner: &c.objects, Process: d.process}, fleet.Incarnation(fmt.Sprint(n)))
	c.daemons = append(c.daemons, d)
	d.wait.Go(func() {
		for ctx.Err() == nil {
			d.process.Pause()
			d.finishPending(ctx, fleet.WeightVersion(c.version.Load()))
			time.Sleep(time.Second)
		}
	})
}

// finishPending finishes the pending groups with samples of one weight version.
func (d *daemon) finishPending(ctx context.Context, v fleet.WeightVersion) {
	pending, err := d.ledger.Pending(ctx, trainer)
	if err != nil {
		return
	}
	for _, p := range pending {
		// A failure is retried on the next poll.
		_ = d.ledger.Finish(ctx, trainer, p, samples(p, v))
	}
}

// call makes one call to the next daemon and stops waiting for it after
// callTimeout.
func (c *cluster) call(f func(l *batch.Ledger) (batch.Batch, error)) (batch.Batch, error) {
	d := c.daemons[c.calls%len(c.daemons)]
	c.calls++
	type result struct {
		batch batch.Batch
		err   error
	}
	answer := make(chan result, 1)
	c.running.Go(func() {
		var found batch.Batch
		err := d.process.Do(stepAnswer, matrix.PlatformErrors(), func() error {
			got, err := f(d.ledger)
			found = got
			return err
		})
		if err != nil {
			// After an error the call may still be running and write found.
			answer <- result{err: err}
			return
		}
		answer <- result{batch: found}
	})
	select {
	case r := <-answer:
		return r.batch, r.err
	case <-time.After(callTimeout):
		return batch.Batch{}, rest.ErrUnknown
	}
}

// retry repeats a call until it succeeds, at most for retryTimeout.
func (c *cluster) retry(f func(l *batch.Ledger) (batch.Batch, error)) (batch.Batch, error) {
	end := time.Now().Add(retryTimeout)
	for time.Now().Before(end) {
		if c.daemons[0].process.Killed() && c.daemons[1].process.Killed() {
			return batch.Batch{}, errDead
		}
		b, err := c.call(f)
		if err == nil {
			return b, nil
		}
		time.Sleep(time.Second)
	}
	return batch.Batch{}, errors.New("call did not succeed within the retry timeout")
}

var errDead = errors.New("both daemons are dead")

// train runs the trainer's steps.
func (c *cluster) train(ctx context.Context) error {
	c.delivered = make(map[batch.SampleID]uint64)
	c.batches = make(map[uint64][]batch.Sample)
	for cursor := uint64(1); cursor <= trainerSteps; cursor++ {
		// The trainer advances by more than the staleness bound and the engines
		// follow later, so that some groups are generated by stale versions.
		v := fleet.WeightVersion(3*cursor - 2)
		if err := c.submit(ctx, cursor, v); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		c.version.Store(uint64(v))
		for range 2 {
			if err := c.fetch(ctx, cursor, v); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) submit(ctx context.Context, cursor uint64, v fleet.WeightVersion) error {
	var all []batch.Group
	for i := range 2 {
		id := batch.GroupID(fmt.Sprintf("%d-%d", cursor, i))
		all = append(all, batch.Group{ID: id, Pool: "p", Samples: 2, MaxTokens: 1})
	}
	_, err := c.retry(func(l *batch.Ledger) (batch.Batch, error) {
		if _, err := l.Advance(ctx, trainer, "p", v); err != nil {
			return batch.Batch{}, err
		}
		return batch.Batch{}, l.Submit(ctx, trainer, "k", all)
	})
	return err
}

func (c *cluster) fetch(ctx context.Context, cursor uint64, v fleet.WeightVersion) error {
	b, err := c.retry(func(l *batch.Ledger) (batch.Batch, error) {
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
	// The trainer has not advanced since the batch was formed.
	if len(b.Samples) != 4 || b.Discarded != 0 {
		return errors.Errorf("batch %d has %d samples and %d discarded", cursor, len(b.Samples), b.Discarded)
	}
	if known, ok := c.batches[cursor]; ok && !slices.EqualFunc(known, b.Samples, equalSamples) {
		return errors.Errorf("batch %d has changed", cursor)
	}
	c.batches[cursor] = b.Samples
	for _, s := range b.Samples {
		if s.Oldest()+lag < v {
			return errors.Errorf("sample %s exceeds the staleness bound at version %d", s.ID, v)
		}
		// The round and restart in the ID are ignored: all generations of a
		// sample count as the same sample.
		parts := strings.Split(string(s.ID), "/")
		id := batch.SampleID(parts[0] + "/" + parts[len(parts)-1])
		if first, ok := c.delivered[id]; ok && first != cursor {
			return errors.Errorf("sample %s is in batches %d and %d", s.ID, first, cursor)
		}
		c.delivered[id] = cursor
	}
	return nil
}

func equalSamples(a, b batch.Sample) bool {
	return a.ID == b.ID && a.Text == b.Text && slices.Equal(a.Segments, b.Segments)
}

func run(t *testing.T, x matrix.Cell) (err error) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{}
		c.version.Store(1)
		ctx, stop := context.WithCancel(t.Context())
		i := matrix.NewInjector(x)
		c.start(ctx, i, 1)
		c.start(ctx, i, 2)
		err = c.train(ctx)
		stop()
		for _, d := range c.daemons {
			d.wait.Wait()
		}
		c.running.Wait()
		for _, d := range c.daemons {
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
