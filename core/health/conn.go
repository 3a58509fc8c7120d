package health

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// silence is the shortest time without an answer that is worth a check.
	silence = 500 * time.Millisecond
	// silenceFactor is the same in multiples of the percentile; a request that
	// takes longer than most must not lose its connection.
	silenceFactor = 8
)

// Conn tracks whether a connection still answers. Send and Hear are safe for
// concurrent use.
type Conn struct {
	target *Target
	opened int64
	asked  atomic.Int64 // time of the oldest unanswered send, 0: none
	heard  atomic.Int64 // time of the last byte received
	told   bool         // advised to close
}

// Open records a new connection.
func (t *Target) Open(now time.Time) *Conn {
	c := &Conn{target: t, opened: int64(now.Sub(t.epoch))}
	t.mu.Lock()
	t.conns = append(t.conns, c)
	t.mu.Unlock()
	return c
}

// Send records that request bytes were written.
func (c *Conn) Send(now time.Time) { c.asked.CompareAndSwap(0, int64(now.Sub(c.target.epoch))) }

// Hear records that bytes were received.
func (c *Conn) Hear(now time.Time) {
	c.heard.Store(int64(now.Sub(c.target.epoch)))
	c.asked.Store(0)
}

// Close ends the tracking.
func (c *Conn) Close() {
	t := c.target
	t.mu.Lock()
	t.conns = slices.DeleteFunc(t.conns, func(o *Conn) bool { return o == c })
	t.mu.Unlock()
}

// Silent returns the connections to close: they have not answered for long
// while a connection opened later has. Probe asks for a new connection with a
// repeatable request, because silence alone does not tell a dead connection
// from a slow target. Attempts on the closed connections finish as Void. The
// caller keeps open a connection that carries a request that must not run
// twice until that request's deadline.
func (t *Target) Silent(now time.Time) (dead []*Conn, probe bool) {
	limit := int64(max(silence, silenceFactor*t.Percentile()))
	at := int64(now.Sub(t.epoch))
	t.mu.Lock()
	defer t.mu.Unlock()
	var newest int64 = -1 // opening of the newest connection that answered
	var youngest int64    // opening of the newest connection
	for _, c := range t.conns {
		youngest = max(youngest, c.opened)
		if c.heard.Load() > c.opened {
			newest = max(newest, c.opened)
		}
	}
	for _, c := range t.conns {
		asked := c.asked.Load()
		if asked == 0 || at-asked < limit || c.told {
			continue
		}
		if newest >= asked {
			c.told = true
			dead = append(dead, c)
		} else if at-youngest >= limit {
			probe = true
		}
	}
	return dead, probe
}
