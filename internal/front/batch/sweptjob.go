package batch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// sweptJob is what is known of a job that was read.
type sweptJob struct {
	submittedAt, giveUpAt time.Time
	// keepClosed and keepOpen are the times from submission until the job is removed, if it
	// is closed and otherwise.
	keepClosed, keepOpen time.Duration
	// completeCheckAt is when an open job must be read again, which may have no work left;
	// zero for a job that has ended.
	completeCheckAt time.Time
	items           int
	id              string
}

// lookAt returns when the job must be read again.
func (j sweptJob) lookAt(closed bool) time.Time {
	switch {
	case closed:
		return j.submittedAt.Add(j.keepClosed)
	case j.completeCheckAt.IsZero():
		// It has ended: closing it failed, or is not in the listing yet.
		return time.Time{}
	}
	return j.completeCheckAt
}

// decode decodes the rows of a job; ok is false if they cannot be decoded.
func (s *Sweeper) decode(rows []store.Row) (j sweptJob, ended, ok bool) {
	for _, r := range rows {
		if r.Key.Name == endName {
			ended = true
			continue
		}
		h, err := decodeHead(r.Value)
		if err != nil {
			s.log.Error("cannot decode job", zap.String("Job", r.Key.Part), zap.Error(err))
			return sweptJob{}, false, false
		}
		j = sweptJob{id: h.ID, submittedAt: time.UnixMilli(h.SubmittedAt), giveUpAt: time.UnixMilli(h.GiveUpAt), items: len(h.Items)}
		ok = true
	}
	return j, ended, ok
}

// isComplete reports whether all items of a job past its end have results, so that no daemon
// has work left, although its trainer has not ended it.
func (s *Sweeper) isComplete(ctx context.Context, now time.Time, j sweptJob) (bool, error) {
	if now.Before(j.giveUpAt.Add(completeMargin)) {
		return false, nil
	}
	done, err := s.ledger.doneItems(ctx, j.id)
	return len(done) >= j.items, err
}
