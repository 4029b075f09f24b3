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
	// slotsPerRunner is the number of slots per daemon that runs items, over
	// all servers. With fewer, some daemons have no slot on the servers that
	// run a new version, while others have several.
	slotsPerRunner = 36
	// minRunners is the minimum number of daemons that run items, so that the
	// loss of one moves only few items.
	minRunners = 8
	// spareTurnDuration is how long the same daemons may use spare slots of
	// others: long enough for heartbeats to report that use.
	spareTurnDuration = 1500 * time.Millisecond
)

// servers returns the servers with the slots that this daemon may use on each, and
// updates r.serverLoad. It omits servers that are draining, run no weights or are
// in backoff. It is called with the mutex held.
func (r *Runner) servers() []schedule.Server {
	reports, runners := r.memberReports(), r.owners().runners.List
	rank := slices.IndexFunc(runners, func(m fleet.Member) bool { return m.ID == r.self })
	used := r.running()
	load := maps.Clone(reports.running)
	for id, n := range used {
		load[id] += n
	}
	r.serverLoad = load
	now := time.Now()
	turn := r.turn()
	var out []schedule.Server
	for _, s := range r.fleet.Servers().List {
		if s.Draining || len(s.Weights) == 0 || r.paces.inBackoff(s.ID) {
			continue
		}
		quota, spare := r.slotsOn(s, load[s.ID], rank, len(runners), turn)
		out = append(out, schedule.Server{
			ID: s.ID, Service: s.Service, Free: quota - used[s.ID], Spare: spare - used[s.ID], Load: load[s.ID], Pace: r.pace(s.ID, reports),
			Version: func(model string) int { return r.fleet.Loaded(s, model) },
			Loading: r.fleet.Loading(s, now),
		})
	}
	return out
}

// slotsOn returns how many items this daemon may run on a server, and how many
// spare slots it may use for items that have waited long. A daemon that still
// holds items but is no longer among the runners has spare slots only.
func (r *Runner) slotsOn(s backend.Server, load, rank, runners, turn int) (quota, spare int) {
	if rank >= 0 {
		quota = schedule.Quota(s.Slots, rank, runners, rotation(s.ID))
	}
	if quota > 0 {
		return quota, 0
	}
	index := rank
	if rank < 0 {
		index = rotation(r.self)
	}
	switch {
	case !schedule.MayUseSpare(s.Slots, load, index, runners, rotation(s.ID), turn):
		return 0, 0
	case rank < 0:
		return 1, 0
	}
	return 0, 1
}

// turn returns the number of the current turn to use spare slots, by the store's
// clock. See
// schedule.MayUseSpare.
func (r *Runner) turn() int {
	now, _ := r.fleet.Clock.Now()
	return int(now.UnixMilli() / spareTurnDuration.Milliseconds() % rotationCount)
}

// slots returns the total number of slots of all servers that run items.
func (r *Runner) slots() int {
	slots := 0
	for _, s := range r.fleet.Servers().List {
		if len(s.Weights) > 0 {
			slots += s.Slots
		}
	}
	return slots
}

// runnerCount returns the number of daemons that run items, given the total
// number of slots.
func runnerCount(slots int) int {
	return max(minRunners, slots/slotsPerRunner)
}

// runners returns the daemons that run items, which may include this one.
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

// Paces returns the time between two events on each server of which this daemon
// has a recent sample.
func (r *Runner) Paces() map[string]time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.paces.recent()
}

// memberReports is what the heartbeats of one member list say about servers.
type memberReports struct {
	members *fleet.Members
	// running is the number of items that other daemons run on each server.
	running map[string]int
	// paces holds the longest time between two events that a daemon reports of each
	// server.
	paces map[string]time.Duration
}

// memberReports returns what the latest heartbeats say about servers. It is called
// with the mutex held.
func (r *Runner) memberReports() memberReports {
	m := r.fleet.Members()
	if r.lastReports.members == m {
		return r.lastReports
	}
	reports := memberReports{members: m, running: make(map[string]int), paces: make(map[string]time.Duration)}
	for _, o := range m.Active() {
		for id, pace := range o.Paces {
			reports.paces[id] = max(reports.paces[id], pace)
		}
		if o.ID == r.self {
			continue
		}
		for id, n := range o.Running {
			reports.running[id] += n
		}
	}
	r.lastReports = reports
	return reports
}

// pace returns the time per token on a server, as measured by this daemon, or else
// the longest that another daemon reports; 0 if unknown.
func (r *Runner) pace(id string, reports memberReports) time.Duration {
	event := r.paces.intervals[id]
	if event == 0 {
		event = reports.paces[id]
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
