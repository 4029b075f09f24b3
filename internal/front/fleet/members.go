package fleet

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/ratelimit"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	memberTable = "members"
	// heartbeatInterval is the minimum time between two heartbeats of a daemon,
	// and between two reads of all heartbeats.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatPerDaemon is added to the interval for each daemon, so that large
	// fleets stay below the load that one part of the store can handle.
	heartbeatPerDaemon = 8 * time.Millisecond
)

// Member describes a daemon, as the daemon itself reports it.
type Member struct {
	// ID is unique to one run of a daemon.
	ID      string
	Machine string
	Domain  string
	Address netip.AddrPort
	// Share is the fraction of a core that is allotted to the daemon.
	Share float64
	// Leaving is set once the daemon starts to shut down.
	Leaving bool
	// Loaded holds the versions of weights that servers have finished loading,
	// by server incarnation and model. The holder of the duty sets it.
	Loaded map[string]map[string]int
	// Running counts the items of batch jobs that the daemon runs, by server.
	Running map[string]int
	// Suspects counts the failures of servers while they ran the same request, by the
	// request's fingerprint.
	Suspects map[uint64]SuspectServers `msgpack:"SuspectServers"`
	// Interrupted counts those during a stream that made progress before or after them.
	Interrupted map[uint64]SuspectServers `msgpack:"InterruptedServers,omitempty"`
	// Ahead is how far the daemon's time of day is ahead of the store's clock,
	// which has another origin; 0 if unknown.
	Ahead time.Duration
	// Paces holds the recently observed time between two events of a stream, by
	// server.
	Paces map[string]time.Duration
	// Rates holds what servers answered the daemon about their rates, by server
	// incarnation.
	Rates map[string]ServerRate
	// Demands holds, for servers that limit their rates, the number of requests that the
	// daemon sent lately and of those that wait, by server incarnation.
	Demands map[string]ratelimit.Demand
	// ServiceDemands holds the number of requests that the daemon sent lately to the
	// servers of each service.
	ServiceDemands map[string]ratelimit.Demand
	// Software holds the software versions of the servers of each service that has
	// several, as the daemon has seen them.
	Software map[string][]string
	// Streams holds the hashes of streams of these services, by the software version that
	// began them.
	Streams map[string][]uint64
	// InUse holds the software versions of the servers of each service with streams that may
	// be resumed: a daemon begins no such stream at a version before its row contains it.
	// NamesSoftware is whether the daemon keeps to that; earlier builds do not.
	InUse         map[string][]string
	NamesSoftware bool
	// Partitioned is whether the daemon is partitioned from the backend servers.
	Partitioned bool
	// TakesRequests is whether the daemon runs live requests of other daemons. Earlier builds
	// do not.
	TakesRequests bool
	// Unfinished holds, for each open job of which the daemon has unfinished items, the
	// number of tokens that they are expected to need, by the position of the group in
	// the job. Earlier builds do not report it.
	Unfinished map[string][]int
	// YieldedAt is when the daemon last yielded the items of all jobs submitted until
	// then, by the store's clock; zero if never.
	YieldedAt time.Time
}

// ServerRate is what a server answered about the rate that it allows to all daemons
// together.
type ServerRate struct {
	// Rate is in requests per second; it has no meaning if Ended is set.
	Rate float64
	// Ended is whether the server no longer limits its rate.
	Ended bool
	// At is the time of the latest answer, by the store's clock.
	At time.Time
	// ColdUntil is until when the server is cold, by the store's clock, if Rate is that of
	// a cold server, which does not name it itself. Earlier builds take Rate for one that
	// it named.
	ColdUntil time.Time `msgpack:",omitempty"`
}

// SuspectServers counts the failures of servers while they ran one request, by the hash
// of the server's incarnation.
type SuspectServers map[uint64]int

// Members is an immutable list of the daemons that are alive, in order of their
// IDs.
type Members struct {
	List []Member
	// Ended are daemons that are no longer alive but still have rows: what they knew of
	// servers may still hold.
	Ended []Member

	// active holds the IDs of the daemons that are not shutting down. It is built by
	// the first call of Has.
	active     map[string]bool
	buildIndex sync.Once
}

// Has reports whether a daemon is alive and not shutting down.
func (m *Members) Has(id string) bool {
	m.buildIndex.Do(func() {
		m.active = make(map[string]bool, len(m.List))
		for _, o := range m.List {
			m.active[o.ID] = m.active[o.ID] || !o.Leaving
		}
	})
	return m.active[id]
}

// Pick returns the ID of the daemon that is responsible for some work, by
// rendezvous hashing: all daemons with the same list get the same result, and
// when a daemon dies, only its own work is reassigned. The result is empty if all
// daemons are shutting down.
func (m *Members) Pick(work string) string {
	best, bestScore := "", uint64(0)
	for _, o := range m.List {
		if o.Leaving {
			continue
		}
		if score := xxhash.Sum64String(work + "\x00" + o.ID); best == "" || score > bestScore {
			best, bestScore = o.ID, score
		}
	}
	return best
}

// LargestByShare returns up to n daemons that are not shutting down, those with
// the largest shares of a core. All daemons with the same list get the same
// result.
func (m *Members) LargestByShare(n int) *Members {
	list := m.Active()
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
	})
	return &Members{List: list[:min(n, len(list))]}
}

// Reaching returns the daemons that are neither partitioned from the servers nor shutting
// down, or all if none is left. Whether self is partitioned is given, because its heartbeat may be older.
func (m *Members) Reaching(self string, partitioned bool) *Members {
	out := &Members{}
	for _, o := range m.List {
		cut := o.Partitioned
		if o.ID == self {
			cut = partitioned
		}
		if !cut && !o.Leaving {
			out.List = append(out.List, o)
		}
	}
	if len(out.List) == 0 {
		return m
	}
	return out
}

// Active returns the daemons that are not shutting down.
func (m *Members) Active() []Member {
	var out []Member
	for _, o := range m.List {
		if !o.Leaving {
			out = append(out, o)
		}
	}
	return out
}

// Members returns the daemons that are alive.
func (f *State) Members() *Members {
	return f.members.Load()
}

// ServeMembers writes the daemon's own heartbeat and reads those of all daemons
// until the context ends. It calls self before each heartbeat.
func (f *State) ServeMembers(ctx context.Context, self func() Member) error {
	l := liveness{self: self().ID}
	f.beats.serve(l.self)
	for ctx.Err() == nil {
		reads := f.beat(ctx, self)
		f.beats.end(reads, true, f.readMembers(ctx, &l))
		f.pauseMembers(ctx, &l, self)
	}
	return nil
}

// pauseMembers waits for the time between two heartbeats, and meanwhile writes and reads rows as
// requested. Reads need no heartbeat, and do not put off the next one.
func (f *State) pauseMembers(ctx context.Context, l *liveness, self func() Member) {
	end := time.Now().Add(l.interval())
	for {
		f.pauseBeats(ctx, time.Until(end), earlyInterval(len(l.daemons)), self)
		if ctx.Err() != nil || !time.Now().Before(end) || !f.beats.wantsOnlyReads() {
			return
		}
		reads := f.beats.begin()
		f.beats.end(reads, true, f.readMembers(ctx, l))
	}
}

// Heartbeat writes the daemon's own row, which self returns, once. Rows are collected and
// written one at a time, so that an older one does not replace a newer one.
func (f *State) Heartbeat(ctx context.Context, self func() Member) error {
	f.heartbeat.Lock()
	defer f.heartbeat.Unlock()
	m := self()
	b, err := msgpack.Marshal(&m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := Uptime()
	s, err := f.store.Commit(ctx, store.Txn{Puts: []store.Row{{Key: store.Key{Table: memberTable, Name: m.ID}, Value: b}}})
	if err == nil {
		f.recordResponse(s, sentAt)
		f.recordNamed(m.InUse)
	}
	return err
}

// readMembers reads the rows of all daemons, and reports whether the store answered.
func (f *State) readMembers(ctx context.Context, l *liveness) bool {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := Uptime()
	s, err := store.ReadAll(c, f.store, store.Range{Table: memberTable})
	if err != nil {
		f.recordFailure(memberTable, err)
		return false
	}
	f.recordRead(memberTable, s, sentAt)
	for _, id := range l.update(s.Rows, sentAt) {
		f.log.Info("daemon considered dead", zap.String("Member", id))
	}
	m := l.alive()
	f.recordReportedSoftware(slices.Concat(m.List, m.Ended))
	if before := len(f.Members().List); before != len(m.List) {
		f.log.Info("number of daemons alive changed", zap.Int("Before", before), zap.Int("Now", len(m.List)))
	}
	for _, o := range m.List {
		for server, models := range o.Loaded {
			for model, v := range models {
				f.RecordLoaded(server, model, v)
			}
		}
	}
	f.members.Store(m)
	f.removeExpiredRows(ctx, l)
	return true
}

// removeExpiredRows removes the rows of daemons that have been dead for
// rowRetention. Only the daemon that Pick selects does so.
func (f *State) removeExpiredRows(ctx context.Context, l *liveness) {
	old := l.expired()
	if len(old) == 0 || f.Members().Pick(memberTable) != l.self {
		return
	}
	var t store.Txn
	for _, id := range old {
		t.Removes = append(t.Removes, store.Key{Table: memberTable, Name: id})
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := f.store.Commit(c, t); err != nil {
		f.log.Info("removing rows of dead daemons failed", zap.Error(err))
	}
}
