package batch

import (
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
)

const (
	// stallFactor times a server's usual time between two events is the gap above which
	// a run counts as stalled.
	stallFactor = 3
	// unknownStall is that gap on a server without measurements.
	unknownStall = 300 * time.Millisecond
)

// spent is the time that an item has spent at this daemon, by cause. The zero value is
// the start.
type spent struct {
	// waiting is the time in which the item was ready and no server ran it.
	waiting time.Duration
	// starting is the time from sending a run until its first event.
	starting time.Duration
	// generating is the time between events, and stalled what exceeded the usual time
	// between them.
	generating, stalled time.Duration
	// interrupted is the time from the last event of a run that did not complete until
	// its end.
	interrupted time.Duration
	// scoring is the time from the end of the text until the score.
	scoring time.Duration
}

// addGap adds the time between two events on a server, where interval is usual.
func (s *spent) addGap(gap, interval time.Duration) {
	limit := stallFactor * interval
	if interval == 0 {
		limit = unknownStall
	}
	if gap <= limit {
		s.generating += gap
		return
	}
	s.generating += interval
	s.stalled += gap - interval
}

// fields returns the fields of a log line.
func (s spent) fields() []zap.Field {
	return []zap.Field{
		zap.Duration("Waited", s.waiting), zap.Duration("Starting", s.starting), zap.Duration("Generating", s.generating),
		zap.Duration("Stalled", s.stalled), zap.Duration("Interrupted", s.interrupted), zap.Duration("Scoring", s.scoring),
	}
}

// record adds the time to the metrics.
func (s spent) record(m *metrics.Metrics) {
	m.ItemTime(metrics.CauseWaiting, s.waiting)
	m.ItemTime(metrics.CauseStarting, s.starting)
	m.ItemTime(metrics.CauseGenerating, s.generating)
	m.ItemTime(metrics.CauseStalled, s.stalled)
	m.ItemTime(metrics.CauseInterrupted, s.interrupted)
	m.ItemTime(metrics.CauseScoring, s.scoring)
}
