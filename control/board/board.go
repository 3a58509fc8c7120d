package board

import (
	"time"

	"github.com/galenalock/galenalock/control/batch"
)

// maxNotices bounds the notices of a board. Further subjects are not kept.
const maxNotices = 4096

// Board keeps the newest notice of each subject for its lifetime. It is not safe
// for concurrent use.
type Board[K comparable, N batch.Notice[N]] struct {
	subject  func(N) K
	age      func(N) time.Duration
	lifetime time.Duration
	notices  map[K]entry[N]
}

// entry is a notice and when it was received.
type entry[N any] struct {
	notice   N
	received time.Time
}

// New returns an empty board. subject returns what a notice is about, age how old
// it was when it was received.
func New[K comparable, N batch.Notice[N]](lifetime time.Duration, subject func(N) K, age func(N) time.Duration) *Board[K, N] {
	return &Board[K, N]{subject: subject, age: age, lifetime: lifetime, notices: map[K]entry[N]{}}
}

// Add adds notices. A notice that is older than the one that is known of the same
// subject has no effect.
func (b *Board[K, N]) Add(now time.Time, list []N) {
	if len(b.notices)+len(list) > maxNotices {
		b.expire(now)
	}
	for _, n := range list {
		key := b.subject(n)
		known, ok := b.notices[key]
		switch {
		case !ok && len(b.notices) >= maxNotices:
			continue
		case ok && b.at(entry[N]{n, now}).Before(b.at(known)):
			continue
		}
		b.notices[key] = entry[N]{n, now}
	}
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

// List returns the notices that have not expired, with their current age.
func (b *Board[K, N]) List(now time.Time) []N {
	b.expire(now)
	out := make([]N, 0, len(b.notices))
	for _, e := range b.notices {
		out = append(out, e.notice.Aged(now.Sub(e.received)))
	}
	return out
}
