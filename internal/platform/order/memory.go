package order

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/fake"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
)

// Memory is an in-process Service. The zero value is empty and does not check
// epochs. Its methods may be called from any goroutine.
type Memory struct {
	Faults fake.Injector
	// Fenced makes it refuse calls with an epoch older than the newest that
	// it has received for the region.
	Fenced bool
	// Limit, if set, returns the largest count of a slot.
	Limit func(s Slot) int

	mutex   sync.Mutex
	orders  map[ID]Order
	targets map[Slot]int
	// epochs contains the newest epoch received for each region.
	epochs   map[fleet.Region]fleet.Epoch
	received []Order
}

// Received returns the received orders in order of arrival. It includes repeated
// ones and those refused with ErrMismatch, but not those refused with ErrStale or
// ErrUnfilled.
func (m *Memory) Received() []Order {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.received)
}

// Find implements Service.
func (m *Memory) Find(ctx context.Context, q Query) (Order, error) {
	var o Order
	err := m.Faults.Do(ctx, PathFind, func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		if err := m.fence(q.Region, q.Epoch); err != nil {
			return err
		}
		found, ok := m.orders[q.ID]
		if !ok {
			return ErrAbsent
		}
		o = found
		return nil
	})
	return o, err
}

// List implements Service.
func (m *Memory) List(ctx context.Context, r fleet.Region) ([]Line, error) {
	var lines []Line
	err := m.Faults.Do(ctx, PathList, func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		lines = m.lines(r)
		return nil
	})
	return lines, err
}

// Place implements Service.
func (m *Memory) Place(ctx context.Context, o Order) error {
	return m.Faults.Do(ctx, PathPlace, func() error {
		if err := rest.CheckGuard(ctx); err != nil {
			return err
		}
		m.mutex.Lock()
		defer m.mutex.Unlock()
		return m.place(o)
	})
}

func (m *Memory) fence(r fleet.Region, e fleet.Epoch) error {
	if !m.Fenced {
		return nil
	}
	if e < m.epochs[r] {
		return ErrStale
	}
	if m.epochs == nil {
		m.epochs = make(map[fleet.Region]fleet.Epoch)
	}
	m.epochs[r] = e
	return nil
}

func (m *Memory) lines(r fleet.Region) []Line {
	var lines []Line
	for s, n := range m.targets {
		if s.Region == r {
			lines = append(lines, Line{Slot: s, Count: n})
		}
	}
	slices.SortFunc(lines, func(a, b Line) int { return Compare(a.Slot, b.Slot) })
	return lines
}

func (m *Memory) place(o Order) error {
	if err := m.fence(o.Line.Slot.Region, o.Epoch); err != nil {
		return err
	}
	if m.Limit != nil && o.Line.Count > m.Limit(o.Line.Slot) {
		return ErrUnfilled
	}
	m.received = append(m.received, o)
	if known, ok := m.orders[o.ID]; ok {
		if known != o {
			return ErrMismatch
		}
		return nil
	}
	if m.orders == nil {
		m.orders = make(map[ID]Order)
		m.targets = make(map[Slot]int)
	}
	m.orders[o.ID] = o
	m.targets[o.Line.Slot] = o.Line.Count
	return nil
}

// Compare compares slots by region, failure domain, pool and kind.
func Compare(a, b Slot) int {
	return cmp.Or(
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.FailureDomain, b.FailureDomain),
		cmp.Compare(a.Pool, b.Pool),
		cmp.Compare(a.Kind, b.Kind),
	)
}
