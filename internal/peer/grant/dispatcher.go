package grant

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/loop"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/control/limit"
	"github.com/lacewingtally/lacewingtally/internal/control/server"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// pollTimeout is how long an ask waits at a dispatcher before it gets
	// outcomeWaiting and is sent again, so that a connection that stops
	// responding delays a request only briefly.
	pollTimeout = 2 * time.Second
	// tickPeriod is how often deadlines are checked.
	tickPeriod = 50 * time.Millisecond
)

// Dispatcher holds the cells that this daemon dispatches for, and the ledgers
// of the limits that this daemon owns. Use NewDispatcher.
type Dispatcher struct {
	self    fleet.Member
	view    view.Source
	servers *server.Registry
	loop    *loop.Loop
	// host is owned by loop.
	host host
	// ledger is owned by loop.
	ledger limit.Ledger
}

// NewDispatcher returns a dispatcher that answers while Serve runs.
func NewDispatcher(self fleet.Member, v view.Source, s *server.Registry) *Dispatcher {
	d := &Dispatcher{self: self, view: v, servers: s, loop: loop.New()}
	d.host.self = self
	return d
}

// Handle registers the dispatcher's handlers on a mux.
func (d *Dispatcher) Handle(m *wire.Mux) {
	m.Handle(wire.KindAsk, handler(d.ask))
	m.Handle(wire.KindDemand, handler(d.demand))
	m.Handle(wire.KindRegister, handler(d.register))
	m.Handle(wire.KindRelease, handler(d.release))
}

// HostedServers returns the servers of the cells that this daemon dispatches
// for. The daemon polls their load.
func (d *Dispatcher) HostedServers(ctx context.Context) ([]fleet.Server, error) {
	return run(ctx, d.loop, func(time.Time) []fleet.Server {
		var out []fleet.Server
		all := d.servers.Snapshot().Servers
		for id := range d.host.cells {
			out = append(out, id.Servers(all)...)
		}
		return out
	})
}

// ReleaseCells gives up all cells for a graceful shutdown: waiting asks are
// redirected to the next dispatcher, and no further asks are accepted.
func (d *Dispatcher) ReleaseCells(ctx context.Context) error {
	return d.loop.Do(ctx, func(time.Time) { d.host.releaseCells() })
}

// RecordLoad records the load reported by a server.
func (d *Dispatcher) RecordLoad(ctx context.Context, l cell.Load) error {
	return d.loop.Do(ctx, func(now time.Time) { d.host.report(now, l) })
}

// Serve runs the dispatcher until the context ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.loop.Serve(ctx) })
	g.Go(func() error { return d.watch(ctx) })
	return g.Wait()
}

// WorkspaceUse returns the running and waiting requests of each workspace in
// the cells that this daemon dispatches for. A workspace has one entry per
// cell.
func (d *Dispatcher) WorkspaceUse(ctx context.Context) ([]cell.Use, error) {
	return run(ctx, d.loop, func(time.Time) []cell.Use {
		var uses []cell.Use
		for _, h := range d.host.cells {
			uses = append(uses, h.cell.Use()...)
		}
		return uses
	})
}

func (d *Dispatcher) ask(ctx context.Context, m askMessage) (askAnswer, error) {
	arrived := time.Now()
	d.servers.MarkLeaving(arrived, m.Leaving...)
	w := newWaiter(m.ID)
	detached := context.WithoutCancel(ctx)
	accepted, err := run(detached, d.loop, func(now time.Time) bool { return d.host.addAsk(now, d.inputs(), m, w) })
	if err != nil {
		return askAnswer{}, err
	}
	if !accepted {
		return askAnswer{Outcome: outcomeMoved, Leaving: d.leaving()}, nil
	}
	t := time.NewTimer(pollTimeout)
	defer t.Stop()
	select {
	case a := <-w.answer:
		return d.complete(a, arrived), nil
	case <-t.C:
	case <-ctx.Done():
	}
	cancelled := ctx.Err() != nil
	a, err := run(detached, d.loop, func(now time.Time) askAnswer { return d.host.cancelAsk(now, m.Cell, w, cancelled) })
	return d.complete(a, arrived), err
}

// complete sets the fields of an answer that depend on when the ask arrived and
// on the servers that are leaving.
func (d *Dispatcher) complete(a askAnswer, arrived time.Time) askAnswer {
	if !a.notAfter.IsZero() {
		a.Left = a.notAfter.Sub(arrived)
	}
	a.Leaving = d.leaving()
	return a
}

func (d *Dispatcher) demand(ctx context.Context, m demandMessage) (demandAnswer, error) {
	d.servers.MarkLeaving(time.Now(), m.Leaving...)
	members := len(d.view.State().Members)
	shares, err := run(ctx, d.loop, func(now time.Time) []float64 {
		var out []float64
		for _, v := range m.Demands {
			out = append(out, d.ledger.Ask(now, v.Key, m.Entry, v.Rate, members))
		}
		return out
	})
	return demandAnswer{Shares: shares, Leaving: d.leaving()}, err
}

func (d *Dispatcher) inputs() inputs {
	return inputs{state: d.view.State(), servers: d.servers.Snapshot()}
}

func (d *Dispatcher) leaving() []fleet.ServerID {
	return d.servers.Snapshot().Leaving
}

func (d *Dispatcher) register(ctx context.Context, m registerMessage) (cellAnswer, error) {
	d.servers.MarkLeaving(time.Now(), m.Leaving...)
	a, err := run(ctx, d.loop, func(now time.Time) cellAnswer { return d.host.register(now, d.inputs(), m) })
	a.Leaving = d.leaving()
	return a, err
}

func (d *Dispatcher) release(ctx context.Context, m releaseMessage) (cellAnswer, error) {
	a, err := run(ctx, d.loop, func(now time.Time) cellAnswer { return d.host.release(now, m) })
	a.Leaving = d.leaving()
	return a, err
}

// watch updates the cells when the view or the servers change, and calls their
// Tick each tickPeriod.
func (d *Dispatcher) watch(ctx context.Context) error {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		in := d.inputs()
		changed := func(now time.Time) { d.host.update(now, in) }
		if err := d.loop.Do(ctx, changed); err != nil {
			return err
		}
		if err := d.tick(ctx, t, in); err != nil {
			return err
		}
	}
}

// tick calls the cells' Tick each tickPeriod until an input is superseded.
func (d *Dispatcher) tick(ctx context.Context, t *time.Ticker, in inputs) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-in.state.Superseded:
			return nil
		case <-in.servers.Superseded:
			return nil
		case <-t.C:
			if err := d.loop.Do(ctx, d.host.tick); err != nil {
				return err
			}
		}
	}
}

func handler[Q, A any](f func(context.Context, Q) (A, error)) wire.Handler {
	return func(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
		m, err := decode[Q](body)
		if err != nil {
			return nil, err
		}
		return f(ctx, m)
	}
}

// run runs f on a loop and returns its result. The result is zero if the
// context ends first.
func run[T any](ctx context.Context, l *loop.Loop, f func(time.Time) T) (T, error) {
	var out T
	if err := l.Do(ctx, func(now time.Time) { out = f(now) }); err != nil {
		var none T
		return none, err
	}
	return out, nil
}
