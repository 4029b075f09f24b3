package weights

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/time/rate"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/fake"
)

// Memory is an in-process Service. The zero value is empty and has no rate limit.
// Its methods may be called from any goroutine.
type Memory struct {
	Faults fake.Injector
	// Limit, if set, limits the rate of fetches.
	Limit *rate.Limiter

	mutex    sync.Mutex
	newest   map[fleet.Pool]Weights
	versions map[fleet.Pool]map[fleet.WeightVersion]bool
}

// Fetch implements Service.
func (m *Memory) Fetch(ctx context.Context, p fleet.Pool, v fleet.WeightVersion) ([]byte, error) {
	var body []byte
	err := m.Faults.Do(ctx, PathFetch, func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		if !m.versions[p][v] {
			return ErrAbsent
		}
		if m.Limit != nil && !m.Limit.Allow() {
			return ErrBusy
		}
		body = fmt.Appendf(nil, "%s@%d", p, v)
		return nil
	})
	return body, err
}

// Newest implements Service.
func (m *Memory) Newest(ctx context.Context, p fleet.Pool) (Weights, error) {
	var w Weights
	err := m.Faults.Do(ctx, PathNewest, func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		found, ok := m.newest[p]
		if !ok {
			return ErrAbsent
		}
		w = found
		return nil
	})
	return w, err
}

// Publish implements Service.
func (m *Memory) Publish(ctx context.Context, w Weights) error {
	return m.Faults.Do(ctx, PathPublish, func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		known := m.newest[w.Pool]
		if known == w {
			return nil
		}
		if w.Version <= known.Version {
			return ErrNotNewer
		}
		if m.newest == nil {
			m.newest = make(map[fleet.Pool]Weights)
			m.versions = make(map[fleet.Pool]map[fleet.WeightVersion]bool)
		}
		if m.versions[w.Pool] == nil {
			m.versions[w.Pool] = make(map[fleet.WeightVersion]bool)
		}
		m.newest[w.Pool] = w
		m.versions[w.Pool][w.Version] = true
		return nil
	})
}
