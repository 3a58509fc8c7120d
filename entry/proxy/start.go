package proxy

import (
	"context"
	"sync"
	"time"
)

// Start holds back requests that arrive before an entry has its first
// configuration. The load it answers: all instances lose power and start again,
// and callers keep sending while the configuration is on its way from control,
// which takes a fraction of a second.
type Start struct {
	until time.Time
	once  sync.Once
	over  chan struct{}
}

// NewStart returns a Start that holds requests back up to a time. A request that
// arrives later is not held back, since control may be away for long.
func NewStart(until time.Time) *Start { return &Start{until: until, over: make(chan struct{})} }

// End lets all requests go on.
func (s *Start) End() { s.once.Do(func() { close(s.over) }) }

// Wait returns once requests may go on, the time is over or ctx ends.
func (s *Start) Wait(ctx context.Context, now time.Time) {
	left := s.until.Sub(now)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.over:
	case <-timer.C:
	case <-ctx.Done():
	}
}
