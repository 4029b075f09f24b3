package batch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lacewingtally/lacewingtally/internal/control/share"
)

// trainer identifies the trainer of a job.
func (h Head) trainer() string {
	return h.Workspace + "/" + h.Model
}

// indexGroups numbers the groups of the job in the order of its items, up to maxGroups. Items
// without a group are groups of their own.
func (j *job) indexGroups() {
	j.groups = make(map[string]int)
	for _, i := range j.head.Items {
		name := groupName(i.ID, i.Group)
		if _, known := j.groups[name]; !known {
			j.groups[name] = len(j.groups) % maxGroups
			if len(j.groupNames) < maxGroups {
				j.groupNames = append(j.groupNames, name)
			}
		}
	}
}

// groupName returns the name of an item's group.
func groupName(item, group string) string {
	if group == "" {
		return item
	}
	return group
}

// Unfinished returns the number of tokens that this daemon's unfinished items are expected
// to need, by job and by the position of their group. It is empty while fewer than two trainers
// have open steps.
func (r *Runner) Unfinished() map[string][]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	out := make(map[string][]int)
	if !r.severalTrainers() {
		return out
	}
	byDue := slices.SortedFunc(maps.Values(r.jobs), func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.head.DueAt, b.head.DueAt), cmp.Compare(a.head.ID, b.head.ID))
	})
	for _, j := range byDue {
		if left := r.unfinished(j); left != nil && len(out) < maxReportedJobs {
			out[j.head.ID] = left
		}
	}
	return out
}

// unfinished is Unfinished for one job; nil if none is unfinished. It is called with the mutex held.
func (r *Runner) unfinished(j *job) []int {
	var out []int
	for _, i := range j.items {
		n, known := j.groups[groupName(i.ID, i.Group)]
		if i.done || i.progress.Complete || !known {
			continue
		}
		if out == nil {
			out = make([]int, len(j.groupNames))
		}
		out[n] += r.remaining(i)
	}
	return out
}

// openGroups returns the groups of a job that are not complete, as far as this daemon knows
// from its own items and the heartbeats of the others. Of a daemon that has not reported the
// job while it is new, all items of its shards are unfinished.
func (r *Runner) openGroups(j *job) []share.Group {
	groups := make([]share.Group, len(j.groupNames))
	add := func(n, tokens, longest, items int) {
		g := &groups[n]
		g.Tokens, g.Longest, g.Items = g.Tokens+tokens, max(g.Longest, longest), g.Items+items
	}
	for _, i := range j.items {
		if n, known := j.groups[groupName(i.ID, i.Group)]; known && !i.done && !i.progress.Complete {
			add(n, r.remaining(i), r.remaining(i), 1)
		}
	}
	storeNow, _ := r.fleet.Clock.Now()
	isNew := storeNow.UnixMilli()-j.head.SubmittedAt < unreportedAge.Milliseconds()
	reported := map[string]bool{r.self: len(j.items) > 0 || !isNew}
	for _, m := range r.fleet.Members().Active() {
		left, known := m.Unfinished[j.head.ID]
		if m.ID == r.self {
			continue
		}
		reported[m.ID] = known || !isNew
		for n, tokens := range left[:min(len(left), len(groups))] {
			if tokens > 0 {
				add(n, tokens, tokens, 1)
			}
		}
	}
	for _, i := range j.head.Items {
		// An item of a daemon that is gone is reported by the one that has taken it over.
		if done, alive := reported[j.head.Shards[i.Shard].Member]; alive && !done {
			tokens := expectedTokens(i.Tokens, i.Limit)
			add(j.groups[groupName(i.ID, i.Group)], tokens, tokens, 1)
		}
	}
	var out []share.Group
	for n, g := range groups {
		if g.Items > 0 {
			g.Name = j.groupNames[n]
			out = append(out, g)
		}
	}
	return out
}
