// Package duty runs the tasks that only one daemon of the fleet may do at a time,
// under a lease: ordering servers to load weights, reporting usage, and ordering
// servers from the platform.
package duty

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/storelease"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	dutyTable = "duties"
	// dutyName is the name of the only duty, which covers all of these tasks.
	dutyName = "conductor"
	// pollInterval is the time between two reads of the duty's row while another
	// daemon holds the duty.
	pollInterval = 400 * time.Millisecond
	// candidateCount is the number of daemons from which the preferred next holder is
	// picked: those with the largest shares of a core.
	candidateCount = 12
	// leaseTimeout bounds one read or write of the duty's row.
	leaseTimeout = 500 * time.Millisecond
)

// Holder proves that this daemon holds the duty.
type Holder interface {
	// Check returns the fence, or storelease.ErrNotHeld. Callers call it
	// immediately before each action that requires the duty.
	Check() (int64, error)
}

// Keeper acquires, renews and releases the duty. Use NewKeeper.
type Keeper struct {
	fleet *fleet.State
	log   *zap.Logger
	store store.Store
	// partitioned reports whether this daemon does not reach the servers; nil if it is not
	// known.
	partitioned func() bool

	mutex sync.Mutex
	lease storelease.Lease
	// held is whether the last check found that this daemon holds the duty.
	held bool
	// row and version are the newest known content and version of the duty's row.
	row     storelease.Row
	version int64
}

// NewKeeper returns a Keeper for a daemon.
func NewKeeper(f *fleet.State, s store.Store, self, vm string, term time.Duration, log *zap.Logger) *Keeper {
	return &Keeper{fleet: f, log: log, store: s, lease: storelease.Lease{Self: self, VM: vm, Term: term}}
}

// SetPartitioned sets the function that reports whether this daemon does not reach the
// servers: it leaves the duty to others then. It must be called before Serve.
func (k *Keeper) SetPartitioned(f func() bool) {
	k.partitioned = f
}

// Check implements Holder.
func (k *Keeper) Check() (int64, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.lease.Check(fleet.Uptime())
}

// Serve acquires and renews the duty until the context ends.
func (k *Keeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := pollInterval
		if err := k.poll(ctx); err != nil {
			k.log.Debug("reading or renewing the duty failed", zap.Error(err))
		}
		_, err := k.Check()
		k.logLoss(err == nil)
		if err == nil {
			wait = storelease.RenewInterval
		}
		fleet.Sleep(ctx, wait)
	}
	return nil
}

// Release releases the duty if this daemon holds it.
func (k *Keeper) Release(ctx context.Context) {
	k.mutex.Lock()
	_, err := k.lease.Check(fleet.Uptime())
	now, ok := k.fleet.Clock.Now()
	if err != nil || !ok {
		k.mutex.Unlock()
		return
	}
	row, version := k.lease.Release(k.row, now), k.version
	k.mutex.Unlock()
	if _, err := k.write(ctx, row, version); err != nil {
		k.log.Info("releasing the duty failed", zap.Error(err))
	}
}

// poll reads the duty's row and acquires or renews the duty if that is due.
func (k *Keeper) poll(ctx context.Context) error {
	// The row to be written ends a term after the store's clock in this response. The holder
	// counts from before the call, however long the daemon is frozen between read and write.
	sentAt := fleet.Uptime()
	now, err := k.read(ctx)
	if err != nil {
		return err
	}
	partitioned := k.partitioned != nil && k.partitioned()
	candidates := k.fleet.Members().Reaching(k.lease.Self, partitioned)
	if partitioned && !candidates.Has(k.lease.Self) {
		k.Release(ctx)
		return nil
	}
	first := candidates.LargestByShare(candidateCount).Pick(dutyName) == k.lease.Self
	k.mutex.Lock()
	if k.row.Holder != k.lease.Self {
		k.lease.Lost()
	}
	a := k.lease.Next(k.row, now, fleet.Uptime(), first)
	version := k.version
	k.mutex.Unlock()
	if a.Kind == storelease.Wait {
		return nil
	}
	v, err := k.write(ctx, a.Row, version)
	if errors.Is(err, store.ErrUnknown) {
		// The next read shows whether it took effect.
		return err
	}
	if err != nil {
		return err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.row, k.version = a.Row, v
	k.lease.Wrote(a, sentAt)
	if a.Kind == storelease.Acquire {
		k.log.Info("duty acquired", zap.Int64("Fence", a.Row.Fence))
	}
	return nil
}

// read updates k.row and k.version from the store, and returns the store's clock.
func (k *Keeper) read(ctx context.Context) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	s, err := k.store.Read(ctx, store.Range{Table: dutyTable, From: dutyName, To: dutyName + "\x00"})
	if err != nil {
		return time.Time{}, err
	}
	var row storelease.Row
	version := int64(0)
	if len(s.Rows) > 0 {
		if err := msgpack.Unmarshal(s.Rows[0].Value, &row); err != nil {
			return time.Time{}, errors.Wrap(err, "duty: row")
		}
		version = s.Rows[0].Version
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.row, k.version = row, version
	return s.Now, nil
}

func (k *Keeper) write(ctx context.Context, row storelease.Row, version int64) (int64, error) {
	b, err := msgpack.Marshal(&row)
	if err != nil {
		return 0, errors.Wrap(err, "duty: row")
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	key := store.Key{Table: dutyTable, Name: dutyName}
	s, err := k.store.Commit(ctx, store.Txn{
		Conditions: []store.Row{{Key: key, Version: version}},
		Puts:       []store.Row{{Key: key, Value: b}},
	})
	return s.Version, err
}

// logLoss logs a warning if the duty was held at the last check but no longer is.
func (k *Keeper) logLoss(held bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.held && !held {
		k.log.Warn("duty lost")
	}
	k.held = held
}
