// Package set provides a small generic set.
package set

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of comparable values. The zero value is an empty set.
type Set[T comparable] struct {
	// members is nil until the first Add.
	members map[T]struct{}
}

// New returns a set of the given values.
func New[T comparable](values ...T) Set[T] {
	var s Set[T]
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add adds v to the set and reports whether it was absent.
func (s *Set[T]) Add(v T) bool {
	if s.members == nil {
		s.members = make(map[T]struct{})
	}
	_, ok := s.members[v]
	s.members[v] = struct{}{}
	return !ok
}

// Contains reports whether v is in the set.
func (s Set[T]) Contains(v T) bool {
	_, ok := s.members[v]
	return ok
}

// Len returns the number of members.
func (s Set[T]) Len() int {
	return len(s.members)
}

// Remove removes v from the set.
func (s *Set[T]) Remove(v T) {
	delete(s.members, v)
}

// Sorted returns the members of s in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T {
	return slices.Sorted(maps.Keys(s.members))
}
