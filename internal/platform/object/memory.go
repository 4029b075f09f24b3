package object

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"github.com/lacewingtally/lacewingtally/internal/platform/fake"
)

// Memory is an in-process Store. The zero value is empty. Its methods may be
// called from any goroutine.
type Memory struct {
	Faults fake.Injector

	mutex   sync.Mutex
	objects map[Key][]byte
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, k Key) error {
	return m.Faults.Do(ctx, PathDelete, func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(m.objects, k)
		return nil
	})
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, k Key) ([]byte, error) {
	var body []byte
	err := m.Faults.Do(ctx, PathGet, func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		b, ok := m.objects[k]
		if !ok {
			return ErrAbsent
		}
		body = slices.Clone(b)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return body, nil
}

// Len returns the number of objects.
func (m *Memory) Len() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.objects)
}

// Put implements Store.
func (m *Memory) Put(ctx context.Context, k Key, body []byte) error {
	return m.Faults.Do(ctx, PathPut, func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		if b, ok := m.objects[k]; ok {
			if bytes.Equal(b, body) {
				return nil
			}
			return ErrExists
		}
		if m.objects == nil {
			m.objects = make(map[Key][]byte)
		}
		m.objects[k] = slices.Clone(body)
		return nil
	})
}
