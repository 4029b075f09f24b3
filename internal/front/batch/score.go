package batch

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
)

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
	if errors.Is(out.err, backend.ErrLimited) {
		r.balancer.Cancel(s.ID)
		i.reward.notBefore = time.Now().Add(refusedItemBackoff)
		return
	}
	r.balancer.Done(s.ID, took, out.load, !cancelled && (out.err != nil || out.notRun))
	if cancelled || i.done || o.item.job.ended {
		return
	}
	r.metrics.Attempt(metrics.KindReward, metrics.Outcome(out.status, out.notRun, out.err), s.Address.String(), took)
	if out.err == nil && out.status != http.StatusMisdirectedRequest {
		r.suspects.Alive(s, begunAt)
	}
	switch {
	case errors.Is(out.err, backend.ErrIncomplete) && !ended:
		r.suspects.Suspect(p, s, begunAt)
	case out.scored():
		r.suspects.Cleared(p)
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
	o.err = backend.DiscardBody(resp.Body, maxRewardBytes)
	return o
}

// handleReward records the score of an item, or prepares its reward call for
// another attempt. An item is abandoned only after servers failed the call as often
// as its route allows. It is called with the mutex held.
func (r *Runner) handleReward(o rewardOwner, s backend.Server, out rewardOutcome, took time.Duration) {
	i := o.item
	if out.scored() {
		r.log.Info("item scored", zap.String("Job", o.item.job.head.ID), zap.String("Item", i.ID), zap.String("Reward", i.Reward.ID),
			zap.String("Server", s.ID), zap.Duration("Took", took), zap.Duration("Waited", time.Since(i.readyAt)))
		i.score = out.stamp
		i.spent.scoring = time.Since(i.readyAt)
		r.finish(i, Completed, "")
		return
	}
	i.reward.avoid = s.ID
	r.log.Info("reward call failed", zap.String("Job", o.item.job.head.ID), zap.String("Item", i.ID), zap.String("Reward", i.Reward.ID),
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
	if f.Final(max(o.route.MaxServers, r.maxServers(i))) {
		r.finish(i, Abandoned, refusal.ReasonServer)
	}
}
