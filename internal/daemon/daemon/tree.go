package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// flushLimit bounds the last writing of usage.
const flushLimit = 5 * time.Second

// branch is a supervisor with its own end.
type branch struct {
	supervisor *suture.Supervisor
	cancel     context.CancelFunc
	// done is closed when the branch has ended.
	done chan struct{}
}

// tree is the supervisor tree. Its branches are started from the first to the
// last and stopped from the last to the first, so that nothing runs without
// what it stands on.
type tree struct {
	// failed gets the error of a branch that could not be kept running.
	failed chan error
	log    *zap.Logger
	// base carries the control goroutine, the peers' calls and the time line.
	base *branch
	// view registers the daemon; stopping it takes the daemon out of the set.
	view *branch
	// serving carries what requests need.
	serving *branch
	// duties carries the leases.
	duties *branch
	// samples carries the work for trainers.
	samples *branch
	// traffic carries the listeners of callers and operators.
	traffic *branch
}

// newTree returns the tree, not started.
func newTree(p *parts, l *listeners) *tree {
	return &tree{
		failed:  make(chan error, 1),
		log:     p.log,
		base:    newBranch("base", p.log, p.timeline, p.loop, l.peers, l.metrics),
		view:    newBranch("view", p.log, p.member),
		serving: newBranch("serving", p.log, p.dispatcher, p.gate, p.claims, p.suspects, p.running, p.tracker, p.writer, &sampler{parts: p}),
		duties:  newBranch("duties", p.log, keepers(p)...),
		samples: newBranch("samples", p.log, p.runner),
		traffic: newBranch("traffic", p.log, l.callers, l.operators),
	}
}

func keepers(p *parts) []suture.Service {
	services := make([]suture.Service, 0, len(p.keepers))
	for _, k := range p.keepers {
		services = append(services, k)
	}
	return services
}

func newBranch(name string, log *zap.Logger, services ...suture.Service) *branch {
	s := suture.New(name, suture.Spec{
		EventHook: func(e suture.Event) { log.Warn("supervisor", zap.String("Event", e.String())) },
		// Control state that panicked cannot be trusted: the process ends.
		PassThroughPanics: true,
	})
	for _, v := range services {
		s.Add(v)
	}
	return &branch{supervisor: s}
}

// drain stops the daemon without cutting a request: the balancer sees that the
// daemon is not ready before the listeners close, running requests end, and
// only then do the parts under them stop.
func (t *tree) drain(p *parts, l *listeners) error {
	p.record(timeline.Event{Kind: timeline.DrainBegun})
	p.readiness.Drain()
	time.Sleep(p.settings.Drain.BalancerDelay)
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Drain.Limit)
	defer cancel()
	t.duties.stop()
	t.samples.stop()
	err := l.callers.server.Shutdown(ctx)
	if err == nil {
		err = p.running.Drain(ctx)
	}
	if leaveErr := p.dispatcher.ReleaseCells(ctx); leaveErr != nil {
		p.log.Warn("cells not handed over", zap.Error(leaveErr))
	}
	p.record(timeline.Event{Kind: timeline.DrainEnded})
	_ = l.operators.server.Close()
	t.traffic.stop()
	t.flush(p)
	t.serving.stop()
	t.view.stop()
	p.client.Close()
	_ = l.metrics.server.Close()
	t.base.stop()
	return errors.Wrap(err, "daemon: drain")
}

func (t *tree) flush(p *parts) {
	ctx, cancel := context.WithTimeout(context.Background(), flushLimit)
	defer cancel()
	if err := p.writer.Flush(ctx); err != nil {
		p.log.Error("usage not written", zap.Error(err))
	}
	_ = p.metrics.Close()
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

// stop ends the branch and waits for its services.
func (b *branch) stop() {
	b.cancel()
	<-b.done
}
