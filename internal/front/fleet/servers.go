package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// serverReadInterval is the minimum time between two reads of changes of the
	// servers' rows, and serverReadPerServer is added to it for each server: applying
	// changes goes through all servers.
	serverReadInterval  = 200 * time.Millisecond
	serverReadPerServer = 200 * time.Microsecond
	// expiredRowGrace is how long servers whose rows are missing are kept after an
	// outage of the store: rows that expired during the outage are written again
	// within this time.
	expiredRowGrace = 2200 * time.Millisecond
	// startSpan is the time after the first read of servers' rows in which servers that
	// appear are assumed to have run before this daemon started.
	startSpan = time.Second
	// goneRetention is how long a server is kept after its row is gone: rows that expired
	// during an outage of the store are written again, and their servers are not new.
	goneRetention = 10 * time.Minute
	// minWait is the shortest time that a read waits for changes.
	minWait = 10 * time.Millisecond
	// outageThreshold is the time without an answer of the store, beyond the time
	// between two reads, after which rows may have expired. It is longer than a read
	// that waits for changes.
	outageThreshold = feedWait + 500*time.Millisecond
)

// Servers is an immutable list of the servers that may be used.
type Servers struct {
	List []backend.Server
	byID map[string]int
}

// Get returns a server by its ID.
func (s *Servers) Get(id string) (backend.Server, bool) {
	i, ok := s.byID[id]
	if !ok {
		return backend.Server{}, false
	}
	return s.List[i], true
}

// Servers returns the servers, including draining ones.
func (f *State) Servers() *Servers {
	return f.servers.Load()
}

// ServeServers follows the servers' rows until the context ends.
func (f *State) ServeServers(ctx context.Context) error {
	var d directory
	Follow(ctx, f, Subscription{
		Table: f.codec.ServerTable, Read: f.readServers,
		Interval: func() time.Duration { return serverInterval(len(f.Servers().List)) },
		Wait:     func() time.Duration { return d.wait(Uptime()) },
		Apply: func(u Update) {
			d.apply(u)
			f.updateServers(&d, Uptime())
		},
	})
	return nil
}

// serverInterval returns the time between two reads of changes of the rows of a
// number of servers.
func serverInterval(servers int) time.Duration {
	return serverReadInterval + time.Duration(servers)*serverReadPerServer
}

// readServers reads all rows of the servers' table.
func (f *State) readServers(ctx context.Context) (store.Snapshot, error) {
	return store.ReadAll(ctx, f.store, store.Range{Table: f.codec.ServerTable})
}

// updateServers publishes the servers of a directory, whose rows are as of uptime
// at.
func (f *State) updateServers(d *directory, at time.Duration) {
	if !d.needsUpdate(at) {
		return
	}
	now := time.Now()
	var read []backend.Server
	for _, r := range d.rows {
		if v, ok := d.unchanged(r); ok {
			read = append(read, v)
			continue
		}
		v, err := f.codec.Server(r.Key.Name, r.Value, now)
		if err != nil {
			if d.firstIgnored(r.Key.Name, r.Version) {
				f.log.Warn("server row ignored", zap.String("Server", r.Key.Name), zap.Error(err))
			}
			continue
		}
		d.recordSeen(&v, now, at)
		d.recordDecoded(r, v)
		read = append(read, v)
	}
	for _, change := range d.update(read, at) {
		f.log.Info("server "+change.event, zap.String("Server", change.server.ID), zap.String("Service", change.server.Service),
			zap.String("Software", change.server.Software))
	}
	rows := slices.Collect(maps.Values(d.rows))
	f.mutex.Lock()
	f.serverRows = rows
	f.recordSoftware(read)
	f.listed = d.snapshot()
	f.publishServers(now)
	f.mutex.Unlock()
	f.pruneWeights()
	f.notifyEvacuation()
}

// publishServers publishes the listed servers with the marks of announced shutdowns and
// evacuations. It is called with the mutex held.
func (f *State) publishServers(now time.Time) {
	f.servers.Store(markEvacuated(f.leaving.apply(f.listed, now), f.Evacuated()))
}

// directory decides which servers may be used, from their rows and the changes of
// these. The zero value has no servers.
type directory struct {
	// rows are the rows in the store, by name, and changed is whether the servers
	// are not up to date with them.
	rows    map[string]store.Row
	changed bool
	servers map[string]backend.Server
	// gone holds the servers that have no rows any more, by ID.
	gone map[string]goneServer
	// firstAt is the uptime of the first rows.
	firstAt time.Duration
	// readAt is the uptime of the last answer of the store.
	readAt time.Duration
	// graceUntil is the uptime until which missing servers are kept.
	graceUntil time.Duration
	// ignored holds the versions of rows that could not be decoded.
	ignored map[string]int64
	// versions holds the versions of the rows of servers.
	versions map[string]int64
}

// apply applies rows that the store returned.
func (d *directory) apply(u Update) {
	if u.Complete || d.rows == nil {
		d.rows = make(map[string]store.Row, len(u.Rows))
		d.changed = true
	}
	for _, r := range u.Rows {
		d.changed = true
		if r.Removed {
			delete(d.rows, r.Key.Name)
			continue
		}
		d.rows[r.Key.Name] = r
	}
}

// needsUpdate records an answer of the store at an uptime, and reports whether the
// servers may have changed since the last one.
func (d *directory) needsUpdate(at time.Duration) bool {
	if d.readAt > 0 && at-d.readAt > outageThreshold+serverInterval(len(d.servers)) {
		d.graceUntil = at + expiredRowGrace
	}
	d.readAt = at
	needed := d.changed || d.graceUntil > 0
	d.changed = false
	return needed
}

// wait returns how long the next read may wait for a change: no longer than until
// servers whose rows are missing must be dropped.
func (d *directory) wait(at time.Duration) time.Duration {
	if d.graceUntil == 0 {
		return feedWait
	}
	return min(feedWait, max(minWait, d.graceUntil-at))
}

// unchanged returns the server of a row if this version of the row was decoded
// before.
func (d *directory) unchanged(r store.Row) (backend.Server, bool) {
	s, ok := d.servers[r.Key.Name]
	return s, ok && r.Version > 0 && d.versions[r.Key.Name] == r.Version
}

// recordSeen sets the time at which this daemon first read the row of a server's incarnation,
// given the time and uptime of the read.
func (d *directory) recordSeen(s *backend.Server, now time.Time, at time.Duration) {
	if d.firstAt == 0 {
		d.firstAt = at
	}
	s.SeenAt, s.SeenAtStart = now, at-d.firstAt < startSpan
	known, ok := d.servers[s.ID]
	if !ok {
		known = d.gone[s.ID].server
	}
	if !known.SeenAt.IsZero() && known.Incarnation() == s.Incarnation() {
		s.SeenAt, s.SeenAtStart = known.SeenAt, known.SeenAtStart
	}
}

// goneServer is a server without a row, since an uptime.
type goneServer struct {
	server backend.Server
	at     time.Duration
}

// recordGone keeps a server whose row is gone at an uptime, and drops those without a row for
// goneRetention.
func (d *directory) recordGone(s backend.Server, at time.Duration) {
	if d.gone == nil {
		d.gone = make(map[string]goneServer)
	}
	maps.DeleteFunc(d.gone, func(_ string, g goneServer) bool { return at-g.at > goneRetention })
	d.gone[s.ID] = goneServer{server: s, at: at}
}

// recordDecoded records the version of a row that was decoded.
func (d *directory) recordDecoded(r store.Row, s backend.Server) {
	if d.versions == nil {
		d.versions = make(map[string]int64)
	}
	d.versions[s.ID] = r.Version
}

// change is a change of a server that a read revealed.
type change struct {
	event  string
	server backend.Server
}

// update applies all servers that have rows at an uptime, and returns what changed.
func (d *directory) update(read []backend.Server, at time.Duration) []change {
	if at >= d.graceUntil {
		d.graceUntil = 0
	}
	old := d.servers
	d.servers = make(map[string]backend.Server, len(read))
	var changes []change
	for _, s := range read {
		d.servers[s.ID] = s
		previous, known := old[s.ID]
		switch {
		case !known:
			changes = append(changes, change{"joined", s})
		case s.Draining && !previous.Draining:
			changes = append(changes, change{"draining", s})
		}
	}
	for id, s := range old {
		if _, ok := d.servers[id]; ok {
			continue
		}
		if d.graceUntil > 0 {
			d.servers[id] = s
			continue
		}
		delete(d.versions, id)
		d.recordGone(s, at)
		changes = append(changes, change{"gone", s})
	}
	return changes
}

func (d *directory) snapshot() *Servers {
	s := &Servers{byID: make(map[string]int, len(d.servers))}
	for id, v := range d.servers {
		s.byID[id] = len(s.List)
		s.List = append(s.List, v)
	}
	return s
}

// firstIgnored records a row that could not be decoded, and reports whether it is
// the first version of the row that was ignored.
func (d *directory) firstIgnored(name string, version int64) bool {
	if d.ignored == nil {
		d.ignored = make(map[string]int64)
	}
	if d.ignored[name] == version {
		return false
	}
	_, seen := d.ignored[name]
	d.ignored[name] = version
	return !seen
}
