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
	// maxCalls bounds concurrent calls to servers.
	maxCalls = 64
	// statusInterval is how often a server that is not swapping is asked for
	// its version.
	statusInterval = time.Minute
	// statusTimeout bounds one status call.
	statusTimeout = time.Second
	// maxStepDuration bounds one step.
	maxStepDuration = 10 * time.Second
	// tick is how often a running roll-out decides on further swaps.
	tick = 100 * time.Millisecond
)

// Dial returns a client of the engine on a server.
type Dial func(s fleet.Server) engine.Engine

// Duty rolls out the weights of one region's pools. Use NewDuty.
type Duty struct {
	dial   Dial
	events timeline.Recorder
	region fleet.Region
	store  weights.Service
	view   view.Source

	// mutex guards rollout; it is never held during I/O.
	mutex   sync.Mutex
	rollout Rollout
}

// NewDuty returns the duty lease.Weights of a region.
func NewDuty(p Policy, d Dial, s weights.Service, v view.Source, r fleet.Region, e timeline.Recorder) *Duty {
	return &Duty{dial: d, events: e, region: r, store: s, view: v, rollout: Rollout{Policy: p}}
}

// Name implements lease.Duty.
func (d *Duty) Name() fleet.Duty {
	return lease.Weights
}

// Step implements lease.Duty. It continues while servers swap, for at most
// maxStepDuration.
func (d *Duty) Step(ctx context.Context, c lease.Charge) error {
	if err := d.refresh(ctx); err != nil {
		return err
	}
	var running errgroup.Group
	err := d.runSwaps(ctx, c, &running)
	if e := running.Wait(); err == nil {
		err = e
	}
	return err
}

// runSwaps starts the swaps that are due in the group running, without waiting
// for them to end, and polls servers. It returns when no swap or status call is
// due or maxStepDuration has passed.
func (d *Duty) runSwaps(ctx context.Context, c lease.Charge, running *errgroup.Group) error {
	end := time.Now().Add(maxStepDuration)
	t := time.NewTicker(tick)
	defer t.Stop()
	for time.Now().Before(end) {
		swaps, due := d.decide()
		if len(swaps) == 0 && len(due) == 0 {
			return nil
		}
		for _, s := range swaps {
			running.Go(func() error { return d.swap(ctx, c, s) })
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

func (d *Duty) decide() ([]Swap, []fleet.Server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	return d.rollout.Decide(now), d.rollout.Due(now.Add(-statusInterval))
}

// swap sends the order of one swap to its server, and records a failure that the
// server returns. If the call ends without an answer, the status of the server
// shows the outcome.
func (d *Duty) swap(ctx context.Context, c lease.Charge, s Swap) error {
	ctx, cancel, epoch, err := fence.WithCharge(ctx, c, cmp.Or(d.rollout.Policy.SwapTimeout, defaultSwapTimeout))
	if err != nil {
		return err
	}
	defer cancel()
	d.events.Record(timeline.Event{
		Kind: timeline.WeightsOrdered, Duty: lease.Weights, Epoch: epoch, Server: s.Server.ID, Version: s.Weights.Version,
	})
	err = d.dial(s.Server).Load(ctx, engine.LoadOrder{
		ID: s.OrderID, Epoch: epoch, Version: s.Weights.Version, Source: s.Weights.Source,
	})
	if err != nil && ctx.Err() == nil {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.rollout.Fail(time.Now(), s.Server.ID)
	}
	return nil
}

// refresh passes the newest weights, the servers of the region and its share of
// the swap rate to the roll-out.
func (d *Duty) refresh(ctx context.Context) error {
	s := d.view.State()
	enginePools := make(map[fleet.Pool]bool)
	for _, p := range s.Config.Config.Pools {
		if p.Protocol != config.ProtocolEngine {
			continue
		}
		enginePools[p.Name] = true
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
	for _, v := range s.Servers {
		if v.Region == d.region && enginePools[v.Pool] {
			servers = append(servers, v)
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rollout.Policy.Rate = s.Config.Value(config.SwapsPerSecond, "") / float64(max(1, d.rollout.Policy.Regions))
	d.rollout.SetServers(servers)
	return nil
}

func (d *Duty) poll(ctx context.Context, due []fleet.Server) {
	var g errgroup.Group
	g.SetLimit(maxCalls)
	for _, s := range due {
		g.Go(func() error {
			d.pollServer(ctx, s)
			return nil
		})
	}
	// None of the functions returns an error.
	_ = g.Wait()
}

// pollServer asks one server for its version. A server that does not answer is
// asked again on a later tick.
func (d *Duty) pollServer(ctx context.Context, s fleet.Server) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
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
