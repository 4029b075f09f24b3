package batch

import (
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
)

const (
	// minRemainingTokens is the lower limit of the estimate of an item's
	// remaining tokens.
	minRemainingTokens = 200
	// unresponsiveBackoff is how long an unresponsive server gets no items from
	// this daemon.
	unresponsiveBackoff = time.Second
	// minRunTime is how long an item stays on a server before it may be moved.
	minRunTime = 250 * time.Millisecond
)

// waiting returns the waiting items. It abandons items that have no route in the
// current configuration, discards texts that no server will continue in time, and records
// that the items are offered to the servers.
func (r *Runner) waiting(now time.Time) []schedule.Item {
	var out []schedule.Item
	for _, j := range r.jobs {
		if j.ended || r.excluded(j) {
			continue
		}
		for _, i := range j.items {
			if i.done || i.stop != nil || i.progress.Complete {
				continue
			}
			w := r.toScheduleItem(i)
			if r.startsOver(now, w, i.offeredFor.Equal(i.readyAt)) {
				r.startOver(i, "no server of its software version in time")
				w = r.toScheduleItem(i)
			}
			i.offeredFor = i.readyAt
			if w.Service != "" {
				out = append(out, w)
			} else if r.fleet.Config() != nil {
				r.finish(i, Abandoned, refusal.ReasonNoRoute)
			}
		}
	}
	return out
}

// reportWaiting reports the items that were not placed as demand at the servers that
// limit their rates. It is called with the mutex held.
func (r *Runner) reportWaiting(waiting []schedule.Item, placed []schedule.Placement) {
	left := make(map[string]int)
	for _, w := range waiting {
		left[w.Service]++
	}
	for _, p := range placed {
		left[p.Item.Service]--
	}
	r.reportDemand(left)
}

// reportDemand reports the numbers of waiting requests, by service, as demand at the
// servers that limit their rates.
func (r *Runner) reportDemand(waiting map[string]int) {
	for _, s := range r.fleet.Servers().List {
		if n := waiting[s.Service]; n > 0 && !s.Draining {
			r.limits.Want(s, n)
		}
	}
}

// toScheduleItem describes an item to the scheduler.
func (r *Runner) toScheduleItem(i *item) schedule.Item {
	w := schedule.Item{
		ID: i.ID, Group: i.Group, Model: i.job.head.Model, MinVersion: i.job.head.MinVersion,
		DueAt: r.localTime(i.job.head.DueAt), NotBefore: i.notBefore, Avoid: i.avoid,
		Remaining: r.remaining(i), ReadyAt: i.readyAt, Step: i.job.head.ID, Trainer: i.job.head.trainer(),
		Software: i.progress.software(), Produced: i.progress.After * r.tokensPerEvent(), Allows: r.allowsOf(i.job.head),
	}
	if target, ok := r.route(i); ok {
		w.Service = target.Service(i.ID)
	}
	return w
}

// remaining estimates the number of tokens that an item still has to produce.
// The estimate is at least half of what the item has produced already, because an
// item may exceed the expected length.
func (r *Runner) remaining(i *item) int {
	produced := i.progress.After * r.tokensPerEvent()
	return max(minRemainingTokens, expectedTokens(i.Tokens, i.Limit)-produced, min(produced/2, i.Limit-produced))
}

// tokensPerEvent returns the number of tokens in an event.
func (r *Runner) tokensPerEvent() int {
	if c := r.fleet.Config(); c != nil {
		for _, s := range c.Services {
			if s.TokensPerEvent > 0 {
				return s.TokensPerEvent
			}
		}
	}
	return 1
}

// localTime converts a time of the store's clock to the local clock.
func (r *Runner) localTime(ms int64) time.Time {
	now, ok := r.fleet.Clock.Now()
	if !ok {
		return time.Now()
	}
	return time.Now().Add(time.UnixMilli(ms).Sub(now))
}

// moveItems stops the running items that should be resumed on another server. An
// unresponsive server gets no items for unresponsiveBackoff.
func (r *Runner) moveItems(now time.Time, survey schedule.Survey, servers []schedule.Server) {
	var running []schedule.Running
	byID := make(map[string]*item)
	for _, j := range r.jobs {
		for _, i := range j.items {
			if i.server == "" || i.moving || now.Sub(i.sentAt) < minRunTime {
				continue
			}
			byID[i.ID] = i
			s, known := r.fleet.Servers().Get(i.server)
			w := r.toScheduleItem(i)
			if known && !w.MayRunIn(s.Domain) {
				i.moving = true
				i.stop()
				continue
			}
			running = append(running, schedule.Running{
				Item: w, Server: i.server, SentAt: i.sentAt, ProgressAt: i.progressAt, Started: i.started,
				Leaving: known && s.Draining, Stalls: i.stalls,
			})
		}
	}
	for _, m := range survey.Move(now, running, servers) {
		i := byID[m.Item.ID]
		i.avoid, i.moving = m.Server, true
		i.stop()
		if m.Unresponsive(now) {
			i.stalls++
			r.paces.backOff(m.Server, unresponsiveBackoff)
		}
		r.log.Info("item moved", zap.String("Item", m.Item.ID), zap.String("From", m.Server),
			zap.Duration("Silent", now.Sub(m.ProgressAt)), zap.Int("After", i.progress.After))
	}
}
