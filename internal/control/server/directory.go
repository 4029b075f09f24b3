// Package server decides which backend servers may be given new work, from a VM
// list that lags behind and from notices that arrive by other channels.
package server

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// forgetAfter is how long the entry of a server that is no longer listed is
// kept. It is far longer than any lag of the list, so that an old copy of the
// list cannot make a leaving server usable again.
const forgetAfter = time.Hour

// Directory tracks which servers may be given new work. The zero value contains
// no server. It is not safe for concurrent use.
type Directory struct {
	// entries contains every server that was listed, or named in a notice,
	// within forgetAfter.
	entries map[fleet.ServerID]*entry
	drained map[fleet.FailureDomain]bool
}

type entry struct {
	server fleet.Server
	// listed is false for a server that was named in a notice and never listed.
	listed bool
	// leaving is never reset: a server's ID identifies a single boot.
	leaving bool
	// absent is whether the server is missing from the latest list.
	absent bool
	// forgetAt is when the entry may be removed; zero while the server is
	// listed.
	forgetAt time.Time
}

// Drain replaces the set of failure domains that operators have excluded from
// use, and returns the resulting events.
func (d *Directory) Drain(domains []fleet.FailureDomain) []Event {
	before := d.usable()
	d.drained = make(map[fleet.FailureDomain]bool, len(domains))
	for _, f := range domains {
		d.drained[f] = true
	}
	return d.changes(before)
}

// MarkLeaving processes a notice that servers are leaving, and returns the
// resulting events. A notice is permanent.
func (d *Directory) MarkLeaving(now time.Time, ids ...fleet.ServerID) []Event {
	before := d.usable()
	for _, id := range ids {
		e := d.entry(id)
		e.leaving = true
		if !e.listed {
			e.forgetAt = now.Add(forgetAfter)
		}
	}
	return d.changes(before)
}

// Leaving returns the servers that are known to be leaving, ordered by ID.
// Servers missing from the latest list are omitted.
func (d *Directory) Leaving() []fleet.ServerID {
	var out []fleet.ServerID
	for id, e := range d.entries {
		if e.leaving && !e.absent {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// UpdateList processes a copy of the VM list, which may be older than the
// previous one, and returns the resulting events.
func (d *Directory) UpdateList(now time.Time, servers []fleet.Server) []Event {
	before := d.usable()
	for _, e := range d.entries {
		e.absent = true
	}
	for _, s := range servers {
		d.updateEntry(s)
	}
	for id, e := range d.entries {
		d.expire(now, id, e)
	}
	return d.changes(before)
}

// Snapshot returns an immutable copy of the directory.
func (d *Directory) Snapshot() *Snapshot {
	s := &Snapshot{
		servers: make(map[fleet.ServerID]fleet.Server, len(d.entries)),
		usable:  make(map[fleet.ServerID]bool, len(d.entries)),
		counts:  make(map[RegionPool]int),
		Leaving: d.Leaving(),
	}
	for id, e := range d.entries {
		if !e.listed || e.absent {
			continue
		}
		v := d.effective(e)
		s.servers[id] = v
		s.Servers = append(s.Servers, v)
		if d.acceptsWork(e) {
			s.usable[id] = true
			s.counts[RegionPool{Region: v.Region, Pool: v.Pool}]++
		}
	}
	slices.SortFunc(s.Servers, func(a, b fleet.Server) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// expire removes an absent entry once forgetAt has passed. It sets forgetAt when
// the entry becomes absent and resets it when the server is listed again.
func (d *Directory) expire(now time.Time, id fleet.ServerID, e *entry) {
	if !e.absent {
		e.forgetAt = time.Time{}
		return
	}
	if e.forgetAt.IsZero() {
		e.forgetAt = now.Add(forgetAfter)
		return
	}
	if clock.Passed(now, e.forgetAt) {
		delete(d.entries, id)
	}
}

// changes returns the events that turn the usable servers before into the
// current ones, ordered by server.
func (d *Directory) changes(before map[fleet.ServerID]bool) []Event {
	after := d.usable()
	var out []Event
	for id := range before {
		if !after[id] {
			out = append(out, Event{Kind: Closed, Server: id})
		}
	}
	for id := range after {
		if !before[id] {
			out = append(out, Event{Kind: Opened, Server: id})
		}
	}
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

func (d *Directory) entry(id fleet.ServerID) *entry {
	if d.entries == nil {
		d.entries = make(map[fleet.ServerID]*entry)
	}
	e := d.entries[id]
	if e == nil {
		e = &entry{server: fleet.Server{ID: id}}
		d.entries[id] = e
	}
	return e
}

func (d *Directory) updateEntry(s fleet.Server) {
	e := d.entry(s.ID)
	e.server = s
	e.listed = true
	e.absent = s.State == fleet.StateGone
	if s.State != fleet.StateLive {
		e.leaving = true
	}
}

// effective returns an entry's server in the state that results from the list
// and the notices, with a capacity of at least 1.
func (d *Directory) effective(e *entry) fleet.Server {
	s := e.server
	if e.leaving {
		s.State = fleet.StateLeaving
	}
	s.Capacity = max(s.Capacity, 1)
	return s
}

func (d *Directory) acceptsWork(e *entry) bool {
	return e.listed && !e.absent && !e.leaving && !d.drained[e.server.FailureDomain]
}

func (d *Directory) usable() map[fleet.ServerID]bool {
	out := make(map[fleet.ServerID]bool, len(d.entries))
	for id, e := range d.entries {
		if d.acceptsWork(e) {
			out[id] = true
		}
	}
	return out
}
