package board

import (
	"time"

	"github.com/galenalock/galenalock/control/batch"
)

// Board keeps the newest notice of each subject for its lifetime. It is not safe
// for concurrent use.
type Board[K comparable, N batch.Notice[N]] struct {
	subject  func(N) K
	age      func(N) time.Duration
	once     func(N) bool
	lifetime time.Duration
	capacity int
	notices  map[K]entry[N]
}

// Option configures a Board.
type Option[K comparable, N batch.Notice[N]] func(*Board[K, N])

// WithLifetime sets how long a notice is kept. The default is 30 s.
func WithLifetime[K comparable, N batch.Notice[N]](d time.Duration) Option[K, N] {
	return func(b *Board[K, N]) { b.lifetime = d }
}

// WithCapacity sets the number of notices that are kept. The oldest one gives way to
// a new one. The default is 4096.
func WithCapacity[K comparable, N batch.Notice[N]](notices int) Option[K, N] {
	return func(b *Board[K, N]) { b.capacity = notices }
}

// WithOnce sets which notices are about an event that happens once. Several
// instances may report it, each with another age; only the first notice is new.
func WithOnce[K comparable, N batch.Notice[N]](once func(N) bool) Option[K, N] {
	return func(b *Board[K, N]) { b.once = once }
}

// entry is a notice and when it was received.
type entry[N any] struct {
	notice   N
	received time.Time
}

// New returns an empty board. subject returns what a notice is about, age how old
// it was when it was received.
func New[K comparable, N batch.Notice[N]](subject func(N) K, age func(N) time.Duration, opts ...Option[K, N]) *Board[K, N] {
	b := &Board[K, N]{
		subject: subject, age: age, notices: map[K]entry[N]{},
		once: func(N) bool { return false }, lifetime: 30 * time.Second, capacity: 4096,
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Add adds notices and returns those that are new. A notice that is not newer than
// the one that is known of the same subject has no effect.
func (b *Board[K, N]) Add(now time.Time, list []N) []N {
	if len(b.notices)+len(list) > b.capacity {
		b.expire(now)
	}
	var fresh []N
	for _, n := range list {
		key, added := b.subject(n), entry[N]{n, now}
		known, ok := b.notices[key]
		if ok && (b.once(n) || b.at(added).Before(b.at(known))) {
			continue
		}
		if !ok && len(b.notices) >= b.capacity {
			b.removeOldest()
		}
		b.notices[key] = added
		fresh = append(fresh, n)
	}
	return fresh
}

// at returns when a notice was made.
func (b *Board[K, N]) at(e entry[N]) time.Time { return e.received.Add(-b.age(e.notice)) }

func (b *Board[K, N]) expire(now time.Time) {
	for key, e := range b.notices {
		if now.Sub(b.at(e)) >= b.lifetime {
			delete(b.notices, key)
		}
	}
}

func (b *Board[K, N]) removeOldest() {
	var oldest K
	var at time.Time
	for key, e := range b.notices {
		if made := b.at(e); at.IsZero() || made.Before(at) {
			oldest, at = key, made
		}
	}
	delete(b.notices, oldest)
}

// List returns the notices that have not expired, with their current age.
func (b *Board[K, N]) List(now time.Time) []N {
	b.expire(now)
	out := make([]N, 0, len(b.notices))
	for _, e := range b.notices {
		out = append(out, e.notice.Aged(now.Sub(e.received)))
	}
	return out
}
