package vmlist

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/platform/fake"
)

// Memory is an in-process Service that returns the list as it was Lag ago. The
// zero value is an empty list without lag. Its methods may be called from any
// goroutine.
type Memory struct {
	Faults fake.Injector
	// Lag is the delay after which a change becomes visible.
	Lag time.Duration

	mutex sync.Mutex
	// history is ordered by At.
	history []List
}

// List implements Service.
func (m *Memory) List(ctx context.Context) (List, error) {
	var l List
	err := m.Faults.Do(ctx, PathList, func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		l = m.at(time.Now().Add(-m.Lag))
		return nil
	})
	return l, err
}

// Newest returns the list that was set last, without lag.
func (m *Memory) Newest() List {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.history) == 0 {
		return List{}
	}
	return m.history[len(m.history)-1]
}

// Set replaces the list and sets its At to the current time.
func (m *Memory) Set(l List) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	l.At = time.Now()
	m.history = append(m.history, l)
}

func (m *Memory) at(t time.Time) List {
	var l List
	for _, h := range m.history {
		if !h.At.After(t) {
			l = h
		}
	}
	return l
}
