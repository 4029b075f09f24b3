package weight

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/fence"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
)

const (
	// callsAtOnce bounds the calls to servers that run at once.
	callsAtOnce = 64
	// statusEvery is how often a settled server is asked for its version.
	statusEvery = time.Minute
	// statusLimit bounds one status call.
	statusLimit = time.Second
	// stepLimit bounds one step.
	stepLimit = 10 * time.Second
	// tick is how often a running roll-out is decided on.
	tick = 100 * time.Millisecond
)

// Dial returns the engine that runs on a server.
type Dial func(s fleet.Server) engine.Engine

// Duty rolls out the weights of one region's pools. Use NewDuty.
type Duty struct {
	dial   Dial
	events timeline.Recorder
	region fleet.Region
	store  weights.Service
	view   view.Source

	// mutex guards rollout; it is never held over I/O.
	mutex   sync.Mutex
	rollout Rollout
}

// NewDuty returns the duty Weights of a region.
func NewDuty(p Policy, d Dial, s weights.Service, v view.Source, r fleet.Region, e timeline.Recorder) *Duty {
	return &Duty{dial: d, events: e, region: r, store: s, view: v, rollout: Rollout{Policy: p}}
}

// Name implements lease.Duty.
func (d *Duty) Name() fleet.Duty {
	return lease.Weights
}

// Step implements lease.Duty. It goes on while servers swap, for at most
// stepLimit.
func (d *Duty) Step(ctx context.Context, c lease.Charge) error {
	if err := d.refresh(ctx); err != nil {
		return err
	}
	var running errgroup.Group
	err := d.roll(ctx, c, &running)
	if e := running.Wait(); err == nil {
		err = e
	}
	return err
}

// roll begins swaps in running, which it does not wait for, until there is
// nothing to wait for or the step has lasted long enough.
func (d *Duty) roll(ctx context.Context, c lease.Charge, running *errgroup.Group) error {
	end := time.Now().Add(stepLimit)
	t := time.NewTicker(tick)
	defer t.Stop()
	for time.Now().Before(end) {
		loads, due := d.decide()
		if len(loads) == 0 && len(due) == 0 {
			return nil
		}
		for _, l := range loads {
			running.Go(func() error { return d.load(ctx, c, l) })
		}
		d.poll(ctx, due)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

func (d *Duty) decide() ([]Load, []fleet.Server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	return d.rollout.Decide(now), d.rollout.Due(now.Add(-statusEvery))
}

// load orders one swap. A call that ends without an answer is left to the
// server's status.
func (d *Duty) load(ctx context.Context, c lease.Charge, l Load) error {
	ctx, cancel, epoch, err := fence.Under(ctx, c, cmp.Or(d.rollout.Policy.Swap, defaultSwap))
	if err != nil {
		return err
	}
	defer cancel()
	d.events.Record(timeline.Event{
		Kind: timeline.WeightsOrdered, Duty: lease.Weights, Epoch: epoch, Server: l.Server.ID, Version: l.Weights.Version,
	})
	err = d.dial(l.Server).Load(ctx, engine.LoadOrder{
		ID: l.OrderID, Epoch: epoch, Version: l.Weights.Version, Source: l.Weights.Source,
	})
	if err != nil && ctx.Err() == nil {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.rollout.Fail(time.Now(), l.Server.ID)
	}
	return nil
}

// refresh takes the newest weights and the live servers of the region.
func (d *Duty) refresh(ctx context.Context) error {
	s := d.view.State()
	engines := make(map[fleet.Pool]bool)
	for _, p := range s.Config.Config.Pools {
		if p.Protocol != config.ProtocolEngine {
			continue
		}
		engines[p.Name] = true
		w, err := d.store.Newest(ctx, p.Name)
		if errors.Is(err, weights.ErrAbsent) {
			continue
		}
		if err != nil {
			return err
		}
		d.mutex.Lock()
		d.rollout.Publish(w)
		d.mutex.Unlock()
	}
	var servers []fleet.Server
	for _, f := range s.Servers {
		if f.Region == d.region && engines[f.Pool] {
			servers = append(servers, f)
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rollout.Policy.Rate = s.Config.Value(config.SwapsPerSecond, "") / float64(max(1, d.rollout.Policy.Regions))
	d.rollout.See(servers)
	return nil
}

func (d *Duty) poll(ctx context.Context, due []fleet.Server) {
	var g errgroup.Group
	g.SetLimit(callsAtOnce)
	for _, s := range due {
		g.Go(func() error {
			d.status(ctx, s)
			return nil
		})
	}
	// The calls return no errors.
	_ = g.Wait()
}

// status asks one server for its version. One that does not answer is asked
// again.
func (d *Duty) status(ctx context.Context, s fleet.Server) {
	ctx, cancel := context.WithTimeout(ctx, statusLimit)
	defer cancel()
	t, err := d.dial(s).Status(ctx)
	if err != nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	behind := d.rollout.Behind(s.ID)
	d.rollout.Report(time.Now(), s.ID, t.Version)
	if behind && !d.rollout.Behind(s.ID) {
		d.events.Record(timeline.Event{Kind: timeline.WeightsServed, Duty: lease.Weights, Server: s.ID, Version: t.Version})
	}
}
