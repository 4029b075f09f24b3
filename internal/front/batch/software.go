package batch

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// errSoftwareChanged is returned when a server was replaced by one of another software
// version under the same ID during a run. The item starts over.
var errSoftwareChanged = errors.New("batch: software of the server changed")

// software returns the software version that generated the item's text; it is empty if
// there is no text.
func (p Progress) software() option.Option[string] {
	if p.After == 0 {
		return option.Option[string]{}
	}
	return option.Some(p.Software)
}

// continuesOn reports whether a server can continue the item's text, or there is none.
func (p Progress) continuesOn(s backend.Server) bool {
	return p.software().Or(s.Software) == s.Software
}

// startOver discards an item's text. It is called with the mutex held.
func (r *Runner) startOver(i *item, reason string) {
	r.log.Info("item starts over", zap.String("Job", i.job.head.ID), zap.String("Item", i.ID), zap.String("Reason", reason),
		zap.Int("Events", i.progress.After), zap.String("Software", i.progress.Software), zap.Duration("Waited", time.Since(i.readyAt)))
	i.progress = Progress{Failures: i.progress.Failures, RewardFailures: i.progress.RewardFailures}
	i.checkpointed, i.checkpointedEnd = 0, checkpointedEnd{}
}

// replaced reports whether a server is known to have been replaced by one of another
// software version under the same ID.
func (r *Runner) replaced(s backend.Server) bool {
	now, ok := r.fleet.Servers().Get(s.ID)
	return ok && now.Software != s.Software
}

// startsOver reports whether a waiting item must discard its text. offered is whether the
// item has been offered to the servers since it began to wait.
func (r *Runner) startsOver(now time.Time, w schedule.Item, offered bool) bool {
	if _, ok := w.Software.Get(); !ok {
		return false
	}
	compatible, others := r.compatible(w)
	return w.StartsOver(now, offered, compatible, others, schedule.DefaultPace)
}

// compatible returns the numbers of servers of an item's service that are in use and could
// continue its text, and of the others.
func (r *Runner) compatible(w schedule.Item) (compatible, others int) {
	for _, s := range r.fleet.Servers().List {
		switch {
		case s.Service != w.Service || s.Draining || !w.MayRunIn(s.Domain):
		case w.Software.Or(s.Software) == s.Software:
			compatible++
		default:
			others++
		}
	}
	return compatible, others
}
