package rollout

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/loop"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

const (
	// decideInterval is the interval between two decisions of the dispatcher.
	decideInterval = 200 * time.Millisecond
	// refreshInterval is the interval between two refreshes, and between two
	// attempts to write a complete group.
	refreshInterval = time.Second
	// attemptTimeout bounds one attempt at a sample.
	attemptTimeout = 14 * time.Minute
)

// errStopped is returned to the generator when the dispatcher needs no more chunks
// of an attempt.
var errStopped = errors.New("rollout: attempt stopped")

// driver generates the groups of one trainer.
type driver struct {
	deps    Dependencies
	trainer batch.Trainer
	owner   batch.Owner
	// loop owns dispatcher and cancels.
	loop       *loop.Loop
	dispatcher batch.Dispatcher
	cancels    map[batch.Stop]context.CancelFunc
	wait       sync.WaitGroup
}

func newDriver(d Dependencies, t batch.Trainer) *driver {
	return &driver{
		deps: d, trainer: t, loop: loop.New(),
		dispatcher: batch.Dispatcher{Policy: d.Policy},
		cancels:    make(map[batch.Stop]context.CancelFunc),
	}
}

// serve generates groups until the context ends or another daemon owns the
// trainer.
func (d *driver) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer d.wait.Wait()
	defer cancel()
	d.wait.Go(func() { _ = d.loop.Serve(ctx) })
	decide := time.NewTicker(decideInterval)
	defer decide.Stop()
	var refreshed time.Time
	for {
		if time.Since(refreshed) >= refreshInterval {
			refreshed = time.Now()
			if !d.refresh(ctx) {
				return
			}
		}
		d.applyActions(ctx)
		select {
		case <-ctx.Done():
			return
		case <-decide.C:
		}
	}
}

// applyActions updates the dispatcher's keys and carries out its decisions.
func (d *driver) applyActions(ctx context.Context) {
	var a batch.Actions
	err := d.loop.Do(ctx, func(now time.Time) {
		d.dispatcher.SetKeys(d.grantedKeys(now))
		a = d.dispatcher.Decide(now)
		for _, s := range a.Stops {
			if cancel, ok := d.cancels[s]; ok {
				cancel()
			}
		}
		for _, s := range a.Starts {
			d.start(ctx, now, s)
		}
	})
	if err != nil {
		// The loop may still be writing to a.
		return
	}
	for _, f := range a.Finishes {
		d.wait.Go(func() { d.finish(ctx, f) })
	}
	for _, s := range a.Discards {
		d.deps.Events.Record(timeline.Event{
			Kind: timeline.SampleDiscarded, Workspace: d.trainer.Workspace,
			Detail: fmt.Sprintf("%s: %s after %d tokens", s.Sample, s.Reason, s.Tokens),
		})
	}
}

// add loads a group and adds it to the dispatcher.
func (d *driver) add(ctx context.Context, p batch.Pending) error {
	g, ok, err := d.deps.Ledger.Group(ctx, d.trainer, p.Group)
	if err != nil || !ok {
		return err
	}
	return d.loop.Do(ctx, func(time.Time) { d.dispatcher.Add(p, g) })
}

// finish writes a complete group to the ledger, retrying until it succeeds, the
// group has changed or the context ends. It then removes the group from the
// dispatcher.
func (d *driver) finish(ctx context.Context, f batch.Finish) {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		err := d.deps.Ledger.Finish(ctx, d.trainer, f.Pending, f.Samples)
		if err == nil || errors.Is(err, batch.ErrGroupChanged) {
			_ = d.loop.Do(ctx, func(time.Time) { d.dispatcher.Remove(f.Pending.Group) })
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// generate runs one attempt, whose cancel function has been registered on the
// loop.
func (d *driver) generate(ctx context.Context, s batch.Start, g gate.Generation) {
	stop := batch.Stop{Sample: s.Sample, Attempt: s.Attempt}
	err := d.deps.Generator.Generate(ctx, g, func(c engine.Chunk) error {
		more := false
		if err := d.loop.Do(ctx, func(time.Time) { more = d.dispatcher.AddChunk(s.Sample, s.Attempt, c) }); err != nil {
			return err
		}
		if !more {
			return errStopped
		}
		return nil
	})
	var r *refusal.Error
	var retryAt time.Time
	if errors.As(err, &r) {
		retryAt = r.RetryAt
	}
	// The context of the loop ends with the driver's.
	_ = d.loop.Do(context.WithoutCancel(ctx), func(now time.Time) {
		d.cancels[stop]()
		delete(d.cancels, stop)
		d.dispatcher.EndAttempt(now, s.Sample, s.Attempt, err == nil, retryAt)
	})
}

// grantedKeys returns the hashes of the workspace's granted keys; none while
// the view is not confirmed.
func (d *driver) grantedKeys(now time.Time) set.Set[string] {
	var keys set.Set[string]
	s := d.deps.View.State()
	if !s.Confirmed(now) {
		return keys
	}
	for _, k := range s.Config.Config.Keys {
		if k.Workspace == d.trainer.Workspace && k.WithdrawnAt.IsZero() {
			keys.Add(k.Hash)
		}
	}
	return keys
}

// refresh renews the ownership and updates the dispatcher's staleness bound, newest
// weight version and groups from the table and the weight store. It reports whether
// this daemon still owns the trainer, which it assumes while the table is down.
func (d *driver) refresh(ctx context.Context) bool {
	held, err := d.deps.Ledger.Own(ctx, d.trainer, &d.owner, 0)
	if err == nil && !held {
		return false
	}
	h, _, err := d.deps.Ledger.Head(ctx, d.trainer)
	if err != nil {
		return true
	}
	// The trainer's own version exists, even if the weight store is down or
	// does not list it yet.
	newest := h.Version
	if w, err := d.deps.Weights.Newest(ctx, h.Pool); err == nil {
		newest = max(newest, w.Version)
	}
	lag := d.deps.View.State().Config.Value(config.MaxVersionLag, d.trainer.Workspace)
	_ = d.loop.Do(ctx, func(time.Time) {
		d.dispatcher.SetBound(batch.StalenessBound{Version: h.Version, Lag: uint64(max(0, lag))}, newest)
	})
	if pending, err := d.deps.Ledger.Pending(ctx, d.trainer); err == nil {
		d.setPending(ctx, pending)
	}
	return true
}

// setPending makes the dispatcher's groups equal to the pending ones.
func (d *driver) setPending(ctx context.Context, pending []batch.Pending) {
	type round struct {
		group batch.GroupID
		round int
	}
	wanted := make(map[round]batch.Pending, len(pending))
	for _, p := range pending {
		wanted[round{group: p.Group, round: p.Round}] = p
	}
	err := d.loop.Do(ctx, func(time.Time) {
		for _, known := range d.dispatcher.Groups() {
			k := round{group: known.Group, round: known.Round}
			p, ok := wanted[k]
			if !ok {
				d.dispatcher.Remove(known.Group)
				continue
			}
			d.dispatcher.Add(p, batch.Group{ID: p.Group})
			delete(wanted, k)
		}
	})
	if err != nil {
		return
	}
	for _, p := range wanted {
		if err := d.add(ctx, p); err != nil {
			return
		}
	}
}

// start begins an attempt. It must be called on the loop.
func (d *driver) start(ctx context.Context, now time.Time, s batch.Start) {
	ctx, cancel := context.WithCancel(ctx)
	d.cancels[batch.Stop{Sample: s.Sample, Attempt: s.Attempt}] = cancel
	g := gate.Generation{
		ID:          fleet.RequestID(fmt.Sprintf("%s/%s/%s/%d", d.trainer.Workspace, d.trainer.Name, s.Sample, s.Attempt)),
		Workspace:   d.trainer.Workspace,
		Pool:        s.Group.Pool,
		Class:       fleet.Training,
		Prompt:      s.Group.Prompt,
		Partial:     s.Partial,
		Offset:      s.Offset,
		MaxTokens:   s.Group.MaxTokens,
		Seed:        xxhash.Sum64String(string(s.Sample)),
		Deadline:    now.Add(attemptTimeout),
		SpotAllowed: true,
	}
	d.wait.Go(func() { d.generate(ctx, s, g) })
}
