package server

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Registry makes a Directory safe for concurrent use: control goroutines update
// it, and goroutines that serve traffic read snapshots. Use NewRegistry.
type Registry struct {
	mutex sync.Mutex
	// directory is guarded by mutex.
	directory Directory
	// superseded is the channel behind current's Superseded; guarded by mutex.
	superseded chan struct{}
	// current is never nil.
	current atomic.Pointer[Snapshot]
}

// NewRegistry returns a Registry without servers.
func NewRegistry() *Registry {
	r := &Registry{}
	r.publish()
	return r
}

// Drain calls Directory.Drain and publishes a snapshot if there are events.
func (r *Registry) Drain(domains []fleet.FailureDomain) []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.publishIfChanged(r.directory.Drain(domains))
}

// MarkLeaving calls Directory.MarkLeaving and publishes a snapshot if usable or
// leaving servers have changed. It returns the resulting events.
func (r *Registry) MarkLeaving(now time.Time, ids ...fleet.ServerID) []Event {
	if len(ids) == 0 {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	events := r.directory.MarkLeaving(now, ids...)
	if len(events) == 0 && slices.Equal(r.directory.Leaving(), r.current.Load().Leaving) {
		return nil
	}
	r.publish()
	return events
}

// UpdateList calls Directory.UpdateList and publishes a snapshot.
func (r *Registry) UpdateList(now time.Time, servers []fleet.Server) []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	events := r.directory.UpdateList(now, servers)
	r.publish()
	return events
}

// Snapshot returns the newest snapshot, never nil.
func (r *Registry) Snapshot() *Snapshot {
	return r.current.Load()
}

func (r *Registry) publish() {
	s := r.directory.Snapshot()
	c := make(chan struct{})
	s.Superseded = c
	old := r.superseded
	r.superseded = c
	r.current.Store(s)
	if old != nil {
		close(old)
	}
}

func (r *Registry) publishIfChanged(events []Event) []Event {
	if len(events) > 0 {
		r.publish()
	}
	return events
}
