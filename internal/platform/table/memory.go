package table

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// Faults of a Memory. The zero value is none. A read with a fault returns
// ErrUnavailable.
const (
	// FaultUnavailable refuses the call: nothing is written.
	FaultUnavailable Fault = iota + 1
	// FaultAnswerLost executes a write and returns ErrUnknown.
	FaultAnswerLost
	// FaultRequestLost writes nothing and returns ErrUnknown.
	FaultRequestLost
	// FaultHang writes nothing, blocks until the context ends and returns
	// ErrUnknown.
	FaultHang
)

// Fault is the fault injected into one call.
type Fault uint8

// Memory is an in-process Table. The zero value is an empty table. Its methods
// may be called from any goroutine.
type Memory struct {
	// Fault, if set, returns the fault of each call; commit is true for
	// writes and false for reads. It must not call the table. Set it before
	// the table is used; SetFault changes it later.
	Fault func(commit bool, keys []Key) Fault

	mutex sync.Mutex
	rows  map[Key]Row
	// lastVersion is the version of the newest write of any row.
	lastVersion uint64
}

// Commit implements Table.
func (m *Memory) Commit(ctx context.Context, t Txn) error {
	if t.ID == "" || len(t.Writes) == 0 {
		return ErrInvalid
	}
	f := m.fault(true, keysOf(t))
	switch f {
	case FaultUnavailable:
		return ErrUnavailable
	case FaultRequestLost:
		return ErrUnknown
	case FaultHang:
		<-ctx.Done()
		return ErrUnknown
	}
	err := m.commit(t)
	if f == FaultAnswerLost {
		return ErrUnknown
	}
	return err
}

// Read implements Table.
func (m *Memory) Read(ctx context.Context, keys ...Key) ([]Row, error) {
	if err := m.readFault(ctx, keys); err != nil {
		return nil, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	rows := make([]Row, 0, len(keys))
	for _, k := range keys {
		r := m.rows[k]
		r.Key = k
		r.Value = slices.Clone(r.Value)
		rows = append(rows, r)
	}
	return rows, nil
}

// Scan implements Table.
func (m *Memory) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	if err := m.readFault(ctx, []Key{prefix}); err != nil {
		return nil, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var rows []Row
	for k, r := range m.rows {
		if k > after && strings.HasPrefix(string(k), string(prefix)) {
			r.Value = slices.Clone(r.Value)
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return rows[:min(limit, len(rows))], nil
}

// SetFault sets Fault while the table is in use; nil is no fault.
func (m *Memory) SetFault(f func(commit bool, keys []Key) Fault) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.Fault = f
}

func (m *Memory) commit(t Txn) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, c := range t.Conditions {
		if m.rows[c.Key].Version != c.Version {
			return ErrConflict
		}
	}
	if m.rows == nil {
		m.rows = make(map[Key]Row)
	}
	m.lastVersion++
	for _, w := range t.Writes {
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = Row{Key: w.Key, Value: slices.Clone(w.Value), Version: m.lastVersion, WriteID: t.ID}
	}
	return nil
}

func (m *Memory) fault(commit bool, keys []Key) Fault {
	m.mutex.Lock()
	f := m.Fault
	m.mutex.Unlock()
	if f == nil {
		return 0
	}
	return f(commit, keys)
}

func (m *Memory) readFault(ctx context.Context, keys []Key) error {
	switch m.fault(false, keys) {
	case FaultUnavailable:
		return ErrUnavailable
	case FaultHang:
		<-ctx.Done()
		return ErrUnavailable
	case FaultAnswerLost, FaultRequestLost:
		return ErrUnavailable
	}
	return nil
}

func keysOf(t Txn) []Key {
	keys := make([]Key, 0, len(t.Writes))
	for _, w := range t.Writes {
		keys = append(keys, w.Key)
	}
	return keys
}
