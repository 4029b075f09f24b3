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
	// surveyPerServer times the number of servers is the time between two looks at
	// all of them: their cost in processor time does not grow with their number.
	surveyPerServer = 500 * time.Microsecond
	// spareTurnDuration is how long the same daemons may use spare slots of
	// others: long enough for heartbeats to report that use.
	spareTurnDuration = 1500 * time.Millisecond
)

// surveyedServers are the servers as of the last survey.
type surveyedServers struct {
	at     time.Time
	survey schedule.Survey
	// usable lists the IDs of the servers on which this daemon had slots.
	usable []string
}

// slotView is what the slots of this daemon depend on at one time.
type slotView struct {
	at      time.Time
	reports memberReports
	// used is the number of items that this daemon runs on each server.
	used          map[string]int
	rank, runners int
	turn          int
}

// servers returns the survey of all servers, and those that concern this daemon,
// with the slots that it may use on each. It updates r.serverLoad. It omits servers
// that are draining, run no weights or are in backoff. With many servers, it looks
// at all of them less often. It is called with the mutex held.
func (r *Runner) servers() (schedule.Survey, []schedule.Server) {
	runners := r.owners().runners.List
	v := slotView{
		at: time.Now(), reports: r.memberReports(), used: r.running(), runners: len(runners), turn: r.turn(),
		rank: slices.IndexFunc(runners, func(m fleet.Member) bool { return m.ID == r.self }),
	}
	r.serverLoad = maps.Clone(v.reports.running)
	for id, n := range v.used {
		r.serverLoad[id] += n
	}
	all := r.fleet.Servers().List
	if v.at.Sub(r.surveyed.at) >= time.Duration(len(all))*surveyPerServer {
		r.survey(v, all)
	}
	return r.surveyed.survey, r.describeOwn(v)
}

// survey looks at all servers. It is called with the mutex held.
func (r *Runner) survey(v slotView, all []backend.Server) {
	r.surveyed = surveyedServers{at: v.at}
	described := make([]schedule.Server, 0, len(all))
	for _, s := range all {
		if len(s.Weights) == 0 {
			continue
		}
		if quota, spare := r.slotsOn(s, r.serverLoad[s.ID], v); quota > 0 || spare > 0 {
			r.surveyed.usable = append(r.surveyed.usable, s.ID)
		}
		if d, ok := r.describe(v, s); ok {
			described = append(described, d)
		}
	}
	r.surveyed.usable = slices.Clip(r.surveyed.usable)
	r.surveyed.survey = schedule.NewSurvey(described, r.paces.effect.Factor())
}

// describeOwn describes the servers that concern this daemon: those on which it had
// slots at the last survey, and those that run its items.
func (r *Runner) describeOwn(v slotView) []schedule.Server {
	own := r.surveyed.usable
	for id := range v.used {
		if !slices.Contains(own, id) {
			own = append(own, id)
		}
	}
	var out []schedule.Server
	for _, id := range own {
		s, ok := r.fleet.Servers().Get(id)
		if !ok {
			continue
		}
		if d, ok := r.describe(v, s); ok {
			out = append(out, d)
		}
	}
	return out
}

// describe describes a server to the scheduler. It returns false for a server that
// gets no items.
func (r *Runner) describe(v slotView, s backend.Server) (schedule.Server, bool) {
	if s.Draining || len(s.Weights) == 0 || r.paces.inBackoff(s.ID, v.at) {
		return schedule.Server{}, false
	}
	load := r.serverLoad[s.ID]
	quota, spare := r.slotsOn(s, load, v)
	return schedule.Server{
		ID: s.ID, Service: s.Service, Domain: s.Domain, Software: s.Software, Load: load,
		Free: r.limits.Free(s, quota-v.used[s.ID]), Spare: r.limits.Free(s, spare-v.used[s.ID]),
		Pace: r.pace(s.ID, v.reports), Slowdown: r.paces.slowdown(s.ID, v.at), Cold: r.limits.Cold(s),
		Version: func(model string) int { return r.fleet.Loaded(s, model) },
		Loading: r.fleet.Loading(s, v.at),
	}, true
}

// slotsOn returns how many items this daemon may run on a server, and how many
// spare slots it may use for items that have waited long. A daemon that still
// holds items but is no longer among the runners has spare slots only. On a server
// that limits its rate, a daemon may also run items outside its quota.
func (r *Runner) slotsOn(s backend.Server, load int, v slotView) (quota, spare int) {
	if v.rank >= 0 {
		quota = schedule.Quota(s.Slots, v.rank, v.runners, rotation(s.ID))
	}
	if rate, limited := r.limits.Rate(s); limited {
		quota = max(quota, v.used[s.ID]+schedule.RoomAtRate(s.Slots, load, rate))
	}
	if quota > 0 {
		return quota, 0
	}
	index := v.rank
	if v.rank < 0 {
		index = rotation(r.self)
	}
	switch {
	case !schedule.MayUseSpare(s.Slots, load, index, v.runners, rotation(s.ID), v.turn):
		return 0, 0
	case v.rank < 0:
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
	count := func(items map[string]*item) {
		for _, i := range items {
			if i.server != "" {
				out[i.server]++
			}
		}
	}
	for _, j := range r.jobs {
		count(j.items)
	}
	count(r.returning)
	return out
}
