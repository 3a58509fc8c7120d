package relay

import (
	"context"
	"sync"
	"time"

	"github.com/galenalock/galenalock/control/turns"
)

// line makes the callers of a replica wait for their turn to propose.
type line struct {
	mu      sync.Mutex
	queue   *turns.Queue
	timer   *time.Timer // runs while an attempt waits for a time
	lastErr error       // of the last failed attempt
}

func newLine() *line {
	l := &line{queue: turns.New()}
	l.timer = time.AfterFunc(time.Hour, func() { l.update(func(time.Time) {}) })
	l.timer.Stop()
	return l
}

// update changes the queue and starts the attempts that may start.
func (l *line) update(change func(now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	change(now)
	if next := l.queue.Advance(now); !next.IsZero() {
		l.timer.Reset(next.Sub(now))
	}
}

// join adds a caller. An error is of type *NoQuorumError.
func (l *line) join() (turn *turns.Turn, err error) {
	l.update(func(time.Time) {
		var full error
		if turn, full = l.queue.Add(); full != nil {
			err = &NoQuorumError{Reason: full.Error()}
		}
	})
	return turn, err
}

// wait returns when the caller may try. An error is of type *NoQuorumError.
func (l *line) wait(ctx context.Context, turn *turns.Turn) error {
	select {
	case <-turn.Start:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return deadlineError(ctx, l.lastErr)
}

func (l *line) succeed(turn *turns.Turn) {
	l.update(func(time.Time) {
		l.queue.Succeed(turn)
		l.lastErr = nil
	})
}

// leave removes a caller that waits or tries. It has no effect on one that has succeeded.
func (l *line) leave(turn *turns.Turn) { l.update(func(time.Time) { l.queue.Leave(turn) }) }

// fail ends an attempt. The caller waits again.
func (l *line) fail(turn *turns.Turn, err error) {
	l.update(func(now time.Time) {
		l.queue.Fail(now, turn)
		l.lastErr = err
	})
}

func (l *line) reset() { l.update(l.queue.Reset) }

// waiting returns the number of callers that wait for their turn.
func (l *line) waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Waiting()
}
