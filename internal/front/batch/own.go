package batch

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// own takes the items that belong to this daemon: those that it was given, and
// those of daemons that are no longer there.
func (r *Runner) own(ctx context.Context) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.leaving {
		return
	}
	for _, j := range r.jobs {
		if j.ended {
			continue
		}
		for p := range j.head.Parcels {
			if !j.loading[p] && r.wants(j, p) {
				j.loading[p] = true
				r.work.Add(1)
				go r.load(ctx, j, p)
			}
		}
	}
}

// wants reports whether an item of a parcel belongs to this daemon and is not
// held by it.
func (r *Runner) wants(j *job, parcel int) bool {
	for _, h := range j.head.Items {
		if h.Parcel == parcel && j.items[h.ID] == nil && r.mine(j, h) {
			return true
		}
	}
	return false
}

// mine reports whether an item belongs to this daemon.
func (r *Runner) mine(j *job, h ItemHead) bool {
	members := r.fleet.Members()
	if m := j.head.Parcels[h.Parcel].Member; m == r.self || members.Has(m) {
		return m == r.self
	}
	return members.Pick(h.ID) == r.self
}

// load reads the items of a parcel that belong to this daemon, and how far they
// had got.
func (r *Runner) load(ctx context.Context, j *job, parcel int) {
	defer r.work.Done()
	err := r.loadParcel(ctx, j, parcel)
	r.mutex.Lock()
	j.loading[parcel] = false
	r.mutex.Unlock()
	if err != nil {
		r.log.Warn("items not read", zap.String("Job", j.head.ID), zap.Int("Parcel", parcel), zap.Error(err))
		return
	}
	r.kick()
}

func (r *Runner) loadParcel(ctx context.Context, j *job, parcel int) error {
	items, err := r.ledger.bodies(ctx, j.head.ID, parcel)
	if err != nil {
		return err
	}
	var done map[string]bool
	var marks map[string][]Mark
	if !j.fresh || j.head.Parcels[parcel].Member != r.self {
		if done, err = r.ledger.done(ctx, j.head.ID); err != nil {
			return err
		}
		if marks, err = r.ledger.marks(ctx, j.head.ID); err != nil {
			return err
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if j.ended {
		return nil
	}
	var own []Item
	for _, h := range j.head.Items {
		if h.Parcel != parcel || j.items[h.ID] != nil || !r.mine(j, h) {
			continue
		}
		for _, i := range items {
			if i.ID == h.ID {
				own = append(own, i)
			}
		}
	}
	j.receive(own, done, marks)
	if len(marks) > 0 || len(done) > 0 {
		r.log.Info("items taken over", zap.String("Job", j.head.ID), zap.Int("Items", len(own)),
			zap.String("From", j.head.Parcels[parcel].Member))
	}
	return nil
}

// receive adds items that belong to this daemon.
func (j *job) receive(items []Item, done map[string]bool, marks map[string][]Mark) {
	for _, i := range items {
		p := join(marks[i.ID])
		j.items[i.ID] = &item{Item: i, progress: p, marked: p.After, done: done[i.ID], readyAt: time.Now()}
	}
}
