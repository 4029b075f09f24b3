package batch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// sweepInterval is the time between two looks for jobs that may be removed.
	sweepInterval = 10 * time.Second
	// sweepWork names the sweeping among the daemons, of which one does it.
	sweepWork = "sweep"
	// sweepSlack is kept beyond the time for which results are promised.
	sweepSlack = 30 * time.Second
	// openKeep is how many times longer a job is kept that nobody has ended.
	openKeep = 20
)

// Sweeper removes jobs from the store that are no longer to be read. Use
// NewSweeper.
type Sweeper struct {
	fleet  *fleet.State
	keep   time.Duration
	ledger Ledger
	log    *zap.Logger
	self   string
}

// NewSweeper returns a Sweeper that keeps ended jobs for a while after their
// submission.
func NewSweeper(f *fleet.State, l Ledger, keep time.Duration, self string, log *zap.Logger) *Sweeper {
	return &Sweeper{fleet: f, keep: keep, ledger: l, log: log, self: self}
}

// Serve removes jobs until the context ends.
func (s *Sweeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		fleet.Sleep(ctx, sweepInterval)
		now, ok := s.fleet.Clock.Now()
		if !ok || s.fleet.Members().Pick(sweepWork) != s.self {
			continue
		}
		if err := s.sweep(ctx, now); err != nil {
			s.log.Info("old jobs not removed yet", zap.Error(err))
		}
	}
	return nil
}

// sweep removes the jobs that are old at an instant of the store's clock.
func (s *Sweeper) sweep(ctx context.Context, now time.Time) error {
	parts, err := s.ledger.Store.Parts(ctx, jobTable)
	if err != nil {
		return err
	}
	for _, id := range parts {
		rows, err := s.ledger.Store.Read(ctx, store.Range{Table: jobTable, Part: id})
		if err != nil {
			return err
		}
		if !s.old(rows.Rows, now) {
			continue
		}
		if err := s.ledger.remove(ctx, id); err != nil {
			return err
		}
		s.log.Info("old job removed", zap.String("Job", id))
	}
	return nil
}

// old reports whether a job is no longer to be read.
func (s *Sweeper) old(rows []store.Row, now time.Time) bool {
	ended := false
	var submitted time.Time
	for _, r := range rows {
		if r.Key.Name == endName {
			ended = true
			continue
		}
		h, err := decodeHead(r.Value)
		if err != nil {
			s.log.Error("job not readable", zap.String("Job", r.Key.Part), zap.Error(err))
			return false
		}
		submitted = time.UnixMilli(h.SubmittedAt)
	}
	keep := s.keep + sweepSlack
	if !ended {
		keep *= openKeep
	}
	return !submitted.IsZero() && now.Sub(submitted) > keep
}

// remove removes all rows of a job; those that make it known go last.
func (l Ledger) remove(ctx context.Context, id string) error {
	for _, table := range []string{markTable, bodyTable, doneTable, indexTable, pageTable, jobTable} {
		for {
			c, cancel := context.WithTimeout(ctx, readTimeout)
			s, err := l.Store.Read(c, store.Range{Table: table, Part: id, Limit: maxEntries})
			if err == nil && len(s.Rows) > 0 {
				err = l.drop(c, s.Rows)
			}
			cancel()
			if err != nil {
				return err
			}
			if !s.More {
				break
			}
		}
	}
	return nil
}

func (l Ledger) drop(ctx context.Context, rows []store.Row) error {
	var t store.Txn
	for _, r := range rows {
		t.Removes = append(t.Removes, r.Key)
	}
	_, err := l.Store.Commit(ctx, t)
	return err
}
