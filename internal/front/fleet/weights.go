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
	// LoadBegun says that a server is about to get the order.
	LoadBegun Stage = iota + 1
	// LoadEnded says that the server runs the version.
	LoadEnded
	// LoadRefused says that the server did not take the order.
	LoadRefused
)

const (
	// loadPatience is how long a server counts as loading without news of the
	// load's end: twice the usual time, for servers that load together.
	loadPatience = 1800 * time.Millisecond
	// noticeTimeout bounds the telling of one peer. A later notice is of no use.
	noticeTimeout = 300 * time.Millisecond
)

// Load is a step of a load of weights.
type Load struct {
	// Incarnation is that of the server.
	Incarnation string
	Model       string
	// Version is the one to be loaded.
	Version int
	Stage   Stage
}

// Stage is how far a load of weights is.
type Stage uint8

// weights are those of one model at one incarnation of a server.
type weights struct {
	// version is the newest that the server was seen to run.
	version int
	// next is the version that it loads until nextUntil, as far as known.
	next      int
	nextUntil time.Time
}

// Loaded returns the version of a model's weights that a server runs, by its
// row and by what was seen since.
func (f *State) Loaded(s backend.Server, model string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return max(s.Weights[model], f.weights[s.Incarnation()][model].version)
}

// Loading returns the model whose weights a server is loading, empty for none.
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

// SawLoaded takes the version that an incarnation of a server was seen to run.
func (f *State) SawLoaded(incarnation, model string, version int) {
	f.SawLoad(Load{Incarnation: incarnation, Model: model, Version: version, Stage: LoadEnded})
}

// SawLoad takes a step of a load.
func (f *State) SawLoad(l Load) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.weights[l.Incarnation] == nil {
		f.weights[l.Incarnation] = make(map[string]weights)
	}
	f.weights[l.Incarnation][l.Model] = f.weights[l.Incarnation][l.Model].after(l, time.Now())
}

// after returns the weights after a step of a load.
func (w weights) after(l Load, now time.Time) weights {
	switch l.Stage {
	case LoadBegun:
		if l.Version > w.version {
			w.next, w.nextUntil = l.Version, now.Add(loadPatience)
		}
	case LoadEnded:
		w.version = max(w.version, l.Version)
	}
	if w.version >= w.next || l.Stage == LoadRefused && l.Version == w.next {
		w.nextUntil = time.Time{}
	}
	return w
}

// forgetWeights drops what is known of servers that are gone.
func (f *State) forgetWeights() {
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

// handleLoads takes what the daemon that gives the orders tells of loads.
func (f *State) handleLoads(_ context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var loads []Load
	if err := msgpack.Unmarshal(body, &loads); err != nil {
		return nil, errors.Wrap(err, "fleet: loads")
	}
	for _, l := range loads {
		f.SawLoad(l)
	}
	return nil, nil //nolint:nilnil // The answer has no content.
}

// TellLoads tells peers of loads. Who misses it learns of the end of a load by
// a heartbeat, and of a server that loads by its refusals.
func (f *State) TellLoads(ctx context.Context, c wire.Caller, peers []netip.AddrPort, loads []Load) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	var g errgroup.Group
	for _, p := range peers {
		g.Go(func() error {
			return errors.Wrap(c.Call(ctx, p, wire.KindLoads, loads, nil), p.String())
		})
	}
	if err := g.Wait(); err != nil {
		f.log.Info("peers not told of loads", zap.Int("Loads", len(loads)), zap.NamedError("First", err))
	}
}
