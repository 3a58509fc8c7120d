package link

import (
	"sync"

	"github.com/galenalock/galenalock/core/wire"
)

// callOutcome is what becomes of a call that has arrived.
type callOutcome int

const (
	callStarts callOutcome = iota
	callWaits
	callRefused
)

// callQueue limits the calls of one peer that are handled at a time. Further calls
// wait here and not in the connection, where they would delay messages on which the
// running calls may depend.
type callQueue struct {
	mu           sync.Mutex
	running      int
	waiting      []wire.Message
	waitingBytes int
}

// add decides about a call. A call that starts is not queued.
func (q *callQueue) add(m wire.Message) callOutcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running < maxConcurrentCalls {
		q.running++
		return callStarts
	}
	tooMany := len(q.waiting) >= maxWaitingCalls
	if tooMany || len(q.waiting) > 0 && q.waitingBytes+len(m.Body) > maxWaitingBytes {
		return callRefused
	}
	q.waiting = append(q.waiting, m)
	q.waitingBytes += len(m.Body)
	return callWaits
}

// next returns the call to handle after a call has ended. It returns false if none
// waits or the link has ended.
func (q *callQueue) next(ended bool) (wire.Message, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if ended || len(q.waiting) == 0 {
		q.running--
		return wire.Message{}, false
	}
	m := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.waitingBytes -= len(m.Body)
	return m, true
}

// len returns the number of calls that run or wait.
func (q *callQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running + len(q.waiting)
}
