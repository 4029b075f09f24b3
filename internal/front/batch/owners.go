package batch

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

// owners determines which daemon an item belongs to, for one member list.
//
// A daemon that does not reach the servers yields its items: those of jobs that were
// submitted before it did so belong to other daemons from then on, also once it reaches
// the servers again.
type owners struct {
	members *fleet.Members
	// runners are the daemons that run items; their number depends on slots, the total
	// number of slots of all servers.
	runners *fleet.Members
	slots   int
	// config determines where items may be processed; allows is Runner.allowsOf.
	config *route.Config
	allows func(h Head) func(domain string) bool
	// self is this daemon, which knows best when it yielded: at yieldedAt.
	self      string
	yieldedAt time.Time
	// partitioned is whether this daemon does not reach the servers.
	partitioned bool
	// takers caches the result of takersOf, by job.
	takers map[string]takers
}

// takers are the daemons that take over the items of a job from daemons that are dead or
// have yielded them.
type takers struct {
	*fleet.Members

	// yielded holds the daemons that have yielded the job's items.
	yielded set.Set[string]
}

// owners returns the current owners. It is called with the mutex held.
func (r *Runner) owners() owners {
	m, slots, partitioned := r.fleet.Members(), r.slots(), r.path != nil && r.path.Partitioned()
	o, c := r.lastOwners, r.fleet.Config()
	if o.config != c || o.members != m || o.slots != slots || !o.yieldedAt.Equal(r.yieldedAt) || o.partitioned != partitioned {
		o = owners{members: m, slots: slots, self: r.self, yieldedAt: r.yieldedAt, partitioned: partitioned, takers: make(map[string]takers), config: c, allows: r.allowsOf}
		o.runners = m.Reaching(r.self, partitioned).LargestByShare(runnerCount(slots))
		r.lastOwners = o
	}
	return o
}

// heldByOthers reports for each shard of a job whether it belongs to a live
// daemon other than self.
func (o owners) heldByOthers(j *job, self string) []bool {
	t := o.takersOf(j)
	out := make([]bool, len(j.head.Shards))
	for i, s := range j.head.Shards {
		out[i] = s.Member != self && o.members.Has(s.Member) && !t.yielded.Contains(s.Member)
	}
	return out
}

// owner returns the daemon that an item belongs to.
func (o owners) owner(j *job, h ItemHead) string {
	t := o.takersOf(j)
	if m := j.head.Shards[h.Shard].Member; o.members.Has(m) && !t.yielded.Contains(m) {
		return m
	}
	return t.Pick(h.ID)
}

// takersOf returns the takers of a job's items: the daemons in its regions that have not
// yielded them, or all in its regions if all have; of these, those that reach the servers, or
// all if none does.
func (o owners) takersOf(j *job) takers {
	if t, ok := o.takers[j.head.ID]; ok {
		return t
	}
	var t takers
	rest := &fleet.Members{}
	members, active := o.members, o.members.Active()
	if allows := o.allowsIn(j); allows != nil {
		members = membersIn(active, allows)
	}
	for _, m := range members.Active() {
		if !o.hasYielded(m, j) {
			rest.List = append(rest.List, m)
		}
	}
	if len(rest.List) == 0 {
		rest = members
	}
	reaching := rest.Reaching(o.self, o.partitioned)
	if rest == members {
		rest = reaching
	}
	t.Members = reaching.LargestByShare(runnerCount(o.slots))
	for _, m := range active {
		if !rest.Has(m.ID) {
			t.yielded.Add(m.ID)
		}
	}
	o.takers[j.head.ID] = t
	return t
}

// allowsIn returns whether a job's items may be processed in a failure domain; nil if they may in
// all.
func (o owners) allowsIn(j *job) func(domain string) bool {
	if o.allows == nil {
		return nil
	}
	return o.allows(j.head)
}

// hasYielded reports whether a daemon has yielded the items of a job.
func (o owners) hasYielded(m fleet.Member, j *job) bool {
	at := m.YieldedAt
	if m.ID == o.self {
		at = o.yieldedAt
	}
	return !at.IsZero() && at.UnixMilli() >= j.head.SubmittedAt
}
