package batch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// placesPerRunner is the number of places that one daemon should have of
	// all servers together. With few, a daemon has none on the servers that run
	// a new version, while others have several.
	placesPerRunner = 36
	// minRunners is the number of daemons that run items at least, so that the
	// loss of one moves few.
	minRunners = 8
	// spareTurn is how long it is the same daemons' turn to use places of
	// others: long enough for heartbeats to tell of it.
	spareTurn = 1500 * time.Millisecond
)

// servers returns the servers with what room this daemon has on each.
func (r *Runner) servers() []schedule.Server {
	members, runners := r.fleet.Members().Staying(), r.owners().runners.List
	rank := slices.IndexFunc(runners, func(m fleet.Member) bool { return m.ID == r.self })
	used := r.running()
	load := maps.Clone(used)
	for _, m := range members {
		if m.ID == r.self {
			continue
		}
		for id, n := range m.Running {
			load[id] += n
		}
	}
	r.loads = load
	now := time.Now()
	turn := r.turn()
	var out []schedule.Server
	for _, s := range r.fleet.Servers().List {
		if s.Draining || len(s.Weights) == 0 || r.paces.resting(s.ID) {
			continue
		}
		quota, spare := r.room(s, load[s.ID], rank, len(runners), turn)
		out = append(out, schedule.Server{
			ID: s.ID, Service: s.Service, Free: quota - used[s.ID], Spare: spare - used[s.ID], Load: load[s.ID], Pace: r.pace(s.ID, members),
			Version: func(model string) int { return r.fleet.Loaded(s, model) },
			Loading: r.fleet.Loading(s, now),
		})
	}
	return out
}

// room returns how many items this daemon may run on a server, and how many more
// that have waited long. One that holds items and no longer counts among the
// runners has spare places only.
func (r *Runner) room(s backend.Server, load, rank, runners, turn int) (quota, spare int) {
	if rank >= 0 {
		quota = schedule.Quota(s.Slots, rank, runners, rotation(s.ID))
	}
	if quota > 0 {
		return quota, 0
	}
	seat := rank
	if rank < 0 {
		seat = rotation(r.self)
	}
	switch {
	case !schedule.MayUseSpare(s.Slots, load, seat, runners, rotation(s.ID), turn):
		return 0, 0
	case rank < 0:
		return 1, 0
	}
	return 0, 1
}

// turn returns the number of the current turn, by the store's clock.
func (r *Runner) turn() int {
	now, _ := r.fleet.Clock.Now()
	return int(now.UnixMilli() / spareTurn.Milliseconds() % rotations)
}

// places returns the number of places of all servers that run items.
func (r *Runner) places() int {
	places := 0
	for _, s := range r.fleet.Servers().List {
		if len(s.Weights) > 0 {
			places += s.Slots
		}
	}
	return places
}

// runnersFor returns the number of daemons that run items.
func runnersFor(places int) int {
	return max(minRunners, places/placesPerRunner)
}

// runners returns the daemons that run items, this one perhaps among them.
func (r *Runner) runners() []fleet.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.owners().runners.List
}

// Peers returns the addresses of the other daemons that run items.
func (r *Runner) Peers() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range r.runners() {
		if m.ID != r.self {
			out = append(out, m.Address)
		}
	}
	return out
}

// Paces returns the time between two events on each server that this daemon
// knows well.
func (r *Runner) Paces() map[string]time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.paces.recent()
}

// pace returns the time that a token takes on a server, as seen by this daemon
// or else by the others.
func (r *Runner) pace(id string, members []fleet.Member) time.Duration {
	event := r.paces.events[id]
	if event == 0 {
		for _, m := range members {
			event = max(event, m.Paces[id])
		}
	}
	return event / time.Duration(r.tokensPerEvent())
}

// Running returns the number of items that this daemon runs on each server.
func (r *Runner) Running() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.running()
}

func (r *Runner) running() map[string]int {
	out := make(map[string]int)
	for _, j := range r.jobs {
		for _, i := range j.items {
			if i.server != "" {
				out[i.server]++
			}
		}
	}
	return out
}
