// Package duty runs what one daemon of the fleet does at a time: orders to load
// weights, usage reports, and orders of servers.
package duty

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/tenure"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	dutyTable = "duties"
	// dutyName is the one duty: all that one daemon does at a time.
	dutyName = "conductor"
	// lookInterval is the time between two looks at a duty held elsewhere.
	lookInterval = 400 * time.Millisecond
	// candidates is the number of daemons of which one is the first in line.
	candidates = 12
	// keepTimeout bounds one call about the duty.
	keepTimeout = 500 * time.Millisecond
)

// Holder proves that this daemon holds the duty.
type Holder interface {
	// Check returns the fence. Its error is tenure.ErrNotHeld. It is called
	// last before each act.
	Check() (int64, error)
}

// Keeper takes, renews and gives back the duty. Use NewKeeper.
type Keeper struct {
	fleet *fleet.State
	log   *zap.Logger
	store store.Store

	mutex  sync.Mutex
	tenure tenure.Lease
	// held is whether the last look found the duty held here.
	held bool
	// row and version are the newest known of the row.
	row     tenure.Row
	version int64
}

// NewKeeper returns a Keeper for a daemon.
func NewKeeper(f *fleet.State, s store.Store, self, machine string, term time.Duration, log *zap.Logger) *Keeper {
	return &Keeper{fleet: f, log: log, store: s, tenure: tenure.Lease{Self: self, Machine: machine, Term: term}}
}

// Check implements Holder.
func (k *Keeper) Check() (int64, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.tenure.Check(fleet.Uptime())
}

// Serve keeps the duty until the context ends.
func (k *Keeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := lookInterval
		if err := k.look(ctx); err != nil {
			k.log.Debug("duty not read", zap.Error(err))
		}
		_, err := k.Check()
		k.note(err == nil)
		if err == nil {
			wait = tenure.RenewInterval
		}
		fleet.Sleep(ctx, wait)
	}
	return nil
}

// Release gives the duty back if it is held.
func (k *Keeper) Release(ctx context.Context) {
	k.mutex.Lock()
	_, err := k.tenure.Check(fleet.Uptime())
	now, ok := k.fleet.Clock.Now()
	if err != nil || !ok {
		k.mutex.Unlock()
		return
	}
	row, version := k.tenure.Release(k.row, now), k.version
	k.mutex.Unlock()
	if _, err := k.write(ctx, row, version); err != nil {
		k.log.Info("duty not given back", zap.Error(err))
	}
}

// look reads the row and does what follows.
func (k *Keeper) look(ctx context.Context) error {
	now, err := k.read(ctx)
	if err != nil {
		return err
	}
	first := k.fleet.Members().Strongest(candidates).Pick(dutyName) == k.tenure.Self
	k.mutex.Lock()
	if k.row.Holder != k.tenure.Self {
		k.tenure.Lost()
	}
	a := k.tenure.Next(k.row, now, fleet.Uptime(), first)
	version := k.version
	k.mutex.Unlock()
	if a.Kind == tenure.Wait {
		return nil
	}
	sentAt := fleet.Uptime()
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
	k.tenure.Wrote(a, sentAt)
	if a.Kind == tenure.Acquire {
		k.log.Info("duty acquired", zap.Int64("Fence", a.Row.Fence))
	}
	return nil
}

// read reads the row, and returns the store's clock.
func (k *Keeper) read(ctx context.Context) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	s, err := k.store.Read(ctx, store.Range{Table: dutyTable, From: dutyName, To: dutyName + "\x00"})
	if err != nil {
		return time.Time{}, err
	}
	var row tenure.Row
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

func (k *Keeper) write(ctx context.Context, row tenure.Row, version int64) (int64, error) {
	b, err := msgpack.Marshal(&row)
	if err != nil {
		return 0, errors.Wrap(err, "duty: row")
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	key := store.Key{Table: dutyTable, Name: dutyName}
	s, err := k.store.Commit(ctx, store.Txn{
		Conditions: []store.Row{{Key: key, Version: version}},
		Puts:       []store.Row{{Key: key, Value: b}},
	})
	return s.Version, err
}

// note logs that the duty was lost.
func (k *Keeper) note(held bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.held && !held {
		k.log.Warn("duty lost")
	}
	k.held = held
}
