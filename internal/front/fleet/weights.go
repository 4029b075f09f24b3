package fleet

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// Stages of a load of weights.
const (
	// LoadStarted reports that the order is about to be sent to the server.
	LoadStarted Stage = iota + 1
	// LoadEnded reports that the server runs the version.
	LoadEnded
	// LoadRefused reports that the server did not accept the order.
	LoadRefused
)

const (
	// loadTimeout is how long a server is considered to be loading if the end of
	// the load is not reported: twice the usual time, because servers that load at
	// the same time take longer.
	loadTimeout = 1800 * time.Millisecond
	// notifyTimeout bounds the notification of one peer. A later notification
	// would be useless.
	notifyTimeout = 300 * time.Millisecond
)

// Load reports that a load of weights has reached a stage.
type Load struct {
	// Incarnation is the server's incarnation.
	Incarnation string
	Model       string
	// Version is the version to be loaded.
	Version int
	Stage   Stage
}

// Stage is the progress of a load of weights.
type Stage uint8

// weights is the state of one model's weights at one incarnation of a server.
type weights struct {
	// version is the newest version that the server is known to have run.
	version int
	// next is the version that the server is believed to be loading, until
	// nextUntil.
	next      int
	nextUntil time.Time
}

// Loaded returns the version of a model's weights that a server runs: the newer
// of the one in its row and the one observed since.
func (f *State) Loaded(s backend.Server, model string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return max(s.Weights[model], f.weights[s.Incarnation()][model].version)
}

// Loading returns the model whose weights a server is loading, or an empty string
// if it loads none.
func (f *State) Loading(s backend.Server, now time.Time) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for model, w := range f.weights[s.Incarnation()] {
		if now.Before(w.nextUntil) && s.Weights[model] < w.next {
			return model
		}
	}
	return ""
}

// RecordLoaded records that an incarnation of a server runs a version.
func (f *State) RecordLoaded(incarnation, model string, version int) {
	f.RecordLoad(Load{Incarnation: incarnation, Model: model, Version: version, Stage: LoadEnded})
}

// RecordLoad records that a load has reached a stage.
func (f *State) RecordLoad(l Load) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.weights[l.Incarnation] == nil {
		f.weights[l.Incarnation] = make(map[string]weights)
	}
	f.weights[l.Incarnation][l.Model] = f.weights[l.Incarnation][l.Model].after(l, time.Now())
}

// after returns the state of the weights after a load has reached a stage.
func (w weights) after(l Load, now time.Time) weights {
	switch l.Stage {
	case LoadStarted:
		if l.Version > w.version {
			w.next, w.nextUntil = l.Version, now.Add(loadTimeout)
		}
	case LoadEnded:
		w.version = max(w.version, l.Version)
	}
	if w.version >= w.next || l.Stage == LoadRefused && l.Version == w.next {
		w.nextUntil = time.Time{}
	}
	return w
}

// pruneWeights drops the weights of servers that no longer exist.
func (f *State) pruneWeights() {
	known := make(map[string]bool)
	for _, s := range f.Servers().List {
		known[s.Incarnation()] = true
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for incarnation := range f.weights {
		if !known[incarnation] {
			delete(f.weights, incarnation)
		}
	}
}

// handleLoads records the stages of loads that the holder of the duty reports.
func (f *State) handleLoads(_ context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var loads []Load
	if err := msgpack.Unmarshal(body, &loads); err != nil {
		return nil, errors.Wrap(err, "fleet: loads")
	}
	for _, l := range loads {
		f.RecordLoad(l)
	}
	return nil, nil //nolint:nilnil // The response has no content.
}

// NotifyLoads reports changed stages of loads to peers. A peer that misses a
// notification learns of the end of a load from a heartbeat, and of a server that
// is loading from its refusals.
func (f *State) NotifyLoads(ctx context.Context, c wire.Caller, peers []netip.AddrPort, loads []Load) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var g errgroup.Group
	for _, p := range peers {
		g.Go(func() error {
			return errors.Wrap(c.Call(ctx, p, wire.KindLoads, loads, nil), p.String())
		})
	}
	if err := g.Wait(); err != nil {
		f.log.Info("notifying peers of loads failed", zap.Int("Loads", len(loads)), zap.NamedError("First", err))
	}
}
