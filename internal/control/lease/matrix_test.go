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

// Operations of the holder at which a fault strikes.
const (
	atAcquire = iota
	atLookAfterAcquire
	atRenew
	atLookAfterRenew
	atIdle
	atRelease
	stepCount
)

// faultTime is how long a fault lasts: longer than a Term and the margins.
const faultTime = 12 * time.Second

// host is one daemon with a Keeper.
type host struct {
	*lease.Keeper
	duty   *duty
	epochs *epochs
	path   *path
	source *source
	ctx    context.Context
	stop   context.CancelFunc
	done   chan struct{}
}

// duty records with which epochs it ran.
type duty struct {
	mutex sync.Mutex
	acts  []fleet.Epoch
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
	d.acts = append(d.acts, e)
	return nil
}

// epochs is what a daemon has heard of.
type epochs struct {
	newest atomic.Uint64
}

func (e *epochs) Epoch(fleet.Duty) fleet.Epoch {
	return fleet.Epoch(e.newest.Load())
}

func (e *epochs) HeardEpoch(_ fleet.Duty, x fleet.Epoch) {
	e.newest.Store(max(e.newest.Load(), uint64(x)))
}

// source is a view that is confirmed or not.
type source struct {
	lost atomic.Bool
}

func (s *source) State() *view.State {
	if s.lost.Load() {
		return &view.State{}
	}
	return &view.State{ConfirmedUntil: time.Now().Add(time.Second)}
}

// path is a daemon's path to the table. While it is frozen or delayed calls
// wait before they arrive and before their answers do.
type path struct {
	table.Table
	mutex  sync.Mutex
	calls  int
	fault  table.Fault
	frozen chan struct{}
	// held stops answers only.
	held  chan struct{}
	delay time.Duration
	// strike is called before the call numbered at.
	at     int
	strike func()
}

func (p *path) Commit(ctx context.Context, t table.Txn) error {
	f := p.enter()
	if f == table.FaultUnavailable {
		return table.ErrUnavailable
	}
	if f == table.FaultRequestLost {
		return table.ErrUnknown
	}
	err := p.Table.Commit(ctx, t)
	p.leave()
	if f == table.FaultAnswerLost {
		return table.ErrUnknown
	}
	return err
}

func (p *path) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if p.enter() == table.FaultUnavailable {
		return nil, table.ErrUnavailable
	}
	rows, err := p.Table.Read(ctx, keys...)
	p.leave()
	return rows, err
}

// enter counts a call and returns its fault.
func (p *path) enter() table.Fault {
	p.mutex.Lock()
	p.calls++
	strike := p.strike
	if p.calls != p.at {
		strike = nil
	}
	p.mutex.Unlock()
	if strike != nil {
		strike()
	}
	p.pass()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fault
}

// leave lets an answer through.
func (p *path) leave() {
	p.mutex.Lock()
	held := p.held
	p.mutex.Unlock()
	if held != nil {
		<-held
	}
	p.pass()
}

// pass waits while the path is frozen or delayed.
func (p *path) pass() {
	p.mutex.Lock()
	frozen, delay := p.frozen, p.delay
	p.mutex.Unlock()
	time.Sleep(delay)
	if frozen != nil {
		<-frozen
	}
}

func (p *path) set(f func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f()
}

// leaseCell is one case of the matrix: three daemons and one lease.
type leaseCell struct {
	hosts []*host
	table *table.Memory
}

type leaseFault struct {
	name string
	// begin strikes the first daemon, the holder.
	begin func(*leaseCell)
}

func leaseFaults() []leaseFault {
	on := func(f table.Fault) func(*leaseCell) {
		return func(c *leaseCell) { p := c.hosts[0].path; p.set(func() { p.fault = f }) }
	}
	return []leaseFault{
		{"CutFromTable", on(table.FaultUnavailable)},
		{"AnswersLost", on(table.FaultAnswerLost)},
		{"RequestsLost", on(table.FaultRequestLost)},
		{"Freeze", func(c *leaseCell) {
			p := c.hosts[0].path
			p.set(func() {
				if p.frozen == nil {
					p.frozen = make(chan struct{})
				}
			})
		}},
		{"AnswersLate", func(c *leaseCell) {
			p := c.hosts[0].path
			p.set(func() {
				if p.held == nil {
					p.held = make(chan struct{})
				}
			})
		}},
		{"Slow", func(c *leaseCell) { p := c.hosts[0].path; p.set(func() { p.delay = 1500 * time.Millisecond }) }},
		{"ViewUnconfirmed", func(c *leaseCell) { c.hosts[0].source.lost.Store(true) }},
		{"EpochHeard", func(c *leaseCell) { c.hosts[0].epochs.HeardEpoch("", c.hosts[0].epochs.Epoch("")+1) }},
		{"StoreDown", func(c *leaseCell) {
			for _, h := range c.hosts {
				h.path.set(func() { h.path.fault = table.FaultUnavailable })
			}
		}},
		{"Stop", func(c *leaseCell) { c.hosts[0].stop() }},
	}
}

func (c *leaseCell) add(name string) {
	h := &host{
		duty:   &duty{},
		epochs: &epochs{},
		path:   &path{Table: c.table},
		source: &source{},
		done:   make(chan struct{}),
	}
	m := fleet.Member{ID: id(name), Region: "r"}
	h.Keeper = lease.NewKeeper(table.Settle{Table: h.path}, h.source, h.epochs, m, h.duty)
	h.ctx, h.stop = context.WithCancel(context.Background())
	c.hosts = append(c.hosts, h)
}

func (h *host) start() {
	go func() {
		defer close(h.done)
		_ = h.Serve(h.ctx)
	}()
}

func (c *leaseCell) heal() {
	for _, h := range c.hosts {
		h.source.lost.Store(false)
		h.path.set(func() {
			h.path.fault, h.path.delay = 0, 0
			for _, c := range []*chan struct{}{&h.path.frozen, &h.path.held} {
				if *c != nil {
					close(*c)
					*c = nil
				}
			}
		})
	}
}

// holders returns how many daemons believe that they hold the lease.
func (c *leaseCell) holders() int {
	n := 0
	for _, h := range c.hosts {
		if _, _, err := h.Check(time.Now()); err == nil {
			n++
		}
	}
	return n
}

// watch requires, for d, that never two daemons hold the lease.
func (c *leaseCell) watch(t *testing.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		must.LessEq(t, 1, c.holders())
		time.Sleep(20 * time.Millisecond)
	}
}

// run lets one or two faults strike the holder at a step.
func (c *leaseCell) run(t *testing.T, step int, first, second *leaseFault) {
	struck := make(chan struct{})
	c.add("a")
	c.add("b")
	c.add("c")
	p := c.hosts[0].path
	switch step {
	case atIdle, atRelease:
		close(struck)
	default:
		// The calls of a daemon that takes a free lease are a look, the
		// acquisition, a look, the renewal and a look.
		p.set(func() {
			p.at = map[int]int{atAcquire: 2, atLookAfterAcquire: 3, atRenew: 4, atLookAfterRenew: 5}[step]
			p.strike = func() {
				first.begin(c)
				close(struck)
			}
		})
	}
	c.hosts[0].start()
	time.Sleep(300 * time.Millisecond)
	c.hosts[1].start()
	c.hosts[2].start()
	<-struck
	if step == atIdle || step == atRelease {
		c.watch(t, 700*time.Millisecond)
		first.begin(c)
	}
	if step == atRelease {
		c.hosts[0].stop()
	}
	c.again(t, first, second)
	c.watch(t, 2*lease.Term)
	must.Eq(t, 1, c.holders())
	c.epochsGrow(t)
}

// again lets the second fault strike, and mends both.
func (c *leaseCell) again(t *testing.T, first, second *leaseFault) {
	if second != nil {
		c.watch(t, 3*time.Second)
		if first == second {
			c.heal()
			c.watch(t, time.Second)
		}
		second.begin(c)
	}
	c.watch(t, faultTime)
	c.heal()
}

// epochsGrow requires that no two daemons acted with the same epoch.
func (c *leaseCell) epochsGrow(t *testing.T) {
	owner := make(map[fleet.Epoch]*host)
	for _, h := range c.hosts {
		h.duty.mutex.Lock()
		for _, e := range h.duty.acts {
			if o, ok := owner[e]; ok && o != h {
				t.Errorf("two daemons acted with epoch %d", e)
			}
			owner[e] = h
		}
		h.duty.mutex.Unlock()
	}
}

func (c *leaseCell) close() {
	c.heal()
	for _, h := range c.hosts {
		h.stop()
	}
	for _, h := range c.hosts {
		<-h.done
	}
}

// TestMatrixLease lets every fault, every pair and every fault twice in a row
// strike the holder at every call that it makes. Never two daemons pass Check,
// no epoch has two owners, and the duty has a holder again in the end.
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
						c := &leaseCell{table: &table.Memory{}}
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
