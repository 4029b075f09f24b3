package rollout

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
)

const (
	// lookEvery is how often the daemons that rank first look for trainers.
	lookEvery = time.Second
	// lookRarely is how often the other daemons do.
	lookRarely = 15 * time.Second
	// lookers is how many daemons rank first.
	lookers = 4
	// rankWait is by how much each rank lets those before it go first.
	rankWait = time.Second
	// handOver bounds the release of a trainer at the end.
	handOver = 2 * time.Second
)

// Runner generates the groups of the trainers that this daemon owns. Use
// NewRunner.
type Runner struct {
	parts Parts

	// mutex guards driven.
	mutex sync.Mutex
	// driven holds the trainers that have a driver.
	driven map[batch.Trainer]bool
	// owners belongs to the goroutine of Serve.
	owners map[batch.Trainer]*batch.Owner
	wait   sync.WaitGroup
}

// NewRunner returns the runner of one daemon.
func NewRunner(p Parts) *Runner {
	return &Runner{parts: p, driven: make(map[batch.Trainer]bool), owners: make(map[batch.Trainer]*batch.Owner)}
}

// Serve looks for trainers without an owner until the context ends, then hands
// over those it has.
func (r *Runner) Serve(ctx context.Context) error {
	defer r.wait.Wait()
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	var looked time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			rank := r.rank("")
			if rank >= lookers && now.Sub(looked) < lookRarely {
				continue
			}
			looked = now
			// While the table is down there is nothing to look for.
			_ = r.look(ctx)
		}
	}
}

func (r *Runner) look(ctx context.Context) error {
	heads, err := r.parts.Ledger.Heads(ctx)
	if err != nil {
		return err
	}
	for _, h := range heads {
		if r.drives(h.Trainer) {
			continue
		}
		o := r.owners[h.Trainer]
		if o == nil {
			o = &batch.Owner{}
			r.owners[h.Trainer] = o
		}
		patience := time.Duration(min(r.rank(h.Trainer.Name), lookers)) * rankWait
		held, err := r.parts.Ledger.Own(ctx, h.Trainer, o, patience)
		if err != nil {
			return err
		}
		if held {
			r.drive(ctx, h.Trainer)
		}
	}
	return nil
}

func (r *Runner) drive(ctx context.Context, t batch.Trainer) {
	r.set(t, true)
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		defer r.set(t, false)
		newDriver(r.parts, t).serve(ctx)
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOver)
		defer cancel()
		// A row that stays behind goes stale by itself.
		_ = r.parts.Ledger.Disown(last, t)
	}()
}

func (r *Runner) drives(t batch.Trainer) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.driven[t]
}

// rank returns this daemon's place among the live ones for a name, by
// rendezvous hashing.
func (r *Runner) rank(name string) int {
	members := slices.Clone(r.parts.View.State().Members)
	weight := func(m fleet.MemberID) uint64 { return xxhash.Sum64String(name + "|" + m.String()) }
	slices.SortFunc(members, func(a, b fleet.Member) int { return cmp.Compare(weight(a.ID), weight(b.ID)) })
	i := slices.IndexFunc(members, func(m fleet.Member) bool { return m.ID == r.parts.Self })
	if i < 0 {
		return lookers
	}
	return i
}

func (r *Runner) set(t batch.Trainer, driven bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.driven[t] = driven
}
