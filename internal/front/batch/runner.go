package batch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/balance"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// stepInterval is the time between two checks for items to start or move.
	stepInterval = 50 * time.Millisecond
	// listDelay is how long results are collected before they are written, and
	// urgentListDelay that of a job that is due within urgentListTime: its last
	// results are few, and a trainer waits for them.
	listDelay       = 60 * time.Millisecond
	urgentListDelay = 10 * time.Millisecond
	urgentListTime  = time.Second
	// minCheckpointInterval is the minimum time between two checkpoints.
	minCheckpointInterval = 500 * time.Millisecond
	// checkpointPerRunner is added up over the daemons that run items: all of them
	// write to the part of the same job, whose writes the store limits to 200 a
	// second, and results must find room beside the checkpoints.
	checkpointPerRunner = 10 * time.Millisecond
	// writeTimeout limits one write of results or checkpoints.
	writeTimeout = 900 * time.Millisecond
	// ownerInterval is the time between two checks for items whose daemon died.
	ownerInterval = 100 * time.Millisecond
	// endedJobRetention is how long an ended job's head is kept in memory.
	endedJobRetention = 12 * time.Second
	// newJobAge is the maximum age of a job at which no daemon that ran its items
	// can have died yet.
	newJobAge = time.Second
)

// Limits knows the rates that servers allow.
type Limits interface {
	// Cold reports whether a server is cold.
	Cold(s backend.Server) bool
	// Free returns how many requests may be sent to a server now, at most a number.
	Free(s backend.Server, most int) int
	// Limited reports whether a server limits its rate.
	Limited(s backend.Server) bool
	// Rate returns the rate that a server allows, in requests per second; limited is
	// false if it does not limit it.
	Rate(s backend.Server) (rate float64, limited bool)
	// Want records the number of requests that wait for a server.
	Want(s backend.Server, requests int)
}

// Runner runs the items that belong to this daemon. Use NewRunner.
type Runner struct {
	balancer *balance.Balancer
	client   backend.Client
	fleet    *fleet.State
	ledger   Ledger
	limits   Limits
	log      *zap.Logger
	// metrics may be the zero value, which discards everything.
	metrics *metrics.Metrics
	self    string
	// sharesSlots is whether slots are shared among trainers.
	sharesSlots bool
	// domain is this daemon's failure domain.
	domain   string
	suspects Suspects
	// wake triggers a step of Serve.
	wake chan struct{}

	// mutex guards the fields below.
	mutex    sync.Mutex
	jobs     map[string]*job
	existing existingJobs
	// returning are the items that may return in a later job, with the runs and texts
	// for it, by ID.
	returning map[string]*item
	// leaving is set when no more items are to be started.
	leaving bool
	// path and announce are nil until SetPath.
	path     Path
	announce func(context.Context)
	// suspended is set while no items are to be started because this daemon does not
	// reach the servers.
	suspended bool
	// yieldedAt is when this daemon last yielded its items, by the store's clock; zero if
	// never. yielded is whether it has since the partition was confirmed.
	yieldedAt time.Time
	yielded   bool
	paces     paces
	// lastOwners is the latest result of owners.
	lastOwners owners
	// surveyed is the latest survey of all servers.
	surveyed surveyedServers
	// sharing is the latest decision about the shares of the trainers.
	sharing sharing
	// lastReports is the latest result of memberReports.
	lastReports memberReports
	// serverLoad is the number of items that all daemons run on each server.
	serverLoad map[string]int
	// pageCount is the number of pages that this daemon has named.
	pageCount int
	// lineageCount is the number of lineages that this daemon has begun.
	lineageCount int
	// bodySetCount is the number of body sets that this daemon has named.
	bodySetCount int
	// work counts the runs, reward calls and loads. None begins once leaving is set.
	work sync.WaitGroup
}

// NewRunner returns a Runner for the daemon self. Reward calls share b and s with
// live requests, which use the same servers.
func NewRunner(
	f *fleet.State, l Ledger, c backend.Client, limits Limits, b *balance.Balancer, s Suspects, m *metrics.Metrics, self string, log *zap.Logger,
) *Runner {
	return &Runner{
		balancer: b, client: c, fleet: f, ledger: l, limits: limits, log: log, metrics: m, self: self, suspects: s,
		wake: make(chan struct{}, 1), jobs: make(map[string]*job), returning: make(map[string]*item),
		existing: existingJobs{wanted: make(chan struct{}, 1)},
	}
}

// Serve runs items until the context ends.
func (r *Runner) Serve(ctx context.Context) error {
	go r.followJobs(ctx)
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	var ownersAt, checkpointsAt time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-r.wake:
		}
		now := time.Now()
		r.checkPath(ctx)
		if now.Sub(ownersAt) >= ownerInterval {
			ownersAt = now
			r.loadOwned(ctx)
		}
		r.step(ctx, now)
		if now.Sub(checkpointsAt) >= checkpointInterval(len(r.runners())) {
			checkpointsAt = now
			r.writeAllCheckpoints(ctx)
		}
	}
	return nil
}

// Leave stops all items and writes results and checkpoints, so that other
// daemons can continue the items. If some are not in the store by storeUntil, or
// the store is unreachable, it sends items and results to peers.
func (r *Runner) Leave(ctx context.Context, storeUntil time.Time, c wire.Caller) {
	r.mutex.Lock()
	r.leaving = true
	for _, j := range r.jobs {
		for _, i := range j.items {
			i.stopAll()
		}
	}
	for id := range r.returning {
		r.dropReturning(id)
	}
	r.mutex.Unlock()
	r.work.Wait()
	b, cancel := context.WithDeadline(ctx, storeUntil)
	defer cancel()
	for {
		r.writeAllResults(b)
		r.writeAllCheckpoints(b)
		if !r.hasUnwritten() || b.Err() != nil {
			break
		}
		fleet.Sleep(b, retryInterval)
	}
	if r.hasUnwritten() || !r.fleet.Reachable() {
		r.handOverAll(ctx, c)
	}
}

// checkpointInterval returns the time between two checkpoints of one daemon.
func checkpointInterval(runners int) time.Duration {
	return max(minCheckpointInterval, time.Duration(runners)*checkpointPerRunner)
}

// trigger wakes the loop of Serve.
func (r *Runner) trigger() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// step removes stale jobs, starts, moves and abandons items, and starts writing
// results.
func (r *Runner) step(ctx context.Context, now time.Time) {
	r.mutex.Lock()
	r.removeStale(now)
	r.releaseExcluded()
	r.abandonExpired()
	r.checkReturning(now)
	if !r.leaving && !r.suspended && r.hasOpenItems() {
		survey, servers := r.servers()
		r.moveItems(now, survey, servers)
		waiting := r.waiting(now)
		placements := survey.PlaceInOrder(now, waiting, servers, r.arrange(now, servers))
		for _, p := range placements {
			r.start(ctx, p)
		}
		if len(placements) == len(waiting) {
			r.startReruns(ctx, now, survey, servers)
		} else {
			r.yieldReruns()
			r.reportWaiting(waiting, placements)
		}
		r.sendRewards(ctx, now)
	}
	r.mutex.Unlock()
	r.writeAllResults(ctx)
}

// hasOpenItems reports whether this daemon holds an item that is not done.
func (r *Runner) hasOpenItems() bool {
	for _, j := range r.jobs {
		for _, i := range j.items {
			if !i.done {
				return true
			}
		}
	}
	return false
}

// removeStale removes jobs that ended some time ago, and the paces of servers
// that no longer exist.
func (r *Runner) removeStale(now time.Time) {
	for id, j := range r.jobs {
		if j.ended && now.Sub(j.endedAt) > endedJobRetention {
			delete(r.jobs, id)
		}
	}
	r.paces.removeGone(r.fleet.Servers())
}

// abandonExpired abandons the items of jobs that are certainly past their GiveUpAt.
func (r *Runner) abandonExpired() {
	now, ok := r.fleet.Clock.Earliest()
	if !ok {
		return
	}
	for _, j := range r.jobs {
		if j.ended || now.UnixMilli() < j.head.GiveUpAt {
			continue
		}
		r.abandonUnassigned(j)
		for _, i := range j.items {
			if !i.done {
				r.finish(i, Abandoned, refusal.ReasonDeadline)
			}
		}
	}
}
