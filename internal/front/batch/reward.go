package batch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	base "github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/control/reward"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// rewardTimeout limits one attempt of a reward call whose route sets no lower
	// limit.
	rewardTimeout = 2 * time.Second
	// maxRewardBytes limits the response to a reward call.
	maxRewardBytes = 4 << 20
)

// Suspects counts the server failures during requests, over all daemons.
type Suspects interface {
	// Suspect counts a failure of a server during an attempt that began at a time.
	Suspect(p quarantine.Fingerprint, s backend.Server, begunAt time.Time)
	// Alive records that a server answered an attempt that began at a time.
	Alive(s backend.Server, begunAt time.Time)
	// Cleared records that a request was answered.
	Cleared(p quarantine.Fingerprint)
	// Quarantined reports whether too many servers failed during a request.
	Quarantined(p quarantine.Fingerprint) bool
}

// rewardCall is the state of an item's reward call.
type rewardCall struct {
	// stops cancels the attempts in flight, by the ID of the server.
	stops map[string]func()
	// sentAt is when the call was last sent.
	sentAt time.Time
	// notBefore is the earliest time of the next attempt; zero sets no limit.
	notBefore time.Time
	// avoid is the ID of the server that did not answer last; empty for none.
	avoid string
	// unanswered is the number of attempts without an answer.
	unanswered int
	// probes is the number of attempts after too many servers had failed during the call,
	// and probeAt the earliest time of the next one.
	probes  int
	probeAt time.Time
}

// rewardOwner is an item that awaits its score, with its job and the route of its
// reward call.
type rewardOwner struct {
	item  *item
	route route.Route
}

// rewardOutcome is the result of one attempt of a reward call.
type rewardOutcome struct {
	status int
	notRun bool
	stamp  string
	load   backend.Load
	err    error
}

// scored reports whether the outcome is a score.
func (o rewardOutcome) scored() bool {
	return o.err == nil && o.status >= http.StatusOK && o.status < http.StatusMultipleChoices && o.stamp != ""
}

// stop cancels all attempts of the call.
func (c *rewardCall) stop() {
	for _, stop := range c.stops {
		stop()
	}
}

// completeText records that an item's text is complete. An item without a reward
// call is done; otherwise the call is sent next. It is called with the mutex held.
func (r *Runner) completeText(i *item) {
	if i.job.returning {
		i.progress.Complete = true
		return
	}
	if rerun := r.returning[i.ID]; rerun != nil {
		rerun.finishedAt = time.Now()
	}
	if i.Reward == nil {
		r.finish(i, Completed, "")
		return
	}
	i.progress.Complete = true
	i.readyAt = time.Now()
	r.log.Info("item awaits its score", zap.String("Job", i.job.head.ID), zap.String("Item", i.ID), zap.String("Server", i.lastServer),
		zap.String("Reward", i.Reward.ID), zap.Int("Events", i.progress.After))
}

// awaitsScore reports whether an item's text is complete and only its score is
// missing.
func (i *item) awaitsScore() bool {
	return !i.done && i.progress.Complete
}

// sendRewards sends the reward calls that are to be sent now. It is called with
// the mutex held.
func (r *Runner) sendRewards(ctx context.Context, now time.Time) {
	owners := make(map[string]rewardOwner)
	var calls []reward.Call
	for _, j := range r.jobs {
		if r.excluded(j) {
			continue
		}
		for _, i := range j.items {
			if !i.awaitsScore() {
				continue
			}
			target, ok := r.fleet.Config().Route(i.Reward.Host, path(i.Reward.Target))
			if !ok {
				continue
			}
			c := r.toRewardCall(i, target)
			owners[c.ID] = rewardOwner{item: i, route: target}
			calls = append(calls, c)
		}
	}
	if len(calls) == 0 {
		return
	}
	placed := reward.Place(now, calls, r.rewardServers(calls), r.rewardShare())
	for _, p := range placed {
		s, ok := r.fleet.Servers().Get(p.Server)
		if ok {
			r.startReward(ctx, owners[p.Call], s)
		}
	}
	r.reportDemand(waitingCalls(calls, placed))
}

// waitingCalls returns the numbers of calls that no server runs and that were not placed,
// by service.
func waitingCalls(calls []reward.Call, placed []reward.Placement) map[string]int {
	waiting := make(map[string]int)
	for _, c := range calls {
		sent := slices.ContainsFunc(placed, func(p reward.Placement) bool { return p.Call == c.ID })
		if len(c.Servers) == 0 && !sent {
			waiting[c.Service]++
		}
	}
	return waiting
}

// toRewardCall describes an item's reward call to the decision. The same item may
// be in two open jobs.
func (r *Runner) toRewardCall(i *item, target route.Route) reward.Call {
	j := i.job
	c := reward.Call{
		ID: j.head.ID + "/" + i.ID, Service: target.Service(i.Reward.ID), DueAt: r.localTime(j.head.DueAt), Group: j.groupPosition(i.Group),
		Objective: target.Objective, NotBefore: i.reward.notBefore, SentAt: i.reward.sentAt, Allows: r.allowsOf(j.head),
	}
	for id := range i.reward.stops {
		c.Servers = append(c.Servers, id)
	}
	c.Avoid = slices.Clone(i.progress.RewardFailures.Servers)
	if i.reward.avoid != "" {
		c.Avoid = append(c.Avoid, i.reward.avoid)
	}
	return c
}

// groupPosition returns the position of a group among the groups of the job.
func (j *job) groupPosition(group string) int {
	return slices.IndexFunc(j.head.Items, func(h ItemHead) bool { return h.Group == group })
}

// groupSize returns the number of items of a group.
func (j *job) groupSize(group string) int {
	n := 0
	for _, h := range j.head.Items {
		if h.Group == group {
			n++
		}
	}
	return n
}

// rewardServers returns the servers to which calls may be sent, with their load as
// this daemon knows it.
func (r *Runner) rewardServers(calls []reward.Call) []reward.Server {
	var services set.Set[string]
	for _, c := range calls {
		services.Add(c.Service)
	}
	var out []reward.Server
	for _, s := range r.fleet.Servers().List {
		if s.Draining || s.Slots < 1 || !services.Contains(s.Service) {
			continue
		}
		e := r.balancer.Estimate(s)
		out = append(out, reward.Server{
			ID: s.ID, Service: s.Service, Domain: s.Domain, Slots: min(s.Slots, e.Running+r.limits.Free(s, s.Slots)), Limited: r.limits.Limited(s), Running: e.Running, Cost: e.Cost, CallCost: e.RequestCost,
		})
	}
	return out
}

// rewardShare returns this daemon's share of the slots for reward calls.
func (r *Runner) rewardShare() reward.Share {
	runners := r.owners().runners.List
	rank := slices.IndexFunc(runners, func(m fleet.Member) bool { return m.ID == r.self })
	return reward.Share{Rank: rank, Daemons: len(runners)}
}

// startReward sends an item's reward call to a server, unless too many servers failed
// during it lately. It is called with the mutex held.
func (r *Runner) startReward(ctx context.Context, o rewardOwner, s backend.Server) {
	i := o.item
	now := time.Now()
	req := o.request(now)
	p := quarantine.FingerprintOf(base.Workspace(""), req.Method, req.Target, string(req.Body))
	if r.suspects.Quarantined(p) && !r.mayProbe(i, now) {
		return
	}
	for id := range i.reward.stops {
		// The server has not answered in time.
		r.balancer.Avoid(id)
	}
	c, cancel := context.WithDeadline(ctx, req.Deadline)
	if i.reward.stops == nil {
		i.reward.stops = make(map[string]func())
	}
	i.reward.stops[s.ID], i.reward.sentAt = cancel, now
	r.balancer.Begin(s.ID)
	r.work.Add(1)
	go r.runReward(c, o, s, req, p)
}

// mayProbe reports whether the reward call of an item may be sent although servers failed
// while they ran it: its item must still be scored, and servers that fail in quick succession
// do not show that the call is the cause. It is sent to one server at a time, at growing
// intervals. mayProbe is called with the mutex held.
func (r *Runner) mayProbe(i *item, now time.Time) bool {
	c := &i.reward
	if len(c.stops) > 0 {
		return false
	}
	if c.probeAt.IsZero() {
		c.probeAt = now.Add(reward.ProbeDelay(0))
	}
	if now.Before(c.probeAt) {
		c.notBefore = c.probeAt
		r.log.Warn("reward call held back after server failures", zap.String("Job", i.job.head.ID), zap.String("Item", i.ID),
			zap.String("Reward", i.Reward.ID), zap.String("Reason", string(refusal.ReasonQuarantine)), zap.Int("Probes", c.probes),
			zap.Duration("Delay", c.probeAt.Sub(now)))
		return false
	}
	c.probes++
	c.probeAt = now.Add(reward.ProbeDelay(c.probes))
	return true
}

// request returns the request of an item's reward call. It has no workspace.
func (o rewardOwner) request(now time.Time) backend.Request {
	timeout := rewardTimeout
	if o.route.MaxWait > 0 {
		timeout = min(timeout, o.route.MaxWait)
	}
	c := o.item.Reward
	return backend.Request{
		ID: c.ID, Method: http.MethodPost, Target: c.Target, Host: c.Host, Body: c.Body, Deadline: now.Add(timeout),
	}
}
