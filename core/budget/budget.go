// Package budget bounds the memory that a process holds for its callers. When they hold
// too much, the connection that holds most is given up, so that callers with ordinary
// requests are served beside those that send much and finish nothing.
package budget

import (
	"container/heap"
	"context"
	"sync"
)

// Budget is a number of bytes that connections share. It is safe for concurrent use. A
// nil Budget has no bound.
type Budget struct {
	limit int64

	mu      sync.Mutex
	used    int64
	holders ranking
}

// New returns a budget of that many bytes, or nil for 0, which stands for no bound.
func New(limit int64) *Budget {
	if limit == 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// Limit returns the size of the budget in bytes, 0 without a bound.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Holder is a connection that holds bytes of a budget. A nil Holder holds nothing.
type Holder struct {
	budget *Budget
	giveUp func()
	held   int64
	index  int // in the ranking, negative after the end
}

// Open adds a connection to the budget. giveUp has to end it. It is called at most once,
// in a goroutine that adds bytes to the budget, and must not wait for other callers.
func (b *Budget) Open(giveUp func()) *Holder {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Holder{budget: b, giveUp: giveUp}
	heap.Push(&b.holders, h)
	return h
}

// Close returns all bytes of the connection.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.remove()
}

// remove takes the connection out of the budget. The caller holds the lock.
func (h *Holder) remove() {
	if h.index < 0 {
		return
	}
	heap.Remove(&h.budget.holders, h.index)
	h.budget.used -= h.held
}

// Charge is a part of what a connection holds, such as the body of one request. A nil
// Charge counts nothing.
type Charge struct {
	holder *Holder
	bytes  int64
}

// Charge returns a new part of the connection without bytes.
func (h *Holder) Charge() *Charge {
	if h == nil {
		return nil
	}
	return &Charge{holder: h}
}

// Add counts further bytes, or fewer with a negative number. It may give up
// connections, this one included.
func (c *Charge) Add(n int64) {
	if c != nil {
		c.change(func(old int64) int64 { return old + n })
	}
}

// Set replaces the number of bytes, as Add does.
func (c *Charge) Set(n int64) {
	if c != nil {
		c.change(func(int64) int64 { return n })
	}
}

func (c *Charge) change(next func(old int64) int64) {
	h, b := c.holder, c.holder.budget
	var given []*Holder
	b.mu.Lock()
	delta := next(c.bytes) - c.bytes
	c.bytes += delta
	if h.index >= 0 && delta != 0 {
		h.held += delta
		b.used += delta
		heap.Fix(&b.holders, h.index)
		for b.used > b.limit && len(b.holders) > 0 {
			largest := b.holders[0]
			largest.remove()
			given = append(given, largest)
		}
	}
	b.mu.Unlock()
	for _, holder := range given {
		holder.giveUp()
	}
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

// ranking is a heap whose first holder holds most.
type ranking []*Holder

func (r ranking) Len() int           { return len(r) }
func (r ranking) Less(i, j int) bool { return r[i].held > r[j].held }

func (r ranking) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].index, r[j].index = i, j
}

// Push appends a holder, for package heap.
func (r *ranking) Push(x any) {
	h := x.(*Holder) //nolint:forcetypeassert // only Open calls it
	h.index = len(*r)
	*r = append(*r, h)
}

// Pop removes the last holder, for package heap.
func (r *ranking) Pop() any {
	last := len(*r) - 1
	h := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	h.index = -1
	return h
}
