package lease

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// callTimeout limits one call to the table.
	callTimeout = 2 * time.Second
	// maxCandidates is how many members of a region compete for one lease.
	maxCandidates = 5
	// pollInterval is the time between two evaluations of the lease.
	pollInterval = 250 * time.Millisecond
	// releaseTimeout limits releasing a lease.
	releaseTimeout = 2 * time.Second
	// stepInterval is the time between two steps of a duty.
	stepInterval = time.Second
)

// Epochs exchanges epochs between this daemon's leases and its peers. Its
// methods are safe for concurrent use.
type Epochs interface {
	// Epoch returns the newest known epoch of a duty.
	Epoch(d fleet.Duty) fleet.Epoch
	// HeardEpoch records an epoch read from the table.
	HeardEpoch(d fleet.Duty, e fleet.Epoch)
}

// Keeper acquires, renews and releases the lease of one duty, and runs the duty
// while it is held. It implements Charge. Use NewKeeper.
type Keeper struct {
	duty     Duty
	epochs   Epochs
	log      *zap.Logger
	recorder timeline.Recorder
	region   fleet.Region
	self     fleet.MemberID
	table    table.Table
	view     view.Source

	mutex sync.Mutex
	// held is the result of the latest check by syncHeld, which records only
	// changes on the time line. Guarded by mutex.
	held bool
	// lease is guarded by mutex.
	lease Lease
	// logged is the state that was last logged by logState. It belongs to maintain.
	logged string
	// stop cancels the running step; nil when none runs. Guarded by mutex.
	stop context.CancelFunc
}

// Option changes a Keeper under construction.
type Option func(*Keeper)

// EpochKey returns the key of a row that changes with each acquisition of a
// lease but not with its renewals, for transactions conditional on the epoch.
func EpochKey(r fleet.Region, d fleet.Duty) table.Key {
	return table.Key("LeaseEpoch/" + string(r) + "/" + string(d))
}

// Key returns the key of a lease's row.
func Key(r fleet.Region, d fleet.Duty) table.Key {
	return table.Key("Lease/" + string(r) + "/" + string(d))
}

// NewKeeper returns a Keeper of duty d in the region of m. The table should
// resolve unknown outcomes of writes, as table.Resolver does.
func NewKeeper(t table.Table, v view.Source, e Epochs, m fleet.Member, d Duty, options ...Option) *Keeper {
	k := &Keeper{duty: d, epochs: e, log: zap.NewNop(), region: m.Region, self: m.ID, table: t, view: v}
	k.lease.Self = m.ID
	for _, o := range options {
		o(k)
	}
	return k
}

// WithLog sets the log.
func WithLog(l *zap.Logger) Option {
	return func(k *Keeper) { k.log = l }
}

// WithRecorder sets the recorder of time line events.
func WithRecorder(r timeline.Recorder) Option {
	return func(k *Keeper) { k.recorder = r }
}

// Check implements Charge. Besides the lease it requires a confirmed view and
// that no higher epoch is known.
func (k *Keeper) Check(now time.Time) (fleet.Epoch, time.Time, error) {
	if !k.view.State().Confirmed(now) {
		return 0, time.Time{}, errors.Wrap(ErrNotHeld, "view not confirmed")
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lease.Heard(k.epochs.Epoch(k.duty.Name()))
	return k.lease.Check(now)
}

// Serve maintains the lease and runs the duty until ctx ends, then releases the
// lease.
func (k *Keeper) Serve(ctx context.Context) error {
	g, c := errgroup.WithContext(ctx)
	g.Go(func() error { return k.maintain(c) })
	g.Go(func() error { return k.runSteps(c) })
	err := g.Wait()
	k.release(context.WithoutCancel(ctx))
	return err
}

// candidate reports whether this daemon competes for the lease: whether it is
// among the first maxCandidates members of the region in an order that differs
// between duties.
func (k *Keeper) candidate() bool {
	own := k.rank(k.self)
	before := 0
	for _, m := range k.view.State().Members {
		if m.Region == k.region && m.ID != k.self && k.rank(m.ID) < own {
			before++
		}
	}
	return before < maxCandidates
}

// commit writes an action's row, and the row of EpochKey for an acquisition, and
// passes the outcome to the lease.
func (k *Keeper) commit(ctx context.Context, a Action) error {
	key, epochKey := Key(k.region, k.duty.Name()), EpochKey(k.region, k.duty.Name())
	value, err := msgpack.Marshal(a.Row)
	if err != nil {
		return errors.Wrap(err, "lease: encode row")
	}
	t := table.Txn{
		ID:         uuid.NewString(),
		Conditions: []table.Condition{{Key: key, Version: a.Version}},
		Writes:     []table.Write{{Key: key, Value: value}},
	}
	if a.Kind == Acquire {
		t.Writes = append(t.Writes, table.Write{Key: epochKey, Value: value})
	}
	sentAt := time.Now()
	err = k.table.Commit(ctx, t)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if err != nil {
		k.lease.Failed()
		return errors.Wrap(err, "lease: write row")
	}
	k.lease.Wrote(sentAt, a)
	return nil
}

// execute performs a read or a write and passes the outcome to the lease. The
// epoch in a row that was read is passed to k.epochs too.
func (k *Keeper) execute(ctx context.Context, a Action) error {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if a.Kind != Read {
		return k.commit(c, a)
	}
	rows, err := k.table.Read(c, Key(k.region, k.duty.Name()))
	if err != nil {
		return errors.Wrap(err, "lease: read row")
	}
	var r Row
	if rows[0].Version > 0 {
		if err := msgpack.Unmarshal(rows[0].Value, &r); err != nil {
			return errors.Wrap(err, "lease: decode row")
		}
	}
	k.epochs.HeardEpoch(k.duty.Name(), r.Epoch)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lease.Seen(time.Now(), r, rows[0].Version)
	return nil
}

// maintain performs the lease's due actions until ctx ends.
func (k *Keeper) maintain(ctx context.Context) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		k.syncHeld()
		if a, ok := k.next(time.Now()); ok {
			err := k.execute(ctx, a)
			k.logState(a.Kind, err)
		}
		k.syncHeld()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// next returns the action that is due. It is false when none is due, the view is
// not confirmed, or this daemon neither holds the lease nor is a candidate.
func (k *Keeper) next(now time.Time) (Action, bool) {
	if !k.view.State().Confirmed(now) {
		k.logChange("view not confirmed")
		return Action{}, false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	a := k.lease.Next(now)
	if a.Kind == Wait {
		return a, false
	}
	if _, _, err := k.lease.Check(now); err != nil && !k.candidate() {
		k.logChange("not a candidate")
		return a, false
	}
	return a, true
}

// syncHeld cancels the running step when the lease is lost, and records when the
// lease is acquired or lost.
func (k *Keeper) syncHeld() {
	e, _, err := k.Check(time.Now())
	held := err == nil
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !held && k.stop != nil {
		k.stop()
	}
	if held == k.held {
		return
	}
	k.held = held
	kind := timeline.LeaseLost
	if held {
		kind = timeline.LeaseAcquired
	}
	if k.recorder != nil {
		k.recorder.Record(timeline.Event{Kind: kind, Duty: k.duty.Name(), Epoch: e})
	}
	k.log.Info(string(kind), zap.String("Duty", string(k.duty.Name())), zap.Uint64("Epoch", uint64(e)))
}

// rank returns the sort key of a member in the order of candidates for the duty.
func (k *Keeper) rank(id fleet.MemberID) uint64 {
	return xxhash.Sum64String(string(k.duty.Name()) + "/" + id.String())
}

// release releases a held lease, so that the next daemon need not wait for it to
// expire. It reads the row first, because the write must match its version. If
// either call fails, the lease expires.
func (k *Keeper) release(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, _, err := k.Check(time.Now())
	if err != nil {
		return
	}
	if err := k.execute(c, Action{Kind: Read}); err != nil {
		return
	}
	k.mutex.Lock()
	a, ok := k.lease.Release(time.Now())
	k.mutex.Unlock()
	if ok {
		if err := k.commit(c, a); err != nil {
			k.log.Debug("releasing the lease failed", zap.Error(err))
		}
	}
	k.syncHeld()
}

// step runs one step of the duty, which is cancelled when the lease is lost.
func (k *Keeper) step(ctx context.Context) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	k.mutex.Lock()
	k.stop = cancel
	k.mutex.Unlock()
	err := k.duty.Step(c, k)
	k.mutex.Lock()
	k.stop = nil
	k.mutex.Unlock()
	if err != nil && ctx.Err() == nil {
		k.log.Warn("duty step failed", zap.String("Duty", string(k.duty.Name())), zap.Error(err))
	}
}

// runSteps runs the duty's steps whenever the lease is held, until ctx ends.
func (k *Keeper) runSteps(ctx context.Context) error {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		if _, _, err := k.Check(time.Now()); err == nil {
			k.step(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}
