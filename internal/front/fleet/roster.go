package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// aliveReads and aliveIntervals are for how many reads, and for how many
	// intervals, a daemon's row may stay the same while it counts as alive. A
	// slow store delays reads as much as heartbeats.
	aliveReads     = 3
	aliveIntervals = 3.6
	// forgetAfter is how long the row of a dead daemon is kept.
	forgetAfter = 30 * time.Second
)

// roster decides which daemons are alive, from successive reads of their rows.
// The zero value has seen none.
type roster struct {
	self string
	seen map[string]*sighting
	// readAt is the uptime of the last read.
	readAt time.Duration
}

// sighting is what is known of one daemon.
type sighting struct {
	member  Member
	version int64
	// age is the time, and reads the number of reads, that the row stayed the
	// same while reads succeeded.
	age   time.Duration
	reads int
	dead  bool
}

// interval returns the time between two heartbeats.
func (r *roster) interval() time.Duration {
	return max(heartbeatInterval, time.Duration(len(r.seen))*heartbeatShare)
}

// take takes all rows of a read that was sent at an uptime, and returns the
// daemons that count as dead from now on. Time during which no read succeeded
// ages nobody: the others could not write either.
func (r *roster) take(rows []store.Row, sentAt time.Duration) []string {
	step := min(sentAt-r.readAt, 2*r.interval())
	if r.seen == nil {
		r.seen, step = make(map[string]*sighting), 0
	}
	r.readAt = sentAt
	present := make(map[string]bool, len(rows))
	var died []string
	for _, row := range rows {
		id := row.Key.Name
		present[id] = true
		g := r.seen[id]
		if g == nil {
			g = &sighting{}
			r.seen[id] = g
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
		if g.reads >= aliveReads && float64(g.age) >= aliveIntervals*float64(r.interval()) && !g.dead {
			g.dead = true
			died = append(died, id)
		}
	}
	for id := range r.seen {
		if !present[id] {
			delete(r.seen, id)
		}
	}
	return died
}

// alive returns the daemons that count as alive: of each machine only the one
// that wrote last.
func (r *roster) alive() *Members {
	newest := make(map[string]*sighting)
	for _, g := range r.seen {
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

func (r *roster) forgotten() []string {
	var ids []string
	for id, g := range r.seen {
		if g.age >= forgetAfter {
			ids = append(ids, id)
		}
	}
	return ids
}
