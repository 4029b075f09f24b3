package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// A daemon is considered dead once its row has not changed for both
	// maxStaleReads reads and maxStaleIntervals heartbeat intervals. Reads are
	// counted because a slow store delays them as much as heartbeats.
	maxStaleReads     = 3
	maxStaleIntervals = 3.6
	// rowRetention is how long the row of a dead daemon is kept.
	rowRetention = 30 * time.Second
)

// liveness decides which daemons are alive, from successive reads of their rows.
// The zero value has no daemons.
type liveness struct {
	self    string
	daemons map[string]*memberState
	// readAt is the uptime of the last read.
	readAt time.Duration
}

// memberState is the state of one daemon.
type memberState struct {
	member  Member
	version int64
	// age is for how long, and reads for how many reads, the row has not changed.
	// Time during which no read succeeded counts for at most two intervals.
	age   time.Duration
	reads int
	dead  bool
}

// interval returns the time between two heartbeats.
func (r *liveness) interval() time.Duration {
	return max(heartbeatInterval, time.Duration(len(r.daemons))*heartbeatPerDaemon)
}

// update applies all rows of a read sent at uptime sentAt, and returns the IDs of
// the daemons that are considered dead from now on. The time since the previous
// read is capped: while no read succeeds, the other daemons may be unable to
// write as well.
func (r *liveness) update(rows []store.Row, sentAt time.Duration) []string {
	step := min(sentAt-r.readAt, 2*r.interval())
	if r.daemons == nil {
		r.daemons, step = make(map[string]*memberState), 0
	}
	r.readAt = sentAt
	present := make(map[string]bool, len(rows))
	var dead []string
	for _, row := range rows {
		id := row.Key.Name
		present[id] = true
		g := r.daemons[id]
		if g == nil {
			g = &memberState{}
			r.daemons[id] = g
		}
		if row.Version != g.version {
			var m Member
			if err := msgpack.Unmarshal(row.Value, &m); err != nil {
				continue
			}
			g.member, g.version, g.age, g.reads, g.dead = m, row.Version, 0, 0, false
			continue
		}
		g.age += step
		g.reads++
		if g.reads >= maxStaleReads && float64(g.age) >= maxStaleIntervals*float64(r.interval()) && !g.dead {
			g.dead = true
			dead = append(dead, id)
		}
	}
	for id := range r.daemons {
		if !present[id] {
			delete(r.daemons, id)
		}
	}
	return dead
}

// alive returns the daemons that are considered alive: for each machine only the
// one that wrote last.
func (r *liveness) alive() *Members {
	newest := make(map[string]*memberState)
	for _, g := range r.daemons {
		if o := newest[g.member.Machine]; o == nil || g.version > o.version {
			newest[g.member.Machine] = g
		}
	}
	m := &Members{}
	for _, g := range newest {
		if !g.dead {
			m.List = append(m.List, g.member)
		}
	}
	slices.SortFunc(m.List, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return m
}

// expired returns the IDs of the daemons whose rows can be removed.
func (r *liveness) expired() []string {
	var ids []string
	for id, g := range r.daemons {
		if g.age >= rowRetention {
			ids = append(ids, id)
		}
	}
	return ids
}
