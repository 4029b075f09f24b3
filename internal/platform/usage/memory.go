package usage

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/fake"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
)

// Memory is an in-process Service. The zero value is empty. Its methods may be
// called from any goroutine.
type Memory struct {
	Faults fake.Injector

	mutex    sync.Mutex
	windows  map[windowKey][]byte
	received []Report
}

type windowKey struct {
	region fleet.Region
	window string
}

// Received returns all received reports, including repeated and mismatched ones.
func (m *Memory) Received() []Report {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.received)
}

// Report implements Service.
func (m *Memory) Report(ctx context.Context, r Report) error {
	return m.Faults.Do(ctx, PathReport, func() error {
		if err := rest.CheckGuard(ctx); err != nil {
			return err
		}
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.received = append(m.received, r)
		k := windowKey{region: r.Region, window: r.Window}
		if known, ok := m.windows[k]; ok {
			if !bytes.Equal(known, r.Body) {
				return ErrMismatch
			}
			return nil
		}
		if m.windows == nil {
			m.windows = make(map[windowKey][]byte)
		}
		m.windows[k] = slices.Clone(r.Body)
		return nil
	})
}
