package value

// Option is a value that may be absent.
type Option[T any] struct {
	value T
	ok    bool
}

// Some returns an option that holds v.
func Some[T any](v T) Option[T] { return Option[T]{value: v, ok: true} }

// None returns an empty option.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and reports whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.ok }

// Or returns the value, or other if the option is empty.
func (o Option[T]) Or(other T) T {
	if o.ok {
		return o.value
	}
	return other
}
