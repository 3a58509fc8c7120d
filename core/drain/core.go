package drain

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	defaultGracePeriod  = 5 * time.Second  // a load balancer that probes every second and removes after three failures, with margin
	defaultRequestLimit = 60 * time.Second // twice the default timeout of a request
)

// Request describes a request in flight.
type Request struct {
	ID      string
	Service string
	Kind    string
	Start   time.Time
}

// ServiceKind is a kind of request to a service. Requests in flight are counted by
// it.
type ServiceKind struct{ Service, Kind string }

// Core tracks the requests of one instance and the phase of its shutdown. It is
// safe for concurrent use. It reads no clock: Stop and Step receive the time.
type Core struct {
	grace, limit time.Duration

	mu       sync.Mutex
	phase    Phase
	stopTime time.Time
	lastID   uint64
	inflight map[uint64]Request
	done     chan struct{}
}

// Option configures a Core.
type Option func(*Core)

// WithTimeouts sets the grace period, and the time limit for requests in flight,
// which begins when the grace period ends.
func WithTimeouts(grace, limit time.Duration) Option {
	return func(c *Core) { c.grace, c.limit = grace, limit }
}

// New returns a Core in the phase Serving.
func New(opts ...Option) *Core {
	c := &Core{grace: defaultGracePeriod, limit: defaultRequestLimit, inflight: map[uint64]Request{}, done: make(chan struct{})}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Begin registers a request and returns the ID to pass to Finish. It returns false
// when new requests are refused.
func (c *Core) Begin(r Request) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase >= Waiting {
		return 0, false
	}
	c.lastID++
	c.inflight[c.lastID] = r
	return c.lastID, true
}

// Finish removes a request that has ended.
func (c *Core) Finish(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == Ended {
		return // Interrupted reports the request
	}
	delete(c.inflight, id)
	if c.phase == Waiting && len(c.inflight) == 0 {
		c.endLocked()
	}
}

// Stop begins the shutdown. A second call ends it at once.
func (c *Core) Stop(now time.Time) Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != Serving {
		c.endLocked()
		return c.phase
	}
	c.phase, c.stopTime = Grace, now
	return c.stepLocked(now)
}

// Resume returns to the phase Serving unless the shutdown has ended. It is called
// when an operator withdraws a drain.
func (c *Core) Resume() Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != Ended {
		c.phase = Serving
	}
	return c.phase
}

// Step advances the shutdown and returns its phase and the time of the next
// change of phase that needs no other call, or the zero time if there is none.
func (c *Core) Step(now time.Time) (Phase, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.stepLocked(now) {
	case Grace:
		return c.phase, c.stopTime.Add(c.grace)
	case Waiting:
		return c.phase, c.stopTime.Add(c.grace + c.limit)
	}
	return c.phase, time.Time{}
}

func (c *Core) stepLocked(now time.Time) Phase {
	if c.phase == Grace && now.Sub(c.stopTime) >= c.grace {
		c.phase = Waiting
	}
	if c.phase == Waiting && (len(c.inflight) == 0 || now.Sub(c.stopTime) >= c.grace+c.limit) {
		c.endLocked()
	}
	return c.phase
}

func (c *Core) endLocked() {
	if c.phase != Ended {
		c.phase = Ended
		close(c.done)
	}
}

// Left returns the time until the shutdown ends at the latest, and false if there is no
// shutdown.
func (c *Core) Left(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case Serving:
		return 0, false
	case Ended:
		return 0, true
	}
	return max(0, c.stopTime.Add(c.grace+c.limit).Sub(now)), true
}

// Closing reports whether connections are to be closed after their response, so
// that callers connect elsewhere.
func (c *Core) Closing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != Serving
}

// Done is closed when the shutdown has ended.
func (c *Core) Done() <-chan struct{} { return c.done }

// Interrupted returns the requests that were in flight when the shutdown ended,
// the oldest first. Before that it returns nil.
func (c *Core) Interrupted() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != Ended {
		return nil
	}
	requests := make([]Request, 0, len(c.inflight))
	for _, r := range c.inflight {
		requests = append(requests, r)
	}
	slices.SortFunc(requests, func(a, b Request) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.ID, b.ID))
	})
	return requests
}

// Inflight returns the number of requests in flight by service and kind.
func (c *Core) Inflight() map[ServiceKind]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[ServiceKind]int{}
	for _, r := range c.inflight {
		counts[ServiceKind{r.Service, r.Kind}]++
	}
	return counts
}
