package stub

import (
	"context"
	"sync/atomic"
)

// slots limits the number of requests served at the same time and the number of
// requests that wait.
type slots struct {
	tokens   chan struct{}
	capacity int64        // slots plus queue
	admitted atomic.Int64 // requests in a slot or in the queue
}

func newSlots(limit, queue int) *slots {
	s := &slots{tokens: make(chan struct{}, limit), capacity: int64(limit + queue)}
	for range limit {
		s.tokens <- struct{}{}
	}
	return s
}

// acquire waits for a slot. It reports false if the queue is full or ctx ends.
func (s *slots) acquire(ctx context.Context) bool {
	if s.admitted.Add(1) > s.capacity {
		s.admitted.Add(-1)
		return false
	}
	select {
	case <-s.tokens:
		return true
	case <-ctx.Done():
		s.admitted.Add(-1)
		return false
	}
}

func (s *slots) release() {
	s.admitted.Add(-1)
	s.tokens <- struct{}{}
}

func (s *slots) limit() int { return cap(s.tokens) }

func (s *slots) inflight() int { return cap(s.tokens) - len(s.tokens) }
