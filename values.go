package redwingshunt

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Set is an unordered collection of distinct values.
type Set[T cmp.Ordered] map[T]struct{}

// NewSet returns a set of the given values.
func NewSet[T cmp.Ordered](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add puts v into the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s)) }

// Elapsed returns the larger of the monotonic and the wall-clock time between
// from and to. The monotonic clock stops while a machine is suspended.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Option is a value that may be absent.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an option that holds v.
func Some[T any](v T) Option[T] { return Option[T]{value: v, present: true} }

// None returns an option that holds nothing.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and whether there is one.
func (o Option[T]) Get() (T, bool) { return o.value, o.present }

// IsZero reports whether there is no value. Encoders omit the key then.
func (o Option[T]) IsZero() bool { return !o.present }

// MarshalYAML returns the value.
func (o Option[T]) MarshalYAML() (any, error) { return o.value, nil }

// Or returns the value, or fallback when there is none.
func (o Option[T]) Or(fallback T) T {
	if o.present {
		return o.value
	}
	return fallback
}
