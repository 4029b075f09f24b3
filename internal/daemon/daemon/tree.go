package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// flushTimeout bounds the final write of usage.
const flushTimeout = 5 * time.Second

// branch is a supervisor that can be stopped on its own.
type branch struct {
	supervisor *suture.Supervisor
	cancel     context.CancelFunc
	// done is closed when the branch has ended.
	done chan struct{}
}

// tree is the supervisor tree. Its branches are started in the order of the
// fields, and drain stops each branch before the branches that it depends on.
type tree struct {
	// failed receives the error of a branch that ended without being stopped.
	failed chan error
	log    *zap.Logger
	// base runs the control goroutine, the services for peers and metrics, and
	// the time line.
	base *branch
	// view registers the daemon as a member; stopping it removes the daemon from
	// the member set.
	view *branch
	// serving runs the components that handle requests.
	serving *branch
	// duties runs the lease keepers.
	duties *branch
	// samples runs the rollout work for trainers.
	samples *branch
	// traffic runs the listeners for callers and operators.
	traffic *branch
}

// newTree returns a tree that has not been started.
func newTree(c *components, l *listeners) *tree {
	return &tree{
		failed:  make(chan error, 1),
		log:     c.log,
		base:    newBranch("base", c.log, c.timeline, c.loop, l.peers, l.metrics),
		view:    newBranch("view", c.log, c.member),
		serving: newBranch("serving", c.log, c.dispatcher, c.gate, c.claims, c.suspects, c.requests, c.tracker, c.writer, &sampler{components: c}),
		duties:  newBranch("duties", c.log, keepers(c)...),
		samples: newBranch("samples", c.log, c.runner),
		traffic: newBranch("traffic", c.log, l.callers, l.operators),
	}
}

func keepers(c *components) []suture.Service {
	services := make([]suture.Service, 0, len(c.keepers))
	for _, k := range c.keepers {
		services = append(services, k)
	}
	return services
}

func newBranch(name string, log *zap.Logger, services ...suture.Service) *branch {
	s := suture.New(name, suture.Spec{
		EventHook: func(e suture.Event) { log.Warn("supervisor", zap.String("Event", e.String())) },
		// After a panic the control state may be inconsistent, so the process
		// must end.
		PassThroughPanics: true,
	})
	for _, v := range services {
		s.Add(v)
	}
	return &branch{supervisor: s}
}

// drain stops the daemon without interrupting requests: the load balancer sees
// that the daemon is not ready before the listeners close, running requests
// finish, and only then do the components that they depend on stop.
func (t *tree) drain(c *components, l *listeners) error {
	c.record(timeline.Event{Kind: timeline.DrainBegun})
	c.readiness.Drain()
	time.Sleep(c.settings.Drain.BalancerDelay)
	ctx, cancel := context.WithTimeout(context.Background(), c.settings.Drain.Limit)
	defer cancel()
	t.duties.stop()
	t.samples.stop()
	err := l.callers.server.Shutdown(ctx)
	if err == nil {
		err = c.requests.Drain(ctx)
	}
	if releaseErr := c.dispatcher.ReleaseCells(ctx); releaseErr != nil {
		c.log.Warn("failed to hand over cells", zap.Error(releaseErr))
	}
	c.record(timeline.Event{Kind: timeline.DrainEnded})
	_ = l.operators.server.Close()
	t.traffic.stop()
	t.flush(c)
	t.serving.stop()
	t.view.stop()
	c.client.Close()
	_ = l.metrics.server.Close()
	t.base.stop()
	return errors.Wrap(err, "daemon: drain")
}

func (t *tree) flush(c *components) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := c.writer.Flush(ctx); err != nil {
		c.log.Error("failed to write usage", zap.Error(err))
	}
	_ = c.metrics.Close()
}

func (t *tree) start() {
	for _, b := range []*branch{t.base, t.view, t.serving, t.duties, t.samples, t.traffic} {
		b.start(t.failed)
	}
}

func (b *branch) start(failed chan<- error) {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.done = make(chan struct{})
	go func() {
		defer close(b.done)
		err := b.supervisor.Serve(ctx)
		if ctx.Err() == nil {
			select {
			case failed <- err:
			default:
			}
		}
	}()
}

// stop stops the branch and waits until its services have returned.
func (b *branch) stop() {
	b.cancel()
	<-b.done
}
