package batch

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	base "github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/control/reward"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
)

const (
	// rewardTimeout limits one attempt of a reward call whose route sets no lower
	// limit.
	rewardTimeout = 2 * time.Second
	// maxRewardBytes limits how much of the response to a reward call is read.
	maxRewardBytes = 4 << 20
	// quarantineDelay is how long a reward call that crashes servers is not sent.
	quarantineDelay = 30 * time.Second
)

// Suspects counts the server failures during requests, over all daemons.
type Suspects interface {
	// Suspect counts a server failure during a request.
	Suspect(p quarantine.Fingerprint)
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
}

// rewardOwner is an item that awaits its score, with its job and the route of its
// reward call.
type rewardOwner struct {
	job   *job
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
func (r *Runner) completeText(j *job, i *item) {
	if i.Reward == nil {
		r.finish(j, i, Completed, "")
		return
	}
	i.progress.Complete = true
	i.readyAt = time.Now()
	r.log.Info("item awaits its score", zap.String("Job", j.head.ID), zap.String("Item", i.ID), zap.String("Server", i.lastServer),
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
		for _, i := range j.items {
			if !i.awaitsScore() {
				continue
			}
			target, ok := r.fleet.Config().Route(i.Reward.Host, path(i.Reward.Target))
			if !ok {
				continue
			}
			c := r.toRewardCall(j, i, target)
			owners[c.ID] = rewardOwner{job: j, item: i, route: target}
			calls = append(calls, c)
		}
	}
	if len(calls) == 0 {
		return
	}
	for _, p := range reward.Place(now, calls, r.rewardServers(calls), r.rewardShare()) {
		s, ok := r.fleet.Servers().Get(p.Server)
		if ok {
			r.startReward(ctx, owners[p.Call], s)
		}
	}
}

// toRewardCall describes an item's reward call to the decision. The same item may
// be in two open jobs.
func (r *Runner) toRewardCall(j *job, i *item, target route.Route) reward.Call {
	c := reward.Call{
		ID: j.head.ID + "/" + i.ID, Service: target.Service(i.Reward.ID), DueAt: r.localTime(j.head.DueAt), Group: j.groupPosition(i.Group),
		Objective: target.Objective, NotBefore: i.reward.notBefore, SentAt: i.reward.sentAt,
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
			ID: s.ID, Service: s.Service, Slots: s.Slots, Running: e.Running, Cost: e.Cost, CallCost: e.RequestCost,
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

// startReward sends an item's reward call to a server, unless the call is in
// quarantine. It is called with the mutex held.
func (r *Runner) startReward(ctx context.Context, o rewardOwner, s backend.Server) {
	i := o.item
	now := time.Now()
	req := o.request(now)
	p := quarantine.FingerprintOf(base.Workspace(""), req.Method, req.Target, string(req.Body))
	if r.suspects.Quarantined(p) {
		i.reward.notBefore = now.Add(quarantineDelay)
		r.log.Warn("reward call in quarantine", zap.String("Job", o.job.head.ID), zap.String("Item", i.ID),
			zap.String("Reward", req.ID), zap.String("Reason", string(refusal.ReasonQuarantine)))
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

// runReward sends a reward call to a server and records the outcome.
func (r *Runner) runReward(ctx context.Context, o rewardOwner, s backend.Server, req backend.Request, p quarantine.Fingerprint) {
	defer r.work.Done()
	begunAt := time.Now()
	out := r.attemptReward(ctx, s, req)
	took := time.Since(begunAt)
	// A call that was cancelled tells nothing about the server.
	cancelled := errors.Is(ctx.Err(), context.Canceled) && out.err != nil
	ended := ctx.Err() != nil
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i := o.item
	if stop, ok := i.reward.stops[s.ID]; ok {
		stop()
		delete(i.reward.stops, s.ID)
	}
	r.balancer.Done(s.ID, took, out.load, !cancelled && (out.err != nil || out.notRun))
	if cancelled || i.done || o.job.ended {
		return
	}
	r.metrics.Attempt(metrics.KindReward, metrics.Outcome(out.status, out.notRun, out.err), s.Address.String(), took)
	if errors.Is(out.err, backend.ErrIncomplete) && !ended {
		r.suspects.Suspect(p)
	}
	r.handleReward(o, s, out, took)
	r.trigger()
}

// attemptReward sends a reward call to a server and reads the complete response.
func (r *Runner) attemptReward(ctx context.Context, s backend.Server, req backend.Request) rewardOutcome {
	resp, err := r.client.Do(ctx, s, req)
	if err != nil {
		return rewardOutcome{err: err}
	}
	defer resp.Body.Close()
	o := rewardOutcome{status: resp.Status, notRun: resp.NotRun, stamp: resp.Stamp, load: resp.Load}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRewardBytes)); err != nil {
		o.err = errors.Wrap(backend.ErrIncomplete, err.Error())
	}
	return o
}

// handleReward records the score of an item, or prepares its reward call for
// another attempt. An item is abandoned only after servers failed the call as often
// as its route allows. It is called with the mutex held.
func (r *Runner) handleReward(o rewardOwner, s backend.Server, out rewardOutcome, took time.Duration) {
	i := o.item
	if out.scored() {
		r.log.Info("item scored", zap.String("Job", o.job.head.ID), zap.String("Item", i.ID), zap.String("Reward", i.Reward.ID),
			zap.String("Server", s.ID), zap.Duration("Took", took), zap.Duration("Waited", time.Since(i.readyAt)))
		i.score = out.stamp
		r.finish(o.job, i, Completed, "")
		return
	}
	i.reward.avoid = s.ID
	r.log.Info("reward call failed", zap.String("Job", o.job.head.ID), zap.String("Item", i.ID), zap.String("Reward", i.Reward.ID),
		zap.String("Server", s.ID), zap.Int("Status", out.status), zap.Bool("NotRun", out.notRun),
		zap.Int("Failures", i.progress.RewardFailures.Runs), zap.Int("Unanswered", i.reward.unanswered), zap.Error(out.err))
	if out.err == nil && out.status == http.StatusInternalServerError {
		r.recordRewardFailure(o, s)
		return
	}
	i.reward.unanswered++
	i.reward.notBefore = time.Now().Add(schedule.Backoff(i.reward.unanswered))
}

// recordRewardFailure counts a failed reward call, and abandons the item if it was
// the last one allowed. The count is written with the text, under a lineage of
// this daemon. It is called with the mutex held.
func (r *Runner) recordRewardFailure(o rewardOwner, s backend.Server) {
	i := o.item
	f := &i.progress.RewardFailures
	f.Add(s.ID)
	i.reward.notBefore = time.Now().Add(f.Backoff())
	if i.progress.Lineage == "" {
		i.progress.Lineage = r.newLineage()
	}
	if f.Final(max(o.route.MaxServers, r.maxServers(o.job, i))) {
		r.finish(o.job, i, Abandoned, refusal.ReasonServer)
	}
}
