package batch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
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
	// completeMargin is the time after a job's GiveUpAt at which all its items should have
	// results, and the time between two checks whether they have.
	completeMargin = 30 * time.Second
)

// Sweeper removes expired jobs from the store, and bodies of jobs that were never
// accepted. Use NewSweeper.
type Sweeper struct {
	fleet  *fleet.State
	keep   time.Duration
	ledger Ledger
	log    *zap.Logger
	self   string
	// seen holds what is known of jobs, by ID, and failedAt is the job at which the last
	// sweep failed; empty if it did not.
	seen     map[string]sweptJob
	failedAt string
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
		now, ok := s.fleet.Clock.Earliest()
		if !ok || s.fleet.Members().Pick(sweepTask) != s.self {
			continue
		}
		if err := s.sweep(ctx, now); err != nil {
			s.log.Info("expired jobs not removed yet", zap.Error(err))
		}
	}
	return nil
}

// sweep removes the jobs that have expired at a time of the store's clock, and closes those
// without work that are not closed, as earlier builds and trainers that never end their jobs
// leave them. What it has read of a job is kept: until the job may have expired it is
// not read again. A failed sweep goes on at the job where it failed.
func (s *Sweeper) sweep(ctx context.Context, now time.Time) error {
	// The closed jobs are listed first, so that one that is listed there only has been removed.
	closed, err := store.AllParts(ctx, s.ledger.Store, closedTable)
	if err != nil {
		return err
	}
	all, err := store.AllParts(ctx, s.ledger.Store, jobTable)
	if err != nil {
		return err
	}
	if err := s.sweepJobs(ctx, now, all, set.New(closed...)); err != nil {
		return err
	}
	if err := s.removeOrphans(ctx, set.New(all...), closed); err != nil {
		return err
	}
	return s.sweepHeadless(ctx, now)
}

// sweepJobs sweeps the listed jobs.
func (s *Sweeper) sweepJobs(ctx context.Context, now time.Time, all []string, closed set.Set[string]) error {
	before := s.seen
	s.seen = make(map[string]sweptJob, len(all))
	for _, id := range all {
		if j, ok := before[id]; ok {
			s.seen[id] = j
		}
	}
	first, _ := slices.BinarySearch(all, s.failedAt)
	for _, id := range slices.Concat(all[first:], all[:first]) {
		if j, ok := s.seen[id]; ok && now.Before(j.lookAt(closed.Contains(id))) {
			continue
		}
		if err := s.sweepJob(ctx, now, id, closed.Contains(id)); err != nil {
			s.failedAt = id
			return err
		}
	}
	s.failedAt = ""
	return nil
}

// sweepJob reads one job, removes it if it has expired, and closes it if it is without
// work.
func (s *Sweeper) sweepJob(ctx context.Context, now time.Time, id string, closed bool) error {
	c, cancel := context.WithTimeout(ctx, readTimeout)
	rows, err := s.ledger.Store.Read(c, store.Range{Table: jobTable, Part: id})
	cancel()
	if err != nil {
		return err
	}
	j, ended, ok := s.decode(rows.Rows)
	if !ok {
		return nil
	}
	j.keepClosed, j.keepOpen = s.keep+sweepMargin, openJobFactor*(s.keep+sweepMargin)
	if ended || closed {
		j.keepOpen = j.keepClosed
	}
	if now.Sub(j.submittedAt) > j.keepOpen {
		if err := s.ledger.remove(ctx, id); err != nil {
			return err
		}
		delete(s.seen, id)
		s.log.Info("expired job removed", zap.String("Job", id))
		return nil
	}
	if !closed && !ended {
		if ended, err = s.isComplete(ctx, now, j); err != nil {
			return err
		}
		j.completeCheckAt = j.giveUpAt.Add(completeMargin)
		if !j.completeCheckAt.After(now) {
			j.completeCheckAt = now.Add(completeMargin)
		}
	}
	if !closed && ended {
		if err := s.ledger.close(ctx, id); err != nil {
			return err
		}
		s.log.Info("job without work closed", zap.String("Job", id))
	}
	s.seen[id] = j
	return nil
}

// removeOrphans removes the rows of closed jobs that a Sweeper of an earlier build removed.
func (s *Sweeper) removeOrphans(ctx context.Context, all set.Set[string], closed []string) error {
	for _, id := range closed {
		if all.Contains(id) {
			continue
		}
		if err := s.ledger.removeKeys(ctx, []store.Key{closedRow(id).Key}); err != nil {
			return err
		}
	}
	return nil
}

// sweepHeadless removes bodies that had no head for headlessRetention: their
// submission was interrupted. Bodies that a repeated submission has written since
// have other names and are kept.
func (s *Sweeper) sweepHeadless(ctx context.Context, now time.Time) error {
	withBodies, err := store.AllParts(ctx, s.ledger.Store, bodyTable)
	if err != nil {
		return err
	}
	// The heads are read after the bodies, so that a new job counts as having one.
	heads, err := store.AllParts(ctx, s.ledger.Store, jobTable)
	if err != nil {
		return err
	}
	withHeads := set.New(heads...)
	before := s.headless
	s.headless = make(map[string]headlessBodies)
	for _, id := range withBodies {
		if withHeads.Contains(id) {
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
	rows, err := l.readAll(ctx, store.Range{Table: bodyTable, Part: id})
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

// remove removes all rows of a job. Those in jobTable are removed last, because
// the next sweep finds a partly removed job by them.
func (l Ledger) remove(ctx context.Context, id string) error {
	for _, table := range []string{checkpointTable, bodyTable, doneTable, indexTable, pageTable, closedTable, jobTable} {
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
