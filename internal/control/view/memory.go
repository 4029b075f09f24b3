package view

import (
	"sync"

	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

// Memory is a Source whose state is set by the caller, for tests and models.
// The zero value has an empty configuration and is never confirmed. It is safe
// for concurrent use.
type Memory struct {
	mutex sync.Mutex
	// state is nil until the first use.
	state *State
	// superseded is the channel behind state.Superseded.
	superseded chan struct{}
}

// Change publishes a copy of the newest state that f has modified, and closes
// Superseded of the previous state.
func (m *Memory) Change(f func(s *State)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	old := m.superseded
	next := *m.newest()
	f(&next)
	m.set(next)
	if old != nil {
		close(old)
	}
}

// State implements Source.
func (m *Memory) State() *State {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.newest()
}

func (m *Memory) newest() *State {
	if m.state == nil {
		m.set(State{Config: config.NewSnapshot(config.Config{})})
	}
	return m.state
}

func (m *Memory) set(s State) {
	m.superseded = make(chan struct{})
	s.Superseded = m.superseded
	m.state = &s
}
