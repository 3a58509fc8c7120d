package budget

import (
	"container/list"
	"sync"
	"time"
)

// Stage is how far a request has come. Connections are given up in the order of the stages.
type Stage int

// The stages.
const (
	Head       Stage = iota // a large head is not whole
	Body                    // the body is not whole, and no target has any of it
	Unread                  // the caller does not read the response
	Idle                    // there is no request, or the small start of one
	Forwarding              // a target has a part of the body
	Serving                 // the request is whole, or its response is on the way; never given up
	stageCount
)

// Holder is a connection that holds bytes of a budget. A nil Holder holds nothing.
type Holder struct {
	budget *Budget
	giveUp func()

	held       int64 // granted
	waiting    int64 // asked for
	ofRequests int64 // part of held that belongs to requests
	requests   [stageCount]int
	reading    bool // a large head has begun
	unread     bool // the caller does not read
	lingering  bool // ends by itself soon
	ended      bool

	stage    Stage // in the ranking
	index    int   // in the heap of the stage, negative when the connection is closed
	progress time.Time
	element  *list.Element // in the order of progress, nil in stages without a body
}

// Open adds a connection to the budget. giveUp has to end it. It is called at most once,
// by a goroutine that asks for bytes, and must not wait for other callers.
func (b *Budget) Open(giveUp func()) *Holder {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Holder{budget: b, giveUp: giveUp, stage: Idle, progress: b.now()}
	b.ranking.add(h)
	return h
}

// isOpen reports whether the connection may get bytes. The caller holds the lock of the
// budget.
func (h *Holder) isOpen() bool { return h.index >= 0 }

// IsGivenUp reports whether the connection was given up or closed.
func (h *Holder) IsGivenUp() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return !h.isOpen()
}

// Abandon counts what the connection holds as ending, since it was closed.
func (h *Holder) Abandon() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.isOpen() {
		h.budget.abandon(h)
	}
}

// Close returns what the connection holds besides its requests, which return theirs.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	if h.isOpen() {
		b.abandon(h)
	}
	n := h.held - h.ofRequests
	h.held -= n
	b.used -= n
	b.ending -= n
	b.grantWaiting()
}

// SetReading records whether the connection has sent a part of a large head.
func (h *Holder) SetReading(on bool) {
	h.update(func() { h.reading = on })
}

// SetUnread records whether the caller has stopped reading a response.
func (h *Holder) SetUnread(on bool) {
	h.update(func() { h.unread = on })
}

// SetLingering records whether the connection is about to end by itself. Giving it up would
// not return its bytes sooner.
func (h *Holder) SetLingering(on bool) {
	h.update(func() { h.lingering = on })
}

func (h *Holder) update(change func()) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	change()
	h.rank()
}

// rank moves the connection to the stage that its least advanced request has. The caller
// holds the lock.
func (h *Holder) rank() {
	if !h.isOpen() {
		return
	}
	stage := Idle
	if h.lingering {
		stage = Serving
	}
	for s := stageCount - 1; s >= 0; s-- {
		if h.requests[s] > 0 {
			stage = s
		}
	}
	switch {
	case h.reading:
		stage = Head
	case h.unread:
		stage = min(stage, Unread)
	}
	if stage != h.stage {
		r := &h.budget.ranking
		r.remove(h)
		h.stage = stage
		r.add(h)
	}
}

// Charge is a part of what a connection holds. A nil Charge counts nothing.
type Charge struct {
	holder  *Holder
	bytes   int64
	request bool
	stage   Stage
	ended   bool // of a request

	setMu sync.Mutex // held during Set
}

// Charge returns a new part of the connection without bytes.
func (h *Holder) Charge() *Charge {
	if h == nil {
		return nil
	}
	return &Charge{holder: h}
}

// Request returns a charge for a request at a stage. It must be ended.
func (h *Holder) Request(stage Stage) *Charge {
	if h == nil {
		return nil
	}
	c := &Charge{holder: h, request: true, stage: stage}
	h.update(func() {
		h.requests[stage]++
		h.progress = h.budget.now()
	})
	return c
}

// countRequest adds to the bytes of requests. The caller holds the lock of the budget.
func (c *Charge) countRequest(n int64) {
	if c.request {
		c.holder.ofRequests += n
	}
}

// Add asks for further bytes, or returns some with a negative number. It may give up other
// connections, and waits until there is room. It reports false, and changes nothing, if
// the bytes are not granted.
func (c *Charge) Add(n int64) bool {
	switch {
	case c == nil || n == 0:
		return true
	case n > 0:
		return c.holder.budget.reserve(c, n)
	}
	b := c.holder.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.returned() {
		b.release(c, -n)
	}
	return true
}

// returned reports whether the bytes have been returned with the request or the
// connection. The caller holds the lock of the budget.
func (c *Charge) returned() bool { return c.ended || c.holder.ended && !c.request }

// Set replaces the number of bytes, as Add does.
func (c *Charge) Set(n int64) bool {
	if c == nil {
		return true
	}
	c.setMu.Lock()
	defer c.setMu.Unlock()
	c.holder.budget.mu.Lock()
	old := c.bytes
	c.holder.budget.mu.Unlock()
	return c.Add(n - old)
}

// TryAdd asks for further bytes but neither waits nor gives up a connection.
func (c *Charge) TryAdd(n int64) bool { return c == nil || c.holder.budget.tryReserve(c, n) }

// SetStage changes the stage of a request.
func (c *Charge) SetStage(stage Stage) {
	if c == nil {
		return
	}
	c.holder.update(func() {
		if c.request && !c.ended {
			c.holder.requests[c.stage]--
			c.holder.requests[stage]++
			c.stage = stage
		}
	})
}

// Advance records that the body has gone on.
func (c *Charge) Advance() {
	if c == nil {
		return
	}
	h := c.holder
	h.update(func() {
		h.progress = h.budget.now()
		h.budget.ranking.advance(h)
	})
}

// End returns the bytes of a request, after which it gets no others.
func (c *Charge) End() {
	if c == nil {
		return
	}
	h := c.holder
	h.update(func() {
		h.requests[c.stage]--
		h.budget.release(c, c.bytes)
		c.ended = true
	})
}
