package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/control/lease"
)

// modelDaemon is one daemon whose clock has its own rate and offset.
type modelDaemon struct {
	lease  lease.Lease
	rate   float64
	offset time.Duration
	// frozen is whether the daemon is paused while its clock runs on.
	frozen bool
}

// call is a read or write of the row that is in flight.
type call struct {
	daemon  *modelDaemon
	action  lease.Action
	sentAt  time.Time
	arrived bool
	ok      bool
	row     lease.Row
	version uint64
}

// leaseModel is a row and the daemons that compete for it. Its calls stay in
// flight until the test delivers them.
type leaseModel struct {
	start     time.Time
	elapsed   time.Duration
	daemons   []*modelDaemon
	calls     []*call
	row       lease.Row
	version   uint64
	acquired  int
	takenOver int
}

func newLeaseModel(r *rand.Rand) *leaseModel {
	m := &leaseModel{start: time.Unix(1_000_000, 0)}
	for i := range 3 {
		m.daemons = append(m.daemons, &modelDaemon{
			lease:  lease.Lease{Self: id(fmt.Sprint(i))},
			rate:   1 + (r.Float64()-0.5)*2*maxDrift,
			offset: time.Duration(r.IntN(1000)) * time.Second,
		})
	}
	return m
}

// localTime returns the current time on a daemon's own clock.
func (m *leaseModel) localTime(d *modelDaemon) time.Time {
	return m.start.Add(d.offset + time.Duration(float64(m.elapsed)*d.rate))
}

// act starts the call that a daemon's lease requires next.
func (m *leaseModel) act(d *modelDaemon) {
	now := m.localTime(d)
	a := d.lease.Next(now)
	if a.Kind != lease.Wait {
		m.calls = append(m.calls, &call{daemon: d, action: a, sentAt: now})
	}
}

// arrive applies a call to the row.
func (m *leaseModel) arrive(c *call) {
	c.arrived = true
	if c.action.Kind == lease.Read {
		c.row, c.version = m.row, m.version
		return
	}
	if c.action.Version != m.version {
		return
	}
	if c.action.Kind == lease.Acquire {
		m.acquired++
		if m.row.Holder != c.action.Row.Holder {
			m.takenOver++
		}
	}
	m.row, m.version, c.ok = c.action.Row, m.version+1, true
}

// answer passes a call's outcome to its daemon; the outcome of a call whose answer
// is lost is unknown.
func (m *leaseModel) answer(c *call, lost bool) {
	d := c.daemon
	switch {
	case c.action.Kind == lease.Read && lost:
	case c.action.Kind == lease.Read:
		d.lease.Seen(m.localTime(d), c.row, c.version)
	case c.ok && !lost:
		d.lease.Wrote(c.sentAt, c.action)
	default:
		d.lease.Failed()
	}
}

// deliver applies one random call to the row or, if that is done, answers it.
func (m *leaseModel) deliver(r *rand.Rand) {
	if len(m.calls) == 0 {
		return
	}
	i := r.IntN(len(m.calls))
	c := m.calls[i]
	if !c.arrived {
		m.arrive(c)
		return
	}
	if c.daemon.frozen {
		return
	}
	m.calls = append(m.calls[:i], m.calls[i+1:]...)
	m.answer(c, r.IntN(8) == 0)
}

// actAndAnswer starts a daemon's next call and answers it at once.
func (m *leaseModel) actAndAnswer(d *modelDaemon) {
	before := len(m.calls)
	m.act(d)
	if len(m.calls) > before {
		c := m.calls[before]
		m.calls = m.calls[:before]
		m.arrive(c)
		m.answer(c, false)
	}
}

func (m *leaseModel) step(t *rapid.T, r *rand.Rand) {
	d := m.daemons[r.IntN(len(m.daemons))]
	switch r.IntN(10) {
	case 0, 1:
		m.elapsed += time.Duration(r.IntN(900)) * time.Millisecond
	case 2, 3, 4:
		if !d.frozen {
			m.actAndAnswer(d)
		}
	case 5:
		if !d.frozen {
			m.act(d)
		}
	case 6, 7:
		m.deliver(r)
	case 8:
		if r.IntN(12) == 0 {
			d.frozen = !d.frozen
		}
	case 9:
		if a, ok := d.lease.Release(m.localTime(d)); ok && r.IntN(20) == 0 {
			m.calls = append(m.calls, &call{daemon: d, action: a, sentAt: m.localTime(d)})
		}
	}
	m.requireSingleHolder(t)
}

// requireSingleHolder requires that at most one daemon holds the lease. Frozen
// daemons count too, since one may resume at any time.
func (m *leaseModel) requireSingleHolder(t rapid.TB) {
	holders := 0
	for _, d := range m.daemons {
		if _, _, err := d.lease.Check(m.localTime(d)); err == nil {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("%d daemons hold the lease", holders)
	}
}

const (
	// maxDrift is the largest relative deviation of a clock's rate.
	maxDrift    = 0.05
	stepsPerRun = 6000
)

// TestModelLease runs daemons with drifting clocks against one row, with random
// delays, lost answers and pauses. At most one daemon passes Check at any time.
func TestModelLease(t *testing.T) {
	acquired, takenOver := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		m := newLeaseModel(r)
		for range stepsPerRun {
			m.step(t, r)
		}
		acquired += m.acquired
		takenOver += m.takenOver
	})
	t.Logf("acquired: %d, taken over: %d", acquired, takenOver)
	must.Greater(t, 1000, acquired)
	must.Greater(t, 500, takenOver)
}
