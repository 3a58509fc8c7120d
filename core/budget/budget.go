// Package budget bounds the memory that a process holds for its callers. Bytes count from
// before they are used until the connection that held them has ended. When they are needed
// and there are none, the connection whose loss costs its caller least is given up.
package budget

import (
	"context"
	"sync"
	"time"
)

// Budget is a number of bytes that connections share. It is safe for concurrent use. A
// nil Budget has no bound.
type Budget struct {
	limit int64
	now   func() time.Time

	mu      sync.Mutex
	used    int64 // granted and not returned
	ending  int64 // part of used whose connections were closed but have not ended
	pending int64 // asked for and not granted
	waiters []*waiter
	ranking ranking
}

// Option configures a Budget.
type Option func(*Budget)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(b *Budget) { b.now = now } }

// New returns a budget of that many bytes, or nil for 0, which stands for no bound.
func New(limit int64, opts ...Option) *Budget {
	if limit == 0 {
		return nil
	}
	b := &Budget{limit: limit, now: time.Now}
	for _, opt := range opts {
		opt(b)
	}
	b.ranking.init()
	return b
}

// Limit returns the size of the budget in bytes, 0 without a bound.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Used returns the bytes in use, at most the limit.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// waiter waits until bytes are granted to its charge, or its connection is given up.
type waiter struct {
	charge  *Charge
	bytes   int64
	decided chan bool
}

// patience is how long a charge waits for connections that were given up before another
// one is. Their handlers may go on for some time, such as one that reads the rest of a
// response after its caller has left.
const patience = 100 * time.Millisecond

// reserve grants bytes to a charge. It gives up other connections if there are too few and
// waits until those have ended. It reports false if the connection itself is given up, or
// if no other one may be.
func (b *Budget) reserve(c *Charge, n int64) bool {
	w, given := b.ask(c, n)
	endAll(given)
	if w == nil {
		return false
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case granted := <-w.decided:
			return granted
		case <-timer.C:
			b.giveUpAnother(c.holder)
			timer.Reset(patience)
		}
	}
}

// ask queues a charge that wants bytes. It returns no waiter if the charge cannot get
// them, and the connections that the caller has to end.
func (b *Budget) ask(c *Charge, n int64) (*waiter, []*Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := c.holder
	if !h.isOpen() || c.ended || h.held+h.waiting+n > b.limit {
		return nil, nil
	}
	given, ok := b.makeRoom(h, n)
	if !ok {
		return nil, given
	}
	w := &waiter{charge: c, bytes: n, decided: make(chan bool, 1)}
	b.waiters = append(b.waiters, w)
	b.pending += n
	h.waiting += n
	b.ranking.fix(h)
	b.grantWaiting()
	return w, given
}

// giveUpAnother gives up one more connection for one that waits.
func (b *Budget) giveUpAnother(waiting *Holder) {
	b.mu.Lock()
	var victim *Holder
	if waiting.isOpen() && len(b.waiters) > 0 {
		victim = b.ranking.worst(b.now(), waiting, 0)
	}
	if victim == waiting {
		victim = nil
	}
	if victim != nil {
		b.abandon(victim)
		b.grantWaiting()
	}
	b.mu.Unlock()
	if victim != nil {
		victim.giveUp()
	}
}

// makeRoom gives up connections until the bytes of the others leave room for n more. It
// reports false if the connection that asks would be the next, and returns those that the
// caller has to end. The caller holds the lock.
func (b *Budget) makeRoom(asking *Holder, n int64) (given []*Holder, ok bool) {
	for b.used-b.ending+b.pending+n > b.limit {
		victim := b.ranking.worst(b.now(), asking, n)
		if victim == nil || victim == asking {
			return given, false
		}
		b.abandon(victim)
		given = append(given, victim)
	}
	return given, true
}

func endAll(given []*Holder) {
	for _, h := range given {
		h.giveUp()
	}
}

// abandon counts the bytes of a connection as ending and refuses what it waits for. The
// caller holds the lock.
func (b *Budget) abandon(h *Holder) {
	b.ranking.remove(h)
	b.ending += h.held
	if h.waiting == 0 {
		return
	}
	kept := b.waiters[:0]
	for _, w := range b.waiters {
		if w.charge.holder == h {
			b.pending -= w.bytes
			w.decided <- false
			continue
		}
		kept = append(kept, w)
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept
	h.waiting = 0
}

// grantWaiting grants what is waited for once all of it fits. Connections are given up for
// it when it is asked for, so that it fits when those have ended. The caller holds the
// lock.
func (b *Budget) grantWaiting() {
	if len(b.waiters) == 0 || b.used+b.pending > b.limit {
		return
	}
	for i, w := range b.waiters {
		h := w.charge.holder
		h.waiting -= w.bytes
		h.held += w.bytes
		w.charge.bytes += w.bytes
		w.charge.countRequest(w.bytes)
		if h.isOpen() {
			h.progress = b.now() // it has not stopped by itself
			b.ranking.advance(h)
		}
		w.decided <- true
		b.waiters[i] = nil
	}
	b.used += b.pending
	b.pending, b.waiters = 0, b.waiters[:0]
}

// tryReserve grants bytes if that leaves all connections as they are.
func (b *Budget) tryReserve(c *Charge, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := c.holder
	if !h.isOpen() || c.ended || b.used+b.pending+n > b.limit {
		return false
	}
	b.used += n
	h.held += n
	c.bytes += n
	c.countRequest(n)
	b.ranking.fix(h)
	return true
}

// release returns bytes of a charge. The caller holds the lock.
func (b *Budget) release(c *Charge, n int64) {
	h := c.holder
	c.bytes -= n
	c.countRequest(-n)
	b.used -= n
	h.held -= n
	if h.isOpen() {
		b.ranking.fix(h)
	} else {
		b.ending -= n
	}
	b.grantWaiting()
}

type contextKey struct{}

// WithCharge returns a context with the charge of a request.
func WithCharge(ctx context.Context, c *Charge) context.Context {
	if c == nil {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the charge of a request, nil if there is none.
func FromContext(ctx context.Context) *Charge {
	c, _ := ctx.Value(contextKey{}).(*Charge)
	return c
}
