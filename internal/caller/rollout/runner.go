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
	// scanInterval is the interval between two scans for trainers without an
	// owner, at the daemons with the first frequentScanners ranks.
	scanInterval = time.Second
	// slowScanInterval is the interval between two scans at the other daemons.
	slowScanInterval = 15 * time.Second
	// frequentScanners is the number of daemons that scan each scanInterval.
	frequentScanners = 4
	// rankDelay is how much longer each rank waits than the one before it to
	// take over a trainer.
	rankDelay = time.Second
	// disownTimeout bounds the release of a trainer after its driver has ended.
	disownTimeout = 2 * time.Second
)

// Runner generates the groups of the trainers that this daemon owns. Use
// NewRunner.
type Runner struct {
	deps Dependencies

	// mutex guards active.
	mutex sync.Mutex
	// active contains true for each trainer that has a driver.
	active map[batch.Trainer]bool
	// owners is used only by the goroutine of Serve.
	owners map[batch.Trainer]*batch.Owner
	wait   sync.WaitGroup
}

// NewRunner returns the runner of one daemon.
func NewRunner(d Dependencies) *Runner {
	return &Runner{deps: d, active: make(map[batch.Trainer]bool), owners: make(map[batch.Trainer]*batch.Owner)}
}

// Serve takes over trainers without an owner until the context ends, then
// releases those that it owns.
func (r *Runner) Serve(ctx context.Context) error {
	defer r.wait.Wait()
	t := time.NewTicker(scanInterval)
	defer t.Stop()
	var scanned time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			rank := r.rank("")
			if rank >= frequentScanners && now.Sub(scanned) < slowScanInterval {
				continue
			}
			scanned = now
			// Errors are ignored: the next scan retries while the table is down.
			_ = r.scan(ctx)
		}
	}
}

func (r *Runner) scan(ctx context.Context) error {
	heads, err := r.deps.Ledger.Heads(ctx)
	if err != nil {
		return err
	}
	for _, h := range heads {
		if r.isActive(h.Trainer) {
			continue
		}
		o := r.owners[h.Trainer]
		if o == nil {
			o = &batch.Owner{}
			r.owners[h.Trainer] = o
		}
		delay := time.Duration(min(r.rank(h.Trainer.Name), frequentScanners)) * rankDelay
		held, err := r.deps.Ledger.Own(ctx, h.Trainer, o, delay)
		if err != nil {
			return err
		}
		if held {
			r.startDriver(ctx, h.Trainer)
		}
	}
	return nil
}

func (r *Runner) startDriver(ctx context.Context, t batch.Trainer) {
	r.setActive(t, true)
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		defer r.setActive(t, false)
		newDriver(r.deps, t).serve(ctx)
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), disownTimeout)
		defer cancel()
		// If the row remains, another daemon can take the trainer over after
		// batch.OwnerTimeout.
		_ = r.deps.Ledger.Disown(c, t)
	}()
}

func (r *Runner) isActive(t batch.Trainer) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.active[t]
}

// rank returns this daemon's position, from 0, in the order of the members that
// rendezvous hashing of the name gives; frequentScanners if it is not a member.
func (r *Runner) rank(name string) int {
	members := slices.Clone(r.deps.View.State().Members)
	weight := func(m fleet.MemberID) uint64 { return xxhash.Sum64String(name + "|" + m.String()) }
	slices.SortFunc(members, func(a, b fleet.Member) int { return cmp.Compare(weight(a.ID), weight(b.ID)) })
	i := slices.IndexFunc(members, func(m fleet.Member) bool { return m.ID == r.deps.Self })
	if i < 0 {
		return frequentScanners
	}
	return i
}

func (r *Runner) setActive(t batch.Trainer, active bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.active[t] = active
}
