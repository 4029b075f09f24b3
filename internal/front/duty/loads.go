package duty

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// loadTime is the minimum duration of a load, after which the server's status
	// is first queried.
	loadTime = 900 * time.Millisecond
	// statusInterval is the time between two status queries to a loading server.
	statusInterval = 130 * time.Millisecond
	// loadTimeout is the time after which an order without effect is considered
	// lost.
	loadTimeout = 5 * time.Second
	// refusedBackoff is how long a server that refused an order gets no further
	// orders.
	refusedBackoff = 500 * time.Millisecond
)

// load is an order to a server to load a version of a model's weights.
type load struct {
	model   string
	version int
	// orderedAt is when the order was sent, and queryAt when the server's status
	// is queried next.
	orderedAt time.Time
	queryAt   time.Time
	// expected is the number of orders that the server had accepted before.
	expected int
	// refused is set while the server gets no orders because it refused this one.
	refused bool
}

// atStage returns the load at a stage, for the notification of other daemons.
func (l *load) atStage(s backend.Server, stage fleet.Stage) fleet.Load {
	return fleet.Load{Incarnation: s.Incarnation(), Model: l.model, Version: l.version, Stage: stage}
}

// errNotOrdered reports that no order was sent.
var errNotOrdered = errors.New("duty: not ordered")

// handleOutcome handles the response to an order. An order without a response may
// still be carried out: it counts as a load until the server's status shows the
// result, or until loadTimeout.
func (w *Weights) handleOutcome(ctx context.Context, s backend.Server, l *load, o backend.Outcome, err error) {
	w.log.Info("order to load weights", zap.String("Server", s.ID), zap.String("Model", l.model), zap.Int("Version", l.version),
		zap.Int("Expected", l.expected), zap.Uint8("Outcome", uint8(o)), zap.Error(err))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case err == nil && o == backend.AlreadyLoaded:
		w.finish(ctx, s, l)
	case err == nil && o == backend.Refused || errors.Is(err, errNotOrdered):
		l.refused = true
		// With this time, checkLoads removes the load after refusedBackoff.
		l.orderedAt = time.Now().Add(refusedBackoff - loadTimeout)
		go w.announce(ctx, []fleet.Load{l.atStage(s, fleet.LoadRefused)})
	}
}

// checkLoads checks the outstanding orders: it removes those that are finished or
// timed out, and queries the servers whose loads may have finished. It is called
// with the mutex held.
func (w *Weights) checkLoads(ctx context.Context, now time.Time) {
	for id, l := range w.loads {
		s, ok := w.fleet.Servers().Get(id)
		switch {
		case !ok || now.Sub(l.orderedAt) > loadTimeout:
			delete(w.loads, id)
		case w.fleet.Loaded(s, l.model) >= l.version:
			w.finish(ctx, s, l)
		case !l.refused && !s.Evacuated && now.After(l.queryAt) && w.limits.Free(s, 1) > 0:
			l.queryAt = now.Add(statusInterval)
			go w.queryStatus(ctx, s, l)
		}
	}
}

// queryStatus queries a server to find out whether its load has finished or the
// order was lost.
func (w *Weights) queryStatus(ctx context.Context, s backend.Server, l *load) {
	c, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status, err := w.client.QueryStatus(c, s)
	if err != nil {
		w.log.Info("querying server status failed", zap.String("Server", s.ID), zap.Error(err))
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case status.Weights[l.model] >= l.version && !status.Busy:
		w.finish(ctx, s, l)
	case !status.Busy:
		w.handleLost(ctx, s, l)
	}
}

// handleLost handles an order that the server has not accepted by the time at
// which the load should have finished. Another order may be sent: if the lost one
// arrives after all, the server refuses it, because its expected number of orders
// is out of date. It is called with the mutex held.
func (w *Weights) handleLost(ctx context.Context, s backend.Server, l *load) {
	if w.loads[s.ID] != l {
		return
	}
	delete(w.loads, s.ID)
	w.log.Info("order to load weights lost", zap.String("Server", s.ID), zap.String("Model", l.model), zap.Int("Version", l.version),
		zap.Int("Expected", l.expected))
	go w.announce(ctx, []fleet.Load{l.atStage(s, fleet.LoadRefused)})
}

// finish records the end of a load. It is called with the mutex held.
func (w *Weights) finish(ctx context.Context, s backend.Server, l *load) {
	if w.loads[s.ID] == l {
		delete(w.loads, s.ID)
		w.announceEnd(ctx, l.atStage(s, fleet.LoadEnded))
	}
	id := s.Incarnation()
	if w.loaded[id] == nil {
		w.loaded[id] = make(map[string]int)
	}
	w.loaded[id][l.model] = max(w.loaded[id][l.model], l.version)
}
