// Package fleet keeps what a daemon knows of the fleet, read from the platform's
// store: the configuration, the versions of weights, the backend servers and
// the other daemons.
package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// callTimeout bounds one read of the store.
	callTimeout = 900 * time.Millisecond
	// silentAfter is the time without an answer after which the store counts as
	// unreachable.
	silentAfter = 1500 * time.Millisecond
)

// Codec decodes the rows that the operators and the servers write.
type Codec struct {
	// OperatorTable holds the configuration, in the row ConfigName, and the
	// versions of weights.
	OperatorTable string
	ConfigName    string
	// ServerTable holds one row for each server.
	ServerTable string
	Config      func(value []byte) (*route.Config, error)
	Version     func(name string, value []byte) (model string, version int, ok bool)
	Server      func(id string, value []byte, now time.Time) (backend.Server, error)
}

// State is what a daemon knows of the fleet. Use New. Its methods may be called
// from any goroutine.
type State struct {
	Clock StoreClock

	codec Codec
	log   *zap.Logger
	store store.Store

	config  atomic.Pointer[route.Config]
	servers atomic.Pointer[Servers]
	members atomic.Pointer[Members]

	mutex sync.Mutex
	// versions holds the newest version of each model that the operators named.
	versions map[string]int
	// answeredAt is the uptime at which the last answered call was sent, and
	// readAt that of the last answered read of each table.
	answeredAt time.Duration
	readAt     map[string]time.Duration
	reachable  bool
	// weights holds what was seen of servers' weights, by incarnation and model.
	weights map[string]map[string]weights
	// operatorRows and serverRows are the rows last read, for peers.
	operatorRows map[string]store.Row
	serverRows   []store.Row
}

// New returns a State that knows nothing until its Serve methods run.
func New(s store.Store, c Codec, log *zap.Logger) *State {
	f := &State{codec: c, log: log, store: s, versions: make(map[string]int), weights: make(map[string]map[string]weights), operatorRows: make(map[string]store.Row), readAt: make(map[string]time.Duration)}
	f.servers.Store(&Servers{})
	f.members.Store(&Members{})
	return f
}

// Config returns the newest configuration, or nil before the first.
func (f *State) Config() *route.Config {
	return f.config.Load()
}

// Reachable reports whether the store has answered lately.
func (f *State) Reachable() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.answeredAt > 0 && Uptime()-f.answeredAt < silentAfter
}

// StoreAge returns the time since the store last answered, 0 if it never did.
func (f *State) StoreAge() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.answeredAt == 0 {
		return 0
	}
	return Uptime() - f.answeredAt
}

// ConfigAge returns how old the knowledge of the operators' rows is, 0 before the
// first read.
func (f *State) ConfigAge() time.Duration {
	return f.age(f.codec.OperatorTable)
}

// MembersAge returns how old the knowledge of the other daemons is, 0 before the
// first read.
func (f *State) MembersAge() time.Duration {
	return f.age(memberTable)
}

func (f *State) age(table string) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.readAt[table] == 0 {
		return 0
	}
	return Uptime() - f.readAt[table]
}

// read notes an answered read of a table.
func (f *State) read(table string, s store.Snapshot, sentAt time.Duration) {
	f.answered(s, sentAt)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.readAt[table] = max(f.readAt[table], sentAt)
}

// Version returns the newest version of a model's weights, 0 if none was named.
func (f *State) Version(model string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.versions[model]
}

// Versions returns the newest version of each model.
func (f *State) Versions() map[string]int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	out := make(map[string]int, len(f.versions))
	for m, v := range f.versions {
		out[m] = v
	}
	return out
}

// ServeOperator follows what the operators write until the context ends.
func (f *State) ServeOperator(ctx context.Context) error {
	Follow(ctx, f, f.codec.OperatorTable, f.readOperator, f.adopt)
	return nil
}

// answered notes an answer of the store to a call.
func (f *State) answered(s store.Snapshot, sentAt time.Duration) {
	f.Clock.Saw(s.Now, sentAt)
	f.mutex.Lock()
	f.answeredAt = max(f.answeredAt, sentAt)
	regained := !f.reachable
	f.reachable = true
	f.mutex.Unlock()
	if regained {
		f.log.Info("store reachable")
	}
}

// failed notes that a call of the store failed.
func (f *State) failed(what string, err error) {
	if f.Reachable() {
		return
	}
	f.mutex.Lock()
	lost := f.reachable
	f.reachable = false
	f.mutex.Unlock()
	if lost {
		f.log.Warn("store lost", zap.String("Call", what), zap.Error(err))
	}
}

// readOperator reads all rows of the operators.
func (f *State) readOperator(ctx context.Context) (store.Snapshot, error) {
	return store.ReadAll(ctx, f.store, store.Range{Table: f.codec.OperatorTable})
}

// adopt takes rows of the operators.
func (f *State) adopt(rows []store.Row) {
	for _, r := range rows {
		if r.Removed {
			continue
		}
		f.keep(r)
		if r.Key.Name == f.codec.ConfigName {
			f.adoptConfig(r)
			continue
		}
		if m, v, ok := f.codec.Version(r.Key.Name, r.Value); ok {
			f.adoptVersion(m, v)
		}
	}
}

// keep keeps the newest version of a row for peers.
func (f *State) keep(r store.Row) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if r.Version >= f.operatorRows[r.Key.Name].Version {
		f.operatorRows[r.Key.Name] = r
	}
}

func (f *State) adoptConfig(r store.Row) {
	c, err := f.codec.Config(r.Value)
	if err != nil {
		f.log.Error("configuration not adopted", zap.Int64("RowVersion", r.Version), zap.Error(err))
		return
	}
	if old := f.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	f.config.Store(c)
	f.log.Info("configuration adopted", zap.Int64("Version", c.Version), zap.Int("Routes", len(c.Routes)))
}

func (f *State) adoptVersion(model string, version int) {
	f.mutex.Lock()
	newer := version > f.versions[model]
	if newer {
		f.versions[model] = version
	}
	f.mutex.Unlock()
	if newer {
		f.log.Info("weights named", zap.String("Model", model), zap.Int("Version", version))
	}
}
