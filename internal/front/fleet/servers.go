package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// serverReadInterval is the minimum time between two reads of the servers'
	// rows, and serverReadPerServer is added to it for each server, so that the
	// cost of reading hardly depends on the number of servers.
	serverReadInterval  = 300 * time.Millisecond
	serverReadPerServer = 5 * time.Millisecond
	// expiredRowGrace is how long servers whose rows are missing are kept after an
	// outage of the store: rows that expired during the outage are written again
	// within this time.
	expiredRowGrace = 2200 * time.Millisecond
	// outageThreshold is the time without a successful read after which rows may
	// have expired.
	outageThreshold = 1200 * time.Millisecond
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

// ServeServers reads the servers until the context ends.
func (f *State) ServeServers(ctx context.Context) error {
	var d directory
	for ctx.Err() == nil {
		f.readServers(ctx, &d)
		Sleep(ctx, max(serverReadInterval, time.Duration(len(f.Servers().List))*serverReadPerServer))
	}
	return nil
}

func (f *State) readServers(ctx context.Context, d *directory) {
	sentAt := Uptime()
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := store.ReadAll(c, f.store, store.Range{Table: f.codec.ServerTable})
	if err != nil {
		f.recordFailure(f.codec.ServerTable, err)
		return
	}
	f.recordResponse(s, sentAt)
	f.updateServers(d, s.Rows, sentAt)
}

// updateServers applies all rows of the server table, as returned by a call sent
// at uptime sentAt.
func (f *State) updateServers(d *directory, rows []store.Row, sentAt time.Duration) {
	f.mutex.Lock()
	f.serverRows = rows
	f.mutex.Unlock()
	now := time.Now()
	var read []backend.Server
	for _, r := range rows {
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
		d.recordDecoded(r, v)
		read = append(read, v)
	}
	for _, change := range d.update(read, sentAt) {
		f.log.Info("server "+change.event, zap.String("Server", change.server.ID), zap.String("Service", change.server.Service))
	}
	f.servers.Store(d.snapshot())
	f.pruneWeights()
}

// directory decides which servers may be used, from successive reads of their
// rows. The zero value has no servers.
type directory struct {
	servers map[string]backend.Server
	// readAt is the uptime of the last read.
	readAt time.Duration
	// graceUntil is the uptime until which missing servers are kept.
	graceUntil time.Duration
	// ignored holds the versions of rows that could not be decoded.
	ignored map[string]int64
	// versions holds the versions of the rows of servers.
	versions map[string]int64
}

// unchanged returns the server of a row if this version of the row was decoded
// before.
func (d *directory) unchanged(r store.Row) (backend.Server, bool) {
	s, ok := d.servers[r.Key.Name]
	return s, ok && r.Version > 0 && d.versions[r.Key.Name] == r.Version
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

// update applies all servers of a read sent at uptime sentAt, and returns what
// changed.
func (d *directory) update(read []backend.Server, sentAt time.Duration) []change {
	if d.readAt > 0 && sentAt-d.readAt > outageThreshold {
		d.graceUntil = sentAt + expiredRowGrace
	}
	d.readAt = sentAt
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
		if sentAt < d.graceUntil {
			d.servers[id] = s
			continue
		}
		delete(d.versions, id)
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
