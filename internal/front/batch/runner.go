package batch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// stepInterval is the time between two looks at what may start or move.
	stepInterval = 50 * time.Millisecond
	// listInterval is how long results are gathered before they are written.
	listInterval = 60 * time.Millisecond
	// markInterval is the time between two checkpoints.
	markInterval = 500 * time.Millisecond
	// writeTimeout bounds one write of results or checkpoints.
	writeTimeout = 900 * time.Millisecond
	// ownerInterval is the time between two looks for items whose daemon died.
	ownerInterval = 100 * time.Millisecond
	// keepEnded is how long an ended job's head is kept in memory.
	keepEnded = 12 * time.Second
	// freshFor is the age up to which a job that is first seen cannot have been run
	// by a daemon that died since.
	freshFor = time.Second
)

// Runner runs the items that belong to this daemon. Use NewRunner.
type Runner struct {
	client backend.Client
	fleet  *fleet.State
	ledger Ledger
	log    *zap.Logger
	// metrics may be its zero value.
	metrics *metrics.Metrics
	self    string
	wake    chan struct{}

	// mutex guards all below.
	mutex sync.Mutex
	jobs  map[string]*job
	// leaving is set once no item is to be started any more.
	leaving bool
	paces   paces
	// known are the owners at the last look.
	known owners
	// loads are the items that all daemons run on each server.
	loads map[string]int
	// pages counts the pages that this daemon has written.
	pages int
	// runs counts the texts that this daemon has begun.
	runs int
	work sync.WaitGroup
}

// NewRunner returns a Runner of the daemon self.
func NewRunner(
	f *fleet.State, l Ledger, c backend.Client, m *metrics.Metrics, self string, log *zap.Logger,
) *Runner {
	return &Runner{
		client: c, fleet: f, ledger: l, log: log, metrics: m, self: self,
		wake: make(chan struct{}, 1), jobs: make(map[string]*job),
	}
}

// Serve runs items until the context ends.
func (r *Runner) Serve(ctx context.Context) error {
	go fleet.Follow(ctx, r.fleet, jobTable, r.readJobs, r.take)
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	var ownersAt, marksAt time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-r.wake:
		}
		now := time.Now()
		if now.Sub(ownersAt) >= ownerInterval {
			ownersAt = now
			r.own(ctx)
		}
		r.step(ctx, now)
		if now.Sub(marksAt) >= markInterval {
			marksAt = now
			r.markAll(ctx)
		}
	}
	return nil
}

// Leave stops all items and writes checkpoints, so that other daemons can go on
// with them. What the store has not taken by an instant goes to peers.
func (r *Runner) Leave(ctx context.Context, storeUntil time.Time, c wire.Caller) {
	r.mutex.Lock()
	r.leaving = true
	for _, j := range r.jobs {
		for _, i := range j.items {
			if i.stop != nil {
				i.stop()
			}
		}
	}
	r.mutex.Unlock()
	r.work.Wait()
	b, cancel := context.WithDeadline(ctx, storeUntil)
	defer cancel()
	for {
		r.listAll(b)
		r.markAll(b)
		if !r.unwritten() || b.Err() != nil {
			break
		}
		fleet.Sleep(b, retryInterval)
	}
	if r.unwritten() || !r.fleet.Reachable() {
		r.handOverAll(ctx, c)
	}
}

// kick has the loop look at once.
func (r *Runner) kick() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// step starts, moves and lists what is due.
func (r *Runner) step(ctx context.Context, now time.Time) {
	r.mutex.Lock()
	r.forget(now)
	r.abandonLate()
	if !r.leaving && r.busy() {
		servers := r.servers()
		r.move(now, servers)
		for _, p := range schedule.Place(now, r.waiting(), servers) {
			r.start(ctx, p)
		}
	}
	r.mutex.Unlock()
	r.listAll(ctx)
}

// busy reports whether this daemon holds an item that is not done.
func (r *Runner) busy() bool {
	for _, j := range r.jobs {
		for _, i := range j.items {
			if !i.done {
				return true
			}
		}
	}
	return false
}

// forget drops jobs that ended a while ago, and what is known of servers that
// are gone.
func (r *Runner) forget(now time.Time) {
	for id, j := range r.jobs {
		if j.ended && now.Sub(j.endedAt) > keepEnded {
			delete(r.jobs, id)
		}
	}
	r.paces.forget(r.fleet.Servers())
}

// abandonLate gives up the items of jobs whose time is over.
func (r *Runner) abandonLate() {
	now, ok := r.fleet.Clock.Now()
	if !ok {
		return
	}
	for _, j := range r.jobs {
		if j.ended || now.UnixMilli() < j.head.GiveUpAt {
			continue
		}
		for _, i := range j.items {
			if !i.done {
				r.finish(j, i, Abandoned, refusal.ReasonDeadline)
			}
		}
	}
}
