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
	isRepeat func(known, n N) bool
	interval time.Duration // after which a repeat is new
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

// WithRepeats sets which notices say the same as the one that is known of the
// subject. Many instances may report the same event, each with another age. A
// repeat is new only if it is newer by the interval. By default, there are none.
func WithRepeats[K comparable, N batch.Notice[N]](interval time.Duration, isRepeat func(known, n N) bool) Option[K, N] {
	return func(b *Board[K, N]) { b.interval, b.isRepeat = interval, isRepeat }
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
		isRepeat: func(_, _ N) bool { return false }, lifetime: 30 * time.Second, capacity: 4096,
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
		if ok && !b.isNewer(known, added) {
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

// isNewer reports whether a notice replaces the one that is known of its subject.
func (b *Board[K, N]) isNewer(known, added entry[N]) bool {
	difference := b.at(added).Sub(b.at(known))
	if b.isRepeat(known.notice, added.notice) {
		return difference >= b.interval
	}
	return difference >= 0
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
