package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/control/share"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
)

const (
	// planInterval is the minimum time between two plans, and planPerServer times the
	// number of servers another: their cost in processor time does not grow with it.
	planInterval  = 200 * time.Millisecond
	planPerServer = time.Millisecond
	// unreportedAge is the age of a job from which all daemons that hold its unfinished
	// items have reported them: a daemon that has not has none.
	unreportedAge = 2 * time.Second
	// maxGroups and maxReportedJobs bound what a heartbeat reports. The groups of a job with
	// more than maxGroups are reported together, as if they were so many.
	maxGroups       = 64
	maxReportedJobs = 32
)

// sharing is the latest plan. The zero value has none.
type sharing struct {
	at     time.Time
	shares share.Shares
	// servedAt holds when a step of each trainer was on time last.
	servedAt map[string]time.Time
}

// kind identifies the servers that can run the items of a step.
type kind struct {
	model      string
	minVersion int
}

// recordServed records that the trainer of an ended job had a step on time, if it did. It is
// called with the mutex held.
func (r *Runner) recordServed(j *job) {
	if j.endedAt.After(r.localTime(j.head.DueAt)) {
		return
	}
	if r.sharing.servedAt == nil {
		r.sharing.servedAt = make(map[string]time.Time)
	}
	// Daemons learn of the end at different times, and all know when the job was submitted.
	if at := time.UnixMilli(j.head.SubmittedAt); at.After(r.sharing.servedAt[j.head.trainer()]) {
		r.sharing.servedAt[j.head.trainer()] = at
	}
}

// arrange returns the order in which waiting items start. It is called with the mutex held.
func (r *Runner) arrange(now time.Time, servers []schedule.Server) func([]schedule.Item) []schedule.Item {
	interval := max(planInterval, time.Duration(len(r.fleet.Servers().List))*planPerServer)
	if now.Sub(r.sharing.at) >= interval {
		r.sharing.at = now
		r.plan(now)
	}
	late, slots := 0, 0
	for _, s := range servers {
		slots += max(0, s.Free)
	}
	for _, j := range r.jobs {
		for _, i := range j.items {
			if i.server == "" {
				continue
			}
			slots++
			if r.sharing.shares.IsLate(j.head.ID, groupName(i.ID, i.Group)) {
				late++
			}
		}
	}
	return func(ready []schedule.Item) []schedule.Item {
		return share.Arrange(r.sharing.shares, ready, func(i schedule.Item) (string, string) { return i.Step, groupName(i.ID, i.Group) }, late, slots)
	}
}

// plan decides which steps can be on time, and logs the changes. It is called with the mutex
// held.
func (r *Runner) plan(now time.Time) {
	steps, kinds := r.openSteps()
	r.sharing.shares = share.Shares{}
	if len(kinds) <= share.MaxKinds {
		r.sharing.shares = share.Plan(now, steps, r.pools(now, kinds))
	}
	for id, j := range r.jobs {
		v := r.sharing.shares.Steps[id]
		// That a step can be on time is no news unless it was late.
		if !j.ended && v.Class != j.class && (v.Class == share.Late || j.class == share.Late) {
			trainer := j.head.trainer()
			r.log.Info("step classified", zap.String("Job", id), zap.String("Trainer", trainer), zap.Bool("Late", v.Class == share.Late),
				zap.String("Reason", string(cmp.Or(v.Reason, share.ReasonAlone))), zap.Int("Tokens", v.Work),
				zap.Float64("Slots", r.sharing.shares.Trainers[trainer]), zap.Duration("UntilDue", r.localTime(j.head.DueAt).Sub(now)))
		}
		j.class = v.Class
	}
}

// openSteps returns the open steps in the order of their IDs, and the kinds of their items;
// none if fewer than two trainers have open steps.
func (r *Runner) openSteps() ([]share.Step, []kind) {
	if !r.severalTrainers() {
		return nil, nil
	}
	var steps []share.Step
	var kinds []kind
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		j := r.jobs[id]
		groups := r.openGroups(j)
		if j.ended || len(groups) == 0 {
			continue
		}
		k := kind{model: j.head.Model, minVersion: j.head.MinVersion}
		if !slices.Contains(kinds, k) {
			kinds = append(kinds, k)
		}
		desired := len(j.groupNames)
		if j.head.Desired > 0 && len(j.groups) <= maxGroups {
			desired = min(desired, j.head.Desired)
		}
		steps = append(steps, share.Step{
			ID: id, Trainer: j.head.trainer(), Kind: slices.Index(kinds, k), Priority: r.priority(j),
			DueAt: r.localTime(j.head.DueAt), GiveUpAt: r.localTime(j.head.GiveUpAt), Groups: groups,
			Needed: max(0, desired-(len(j.groupNames)-len(groups))), Before: j.class, ServedAt: r.sharing.servedAt[j.head.trainer()],
		})
	}
	return steps, kinds
}

// ShareSlots makes items start by the shares of their trainers while there is more work than
// slots. It must be called before Serve.
func (r *Runner) ShareSlots() {
	r.sharesSlots = true
}

// severalTrainers reports whether several trainers have open steps and slots are shared among
// trainers. It is called with the mutex held.
func (r *Runner) severalTrainers() bool {
	if !r.sharesSlots {
		return false
	}
	var trainers set.Set[string]
	for _, j := range r.jobs {
		if !j.ended {
			trainers.Add(j.head.trainer())
		}
	}
	return trainers.Len() > 1
}

// priority returns the priority of a job: that of its workspace, or of the route of its items.
func (r *Runner) priority(j *job) int {
	c := r.fleet.Config()
	if c == nil {
		return 0
	}
	for _, i := range j.items {
		if target, ok := r.route(i); ok {
			return c.Priority(target, j.head.Workspace)
		}
	}
	return c.Priority(route.Route{}, j.head.Workspace)
}

// pools returns the servers by the kinds of items that they can run. A server that loads a
// model's weights counts as one that can run its items soon.
func (r *Runner) pools(now time.Time, kinds []kind) []share.Pool {
	type total struct {
		share.Pool
		pace    time.Duration
		servers int
	}
	byKinds := make(map[uint64]total)
	reports, factor := r.memberReports(), r.paces.effect.Factor()
	for _, s := range r.fleet.Servers().List {
		if s.Draining || len(s.Weights) == 0 {
			continue
		}
		mask, loading := uint64(0), r.fleet.Loading(s, now)
		for n, k := range kinds {
			if _, runs := s.Weights[k.model]; runs && (r.fleet.Loaded(s, k.model) >= k.minVersion || loading == k.model) {
				mask |= 1 << n
			}
		}
		pace := r.pace(s.ID, reports)
		if pace == 0 {
			pace = schedule.DefaultPace
		}
		t := byKinds[mask]
		t.Slots, t.servers = t.Slots+s.Slots, t.servers+1
		t.pace += time.Duration(float64(pace) * (1 + factor*float64(s.Slots)))
		t.Kinds = mask
		byKinds[mask] = t
	}
	var out []share.Pool
	for mask, t := range byKinds {
		if mask != 0 {
			t.Pace = t.pace / time.Duration(t.servers)
			out = append(out, t.Pool)
		}
	}
	slices.SortFunc(out, func(a, b share.Pool) int { return cmp.Compare(a.Kinds, b.Kinds) })
	return out
}

// Trainers returns what the trainers with open steps have of this daemon, by model.
func (r *Runner) Trainers() map[string]metrics.Trainer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	out := make(map[string]metrics.Trainer)
	runners := float64(max(1, len(r.owners().runners.List)))
	counted := make(map[string]bool)
	for id, j := range r.jobs {
		if j.ended {
			continue
		}
		t := out[j.head.Model]
		if r.sharing.shares.Steps[id].Class == share.Late {
			t.StepsLate++
		}
		if trainer := j.head.trainer(); !counted[trainer] {
			counted[trainer] = true
			t.Share += r.sharing.shares.Trainers[trainer] / runners
		}
		for _, i := range j.items {
			if i.server != "" {
				t.Running++
			}
		}
		out[j.head.Model] = t
	}
	return out
}
