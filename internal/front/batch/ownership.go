package batch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// loadOwned starts loading the missing items that belong to this daemon: those
// assigned to it, and its part of those of daemons that no longer exist or have yielded
// them. A leaving daemon loads none, nor does one that does not reach the servers, or
// has no configuration: it does not know where items may be processed.
func (r *Runner) loadOwned(ctx context.Context) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.leaving || r.suspended || r.fleet.Config() == nil {
		return
	}
	for _, j := range r.jobs {
		if j.ended || j.loading {
			continue
		}
		if shards := r.missingShards(j, r.owners()); len(shards) > 0 {
			j.loading = true
			r.work.Add(1)
			go r.load(ctx, j, shards)
		}
	}
}

// missingShards returns the shards with items that belong to this daemon but
// are not loaded.
func (r *Runner) missingShards(j *job, o owners) []int {
	var out []int
	held := o.heldByOthers(j, r.self)
	for _, h := range j.head.Items {
		if !held[h.Shard] && j.items[h.ID] == nil && o.owner(j, h) == r.self && !slices.Contains(out, h.Shard) {
			out = append(out, h.Shard)
		}
	}
	return out
}

// load reads and adds those items of shards that belong to this daemon, and logs
// an error.
func (r *Runner) load(ctx context.Context, j *job, shards []int) {
	defer r.work.Done()
	err := r.loadShards(r.homeContext(ctx, j.head), j, shards)
	r.mutex.Lock()
	j.loading = false
	r.mutex.Unlock()
	if err != nil {
		r.log.Warn("cannot read items", zap.String("Job", j.head.ID), zap.Ints("Parcels", shards), zap.Error(err))
		return
	}
	r.trigger()
}

// loadShards reads and adds items. If another daemon may have run them, it also
// reads which of them have results, and their checkpoints.
func (r *Runner) loadShards(ctx context.Context, j *job, shards []int) error {
	var done map[string]bool
	var checkpoints map[string][]Checkpoint
	bodies := make([][]Item, len(shards))
	g, c := errgroup.WithContext(ctx)
	g.SetLimit(parallelReads)
	for i, s := range shards {
		g.Go(func() (err error) {
			bodies[i], err = r.ledger.bodies(c, j.head, s)
			return err
		})
	}
	mayHaveRun := !j.isNew || slices.ContainsFunc(shards, func(s int) bool { return j.head.Shards[s].Member != r.self })
	if mayHaveRun {
		g.Go(func() (err error) {
			done, err = r.ledger.doneItems(c, j.head.ID)
			return err
		})
		g.Go(func() (err error) {
			checkpoints, err = r.ledger.checkpoints(c, j.head.ID)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	r.addOwned(j, slices.Concat(bodies...), done, checkpoints)
	return nil
}

// addOwned adds those of the items that belong to this daemon and are not loaded
// yet, unless the job has ended.
func (r *Runner) addOwned(j *job, items []Item, done map[string]bool, checkpoints map[string][]Checkpoint) {
	loaded := make(map[string]Item, len(items))
	for _, i := range items {
		loaded[i.ID] = i
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if j.ended {
		return
	}
	o := r.owners()
	var own []Item
	for _, h := range j.head.Items {
		if i, ok := loaded[h.ID]; ok && j.items[h.ID] == nil && o.owner(j, h) == r.self {
			own = append(own, i)
		}
	}
	r.addItems(j, own, done, checkpoints)
	if done != nil {
		r.log.Info("items taken over", zap.String("Job", j.head.ID), zap.Int("Items", len(own)), zap.Int("Done", len(done)))
	}
}

// addItems adds items that belong to this daemon, with the texts from the
// checkpoints of other daemons. Those daemons may still be running them, so
// this daemon writes its checkpoints under a new lineage, which contains the
// text from its beginning. An item that this daemon has kept from an earlier job
// continues. It is called with the mutex held.
func (r *Runner) addItems(j *job, items []Item, done map[string]bool, checkpoints map[string][]Checkpoint) {
	for _, i := range items {
		p := join(checkpoints[i.ID])
		p.Lineage = ""
		if kept := r.adopt(j, i, p, done[i.ID]); kept != nil {
			j.put(kept)
			if kept.progress.Complete {
				r.completeText(kept)
			}
			continue
		}
		j.put(&item{Item: i, progress: p, done: done[i.ID], readyAt: time.Now()})
	}
}
