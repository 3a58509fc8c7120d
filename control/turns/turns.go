package turns

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Default limits of a queue.
const (
	// DefaultRunning is the number of attempts at a time. It is below the number of
	// calls of one peer that a link handles at a time, so that they leave room for
	// other calls.
	DefaultRunning = 128
	// DefaultWaiting is the number of callers that may wait.
	DefaultWaiting = 4096
	// DefaultInterval is the time between attempts while they fail. It is short
	// against an election, which takes a second or more.
	DefaultInterval = 20 * time.Millisecond
)

// FullError refuses a caller because too many wait.
type FullError struct{ Waiting int }

// Error returns a message with the number of callers that wait.
func (e *FullError) Error() string { return fmt.Sprintf("%d callers wait already", e.Waiting) }

// Turn is the place of one caller in a queue.
type Turn struct {
	sequence uint64
	opened   uint64 // Queue.opened when the attempt started
	reset    uint64 // Queue.resets when the attempt started
	running  bool
	// Start is closed when the caller may try. It is replaced when an attempt fails.
	Start chan struct{}
}

// Queue decides which callers may try. It is not safe for concurrent use.
type Queue struct {
	maxRunning, maxWaiting int
	interval               time.Duration

	waiting  []*Turn // in order of arrival
	running  int     // attempts since the last reset
	sequence uint64  // of the last caller
	opened   uint64  // number of times the queue was opened or reset
	resets   uint64  // number of times the queue was reset
	failing  bool
	probing  *Turn     // the attempt that is allowed while attempts fail
	retryAt  time.Time // when the next attempt may start while attempts fail
}

// Option configures a Queue.
type Option func(*Queue)

// WithRunning sets the number of attempts at a time.
func WithRunning(n int) Option { return func(q *Queue) { q.maxRunning = n } }

// WithWaiting sets the number of callers that may wait.
func WithWaiting(n int) Option { return func(q *Queue) { q.maxWaiting = n } }

// WithInterval sets the time between attempts while they fail.
func WithInterval(d time.Duration) Option { return func(q *Queue) { q.interval = d } }

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{maxRunning: DefaultRunning, maxWaiting: DefaultWaiting, interval: DefaultInterval}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Add queues a caller. An error is of type *FullError.
func (q *Queue) Add() (*Turn, error) {
	if len(q.waiting) >= q.maxWaiting {
		return nil, &FullError{Waiting: len(q.waiting)}
	}
	q.sequence++
	t := &Turn{sequence: q.sequence, Start: make(chan struct{})}
	q.waiting = append(q.waiting, t)
	return t, nil
}

// Leave removes a caller that no longer waits, or that ends its attempt without
// knowing whether the dependency is available. It has no effect after Succeed or Leave.
func (q *Queue) Leave(t *Turn) {
	if i, ok := q.position(t); ok {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		return
	}
	q.stop(t)
}

// Succeed ends an attempt that reached the dependency. All callers may try.
func (q *Queue) Succeed(t *Turn) {
	q.stop(t)
	if q.failing {
		q.opened++
		q.failing, q.probing = false, nil
	}
}

// Fail ends an attempt that did not reach the dependency. The caller waits again, in
// its former place. Attempts that started before the queue was opened or reset tell
// nothing about the dependency of now.
func (q *Queue) Fail(now time.Time, t *Turn) {
	q.stop(t)
	if t.opened == q.opened {
		q.failing, q.retryAt = true, now.Add(q.interval)
	}
	t.Start = make(chan struct{})
	i, _ := q.position(t)
	q.waiting = slices.Insert(q.waiting, i, t)
}

// Reset lets a caller try at once, since the dependency has changed. Attempts that are
// running no longer count: they may hang at what the dependency was before.
func (q *Queue) Reset(now time.Time) {
	q.opened++
	q.resets++
	q.running, q.probing, q.retryAt = 0, nil, now
}

// Advance starts the attempts that may start now. It returns when to call it again,
// or the zero time if no attempt waits for a time.
func (q *Queue) Advance(now time.Time) time.Time {
	for len(q.waiting) > 0 && q.running < q.maxRunning {
		if q.failing && q.probing != nil {
			break
		}
		if q.failing && now.Before(q.retryAt) {
			return q.retryAt
		}
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		t.running = true
		t.opened, t.reset = q.opened, q.resets
		if q.failing {
			q.probing = t
		}
		close(t.Start)
	}
	return time.Time{}
}

// Waiting returns the number of callers that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// position returns the index of a caller among those that wait, or the one at which it
// belongs if it does not wait.
func (q *Queue) position(t *Turn) (int, bool) {
	return slices.BinarySearchFunc(q.waiting, t.sequence, func(w *Turn, sequence uint64) int {
		return cmp.Compare(w.sequence, sequence)
	})
}

func (q *Queue) stop(t *Turn) {
	if t.running && t.reset == q.resets {
		q.running--
	}
	if q.probing == t {
		q.probing = nil
	}
	t.running = false
}
