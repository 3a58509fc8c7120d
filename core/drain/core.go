package drain

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	defaultGrace = 5 * time.Second  // a balancer that probes every second and removes after three failures, with reserve
	defaultLimit = 60 * time.Second // twice the default timeout of a request
)

// Request is a request in flight.
type Request struct {
	ID      string
	Service string
	Kind    string
	Start   time.Time
}

// Group is a service and kind, by which requests are counted.
type Group struct{ Service, Kind string }

// Core accounts for the requests of one instance. It is safe for concurrent
// use; time passes only with the calls.
type Core struct {
	grace, limit time.Duration

	mu       sync.Mutex
	phase    Phase
	stopped  time.Time
	last     uint64
	inflight map[uint64]Request
	done     chan struct{}
}

// Option changes a core.
type Option func(*Core)

// WithTimes sets the grace period, and the time limit for requests in flight
// that follows it.
func WithTimes(grace, limit time.Duration) Option {
	return func(c *Core) { c.grace, c.limit = grace, limit }
}

// New returns a core that serves.
func New(opts ...Option) *Core {
	c := &Core{grace: defaultGrace, limit: defaultLimit, inflight: map[uint64]Request{}, done: make(chan struct{})}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Enter registers a request and returns the number with which it leaves. It
// returns false when new requests are refused.
func (c *Core) Enter(r Request) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase >= Waiting {
		return 0, false
	}
	c.last++
	c.inflight[c.last] = r
	return c.last, true
}

// Leave ends a request.
func (c *Core) Leave(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == Ended {
		return // the request was cut off and stays in the report
	}
	delete(c.inflight, number)
	if c.phase == Waiting && len(c.inflight) == 0 {
		c.end()
	}
}

// Stop begins the shutdown; a second call ends the wait.
func (c *Core) Stop(now time.Time) Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != Serving {
		c.end()
		return c.phase
	}
	c.phase, c.stopped = Grace, now
	return c.step(now)
}

// Resume returns to service unless the shutdown has ended, as when an operator
// withdraws a drain.
func (c *Core) Resume() Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != Ended {
		c.phase = Serving
	}
	return c.phase
}

// Step advances the shutdown and returns its phase and, when time alone can
// change the phase, the time of the next step.
func (c *Core) Step(now time.Time) (Phase, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.step(now) {
	case Grace:
		return c.phase, c.stopped.Add(c.grace)
	case Waiting:
		return c.phase, c.stopped.Add(c.grace + c.limit)
	}
	return c.phase, time.Time{}
}

func (c *Core) step(now time.Time) Phase {
	if c.phase == Grace && now.Sub(c.stopped) >= c.grace {
		c.phase = Waiting
	}
	if c.phase == Waiting && (len(c.inflight) == 0 || now.Sub(c.stopped) >= c.grace+c.limit) {
		c.end()
	}
	return c.phase
}

func (c *Core) end() {
	if c.phase != Ended {
		c.phase = Ended
		close(c.done)
	}
}

// Closing reports whether callers are asked to connect elsewhere.
func (c *Core) Closing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != Serving
}

// Done is closed when the shutdown has ended.
func (c *Core) Done() <-chan struct{} { return c.done }

// Cut lists the requests that are cut off, the oldest first; it is empty
// before the shutdown has ended.
func (c *Core) Cut() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != Ended {
		return nil
	}
	out := make([]Request, 0, len(c.inflight))
	for _, r := range c.inflight {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Request) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// Inflight counts the requests in flight by service and kind.
func (c *Core) Inflight() map[Group]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[Group]int{}
	for _, r := range c.inflight {
		out[Group{r.Service, r.Kind}]++
	}
	return out
}
