package batch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
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
	// loads are the items that all daemons run on each server.
	loads map[string]int
	// pages counts the pages that this daemon has written.
	pages int
	// runs counts the texts that this daemon has begun.
	runs int
	work sync.WaitGroup
}

// job is an open job.
type job struct {
	head  Head
	ended bool
	// endedAt is when the end was noticed.
	endedAt time.Time
	// items are those that belong to this daemon, by ID.
	items map[string]*item
	// loading is whether items are being read.
	loading bool
	// fresh is whether no other daemon can have run items of the job yet.
	fresh bool
	// results wait to be written; writing is whether some are being written.
	results []Result
	writing bool
	marking bool
	// inPage are the results that are being written.
	inPage []Result
}

// item is an item that belongs to this daemon.
type item struct {
	Item

	progress Progress
	// marked is the last event that a checkpoint holds.
	marked int
	// lastServer, runs and waited tell for the log how the item fared here.
	lastServer string
	runs       int
	waited     time.Duration
	// readyAt is when the item began to wait.
	readyAt   time.Time
	notBefore time.Time
	avoid     string
	// stop ends the run; nil while none runs.
	stop func()
	// server runs the item; empty while none does.
	server     string
	sentAt     time.Time
	progressAt time.Time
	begun      bool
	// moving is set once the run is stopped to be resumed elsewhere.
	moving bool
	// lap measures the server's pace.
	lap  lap
	done bool
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
// with them. What the store does not take by the end of the context goes to
// peers, by the caller and within a second context.
func (r *Runner) Leave(ctx context.Context, peers context.Context, c wire.Caller) {
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
	r.markAll(ctx)
	for ctx.Err() == nil && r.unwritten() {
		r.listAll(ctx)
		r.markAll(ctx)
		fleet.Sleep(ctx, retryInterval)
	}
	if r.unwritten() || !r.fleet.Reachable() {
		r.handOverAll(peers, c)
	}
}

// rateSpan is the time over which the rate of a model's work is taken.
const rateSpan = 12 * time.Second

// Demand returns the tokens that the known jobs of a model expect, ended ones
// among them: the next steps will be alike.
func (r *Runner) Demand(model string) float64 {
	return r.tokensOf(model, time.Time{})
}

// Rate returns the tokens of a model that trainers ask for in a second.
func (r *Runner) Rate(model string) float64 {
	now, ok := r.fleet.Clock.Now()
	if !ok {
		return 0
	}
	return r.tokensOf(model, now.Add(-rateSpan)) / rateSpan.Seconds()
}

// tokensOf adds up the tokens of a model's jobs that came after an instant of
// the store's clock.
func (r *Runner) tokensOf(model string, since time.Time) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sum := 0.0
	for _, j := range r.jobs {
		if j.head.Model != model || j.head.SubmittedAt < since.UnixMilli() {
			continue
		}
		for _, i := range j.head.Items {
			sum += float64(expected(i.Tokens, i.Limit))
		}
	}
	return sum
}

// accepted takes a job that this daemon has written.
func (r *Runner) accepted(h Head, parcels [][]Item) {
	r.mutex.Lock()
	j := r.add(h)
	for p, items := range parcels {
		if h.Parcels[p].Member == r.self {
			j.receive(items, nil, nil)
		}
	}
	r.mutex.Unlock()
	r.kick()
}

// add returns a job, new or known. It is called with the mutex held.
func (r *Runner) add(h Head) *job {
	j, ok := r.jobs[h.ID]
	if !ok {
		j = &job{head: h, items: make(map[string]*item)}
		now, _ := r.fleet.Clock.Now()
		j.fresh = now.UnixMilli()-h.SubmittedAt < freshFor.Milliseconds()
		r.jobs[h.ID] = j
	}
	return j
}

// freshFor is the age up to which a job that is first seen cannot have been run
// by a daemon that died since.
const freshFor = time.Second

// ended takes the end of a job.
func (r *Runner) ended(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	j, ok := r.jobs[id]
	if !ok || j.ended {
		return
	}
	j.ended, j.endedAt = true, time.Now()
	stopped := 0
	for _, i := range j.items {
		if i.stop != nil {
			stopped++
			i.stop()
		}
	}
	j.items = nil
	r.log.Info("job closed", zap.String("Job", id), zap.Int("Stopped", stopped))
}

// head returns an open job.
func (r *Runner) head(id string) (Head, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	j, ok := r.jobs[id]
	if !ok {
		return Head{}, false
	}
	return j.head, true
}

// kick has the loop look at once.
func (r *Runner) kick() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// readJobs reads the rows of all jobs.
func (r *Runner) readJobs(ctx context.Context) (store.Snapshot, error) {
	// The version is read first: what changes meanwhile comes by the feed.
	all, err := r.ledger.Store.Read(ctx, store.Range{Table: jobTable, Limit: 1})
	if err != nil {
		return store.Snapshot{}, err
	}
	parts, err := r.ledger.Store.Parts(ctx, jobTable)
	if err != nil {
		return store.Snapshot{}, err
	}
	for _, p := range parts {
		s, err := r.ledger.Store.Read(ctx, store.Range{Table: jobTable, Part: p})
		if err != nil {
			return store.Snapshot{}, err
		}
		all.Rows = append(all.Rows, s.Rows...)
	}
	return all, nil
}

// take takes rows of jobs. Heads go first: a reading of all rows names a job's
// end before its head.
func (r *Runner) take(rows []store.Row) {
	for _, row := range rows {
		if row.Removed || row.Key.Name != headName {
			continue
		}
		h, err := decodeHead(row.Value)
		if err != nil {
			r.log.Error("job not readable", zap.String("Job", row.Key.Part), zap.Error(err))
			continue
		}
		r.mutex.Lock()
		r.add(h)
		r.mutex.Unlock()
	}
	for _, row := range rows {
		if !row.Removed && row.Key.Name == endName {
			r.ended(row.Key.Part)
		}
	}
	r.kick()
}

// step starts, moves and lists what is due.
func (r *Runner) step(ctx context.Context, now time.Time) {
	r.mutex.Lock()
	r.forget(now)
	r.abandonLate()
	if !r.leaving {
		servers := r.servers()
		r.move(now, servers)
		for _, p := range schedule.Place(now, r.waiting(), servers) {
			r.start(ctx, p)
		}
	}
	r.mutex.Unlock()
	r.listAll(ctx)
}

// forget drops jobs that ended a while ago.
func (r *Runner) forget(now time.Time) {
	for id, j := range r.jobs {
		if j.ended && now.Sub(j.endedAt) > keepEnded {
			delete(r.jobs, id)
		}
	}
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
				r.finish(j, i, Abandoned, "time over")
			}
		}
	}
}

// servers returns the servers with what room this daemon has on each.
func (r *Runner) servers() []schedule.Server {
	members := r.fleet.Members().Staying()
	runners := r.fleet.Members().Strongest(r.runners()).List
	rank := slices.IndexFunc(runners, func(m fleet.Member) bool { return m.ID == r.self })
	used := r.running()
	load := maps.Clone(used)
	for _, m := range members {
		if m.ID == r.self {
			continue
		}
		for id, n := range m.Running {
			load[id] += n
		}
	}
	r.loads = load
	var out []schedule.Server
	for _, s := range r.fleet.Servers().List {
		if s.Draining || len(s.Weights) == 0 || r.paces.resting(s.ID) {
			continue
		}
		quota := 0
		if rank >= 0 {
			quota = schedule.Quota(s.Slots, rank, len(runners), rotation(s.ID))
		}
		if quota == 0 && float64(load[s.ID]) < spareLoad*float64(s.Slots) {
			quota = 1
		}
		out = append(out, schedule.Server{
			ID: s.ID, Service: s.Service, Free: quota - used[s.ID], Load: load[s.ID], Pace: r.pace(s.ID, members),
			Version: func(model string) int { return r.fleet.Loaded(s, model) },
		})
	}
	return out
}

const (
	// placesPerRunner is the number of places that one daemon should have of
	// all servers together, so that it finds one for each of its items.
	placesPerRunner = 12
	// minRunners is the number of daemons that run items at least, so that the
	// loss of one moves few.
	minRunners = 8
	// spareLoad is the part of a server's places up to which a daemon without a
	// place of its own may use one, as far as it knows from the others'
	// heartbeats.
	spareLoad = 0.5
)

// runners returns the number of daemons that run items.
func (r *Runner) runners() int {
	places := 0
	for _, s := range r.fleet.Servers().List {
		if len(s.Weights) > 0 {
			places += s.Slots
		}
	}
	return max(minRunners, places/placesPerRunner)
}

// Paces returns the time between two events on each server that this daemon
// knows well.
func (r *Runner) Paces() map[string]time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.paces.recent()
}

// pace returns the time that a token takes on a server, as seen by this daemon
// or else by the others.
func (r *Runner) pace(id string, members []fleet.Member) time.Duration {
	event := r.paces.events[id]
	if event == 0 {
		for _, m := range members {
			event = max(event, m.Paces[id])
		}
	}
	return event / time.Duration(r.tokensPerEvent())
}

// Counts returns the numbers of items that run and wait here, and of open jobs.
func (r *Runner) Counts() (running, waiting, jobs int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, j := range r.jobs {
		if j.ended {
			continue
		}
		jobs++
		for _, i := range j.items {
			switch {
			case i.stop != nil:
				running++
			case !i.done:
				waiting++
			}
		}
	}
	return running, waiting, jobs
}

// Running returns the number of items that this daemon runs on each server.
func (r *Runner) Running() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.running()
}

func (r *Runner) running() map[string]int {
	out := make(map[string]int)
	for _, j := range r.jobs {
		for _, i := range j.items {
			if i.server != "" {
				out[i.server]++
			}
		}
	}
	return out
}

// waiting returns the items that wait.
func (r *Runner) waiting() []schedule.Work {
	var out []schedule.Work
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
				r.finish(j, i, Abandoned, "no route")
			}
		}
	}
	return out
}

// describe returns an item as a scheduler sees it.
func (r *Runner) describe(j *job, i *item) schedule.Work {
	w := schedule.Work{
		ID: i.ID, Group: i.Group, Model: j.head.Model, MinVersion: j.head.MinVersion,
		DueAt: r.local(j.head.DueAt), NotBefore: i.notBefore, Avoid: i.avoid,
		Remaining: r.remaining(i), ReadyAt: i.readyAt,
	}
	if target, ok := r.route(j, i); ok {
		w.Service = target.Service(i.ID)
	}
	return w
}

// minRemaining is the number of tokens that an item is taken to lack at least.
const minRemaining = 200

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

// silentRest is how long a server that fell silent gets no items from this
// daemon.
const silentRest = time.Second

// minStay is how long an item stays on a server before it may be moved.
const minStay = 250 * time.Millisecond

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
				Work: r.describe(j, i), Server: i.server, SentAt: i.sentAt, ProgressAt: i.progressAt, Begun: i.begun,
				Leaving: known && s.Draining,
			})
		}
	}
	for _, m := range schedule.Move(now, running, servers) {
		i := find[m.Work.ID]
		i.avoid, i.moving = m.Server, true
		i.stop()
		if m.Silent(now) {
			r.paces.rest(m.Server, silentRest)
		}
		r.log.Info("item moved", zap.String("Item", m.Work.ID), zap.String("From", m.Server),
			zap.Duration("Silent", now.Sub(m.ProgressAt)), zap.Int("After", i.progress.After))
	}
}
