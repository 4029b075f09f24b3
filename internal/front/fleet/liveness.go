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
	// rowRetention is how long the row of a dead daemon is kept: as long as the streams that
	// it began may last.
	rowRetention = softwareRetention + 5*time.Second
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
func (l *liveness) interval() time.Duration {
	return max(heartbeatInterval, time.Duration(len(l.daemons))*heartbeatPerDaemon)
}

// update applies all rows of a read sent at uptime sentAt, and returns the IDs of
// the daemons that are considered dead from now on. The time since the previous
// read is capped: while no read succeeds, the other daemons may be unable to
// write as well.
func (l *liveness) update(rows []store.Row, sentAt time.Duration) []string {
	elapsed := min(sentAt-l.readAt, 2*l.interval())
	if l.daemons == nil {
		l.daemons, elapsed = make(map[string]*memberState), 0
	}
	l.readAt = sentAt
	present := make(map[string]bool, len(rows))
	var dead []string
	for _, row := range rows {
		id := row.Key.Name
		present[id] = true
		s := l.daemons[id]
		if s == nil {
			s = &memberState{}
			l.daemons[id] = s
		}
		if row.Version != s.version {
			var m Member
			if err := msgpack.Unmarshal(row.Value, &m); err != nil {
				continue
			}
			s.member, s.version, s.age, s.reads, s.dead = m, row.Version, 0, 0, false
			continue
		}
		s.age += elapsed
		s.reads++
		if s.reads >= maxStaleReads && float64(s.age) >= maxStaleIntervals*float64(l.interval()) && !s.dead {
			s.dead = true
			dead = append(dead, id)
		}
	}
	for id := range l.daemons {
		if !present[id] {
			delete(l.daemons, id)
		}
	}
	return dead
}

// alive returns the daemons that are considered alive: for each VM only the one
// that wrote last.
func (l *liveness) alive() *Members {
	newest := make(map[string]*memberState)
	for _, s := range l.daemons {
		if o := newest[s.member.Machine]; o == nil || s.version > o.version {
			newest[s.member.Machine] = s
		}
	}
	m := &Members{}
	for _, s := range l.daemons {
		if !s.dead && newest[s.member.Machine] == s {
			m.List = append(m.List, s.member)
			continue
		}
		m.Ended = append(m.Ended, s.member)
	}
	slices.SortFunc(m.List, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return m
}

// expired returns the IDs of the daemons whose rows can be removed.
func (l *liveness) expired() []string {
	var ids []string
	for id, s := range l.daemons {
		if s.age >= rowRetention {
			ids = append(ids, id)
		}
	}
	return ids
}
