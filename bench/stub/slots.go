package stub

import (
	"context"
	"sync/atomic"
)

// slots bounds the requests served at the same time and those that wait.
type slots struct {
	free    chan struct{}
	room    int64        // slots and queue together
	present atomic.Int64 // requests in slots or in the queue
}

func newSlots(limit, queue int) *slots {
	s := &slots{free: make(chan struct{}, limit), room: int64(limit + queue)}
	for range limit {
		s.free <- struct{}{}
	}
	return s
}

// take waits for a slot and reports false when the queue is full or ctx ends.
func (s *slots) take(ctx context.Context) bool {
	if s.present.Add(1) > s.room {
		s.present.Add(-1)
		return false
	}
	select {
	case <-s.free:
		return true
	case <-ctx.Done():
		s.present.Add(-1)
		return false
	}
}

func (s *slots) give() {
	s.present.Add(-1)
	s.free <- struct{}{}
}

func (s *slots) limit() int { return cap(s.free) }

func (s *slots) inflight() int { return cap(s.free) - len(s.free) }
