package value

import "sync/atomic"

// Latest is a value that several goroutines fetch, each at its own pace. It keeps the
// one whose fetch began last, so that a slow fetch does not bring back an older value.
// The zero Latest holds the zero value. It is safe for concurrent use.
type Latest[T any] struct {
	begun   atomic.Uint64
	current atomic.Pointer[fetched[T]]
}

// fetched is a value with the number of its fetch.
type fetched[T any] struct {
	number uint64
	value  T
}

// Begin returns the number of a fetch that begins now.
func (l *Latest[T]) Begin() uint64 { return l.begun.Add(1) }

// Store sets the value that the fetch with the given number returned, unless a fetch
// that began later has returned already.
func (l *Latest[T]) Store(number uint64, v T) {
	next := &fetched[T]{number: number, value: v}
	for {
		current := l.current.Load()
		if current != nil && current.number > number {
			return
		}
		if l.current.CompareAndSwap(current, next) {
			return
		}
	}
}

// Load returns the value.
func (l *Latest[T]) Load() T {
	current := l.current.Load()
	if current == nil {
		var zero T
		return zero
	}
	return current.value
}
