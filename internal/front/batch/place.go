package batch

import (
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
)

const (
	// minRemaining is the number of tokens that an item is taken to lack at least.
	minRemaining = 200
	// silentRest is how long a server that fell silent gets no items from this
	// daemon.
	silentRest = time.Second
	// minStay is how long an item stays on a server before it may be moved.
	minStay = 250 * time.Millisecond
)

// waiting returns the items that wait.
func (r *Runner) waiting() []schedule.Item {
	var out []schedule.Item
	for _, j := range r.jobs {
		if j.ended {
			continue
		}
		for _, i := range j.items {
			if i.done || i.stop != nil {
				continue
			}
			if w := r.describe(j, i); w.Service != "" {
				out = append(out, w)
			} else if r.fleet.Config() != nil {
				r.finish(j, i, Abandoned, refusal.ReasonNoRoute)
			}
		}
	}
	return out
}

// describe returns an item as a scheduler sees it.
func (r *Runner) describe(j *job, i *item) schedule.Item {
	w := schedule.Item{
		ID: i.ID, Group: i.Group, Model: j.head.Model, MinVersion: j.head.MinVersion,
		DueAt: r.local(j.head.DueAt), NotBefore: i.notBefore, Avoid: i.avoid,
		Remaining: r.remaining(i), ReadyAt: i.readyAt,
	}
	if target, ok := r.route(j, i); ok {
		w.Service = target.Service(i.ID)
	}
	return w
}

// remaining returns the number of tokens that an item is expected to lack. One
// that has outlasted what was expected is taken to make half as many more.
func (r *Runner) remaining(i *item) int {
	made := i.progress.After * r.tokensPerEvent()
	return max(minRemaining, expected(i.Tokens, i.Limit)-made, min(made/2, i.Limit-made))
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

// local converts an instant of the store's clock.
func (r *Runner) local(ms int64) time.Time {
	now, ok := r.fleet.Clock.Now()
	if !ok {
		return time.Now()
	}
	return time.Now().Add(time.UnixMilli(ms).Sub(now))
}

// move stops the running items that are better resumed elsewhere.
func (r *Runner) move(now time.Time, servers []schedule.Server) {
	var running []schedule.Running
	find := make(map[string]*item)
	for _, j := range r.jobs {
		for _, i := range j.items {
			if i.server == "" || i.moving || now.Sub(i.sentAt) < minStay {
				continue
			}
			find[i.ID] = i
			s, known := r.fleet.Servers().Get(i.server)
			running = append(running, schedule.Running{
				Item: r.describe(j, i), Server: i.server, SentAt: i.sentAt, ProgressAt: i.progressAt, Started: i.begun,
				Leaving: known && s.Draining,
			})
		}
	}
	for _, m := range schedule.Move(now, running, servers) {
		i := find[m.Item.ID]
		i.avoid, i.moving = m.Server, true
		i.stop()
		if m.Unresponsive(now) {
			r.paces.rest(m.Server, silentRest)
		}
		r.log.Info("item moved", zap.String("Item", m.Item.ID), zap.String("From", m.Server),
			zap.Duration("Silent", now.Sub(m.ProgressAt)), zap.Int("After", i.progress.After))
	}
}
