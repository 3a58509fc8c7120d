package value

import (
	"cmp"
	"slices"
)

// Set is a set of ordered values.
type Set[T cmp.Ordered] map[T]struct{}

// NewSet returns a set that contains the given values.
func NewSet[T cmp.Ordered](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

// Add adds a value to the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Remove removes a value from the set.
func (s Set[T]) Remove(v T) { delete(s, v) }

// Has reports whether the value is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T {
	out := make([]T, 0, len(s))
	for v := range s {
		out = append(out, v)
	}
	slices.Sort(out)
	return out
}
