package lease_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// Operations of the holder at which a fault is injected.
const (
	atAcquire = iota
	atReadAfterAcquire
	atRenew
	atReadAfterRenew
	atIdle
	atRelease
	stepCount
)

// faultDuration is longer than a Term plus the margins.
const faultDuration = 12 * time.Second

// daemon is one daemon with a Keeper.
type daemon struct {
	*lease.Keeper
	duty   *duty
	epochs *epochs
	path   *path
	source *source
	ctx    context.Context
	stop   context.CancelFunc
	done   chan struct{}
}

// duty records the epochs with which it ran.
type duty struct {
	mutex       sync.Mutex
	actedEpochs []fleet.Epoch
}

func (d *duty) Name() fleet.Duty {
	return lease.Orders
}

func (d *duty) Step(_ context.Context, c lease.Charge) error {
	e, _, err := c.Check(time.Now())
	if err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.actedEpochs = append(d.actedEpochs, e)
	return nil
}

// epochs holds the newest epoch that a daemon knows.
type epochs struct {
	newest atomic.Uint64
}

func (e *epochs) Epoch(fleet.Duty) fleet.Epoch {
	return fleet.Epoch(e.newest.Load())
}

func (e *epochs) HeardEpoch(_ fleet.Duty, x fleet.Epoch) {
	e.newest.Store(max(e.newest.Load(), uint64(x)))
}

// source is a view that is confirmed unless unconfirmed is set.
type source struct {
	unconfirmed atomic.Bool
}

func (s *source) State() *view.State {
	if s.unconfirmed.Load() {
		return &view.State{}
	}
	return &view.State{ConfirmedUntil: time.Now().Add(time.Second)}
}

// path is a daemon's connection to the table. While it is frozen or delayed,
// calls wait before they reach the table and again before they return.
type path struct {
	table.Table
	mutex  sync.Mutex
	calls  int
	fault  table.Fault
	frozen chan struct{}
	// blockedAnswers delays answers only, until it is closed.
	blockedAnswers chan struct{}
	delay          time.Duration
	// inject is called before call number injectAt.
	injectAt int
	inject   func()
}

func (p *path) Commit(ctx context.Context, t table.Txn) error {
	f := p.beforeCall()
	if f == table.FaultUnavailable {
		return table.ErrUnavailable
	}
	if f == table.FaultRequestLost {
		return table.ErrUnknown
	}
	err := p.Table.Commit(ctx, t)
	p.beforeAnswer()
	if f == table.FaultAnswerLost {
		return table.ErrUnknown
	}
	return err
}

func (p *path) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if p.beforeCall() == table.FaultUnavailable {
		return nil, table.ErrUnavailable
	}
	rows, err := p.Table.Read(ctx, keys...)
	p.beforeAnswer()
	return rows, err
}

// beforeCall counts a call, injects a fault if it is due at this call, waits while
// the path is frozen or delayed and returns the path's fault.
func (p *path) beforeCall() table.Fault {
	p.mutex.Lock()
	p.calls++
	inject := p.inject
	if p.calls != p.injectAt {
		inject = nil
	}
	p.mutex.Unlock()
	if inject != nil {
		inject()
	}
	p.waitUntilOpen()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fault
}

// beforeAnswer waits while answers are blocked, frozen or delayed.
func (p *path) beforeAnswer() {
	p.mutex.Lock()
	blocked := p.blockedAnswers
	p.mutex.Unlock()
	if blocked != nil {
		<-blocked
	}
	p.waitUntilOpen()
}

// waitUntilOpen waits while the path is frozen or delayed.
func (p *path) waitUntilOpen() {
	p.mutex.Lock()
	frozen, delay := p.frozen, p.delay
	p.mutex.Unlock()
	time.Sleep(delay)
	if frozen != nil {
		<-frozen
	}
}

func (p *path) update(f func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f()
}

// leaseCase is one case of the matrix: three daemons that compete for one lease.
type leaseCase struct {
	daemons []*daemon
	table   *table.Memory
}

type leaseFault struct {
	name string
	// inject starts the fault on the first daemon, which is the holder.
	inject func(*leaseCase)
}

func leaseFaults() []leaseFault {
	on := func(f table.Fault) func(*leaseCase) {
		return func(c *leaseCase) { p := c.daemons[0].path; p.update(func() { p.fault = f }) }
	}
	return []leaseFault{
		{"CutFromTable", on(table.FaultUnavailable)},
		{"AnswersLost", on(table.FaultAnswerLost)},
		{"RequestsLost", on(table.FaultRequestLost)},
		{"Freeze", func(c *leaseCase) {
			p := c.daemons[0].path
			p.update(func() {
				if p.frozen == nil {
					p.frozen = make(chan struct{})
				}
			})
		}},
		{"AnswersLate", func(c *leaseCase) {
			p := c.daemons[0].path
			p.update(func() {
				if p.blockedAnswers == nil {
					p.blockedAnswers = make(chan struct{})
				}
			})
		}},
		{"Slow", func(c *leaseCase) { p := c.daemons[0].path; p.update(func() { p.delay = 1500 * time.Millisecond }) }},
		{"ViewUnconfirmed", func(c *leaseCase) { c.daemons[0].source.unconfirmed.Store(true) }},
		{"EpochHeard", func(c *leaseCase) { c.daemons[0].epochs.HeardEpoch("", c.daemons[0].epochs.Epoch("")+1) }},
		{"StoreDown", func(c *leaseCase) {
			for _, d := range c.daemons {
				d.path.update(func() { d.path.fault = table.FaultUnavailable })
			}
		}},
		{"Stop", func(c *leaseCase) { c.daemons[0].stop() }},
	}
}

func (c *leaseCase) add(name string) {
	d := &daemon{
		duty:   &duty{},
		epochs: &epochs{},
		path:   &path{Table: c.table},
		source: &source{},
		done:   make(chan struct{}),
	}
	m := fleet.Member{ID: id(name), Region: "r"}
	d.Keeper = lease.NewKeeper(table.Resolver{Table: d.path}, d.source, d.epochs, m, d.duty)
	d.ctx, d.stop = context.WithCancel(context.Background())
	c.daemons = append(c.daemons, d)
}

func (d *daemon) start() {
	go func() {
		defer close(d.done)
		_ = d.Serve(d.ctx)
	}()
}

func (c *leaseCase) clearFaults() {
	for _, d := range c.daemons {
		d.source.unconfirmed.Store(false)
		d.path.update(func() {
			d.path.fault, d.path.delay = 0, 0
			for _, c := range []*chan struct{}{&d.path.frozen, &d.path.blockedAnswers} {
				if *c != nil {
					close(*c)
					*c = nil
				}
			}
		})
	}
}

// holders returns how many daemons pass Check.
func (c *leaseCase) holders() int {
	n := 0
	for _, d := range c.daemons {
		if _, _, err := d.Check(time.Now()); err == nil {
			n++
		}
	}
	return n
}

// requireSingleHolder requires for a duration of d that at most one daemon holds
// the lease.
func (c *leaseCase) requireSingleHolder(t *testing.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		must.LessEq(t, 1, c.holders())
		time.Sleep(20 * time.Millisecond)
	}
}

// run injects one or two faults on the holder at a step.
func (c *leaseCase) run(t *testing.T, step int, first, second *leaseFault) {
	injected := make(chan struct{})
	c.add("a")
	c.add("b")
	c.add("c")
	p := c.daemons[0].path
	switch step {
	case atIdle, atRelease:
		close(injected)
	default:
		// A daemon that acquires a free lease makes these calls: read,
		// acquire, read, renew, read.
		p.update(func() {
			p.injectAt = map[int]int{atAcquire: 2, atReadAfterAcquire: 3, atRenew: 4, atReadAfterRenew: 5}[step]
			p.inject = func() {
				first.inject(c)
				close(injected)
			}
		})
	}
	c.daemons[0].start()
	time.Sleep(300 * time.Millisecond)
	c.daemons[1].start()
	c.daemons[2].start()
	<-injected
	if step == atIdle || step == atRelease {
		c.requireSingleHolder(t, 700*time.Millisecond)
		first.inject(c)
	}
	if step == atRelease {
		c.daemons[0].stop()
	}
	c.injectSecond(t, first, second)
	c.requireSingleHolder(t, 2*lease.Term)
	must.Eq(t, 1, c.holders())
	c.requireUniqueEpochs(t)
}

// injectSecond injects the second fault, if any, and later clears both.
func (c *leaseCase) injectSecond(t *testing.T, first, second *leaseFault) {
	if second != nil {
		c.requireSingleHolder(t, 3*time.Second)
		if first == second {
			c.clearFaults()
			c.requireSingleHolder(t, time.Second)
		}
		second.inject(c)
	}
	c.requireSingleHolder(t, faultDuration)
	c.clearFaults()
}

// requireUniqueEpochs requires that no two daemons acted with the same epoch.
func (c *leaseCase) requireUniqueEpochs(t *testing.T) {
	owner := make(map[fleet.Epoch]*daemon)
	for _, d := range c.daemons {
		d.duty.mutex.Lock()
		for _, e := range d.duty.actedEpochs {
			if o, ok := owner[e]; ok && o != d {
				t.Errorf("two daemons acted with epoch %d", e)
			}
			owner[e] = d
		}
		d.duty.mutex.Unlock()
	}
}

func (c *leaseCase) close() {
	c.clearFaults()
	for _, d := range c.daemons {
		d.stop()
	}
	for _, d := range c.daemons {
		<-d.done
	}
}

// TestMatrixLease injects every fault, every pair of faults and every fault twice
// in a row at every call of the holder. At most one daemon passes Check at any
// time, no epoch is used by two daemons, and the duty has a holder at the end.
func TestMatrixLease(t *testing.T) {
	faults := leaseFaults()
	cells := 0
	for step := range stepCount {
		for i := range faults {
			for j := i; j <= len(faults); j++ {
				cells++
				var second *leaseFault
				name := fmt.Sprintf("%d/%s", step, faults[i].name)
				if j < len(faults) {
					second = &faults[j]
					name += "+" + second.name
				}
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := &leaseCase{table: &table.Memory{}}
						defer c.close()
						c.run(t, step, &faults[i], second)
					})
				})
			}
		}
	}
	t.Logf("cells: %d", cells)
	n := len(faults)
	must.Eq(t, stepCount*(n+n+n*(n-1)/2), cells)
}
