// Package server decides which backend servers may be given new work, from a
// VM list that lags and from notices that arrive on other ways.
package server

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// forgetAfter is how long a server that the list no longer shows is
// remembered. It is far longer than any lag of the list, so that an old copy
// of the list cannot bring a leaving server back.
const forgetAfter = time.Hour

// Directory is the decision value. The zero value knows no server. Its methods
// are called by one goroutine.
type Directory struct {
	// entries holds every server seen or noticed within forgetAfter.
	entries map[fleet.ServerID]*entry
	drained map[fleet.FailureDomain]bool
}

type entry struct {
	server fleet.Server
	// listed is false for a server that was noticed and never listed.
	listed bool
	// leaving never returns to false: the ID of a server names one boot.
	leaving bool
	// absent is whether the newest list lacks the server.
	absent bool
	// forgetAt is when the entry may go; zero while the server is listed.
	forgetAt time.Time
}

// Drain replaces the failure domains that operators have taken out of use.
func (d *Directory) Drain(domains []fleet.FailureDomain) []Event {
	before := d.usable()
	d.drained = make(map[fleet.FailureDomain]bool, len(domains))
	for _, f := range domains {
		d.drained[f] = true
	}
	return d.changes(before)
}

// Leave takes a notice that servers leave. A notice holds for good.
func (d *Directory) Leave(now time.Time, ids ...fleet.ServerID) []Event {
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

// Leaving returns the servers that are known to leave, in the order of their
// IDs. Those that the newest list lacks are left out.
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

// List takes a copy of the VM list, which may be older than the one before.
func (d *Directory) List(now time.Time, servers []fleet.Server) []Event {
	before := d.usable()
	for _, e := range d.entries {
		e.absent = true
	}
	for _, s := range servers {
		d.see(s)
	}
	for id, e := range d.entries {
		d.age(now, id, e)
	}
	return d.changes(before)
}

// Snapshot returns an immutable copy.
func (d *Directory) Snapshot() *Snapshot {
	s := &Snapshot{
		servers: make(map[fleet.ServerID]fleet.Server, len(d.entries)),
		usable:  make(map[fleet.ServerID]bool, len(d.entries)),
		counts:  make(map[Place]int),
		Leaving: d.Leaving(),
	}
	for id, e := range d.entries {
		if !e.listed || e.absent {
			continue
		}
		v := d.shown(e)
		s.servers[id] = v
		s.Servers = append(s.Servers, v)
		if d.takesWork(e) {
			s.usable[id] = true
			s.counts[Place{Region: v.Region, Pool: v.Pool}]++
		}
	}
	slices.SortFunc(s.Servers, func(a, b fleet.Server) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

func (d *Directory) age(now time.Time, id fleet.ServerID, e *entry) {
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

func (d *Directory) see(s fleet.Server) {
	e := d.entry(s.ID)
	e.server = s
	e.listed = true
	e.absent = s.State == fleet.StateGone
	if s.State != fleet.StateLive {
		e.leaving = true
	}
}

func (d *Directory) shown(e *entry) fleet.Server {
	s := e.server
	if e.leaving {
		s.State = fleet.StateLeaving
	}
	s.Capacity = max(s.Capacity, 1)
	return s
}

func (d *Directory) takesWork(e *entry) bool {
	return e.listed && !e.absent && !e.leaving && !d.drained[e.server.FailureDomain]
}

func (d *Directory) usable() map[fleet.ServerID]bool {
	out := make(map[fleet.ServerID]bool, len(d.entries))
	for id, e := range d.entries {
		if d.takesWork(e) {
			out[id] = true
		}
	}
	return out
}
