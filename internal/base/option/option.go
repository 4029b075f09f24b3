// Package option provides a value that may be absent.
package option

// Option holds a value or nothing. The zero value holds nothing.
type Option[T any] struct {
	value T
	ok    bool
}

// Some returns an Option that holds v.
func Some[T any](v T) Option[T] {
	return Option[T]{value: v, ok: true}
}

// Get returns the value and whether there is one.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.ok
}

// Or returns the value, or other if there is none.
func (o Option[T]) Or(other T) T {
	if o.ok {
		return o.value
	}
	return other
}
