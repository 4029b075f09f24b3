// Package fleet maintains a daemon's view of the fleet, read from the platform's
// store: the configuration, the versions of weights, the backend servers and
// the other daemons.
package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// callTimeout bounds one read of the store.
	callTimeout = 900 * time.Millisecond
	// unreachableAfter is the time without a response after which the store is
	// considered unreachable.
	unreachableAfter = 1500 * time.Millisecond
	// contradictionInterval is the minimum time between two log lines about the store's
	// clock.
	contradictionInterval = 10 * time.Second
)

// Codec decodes the rows written by the operators and the servers.
type Codec struct {
	// OperatorTable holds the configuration, in the row ConfigName, and the
	// versions of weights.
	OperatorTable string
	ConfigName    string
	// ServerTable holds one row per server.
	ServerTable string
	// Config, Version, Evacuation and Server decode rows. For Version, ok is false if the
	// row is not a version of weights. Evacuation returns the failure domain that a row with
	// a name evacuates; ok is false if it is not such a row. If Evacuation is nil, no row is.
	Config     func(value []byte) (*route.Config, error)
	Version    func(name string, value []byte) (model string, version int, ok bool)
	Evacuation func(name string) (domain string, ok bool)
	Server     func(id string, value []byte, now time.Time) (backend.Server, error)
}

// State is a daemon's view of the fleet. Use New. Its methods may be called
// from any goroutine.
type State struct {
	Clock StoreClock

	codec Codec
	// regions maps failure domains to regions.
	regions map[string]string
	log     *zap.Logger
	store   store.Store

	config  atomic.Pointer[route.Config]
	servers atomic.Pointer[Servers]
	members atomic.Pointer[Members]
	// evacuated holds the failure domains that are evacuated.
	evacuated atomic.Pointer[set.Set[string]]

	mutex sync.Mutex
	// versions holds, by model, the newest version in the operators' rows.
	versions map[string]int
	// answeredAt is the uptime at which the last answered call was sent, and
	// readAt that of the last answered read of each table.
	answeredAt time.Duration
	readAt     map[string]time.Duration
	// contradictedAt is the uptime at which a contradiction of the store's clock was last
	// logged.
	contradictedAt time.Duration
	// reachable is whether the store last counted as reachable; its changes are
	// logged.
	reachable bool
	// weights holds the observed state of servers' weights, by incarnation and
	// model.
	weights map[string]map[string]weights
	// operatorRows and serverRows are the rows last read, served to peers.
	operatorRows map[string]store.Row
	serverRows   []store.Row
	// listed are the servers according to their rows, without the marks of leaving and
	// evacuations.
	listed *Servers
	// leaving holds the servers that announced their shutdown in a response.
	leaving leavingServers
	// evacuations holds the operators' rows that evacuate failure domains.
	evacuations evacuations
	// onEvacuation are called while a failure domain is evacuated.
	onEvacuation []func()
	// software holds the software versions in the servers' rows, and reportedSoftware
	// those that daemons report; nil until their rows have been read.
	software         softwareVersions
	reportedSoftware softwareVersions
	// streams holds the software versions that began the streams in daemons' rows.
	streams map[uint64][]string
	// named holds the software versions in this daemon's row, by service.
	named map[string][]string
	beats beats
	// heartbeat is held while a heartbeat is collected and written.
	heartbeat sync.Mutex
}

// New returns a State that is empty until its Serve methods run.
func New(s store.Store, c Codec, log *zap.Logger) *State {
	f := &State{codec: c, log: log, store: s, versions: make(map[string]int), weights: make(map[string]map[string]weights), operatorRows: make(map[string]store.Row), readAt: make(map[string]time.Duration), listed: &Servers{}}
	f.servers.Store(&Servers{})
	f.members.Store(&Members{})
	return f
}

// SetRegions sets the regions of failure domains. It must be called before any other method.
func (f *State) SetRegions(byDomain map[string]string) {
	f.regions = byDomain
}

// Region returns the region of a failure domain; empty if it is not known.
func (f *State) Region(domain string) string {
	return f.regions[domain]
}

// Config returns the newest configuration, or nil if none was read yet.
func (f *State) Config() *route.Config {
	return f.config.Load()
}

// Reachable reports whether the store has answered within unreachableAfter.
func (f *State) Reachable() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.answeredAt > 0 && Uptime()-f.answeredAt < unreachableAfter
}

// StoreAge returns the time since the store last answered, or 0 if it never did.
func (f *State) StoreAge() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.answeredAt == 0 {
		return 0
	}
	return Uptime() - f.answeredAt
}

// ConfigAge returns the time since the operators' rows were last read, or 0
// before the first read.
func (f *State) ConfigAge() time.Duration {
	return f.age(f.codec.OperatorTable)
}

// MembersAge returns the time since the daemons' rows were last read, or 0 before
// the first read.
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

// recordRead records a successful read of a table.
func (f *State) recordRead(table string, s store.Snapshot, sentAt time.Duration) {
	f.recordResponse(s, sentAt)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.readAt[table] = max(f.readAt[table], sentAt)
}

// Version returns the newest version of a model's weights, or 0 if the operators
// have not set one.
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

// ServeOperator follows the operators' table until the context ends.
func (f *State) ServeOperator(ctx context.Context) error {
	Follow(ctx, f, Subscription{
		Table: f.codec.OperatorTable, Read: f.readOperator, Apply: f.applyOperator,
	})
	return nil
}

// recordResponse records that the store answered a call sent at uptime sentAt.
func (f *State) recordResponse(s store.Snapshot, sentAt time.Duration) {
	contradiction := f.Clock.Observe(s.Now, sentAt)
	f.mutex.Lock()
	now := Uptime()
	if contradiction = contradiction && (f.contradictedAt == 0 || now-f.contradictedAt >= contradictionInterval); contradiction {
		f.contradictedAt = now
	}
	f.answeredAt = max(f.answeredAt, sentAt)
	regained := !f.reachable
	f.reachable = true
	f.mutex.Unlock()
	if contradiction {
		f.log.Warn("store's clock contradicts earlier answers", zap.Time("Now", s.Now))
	}
	if regained {
		f.log.Info("store reachable")
	}
}

// recordFailure records a failed call to the store, and logs the first one after
// which the store counts as unreachable.
func (f *State) recordFailure(call string, err error) {
	if f.Reachable() {
		return
	}
	f.mutex.Lock()
	lost := f.reachable
	f.reachable = false
	f.mutex.Unlock()
	if lost {
		f.log.Warn("store lost", zap.String("Call", call), zap.Error(err))
	}
}

// readOperator reads all rows of the operators' table.
func (f *State) readOperator(ctx context.Context) (store.Snapshot, error) {
	return store.ReadAll(ctx, f.store, store.Range{Table: f.codec.OperatorTable})
}

// applyOperator applies what a read of the operators' table returned. Evacuations come first:
// with the first configuration, requests begin.
func (f *State) applyOperator(u Update) {
	f.applyEvacuations(u)
	f.applyOperatorRows(u.Rows)
}

// applyOperatorRows applies rows of the operators' table, except evacuations, and keeps
// them for peers. Removed rows change nothing.
func (f *State) applyOperatorRows(rows []store.Row) {
	for _, r := range rows {
		if _, ok := f.codec.evacuation(r); ok || r.Removed {
			continue
		}
		f.keepOperatorRow(r)
		if r.Key.Name == f.codec.ConfigName {
			f.applyConfig(r)
			continue
		}
		if m, v, ok := f.codec.Version(r.Key.Name, r.Value); ok {
			f.applyVersion(m, v)
		}
	}
}

// keepOperatorRow keeps the newest version of a row, to serve it to peers.
func (f *State) keepOperatorRow(r store.Row) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if r.Version >= f.operatorRows[r.Key.Name].Version {
		f.operatorRows[r.Key.Name] = r
	}
}

func (f *State) applyConfig(r store.Row) {
	c, err := f.codec.Config(r.Value)
	if err != nil {
		f.log.Error("configuration row not decoded; keeping the previous configuration", zap.Int64("RowVersion", r.Version), zap.Error(err))
		return
	}
	old := f.config.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	f.config.Store(c)
	f.log.Info("configuration applied", zap.Int64("Version", c.Version), zap.Int("Routes", len(c.Routes)), zap.Bool("KeyRequired", c.Access().Required()))
	if old.Access().Required() && !c.Access().Required() {
		f.log.Warn("configuration has no tenants any more: no key is required", zap.Int64("Version", c.Version))
	}
}

func (f *State) applyVersion(model string, version int) {
	f.mutex.Lock()
	newer := version > f.versions[model]
	if newer {
		f.versions[model] = version
	}
	f.mutex.Unlock()
	if newer {
		f.log.Info("weights version set by operators", zap.String("Model", model), zap.Int("Version", version))
	}
}
