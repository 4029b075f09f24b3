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

// challenger is one daemon with a clock of its own rate and setting.
type challenger struct {
	lease  lease.Lease
	rate   float64
	offset time.Duration
	// frozen is whether the daemon does nothing, while its clock runs.
	frozen bool
}

// call is a read or a write of the row under way.
type call struct {
	from    *challenger
	action  lease.Action
	sentAt  time.Time
	arrived bool
	ok      bool
	row     lease.Row
	version uint64
}

// leaseModel is a row and the daemons that want it, with calls in flight for
// as long as the test likes.
type leaseModel struct {
	start     time.Time
	elapsed   time.Duration
	daemons   []*challenger
	calls     []*call
	row       lease.Row
	version   uint64
	acquired  int
	takenOver int
}

func newLeaseModel(r *rand.Rand) *leaseModel {
	m := &leaseModel{start: time.Unix(1_000_000, 0)}
	for i := range 3 {
		m.daemons = append(m.daemons, &challenger{
			lease:  lease.Lease{Self: id(fmt.Sprint(i))},
			rate:   1 + (r.Float64()-0.5)*2*drift,
			offset: time.Duration(r.IntN(1000)) * time.Second,
		})
	}
	return m
}

// local returns the instant on a daemon's own clock.
func (m *leaseModel) local(d *challenger) time.Time {
	return m.start.Add(d.offset + time.Duration(float64(m.elapsed)*d.rate))
}

// act lets a daemon begin the call that its decision asks for.
func (m *leaseModel) act(d *challenger) {
	now := m.local(d)
	a := d.lease.Next(now)
	if a.Kind != lease.Wait {
		m.calls = append(m.calls, &call{from: d, action: a, sentAt: now})
	}
}

// arrive lets a call take effect at the table.
func (m *leaseModel) arrive(c *call) {
	c.arrived = true
	if c.action.Kind == lease.Look {
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

// answer gives a call's outcome to its daemon; a lost answer is unknown.
func (m *leaseModel) answer(c *call, lost bool) {
	d := c.from
	switch {
	case c.action.Kind == lease.Look && lost:
	case c.action.Kind == lease.Look:
		d.lease.Seen(m.local(d), c.row, c.version)
	case c.ok && !lost:
		d.lease.Wrote(c.sentAt, c.action)
	default:
		d.lease.Failed()
	}
}

// deliver moves one call on.
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
	if c.from.frozen {
		return
	}
	m.calls = append(m.calls[:i], m.calls[i+1:]...)
	m.answer(c, r.IntN(8) == 0)
}

// quick lets a daemon act and have its call answered at once.
func (m *leaseModel) quick(d *challenger) {
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
			m.quick(d)
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
		if a, ok := d.lease.Release(m.local(d)); ok && r.IntN(20) == 0 {
			m.calls = append(m.calls, &call{from: d, action: a, sentAt: m.local(d)})
		}
	}
	m.check(t)
}

// check looks at the frozen daemons too: one may thaw at any instant.
func (m *leaseModel) check(t rapid.TB) {
	holders := 0
	for _, d := range m.daemons {
		if _, _, err := d.lease.Check(m.local(d)); err == nil {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("%d holders", holders)
	}
}

const (
	// drift is how much faster or slower than real time a clock may run.
	drift = 0.05
	// leaseSteps is the number of steps of one run.
	leaseSteps = 6000
)

// TestModelLease runs daemons with clocks of their own against one row, with
// any delay, lost answers and pauses. Never two pass Check at one instant.
func TestModelLease(t *testing.T) {
	acquired, takenOver := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		m := newLeaseModel(r)
		for range leaseSteps {
			m.step(t, r)
		}
		acquired += m.acquired
		takenOver += m.takenOver
	})
	t.Logf("acquired: %d, taken over: %d", acquired, takenOver)
	must.Greater(t, 1000, acquired)
	must.Greater(t, 500, takenOver)
}
