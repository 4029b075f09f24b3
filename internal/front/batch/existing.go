package batch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// existingBatch is the number of existing jobs that are read between two checks whether
	// the history was lost again, and parallelJobs how many are read concurrently.
	existingBatch = 16
	parallelJobs  = 4
	// relistAfter is the number of batches after which the jobs are listed again: the
	// Sweeper closes meanwhile what earlier builds left.
	relistAfter = 20
	// runnerReadTime is the time from a batch to the next at a daemon that runs items: each
	// reads at most 160 jobs a second, which leaves the store calls for other work.
	runnerReadTime = 100 * time.Millisecond
	// otherReadTime is that time at the other daemons, for each daemon of the fleet, so that
	// all together read at most 400 jobs a second. They list the jobs within that time.
	otherReadTime = 40 * time.Millisecond
	// turnCheckInterval is the time between two checks whether this daemon runs items, and
	// membersWait how long it waits for the list of daemons.
	turnCheckInterval = 20 * time.Millisecond
	membersWait       = 500 * time.Millisecond
)

// existingJobs are the jobs that were in the store before this daemon began to follow
// the changes of the job table. They are read while it works on the jobs that it has read.
// Its methods may be called with the runner's mutex held only, which guards all fields but
// wanted and begunAt.
type existingJobs struct {
	// wanted is signalled when the jobs must be listed (again).
	wanted chan struct{}
	// generation is the number of times that changes may have been missed.
	generation int
	// readIn holds the generation in which each listed job was last read.
	readIn map[string]int
	// unread are the jobs to be read, in this order, and reading is whether a job may
	// be missing in unread because a listing or a read is under way.
	unread  []string
	reading bool
	// ended contains jobs that ended according to the feed, but whose heads have not been
	// read: the read of their rows may have begun before.
	ended set.Set[string]
	// begunAt is when this daemon began to follow the table; it is set once.
	begunAt time.Time
	// calls counts the reading calls of the current generation, which began at since.
	calls int
	since time.Time
}

// missed records that changes may have been missed.
func (e *existingJobs) missed(now time.Time) {
	e.generation++
	e.reading, e.calls, e.since = true, 0, now
	e.want()
}

// want makes the jobs be listed (again).
func (e *existingJobs) want() {
	select {
	case e.wanted <- struct{}{}:
	default:
	}
}

// list records all jobs in the store, those of them that are closed, and the open jobs that
// this daemon knows. Jobs that were never read come first: however often changes are
// missed, each listing is followed by reads of further jobs.
func (e *existingJobs) list(all, known []string, closed set.Set[string]) {
	readIn := make(map[string]int)
	e.unread = nil
	for _, id := range slices.Concat(all, known) {
		if _, twice := readIn[id]; twice || closed.Contains(id) {
			continue
		}
		readIn[id] = e.readIn[id]
		if readIn[id] < e.generation {
			e.unread = append(e.unread, id)
		}
	}
	e.readIn = readIn
	slices.SortStableFunc(e.unread, func(a, b string) int { return cmp.Compare(readIn[a], readIn[b]) })
}

// take removes the next jobs to read and returns them.
func (e *existingJobs) take() []string {
	n := min(existingBatch, len(e.unread))
	out := e.unread[:n]
	e.unread = e.unread[n:]
	return out
}

// followJobs follows the job table until the context ends. Its changes are followed from
// the version at which it begins; the jobs that exist by then are read meanwhile, so that
// new jobs do not wait for them, however many there are.
func (r *Runner) followJobs(ctx context.Context) {
	r.existing.begunAt = time.Now()
	go r.readExisting(ctx)
	fleet.Follow(ctx, r.fleet, fleet.Subscription{
		Table: jobTable, Read: r.readVersion, Apply: func(u fleet.Update) {
			if u.Complete {
				r.mutex.Lock()
				r.existing.missed(time.Now())
				r.mutex.Unlock()
			}
			r.applyRows(u.Rows)
		},
	})
}

// readVersion reads the store's version, without rows.
func (r *Runner) readVersion(ctx context.Context) (store.Snapshot, error) {
	s, err := r.ledger.Store.Read(ctx, store.Range{Table: jobTable, Limit: 1})
	s.Rows = nil
	return s, err
}

// readExisting reads the existing jobs each time that changes may have been missed, until
// the context ends. A call that fails is repeated; what was read before is kept.
func (r *Runner) readExisting(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.existing.wanted:
		}
		if r.listExisting(ctx) {
			r.readListed(ctx)
		}
	}
}

// listExisting lists the jobs in the store. It reports whether it was done before the
// context ended.
func (r *Runner) listExisting(ctx context.Context) bool {
	r.awaitTurn(ctx, time.Now(), 0, r.spread(otherReadTime))
	known := r.openJobs()
	closed, ok := r.parts(ctx, closedTable)
	if !ok {
		return false
	}
	all, ok := r.parts(ctx, jobTable)
	if !ok {
		return false
	}
	marked := set.New(closed...)
	for _, id := range known {
		if marked.Contains(id) {
			r.endJob(id)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.existing.list(all, known, marked)
	r.log.Info("existing jobs listed", zap.Int("Jobs", len(all)), zap.Int("Closed", len(closed)), zap.Int("ToRead", len(r.existing.unread)),
		zap.Int("Generation", r.existing.generation), zap.Duration("Took", time.Since(r.existing.since)))
	return true
}

// openJobs returns the IDs of the known jobs that have not ended.
func (r *Runner) openJobs() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var out []string
	for id, j := range r.jobs {
		if !j.ended {
			out = append(out, id)
		}
	}
	return out
}

// parts returns all parts of a table. ok is false if the context ended before.
func (r *Runner) parts(ctx context.Context, table string) (all []string, ok bool) {
	for after, more := "", true; more; {
		var parts []string
		err := r.callExisting(ctx, func(ctx context.Context) (err error) {
			parts, more, err = r.ledger.Store.Parts(ctx, table, after)
			return err
		})
		if err != nil {
			return nil, false
		}
		all = append(all, parts...)
		if more = more && len(parts) > 0; more {
			after = parts[len(parts)-1]
		}
	}
	return all, true
}

// readListed reads the jobs that were listed, in bounded batches, until all are read, they
// are to be listed again, or the context ends.
func (r *Runner) readListed(ctx context.Context) {
	begin := time.Now()
	for n := 1; ctx.Err() == nil; n++ {
		r.awaitTurn(ctx, begin, runnerReadTime, otherReadTime)
		begin = time.Now()
		r.mutex.Lock()
		batch, generation := r.existing.take(), r.existing.generation
		r.mutex.Unlock()
		if len(batch) > 0 {
			r.readBatch(ctx, batch, generation)
		}
		r.mutex.Lock()
		if len(r.existing.unread) > 0 && n >= relistAfter {
			r.existing.want()
		}
		again := len(r.existing.wanted) > 0
		done := len(r.existing.unread) == 0 && !again
		if done {
			r.existing.reading = false
			r.existing.ended = set.Set[string]{}
			r.log.Info("existing jobs read", zap.Int("Calls", r.existing.calls), zap.Duration("Took", time.Since(r.existing.since)))
		}
		r.mutex.Unlock()
		if done || again {
			return
		}
	}
}

// readBatch reads the rows of jobs and applies them.
func (r *Runner) readBatch(ctx context.Context, ids []string, generation int) {
	var g errgroup.Group
	g.SetLimit(parallelJobs)
	for _, id := range ids {
		g.Go(func() error {
			var s store.Snapshot
			err := r.callExisting(ctx, func(ctx context.Context) (err error) {
				s, err = r.ledger.Store.Read(ctx, store.Range{Table: jobTable, Part: id})
				return err
			})
			if err != nil {
				return err
			}
			if len(s.Rows) == 0 {
				// It was removed since it was listed or became known.
				r.endJob(id)
			}
			r.applyRows(s.Rows)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.existing.readIn[id] = generation
			return nil
		})
	}
	// The context has ended if there is an error.
	_ = g.Wait()
}

// callExisting makes a call until it succeeds. Its error is that of the context.
func (r *Runner) callExisting(ctx context.Context, do func(context.Context) error) error {
	for logged := false; ; fleet.Sleep(ctx, retryInterval) {
		if err := ctx.Err(); err != nil {
			return errors.Wrap(err, "batch: existing jobs")
		}
		r.mutex.Lock()
		r.existing.calls++
		r.mutex.Unlock()
		c, cancel := context.WithTimeout(ctx, readTimeout)
		err := do(c)
		cancel()
		if err == nil {
			return nil
		}
		if !logged && ctx.Err() == nil {
			r.log.Info("existing jobs not read yet", zap.Error(err))
			logged = true
		}
	}
}

// awaitTurn waits until a time since begin has passed: own at a daemon that runs items, and
// at least perDaemon for each daemon at the others. It waits for the first list of daemons, as
// long as that comes soon.
func (r *Runner) awaitTurn(ctx context.Context, begin time.Time, own, perDaemon time.Duration) {
	for ctx.Err() == nil {
		rest := own - time.Since(begin)
		switch m := r.fleet.Members(); {
		case len(m.List) == 0:
			rest = max(rest, membersWait-time.Since(r.existing.begunAt))
		case !slices.ContainsFunc(r.runners(), func(o fleet.Member) bool { return o.ID == r.self }):
			rest = max(rest, time.Duration(len(m.List))*perDaemon-time.Since(begin))
		}
		if rest <= 0 {
			return
		}
		fleet.Sleep(ctx, min(rest, turnCheckInterval))
	}
}

// spread returns the part of d that this daemon waits before it lists the jobs, so that
// daemons that start together do not call together.
func (r *Runner) spread(d time.Duration) time.Duration {
	const steps = 1 << 10
	return d * time.Duration(xxhash.Sum64String(r.self)%steps) / steps
}

// Unread returns the number of existing jobs that are listed and not read yet.
func (r *Runner) Unread() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.existing.unread)
}
