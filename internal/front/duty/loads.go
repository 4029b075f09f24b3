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
	// loadTime is how long a load takes at least; a server is asked after it.
	loadTime = 900 * time.Millisecond
	// askInterval is the time between two questions to a server that loads.
	askInterval = 130 * time.Millisecond
	// loadTimeout is when an order without effect counts as lost.
	loadTimeout = 5 * time.Second
	// refusedWait is how long a server that refused an order gets no other.
	refusedWait = 500 * time.Millisecond
)

// load is an order to a server.
type load struct {
	model   string
	version int
	orderAt time.Time
	askAt   time.Time
	// expected is the number of orders that the server had accepted before.
	expected int
	// refused is set while the server is left alone after a refusal.
	refused bool
}

// at returns a step of the load at a server.
func (l *load) at(s backend.Server, stage fleet.Stage) fleet.Load {
	return fleet.Load{Incarnation: s.Incarnation(), Model: l.model, Version: l.version, Stage: stage}
}

// errNotOrdered says that no order was sent.
var errNotOrdered = errors.New("duty: not ordered")

// gave takes the answer to an order. One without an answer may still be carried
// out: it counts as a load until the server is asked, or its time is over.
func (w *Weights) gave(ctx context.Context, s backend.Server, l *load, o backend.Outcome, err error) {
	w.log.Info("order to load weights", zap.String("Server", s.ID), zap.String("Model", l.model), zap.Int("Version", l.version),
		zap.Int("Expected", l.expected), zap.Uint8("Outcome", uint8(o)), zap.Error(err))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case err == nil && o == backend.Holds:
		w.finished(ctx, s, l)
	case err == nil && o == backend.Refused || errors.Is(err, errNotOrdered):
		l.refused = true
		l.orderAt = time.Now().Add(refusedWait - loadTimeout)
		go w.announce(ctx, []fleet.Load{l.at(s, fleet.LoadRefused)})
	}
}

// settle looks at the orders that are out. It is called with the mutex held.
func (w *Weights) settle(ctx context.Context, now time.Time) {
	for id, l := range w.loads {
		s, ok := w.fleet.Servers().Get(id)
		switch {
		case !ok || now.Sub(l.orderAt) > loadTimeout:
			delete(w.loads, id)
		case w.fleet.Loaded(s, l.model) >= l.version:
			w.finished(ctx, s, l)
		case !l.refused && now.After(l.askAt):
			l.askAt = now.Add(askInterval)
			go w.ask(ctx, s, l)
		}
	}
}

// ask asks a server whether it has loaded.
func (w *Weights) ask(ctx context.Context, s backend.Server, l *load) {
	c, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status, err := w.client.Ask(c, s)
	if err != nil {
		w.log.Info("server not asked", zap.String("Server", s.ID), zap.Error(err))
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case status.Weights[l.model] >= l.version && !status.Busy:
		w.finished(ctx, s, l)
	case !status.Busy:
		w.lost(ctx, s, l)
	}
}

// lost takes an order that the server has not accepted by the time that it
// should be carried out. Another one may be given: should the lost one come
// after all, its expected number of orders no longer holds, and it is refused.
// It is called with the mutex held.
func (w *Weights) lost(ctx context.Context, s backend.Server, l *load) {
	if w.loads[s.ID] != l {
		return
	}
	delete(w.loads, s.ID)
	w.log.Info("order lost", zap.String("Server", s.ID), zap.String("Model", l.model), zap.Int("Version", l.version),
		zap.Int("Expected", l.expected))
	go w.announce(ctx, []fleet.Load{l.at(s, fleet.LoadRefused)})
}

// finished takes the end of a load. It is called with the mutex held.
func (w *Weights) finished(ctx context.Context, s backend.Server, l *load) {
	if w.loads[s.ID] == l {
		delete(w.loads, s.ID)
		go w.announce(ctx, []fleet.Load{l.at(s, fleet.LoadEnded)})
	}
	id := s.Incarnation()
	if w.loaded[id] == nil {
		w.loaded[id] = make(map[string]int)
	}
	w.loaded[id][l.model] = max(w.loaded[id][l.model], l.version)
}
