package store

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxParts is the maximum number of parts that one call returns, as in the platform's store.
const maxParts = 1000

// Memory is an in-memory Store for tests. The zero value is empty.
// Its methods may be called from any goroutine.
type Memory struct {
	// Fail, if set, is called before each operation; if it returns an error, the
	// operation fails with it. It must be set before the store is used.
	Fail func(write bool) error
	// LoseResponse, if set, is called after each write that took effect; if it
	// returns true, the write returns ErrUnknown.
	LoseResponse func() bool

	mutex sync.Mutex
	rows  map[Key]Row
	// names holds the names of the rows of each part.
	names map[partKey]map[string]bool
	// parts caches the result of partsOf.
	parts map[string][]string
	// history is ordered by version.
	history []Row
	// dropped is the version up to which the history has been dropped.
	dropped int64
	version int64
	changed chan struct{}
}

// partKey identifies a part of a table.
type partKey struct{ table, part string }

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, t Txn) (Snapshot, error) {
	if err := m.fail(true); err != nil {
		return Snapshot{}, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, c := range t.Conditions {
		if m.rows[c.Key].Version != c.Version {
			return m.current(t.Conditions), ErrConflict
		}
	}
	m.apply(t)
	if m.LoseResponse != nil && m.LoseResponse() {
		return Snapshot{}, ErrUnknown
	}
	return Snapshot{Version: m.version, Now: time.Now()}, nil
}

// DropHistory drops the history, so that feeds from earlier versions fail with ErrCompacted.
func (m *Memory) DropHistory() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.history, m.dropped = nil, m.version
}

// Feed implements Store.
func (m *Memory) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error) {
	if err := m.fail(false); err != nil {
		return Snapshot{}, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		s, changed, err := m.since(table, after)
		if err != nil || len(s.Rows) > 0 {
			return s, err
		}
		select {
		case <-changed:
		case <-t.C:
			return s, nil
		case <-ctx.Done():
			return Snapshot{}, ErrUnavailable
		}
	}
}

// Parts implements Store.
func (m *Memory) Parts(_ context.Context, table, after string) ([]string, bool, error) {
	if err := m.fail(false); err != nil {
		return nil, false, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	parts := m.partsOf(table)
	first := 0
	if after != "" {
		first, _ = slices.BinarySearch(parts, after+"\x00")
	}
	parts = parts[first:]
	n := min(len(parts), maxParts)
	return slices.Clone(parts[:n]), n < len(parts), nil
}

// Read implements Store.
func (m *Memory) Read(_ context.Context, r Range) (Snapshot, error) {
	if err := m.fail(false); err != nil {
		return Snapshot{}, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := Snapshot{Version: m.version, Now: time.Now()}
	for name := range m.names[partKey{r.Table, r.Part}] {
		if name >= r.From && (r.To == "" || name < r.To) {
			s.Rows = append(s.Rows, m.rows[Key{r.Table, r.Part, name}])
		}
	}
	slices.SortFunc(s.Rows, func(a, b Row) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	if r.Limit > 0 && len(s.Rows) > r.Limit {
		s.Rows, s.More = s.Rows[:r.Limit], true
	}
	return s, nil
}

// partsOf returns all parts of a table, in order.
func (m *Memory) partsOf(table string) []string {
	if parts, ok := m.parts[table]; ok {
		return parts
	}
	parts := []string{}
	for k, names := range m.names {
		if k.table == table && len(names) > 0 {
			parts = append(parts, k.part)
		}
	}
	slices.Sort(parts)
	if m.parts == nil {
		m.parts = make(map[string][]string)
	}
	m.parts[table] = parts
	return parts
}

func (m *Memory) apply(t Txn) {
	if m.rows == nil {
		m.rows, m.names = make(map[Key]Row), make(map[partKey]map[string]bool)
	}
	m.version++
	for _, p := range t.Puts {
		p.Version, p.Value = m.version, slices.Clone(p.Value)
		m.rows[p.Key] = p
		part := partKey{p.Key.Table, p.Key.Part}
		if len(m.names[part]) == 0 {
			m.names[part] = make(map[string]bool)
			delete(m.parts, part.table)
		}
		m.names[part][p.Key.Name] = true
		m.history = append(m.history, p)
	}
	for _, k := range t.Removes {
		delete(m.rows, k)
		delete(m.names[partKey{k.Table, k.Part}], k.Name)
		delete(m.parts, k.Table)
		m.history = append(m.history, Row{Key: k, Version: m.version, Removed: true})
	}
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

func (m *Memory) current(conditions []Row) Snapshot {
	s := Snapshot{Version: m.version, Now: time.Now()}
	for _, c := range conditions {
		if r, ok := m.rows[c.Key]; ok {
			s.Rows = append(s.Rows, r)
		}
	}
	return s
}

func (m *Memory) fail(write bool) error {
	if m.Fail == nil {
		return nil
	}
	return m.Fail(write)
}

func (m *Memory) since(table string, after int64) (Snapshot, <-chan struct{}, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if after < m.dropped {
		return Snapshot{}, nil, ErrCompacted
	}
	s := Snapshot{Version: m.version, Now: time.Now()}
	first, _ := slices.BinarySearchFunc(m.history, after+1, func(r Row, v int64) int { return cmp.Compare(r.Version, v) })
	for _, r := range m.history[first:] {
		if r.Key.Table == table {
			s.Rows = append(s.Rows, r)
		}
	}
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return s, m.changed, nil
}
