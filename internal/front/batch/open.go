package batch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

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
