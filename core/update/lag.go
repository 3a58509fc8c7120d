package update

import (
	"sync"
	"time"
)

// maxHeard limits the revisions of which a Lag keeps the time. Of more, the last
// one stands for all later ones.
const maxHeard = 32

// Lag measures how long an instance has known of revisions that it does not have
// in force. It is safe for concurrent use.
type Lag struct {
	mu      sync.Mutex
	settled uint64          // highest revision that was applied or refused
	heard   []heardRevision // ascending, all higher than settled
}

type heardRevision struct {
	number uint64
	at     time.Time
}

// Hear records that a revision exists. Only the first time that a revision, or a
// higher one, is heard of counts.
func (l *Lag) Hear(now time.Time, number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number <= l.newest() {
		return
	}
	if len(l.heard) == maxHeard {
		l.heard[maxHeard-1].number = number
		return
	}
	l.heard = append(l.heard, heardRevision{number: number, at: now})
}

// Apply records that a revision is in force and returns how long it, or the first
// one that it replaces unapplied, has been known. The result is 0 if the instance
// had not heard of it.
func (l *Lag) Apply(now time.Time, number uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var known time.Duration
	if len(l.heard) > 0 && l.heard[0].number <= number {
		known = now.Sub(l.heard[0].at)
	}
	l.settle(number)
	return known
}

// Refuse records that a revision can never be applied. It no longer counts.
func (l *Lag) Refuse(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(number)
}

// Retain forgets the revisions above the newest one that a source in reach has
// announced.
func (l *Lag) Retain(newest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := len(l.heard); n > 0 && l.heard[n-1].number > newest; n-- {
		l.heard = l.heard[:n-1]
	}
}

// Behind returns how long a higher revision than the one in force has been known,
// and the newest one. The duration is 0 if there is none.
func (l *Lag) Behind(now time.Time) (time.Duration, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.heard) == 0 {
		return 0, l.settled
	}
	return now.Sub(l.heard[0].at), l.newest()
}

func (l *Lag) settle(number uint64) {
	for len(l.heard) > 0 && l.heard[0].number <= number {
		l.heard = l.heard[1:]
	}
	l.settled = max(l.settled, number)
}

func (l *Lag) newest() uint64 {
	if n := len(l.heard); n > 0 {
		return l.heard[n-1].number
	}
	return l.settled
}
