package batch

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/control/step"
)

const (
	// returnTimeout is how long after the end of a job the texts of its unfinished
	// items are kept for a later job that contains the same items.
	returnTimeout = 6 * time.Second
	// readTime is the time within which a trainer reads a result. The group of an item
	// that was completed longer before the end of its job was probably not left out.
	readTime = 1500 * time.Millisecond
)

// A training step leaves out some groups, usually those with its longest items. They
// return in a later step under the same IDs, and that step waits for all of them but
// accepts only newer weights, so that their texts would have to be generated from the
// beginning. Therefore the last items of a step are also run on servers that have the
// newest weights, if these have free slots and the reruns cost their other items little.
// These reruns, and runs that began under the newest weights anyway, go on when the job
// ends, and the later job adopts them.
// The job of such an item is a copy that holds nothing but the head, with the oldest
// version of the weights that may generate the text.

// oldestWeights returns the oldest version that generated a part of the text, or 0 if
// there is no text.
func (p Progress) oldestWeights() int {
	if len(p.Weights) == 0 {
		return 0
	}
	return p.Weights[0]
}

// startReruns starts reruns of the last items of each step on free slots. It is called
// with the mutex held, after all waiting items have been placed.
func (r *Runner) startReruns(ctx context.Context, now time.Time, survey schedule.Survey, servers []schedule.Server) {
	var candidates []schedule.Item
	byID := make(map[string]*item)
	for _, j := range r.jobs {
		for _, i := range r.rerunCandidates(j) {
			w := r.toScheduleItem(i)
			w.MinVersion, w.ReadyAt, w.NotBefore = r.fleet.Version(j.head.Model), now, time.Time{}
			w.Software = r.rerunSoftware(i, w)
			byID[i.ID] = i
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	servers = slices.DeleteFunc(survey.ForReruns(servers), func(s schedule.Server) bool { return r.limitsRate(s.ID) })
	for _, p := range survey.Place(now, candidates, servers) {
		s, ok := r.fleet.Servers().Get(p.Server)
		if !ok {
			continue
		}
		origin := byID[p.Item.ID]
		i := r.returning[origin.ID]
		if i == nil || i.progress.oldestWeights() < p.Item.MinVersion {
			r.dropReturning(origin.ID)
			i = &item{Item: origin.Item, job: origin.job.returningCopy(p.Item.MinVersion), readyAt: now}
			r.returning[i.ID] = i
		}
		r.log.Info("item generated again for a later step", zap.String("Job", origin.job.head.ID), zap.String("Item", i.ID),
			zap.String("Server", s.ID), zap.Int("Version", p.Item.MinVersion), zap.Int("Events", origin.progress.After))
		r.startOn(ctx, i, s)
	}
}

// rerunSoftware returns the software version that generated the text of an item's rerun,
// if that goes on: its weights are new enough, and some server can continue it.
func (r *Runner) rerunSoftware(i *item, w schedule.Item) option.Option[string] {
	rerun := r.returning[i.ID]
	if rerun == nil || rerun.progress.oldestWeights() < w.MinVersion {
		return option.Option[string]{}
	}
	w.Software = rerun.progress.software()
	if compatible, _ := r.compatible(w); compatible == 0 {
		return option.Option[string]{}
	}
	return w.Software
}

// limitsRate reports whether a server limits its rate: reruns leave its slots to others.
func (r *Runner) limitsRate(id string) bool {
	s, ok := r.fleet.Servers().Get(id)
	return ok && r.limits.Limited(s)
}

// yieldReruns stops the reruns for open jobs, because other items wait for slots. Their
// texts are kept, and they go on once slots are free. It is called with the mutex held.
func (r *Runner) yieldReruns() {
	for _, i := range r.returning {
		if i.stop != nil && i.keepUntil.IsZero() {
			i.stop()
		}
	}
}

// rerunCandidates returns the unfinished items of a job whose groups may be left out
// and that have no run under the newest weights, those with the longest texts first. A
// rerun under older weights is replaced: the later job would not accept its text.
func (r *Runner) rerunCandidates(j *job) []*item {
	if j.ended || j.head.Desired == 0 {
		return nil
	}
	var unfinished []*item
	for _, i := range j.items {
		if !i.done && !i.progress.Complete {
			unfinished = append(unfinished, i)
		}
	}
	if !step.InTail(j.leftOutShare, len(unfinished), len(j.items)) {
		return nil
	}
	newest := r.fleet.Version(j.head.Model)
	unfinished = slices.DeleteFunc(unfinished, func(i *item) bool {
		return i.progress.After == 0 || i.progress.oldestWeights() >= newest || j.returned[i.Group] || r.hasRerun(i, newest)
	})
	slices.SortFunc(unfinished, func(a, b *item) int {
		return cmp.Or(cmp.Compare(b.progress.After, a.progress.After), cmp.Compare(a.ID, b.ID))
	})
	return unfinished
}

// hasRerun reports whether a rerun of an item is running, or complete, under the newest
// weights.
func (r *Runner) hasRerun(i *item, newest int) bool {
	rerun := r.returning[i.ID]
	if rerun == nil || rerun.job.head.MinVersion < newest {
		return false
	}
	return rerun.stop != nil || rerun.progress.Complete
}

// returningCopy returns the job of items that may return after this job.
func (j *job) returningCopy(minVersion int) *job {
	c := &job{head: j.head, returning: true}
	c.head.MinVersion = minVersion
	return c
}

// keepForReturn keeps the text and the run of an item whose job has ended if a later
// job may accept them: those of its rerun, or its own. It reports whether it did. It is
// called with the mutex held.
func (r *Runner) keepForReturn(i *item, now time.Time) bool {
	rerun := r.returning[i.ID]
	switch {
	case rerun != nil && i.done && now.Sub(rerun.finishedAt) > readTime:
		r.dropReturning(i.ID)
		return false
	case rerun != nil:
		i.stopAll()
		rerun.keepUntil = now.Add(returnTimeout)
		return true
	}
	newest := r.fleet.Version(i.job.head.Model)
	if i.done || i.job.head.Desired == 0 || i.progress.After == 0 || i.progress.oldestWeights() < newest {
		return false
	}
	i.reward.stop()
	i.job = i.job.returningCopy(newest)
	i.keepUntil = now.Add(returnTimeout)
	r.returning[i.ID] = i
	return true
}

// dropReturning stops the rerun of an item and forgets its text. It is called with the
// mutex held.
func (r *Runner) dropReturning(id string) {
	if i := r.returning[id]; i != nil {
		i.stopAll()
		delete(r.returning, id)
	}
}

// checkReturning stops reruns whose servers are unresponsive, and drops the items that
// have not returned in time, also those of jobs that nobody ends. It is called with the
// mutex held.
func (r *Runner) checkReturning(now time.Time) {
	for id, i := range r.returning {
		running := schedule.Running{ProgressAt: i.progressAt, Started: i.started, Stalls: i.stalls}
		switch {
		case !i.keepUntil.IsZero() && now.After(i.keepUntil), now.Sub(i.sentAt) > itemTimeout:
			r.dropReturning(id)
		case i.stop != nil && running.Unresponsive(now):
			i.stalls++
			i.stop()
		}
	}
}

// adopt returns the kept run of an item that has returned in job j, or nil if there is
// none that the job accepts or if stored, the text from the job's checkpoints, is
// longer. done is whether the item has a result. adopt is called with the mutex held.
func (r *Runner) adopt(j *job, returned Item, stored Progress, done bool) *item {
	i := r.returning[returned.ID]
	if i == nil || i.job.head.ID == j.head.ID {
		return nil
	}
	if done || stored.betterThan(i.progress) || !i.fits(j, returned) {
		r.dropReturning(i.ID)
		return nil
	}
	delete(r.returning, i.ID)
	i.Item = returned
	i.readyAt, i.keepUntil, i.spent = time.Now(), time.Time{}, spent{}
	// The checkpoints of the earlier job are not those of this one.
	i.progress.Lineage, i.checkpointed, i.checkpointedEnd = r.newLineage(), 0, checkpointedEnd{}
	// Failures count for each job.
	i.progress.Failures, i.progress.RewardFailures = schedule.Failures{}, schedule.Failures{}
	r.log.Info("item returned and continues", zap.String("Job", j.head.ID), zap.String("Item", i.ID),
		zap.Int("Events", i.progress.After), zap.Ints("Weights", i.progress.Weights), zap.Bool("Complete", i.progress.Complete))
	return i
}

// fits reports whether a kept text is one for the item as it returned in job j.
func (i *item) fits(j *job, returned Item) bool {
	h := i.job.head
	sameRequest := i.Target == returned.Target && bytes.Equal(i.Body, returned.Body) && maps.Equal(i.Header, returned.Header)
	return sameRequest && h.Workspace == j.head.Workspace && h.Host == j.head.Host && h.Model == j.head.Model &&
		i.progress.oldestWeights() >= j.head.MinVersion
}

// knownGroups returns the groups of a new job that another known job of its trainer
// contains: they have been left out there.
func (r *Runner) knownGroups(h Head) map[string]bool {
	out := make(map[string]bool)
	earlier := r.earlierItems(h.Workspace, h.Model, h.ID)
	for _, x := range h.Items {
		if _, ok := earlier[x.ID]; ok && x.Group != "" {
			out[x.Group] = true
		}
	}
	return out
}

// earlierItems returns the daemons to which the items of the known jobs of a model were
// assigned, by item, without those of job id.
func (r *Runner) earlierItems(workspace, model, id string) map[string]string {
	out := make(map[string]string)
	latest := make(map[string]int64)
	for _, j := range r.jobs {
		h := j.head
		if h.ID == id || h.Workspace != workspace || h.Model != model {
			continue
		}
		for _, x := range h.Items {
			if at, ok := latest[x.ID]; x.Shard < len(h.Shards) && (!ok || h.SubmittedAt > at) {
				latest[x.ID] = h.SubmittedAt
				out[x.ID] = h.Shards[x.Shard].Member
			}
		}
	}
	return out
}

// previousOwners returns the daemons that the items of a submission were assigned to in
// an earlier job: these may have kept their texts.
func (r *Runner) previousOwners(j Submission) map[string]string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.earlierItems(j.Workspace, j.Model, j.ID)
}
