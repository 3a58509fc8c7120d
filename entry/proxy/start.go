package proxy

import (
	"context"
	"sync"
	"time"
)

// StartupGate delays requests that arrive before an entry has its first
// configuration. It covers the restart of all instances after a power failure:
// callers keep sending while the configuration arrives from control, which takes
// a fraction of a second.
type StartupGate struct {
	until  time.Time
	once   sync.Once
	opened chan struct{}
}

// NewStartupGate returns a gate that delays requests until the given time at the
// latest. Later requests are not delayed, since control may be unreachable for
// long.
func NewStartupGate(until time.Time) *StartupGate {
	return &StartupGate{until: until, opened: make(chan struct{})}
}

// Open releases all waiting requests and delays no further ones.
func (s *StartupGate) Open() { s.once.Do(func() { close(s.opened) }) }

// Wait returns when the gate is open, its time limit has passed or ctx is done.
func (s *StartupGate) Wait(ctx context.Context, now time.Time) {
	left := s.until.Sub(now)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.opened:
	case <-timer.C:
	case <-ctx.Done():
	}
}
