package batch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
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
		if j.ended || j.loading {
			continue
		}
		if parcels := r.wanted(j, r.owners()); len(parcels) > 0 {
			j.loading = true
			r.work.Add(1)
			go r.load(ctx, j, parcels)
		}
	}
}

// wanted returns the parcels with items that belong to this daemon and that it
// does not hold.
func (r *Runner) wanted(j *job, o owners) []int {
	var out []int
	others := o.alive(j, r.self)
	for _, h := range j.head.Items {
		if !others[h.Parcel] && j.items[h.ID] == nil && o.of(j, h) == r.self && !slices.Contains(out, h.Parcel) {
			out = append(out, h.Parcel)
		}
	}
	return out
}

// owners tells who items belong to, by the daemons that live at one instant.
type owners struct {
	members *fleet.Members
	// runners are those that take the items of the others, for a number of
	// places of all servers.
	runners *fleet.Members
	places  int
}

// owners returns the owners as known now. It is called with the mutex held.
func (r *Runner) owners() owners {
	m, places := r.fleet.Members(), r.places()
	if r.known.members != m || r.known.places != places {
		r.known = owners{members: m, runners: m.Strongest(runnersFor(places)), places: places}
	}
	return r.known
}

// alive tells for each parcel of a job whether it belongs to a daemon other than
// self that lives.
func (o owners) alive(j *job, self string) []bool {
	out := make([]bool, len(j.head.Parcels))
	for i, p := range j.head.Parcels {
		out[i] = p.Member != self && o.members.Has(p.Member)
	}
	return out
}

// of returns the daemon that an item belongs to.
func (o owners) of(j *job, h ItemHead) string {
	if m := j.head.Parcels[h.Parcel].Member; o.members.Has(m) {
		return m
	}
	return o.runners.Pick(h.ID)
}

// load reads the items of parcels that belong to this daemon.
func (r *Runner) load(ctx context.Context, j *job, parcels []int) {
	defer r.work.Done()
	err := r.loadParcels(ctx, j, parcels)
	r.mutex.Lock()
	j.loading = false
	r.mutex.Unlock()
	if err != nil {
		r.log.Warn("items not read", zap.String("Job", j.head.ID), zap.Ints("Parcels", parcels), zap.Error(err))
		return
	}
	r.kick()
}

// loadParcels reads the items, and how far they had got unless no other daemon
// can have run them.
func (r *Runner) loadParcels(ctx context.Context, j *job, parcels []int) error {
	var done map[string]bool
	var marks map[string][]Mark
	bodies := make([][]Item, len(parcels))
	g, c := errgroup.WithContext(ctx)
	g.SetLimit(parallelReads)
	for i, p := range parcels {
		g.Go(func() (err error) {
			bodies[i], err = r.ledger.bodies(c, j.head.ID, p)
			return err
		})
	}
	others := !j.fresh || slices.ContainsFunc(parcels, func(p int) bool { return j.head.Parcels[p].Member != r.self })
	if others {
		g.Go(func() (err error) {
			done, err = r.ledger.done(c, j.head.ID)
			return err
		})
		g.Go(func() (err error) {
			marks, err = r.ledger.marks(c, j.head.ID)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	r.takeItems(j, slices.Concat(bodies...), done, marks)
	return nil
}

// takeItems adds those of the items that belong to this daemon.
func (r *Runner) takeItems(j *job, items []Item, done map[string]bool, marks map[string][]Mark) {
	read := make(map[string]Item, len(items))
	for _, i := range items {
		read[i.ID] = i
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if j.ended {
		return
	}
	o := r.owners()
	var own []Item
	for _, h := range j.head.Items {
		if i, ok := read[h.ID]; ok && j.items[h.ID] == nil && o.of(j, h) == r.self {
			own = append(own, i)
		}
	}
	j.receive(own, done, marks)
	if done != nil {
		r.log.Info("items taken over", zap.String("Job", j.head.ID), zap.Int("Items", len(own)), zap.Int("Done", len(done)))
	}
}

// receive adds items that belong to this daemon, with the texts that others had
// of them. The others may still run: what this daemon adds to a text, it writes
// under a lineage of its own, the text from its beginning.
func (j *job) receive(items []Item, done map[string]bool, marks map[string][]Mark) {
	for _, i := range items {
		p := join(marks[i.ID])
		p.Lineage = ""
		j.items[i.ID] = &item{Item: i, progress: p, done: done[i.ID], readyAt: time.Now()}
	}
}
