package health

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// minSilence is the shortest time without an answer after which a connection
	// may count as silent.
	minSilence = 500 * time.Millisecond
	// silenceFactor is the same as a multiple of the percentile, so that a request
	// that takes longer than most does not lose its connection.
	silenceFactor = 8
)

// Conn tracks whether a connection still answers. Sent and Received are safe for
// concurrent use.
type Conn struct {
	target       *Target
	opened       int64
	sentAt       atomic.Int64 // time of the oldest unanswered send, 0: none
	lastReceived atomic.Int64 // time of the last byte received
	closeAdvised bool         // returned by SilentConns as one to close
}

// OpenConn records a new connection.
func (t *Target) OpenConn(now time.Time) *Conn {
	c := &Conn{target: t, opened: int64(now.Sub(t.epoch))}
	t.mu.Lock()
	t.conns = append(t.conns, c)
	t.mu.Unlock()
	return c
}

// Sent records that request bytes were written.
func (c *Conn) Sent(now time.Time) { c.sentAt.CompareAndSwap(0, int64(now.Sub(c.target.epoch))) }

// Received records that bytes were received.
func (c *Conn) Received(now time.Time) {
	c.lastReceived.Store(int64(now.Sub(c.target.epoch)))
	c.sentAt.Store(0)
}

// Close ends the tracking.
func (c *Conn) Close() {
	t := c.target
	t.mu.Lock()
	t.conns = slices.DeleteFunc(t.conns, func(o *Conn) bool { return o == c })
	t.mu.Unlock()
}

// SilentConns returns the connections to close: those that have not answered for
// long, while a connection opened after the unanswered request was sent has. The
// result probe asks for a new connection with a repeatable request, because
// silence alone does not distinguish a dead connection from a slow target.
// Attempts on the closed connections finish as Discarded. The caller keeps a
// connection that carries a request that must not run twice open until the
// deadline of that request.
func (t *Target) SilentConns(now time.Time) (dead []*Conn, probe bool) {
	limit := int64(max(minSilence, silenceFactor*t.Percentile()))
	at := int64(now.Sub(t.epoch))
	t.mu.Lock()
	defer t.mu.Unlock()
	var newestAnswered int64 = -1 // open time of the newest connection that answered
	var newestOpened int64        // open time of the newest connection
	for _, c := range t.conns {
		newestOpened = max(newestOpened, c.opened)
		if c.lastReceived.Load() > c.opened {
			newestAnswered = max(newestAnswered, c.opened)
		}
	}
	for _, c := range t.conns {
		sentAt := c.sentAt.Load()
		if sentAt == 0 || at-sentAt < limit || c.closeAdvised {
			continue
		}
		if newestAnswered >= sentAt {
			c.closeAdvised = true
			dead = append(dead, c)
		} else if at-newestOpened >= limit {
			probe = true
		}
	}
	return dead, probe
}
