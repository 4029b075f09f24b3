package batch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// sweepInterval is the time between two searches for expired jobs.
	sweepInterval = 10 * time.Second
	// sweepTask is the key that selects the one daemon that removes expired
	// jobs.
	sweepTask = "sweep"
	// sweepMargin is added to the time for which results must be kept.
	sweepMargin = 30 * time.Second
	// headlessRetention is how long bodies without a head are kept. It is longer
	// than acceptLimit, so that the head of a job that is being written is not
	// missed.
	headlessRetention = 30 * time.Second
	// openJobFactor is the factor by which a job is kept longer if it has not been
	// ended.
	openJobFactor = 20
)

// Sweeper removes expired jobs from the store, and bodies of jobs that were never
// accepted. Use NewSweeper.
type Sweeper struct {
	fleet  *fleet.State
	keep   time.Duration
	ledger Ledger
	log    *zap.Logger
	self   string
	// headless holds the bodies without a head that the last sweep found, by job.
	headless map[string]headlessBodies
}

// headlessBodies are bodies of a job that has no head.
type headlessBodies struct {
	keys []store.Key
	// seenAt is when a sweep first found them, by the store's clock.
	seenAt time.Time
}

// NewSweeper returns a Sweeper that keeps ended jobs for the duration keep
// after their submission.
func NewSweeper(f *fleet.State, l Ledger, keep time.Duration, self string, log *zap.Logger) *Sweeper {
	return &Sweeper{fleet: f, keep: keep, ledger: l, log: log, self: self}
}

// Serve removes expired jobs until the context ends.
func (s *Sweeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		fleet.Sleep(ctx, sweepInterval)
		now, ok := s.fleet.Clock.Now()
		if !ok || s.fleet.Members().Pick(sweepTask) != s.self {
			continue
		}
		if err := s.sweep(ctx, now); err != nil {
			s.log.Info("expired jobs not removed yet", zap.Error(err))
		}
	}
	return nil
}

// sweep removes the jobs that have expired at a time of the store's clock.
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
		if !s.expired(rows.Rows, now) {
			continue
		}
		if err := s.ledger.remove(ctx, id); err != nil {
			return err
		}
		s.log.Info("expired job removed", zap.String("Job", id))
	}
	return s.sweepHeadless(ctx, now)
}

// sweepHeadless removes bodies that had no head for headlessRetention: their
// submission was interrupted. Bodies that a repeated submission has written since
// have other names and are kept.
func (s *Sweeper) sweepHeadless(ctx context.Context, now time.Time) error {
	withBodies, err := s.ledger.Store.Parts(ctx, bodyTable)
	if err != nil {
		return err
	}
	// The heads are read after the bodies, so that a new job counts as having one.
	withHeads, err := s.ledger.Store.Parts(ctx, jobTable)
	if err != nil {
		return err
	}
	before := s.headless
	s.headless = make(map[string]headlessBodies)
	for _, id := range withBodies {
		if slices.Contains(withHeads, id) {
			continue
		}
		b, seen := before[id]
		if !seen {
			if b, err = s.ledger.headlessBodies(ctx, id, now); err != nil {
				return err
			}
		}
		if now.Sub(b.seenAt) < headlessRetention {
			s.headless[id] = b
			continue
		}
		if err := s.ledger.removeKeys(ctx, b.keys); err != nil {
			return err
		}
		s.log.Info("bodies of a job that was not accepted removed", zap.String("Job", id), zap.Int("Rows", len(b.keys)))
	}
	return nil
}

// headlessBodies reads the keys of the bodies of a job.
func (l Ledger) headlessBodies(ctx context.Context, id string, now time.Time) (headlessBodies, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := store.ReadAll(ctx, l.Store, store.Range{Table: bodyTable, Part: id})
	if err != nil {
		return headlessBodies{}, err
	}
	b := headlessBodies{seenAt: now}
	for _, r := range rows.Rows {
		b.keys = append(b.keys, r.Key)
	}
	return b, nil
}

// removeKeys removes rows of one part.
func (l Ledger) removeKeys(ctx context.Context, keys []store.Key) error {
	for part := range slices.Chunk(keys, maxTxnEntries) {
		c, cancel := context.WithTimeout(ctx, readTimeout)
		_, err := l.Store.Commit(c, store.Txn{Removes: part})
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// expired reports whether the job with the given rows may be removed.
func (s *Sweeper) expired(rows []store.Row, now time.Time) bool {
	ended := false
	var submitted time.Time
	for _, r := range rows {
		if r.Key.Name == endName {
			ended = true
			continue
		}
		h, err := decodeHead(r.Value)
		if err != nil {
			s.log.Error("cannot decode job", zap.String("Job", r.Key.Part), zap.Error(err))
			return false
		}
		submitted = time.UnixMilli(h.SubmittedAt)
	}
	keep := s.keep + sweepMargin
	if !ended {
		keep *= openJobFactor
	}
	return !submitted.IsZero() && now.Sub(submitted) > keep
}

// remove removes all rows of a job. Those in jobTable are removed last, because
// the next sweep finds a partly removed job by them.
func (l Ledger) remove(ctx context.Context, id string) error {
	for _, table := range []string{checkpointTable, bodyTable, doneTable, indexTable, pageTable, jobTable} {
		for {
			c, cancel := context.WithTimeout(ctx, readTimeout)
			s, err := l.Store.Read(c, store.Range{Table: table, Part: id, Limit: maxTxnEntries})
			if err == nil && len(s.Rows) > 0 {
				err = l.removeRows(c, s.Rows)
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

func (l Ledger) removeRows(ctx context.Context, rows []store.Row) error {
	var t store.Txn
	for _, r := range rows {
		t.Removes = append(t.Removes, r.Key)
	}
	_, err := l.Store.Commit(ctx, t)
	return err
}
