package duty

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/loadplan"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// weightsInterval is the time between two checks for weights to load.
	weightsInterval = 100 * time.Millisecond
	// orderTimeout bounds one order. The safety margin of the lease must cover it.
	orderTimeout = 500 * time.Millisecond
	// notifyTimeout bounds the notification of other daemons before a load is
	// ordered.
	notifyTimeout = 30 * time.Millisecond
	// announceDelay is how long finished loads are collected, so that the number of
	// messages does not grow with that of servers.
	announceDelay = 10 * time.Millisecond
)

// Limits knows the rates that servers allow.
type Limits interface {
	// Free returns how many requests may be sent to a server now, at most a number.
	Free(s backend.Server, most int) int
}

// Weights orders servers to load the versions of weights that the operators set.
// Use NewWeights.
type Weights struct {
	client backend.Client
	fleet  *fleet.State
	// demand returns the expected work for a model, in tokens.
	demand func(model string) float64
	// notify reports changed stages of loads to the daemons that run items.
	notify func(context.Context, []fleet.Load)
	holder Holder
	limits Limits
	self   string
	log    *zap.Logger

	mutex sync.Mutex
	// loads holds the orders that are, or may be, in progress, by server.
	loads map[string]*load
	// loaded holds the versions whose loads have finished, by server incarnation
	// and model, until the servers' rows show them.
	loaded map[string]map[string]int
	// ends are finished loads that will be announced together.
	ends []fleet.Load
}

// order is a load to be ordered from a server.
type order struct {
	server backend.Server
	load   *load
}

// NewWeights returns a Weights that sends orders while h holds the duty.
func NewWeights(
	f *fleet.State, c backend.Client, l Limits, h Holder, demand func(model string) float64,
	notify func(context.Context, []fleet.Load), self string, log *zap.Logger,
) *Weights {
	return &Weights{
		client: c, fleet: f, limits: l, demand: demand, notify: notify, holder: h, self: self, log: log,
		loads: make(map[string]*load), loaded: make(map[string]map[string]int),
	}
}

// Loaded returns the versions whose loads have finished and that the servers' rows do
// not show yet, by incarnation of the current servers and model.
func (w *Weights) Loaded() map[string]map[string]int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	out := make(map[string]map[string]int, len(w.loaded))
	for id, models := range w.loaded {
		out[id] = make(map[string]int, len(models))
		for m, v := range models {
			out[id][m] = v
		}
	}
	return out
}

// Serve sends orders until the context ends.
func (w *Weights) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		fleet.Sleep(ctx, weightsInterval)
		if _, err := w.holder.Check(); err != nil {
			w.clear()
			continue
		}
		w.orderDue(ctx)
	}
	return nil
}

func (w *Weights) clear() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	clear(w.loads)
	clear(w.loaded)
}

// orderDue checks the outstanding orders and sends those that are due.
func (w *Weights) orderDue(ctx context.Context) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.checkLoads(ctx, now)
	w.pruneLoaded()
	c := w.fleet.Config()
	if c == nil {
		return
	}
	var orders []order
	for name, service := range c.Services {
		for _, o := range loadplan.Plan(w.models(service), w.candidates(name, service)) {
			if s, ok := w.fleet.Servers().Get(o.Server); ok {
				orders = append(orders, w.begin(s, o.Model, w.fleet.Version(o.Model), now))
			}
		}
	}
	if len(orders) > 0 {
		go w.order(ctx, orders)
	}
}

// begin records a load that is about to be ordered. It is called with the mutex
// held.
func (w *Weights) begin(s backend.Server, model string, version int, now time.Time) order {
	l := &load{model: model, version: version, orderedAt: now, queryAt: now.Add(loadTime), expected: s.Orders}
	w.loads[s.ID] = l
	return order{server: s, load: l}
}

// order sends orders after notifying the daemons that run items: servers refuse
// the items that these daemons would send to them during the load.
func (w *Weights) order(ctx context.Context, orders []order) {
	var loads []fleet.Load
	for _, o := range orders {
		loads = append(loads, o.load.atStage(o.server, fleet.LoadStarted))
	}
	c, cancel := context.WithTimeout(ctx, notifyTimeout)
	w.announce(c, loads)
	cancel()
	for _, o := range orders {
		go func() {
			outcome, err := w.sendOrder(ctx, o.server, o.load)
			w.handleOutcome(ctx, o.server, o.load, outcome, err)
		}()
	}
}

// announce records changed stages of loads here, and reports them to the daemons
// that run items.
func (w *Weights) announce(ctx context.Context, loads []fleet.Load) {
	for _, l := range loads {
		w.fleet.RecordLoad(l)
	}
	w.notify(ctx, loads)
}

// pruneLoaded drops the loaded versions that the servers' rows show, and those of
// servers that no longer exist: all others are part of each heartbeat. It is called
// with the mutex held.
func (w *Weights) pruneLoaded() {
	if len(w.loaded) == 0 {
		return
	}
	shown := make(map[string]map[string]int)
	for _, s := range w.fleet.Servers().List {
		shown[s.Incarnation()] = s.Weights
	}
	maps.DeleteFunc(w.loaded, func(incarnation string, models map[string]int) bool {
		row, known := shown[incarnation]
		maps.DeleteFunc(models, func(model string, v int) bool { return row[model] >= v })
		return !known || len(models) == 0
	})
}

// announceEnd announces a finished load together with those that finish within
// announceDelay. It is called with the mutex held.
func (w *Weights) announceEnd(ctx context.Context, l fleet.Load) {
	w.fleet.RecordLoad(l)
	w.ends = append(w.ends, l)
	if len(w.ends) > 1 {
		return
	}
	go func() {
		fleet.Sleep(ctx, announceDelay)
		w.mutex.Lock()
		ends := w.ends
		w.ends = nil
		w.mutex.Unlock()
		w.announce(ctx, ends)
	}()
}

// models returns the models of a service for which the operators have set a
// version.
func (w *Weights) models(s route.Service) []loadplan.Model {
	var out []loadplan.Model
	for _, m := range s.Models {
		if v := w.fleet.Version(m); v > 0 {
			out = append(out, loadplan.Model{Name: m, Version: v, Demand: w.demand(m)})
		}
	}
	return out
}

// candidates returns the servers of a service that may load weights.
func (w *Weights) candidates(name string, service route.Service) []loadplan.Server {
	running := make(map[string]int)
	for _, m := range w.fleet.Members().List {
		for id, n := range m.Running {
			running[id] += n
		}
	}
	var out []loadplan.Server
	for _, s := range w.fleet.Servers().List {
		if s.Service != name || s.Draining {
			continue
		}
		v := loadplan.Server{ID: s.ID, Versions: make(map[string]int), Running: running[s.ID], Spot: s.Spot}
		for _, m := range service.Models {
			v.Versions[m] = w.fleet.Loaded(s, m)
		}
		if l := w.loads[s.ID]; l != nil {
			v.Loading = l.model
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b loadplan.Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func (w *Weights) sendOrder(ctx context.Context, s backend.Server, l *load) (backend.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status, err := w.client.QueryStatus(ctx, s)
	if err != nil {
		return backend.Refused, errors.Wrap(errNotOrdered, err.Error())
	}
	if current, ok := w.fleet.Servers().Get(s.ID); ok && current.Draining {
		// The response to the query may have been the first to announce it.
		return backend.Refused, errors.Wrap(errNotOrdered, "server is draining")
	}
	l.expected = status.Orders
	fence, err := w.holder.Check()
	if err != nil {
		return backend.Refused, errors.Wrap(errNotOrdered, err.Error())
	}
	outcome, err := w.client.SendOrder(ctx, s, backend.Order{
		Model: l.model, Version: l.version, FinishRuns: w.singleVersion(s.Service),
		Holder: w.self, Fence: fence, Expected: l.expected,
	})
	if errors.Is(err, backend.ErrNotSent) {
		return outcome, errors.Wrap(errNotOrdered, err.Error())
	}
	return outcome, err
}

// singleVersion reports whether a route to a service requires results from a
// single version, so that interrupting a run would lose its work.
func (w *Weights) singleVersion(service string) bool {
	for _, r := range w.fleet.Config().Routes {
		if r.SingleVersion && slices.ContainsFunc(r.Services, func(x route.WeightedService) bool { return x.Service == service }) {
			return true
		}
	}
	return false
}
