package limit

import (
	"slices"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
)

const (
	// decrease is the factor of the limit after an interval of overload.
	decrease = 0.9
	// increase is the step of the limit in shares of its floor, so that entries
	// with a small share move in small steps; in shares of the limit itself
	// while the targets report a use below idle.
	increase = 0.1
	idle     = 0.5
	// crowded is the mean reported use above which the targets are overloaded.
	// With a bound of 1 the use of single intervals passed it at 85% of the
	// capacity, and requests waited at the gate while slots were free.
	crowded = 1.5
	// busy is the share of the limit in use from which it may grow.
	busy = 0.8
	// sampleShift is the weight of one slot-time in the average of its kind.
	sampleShift = 6
	// guess is the slot-time of a kind that has not been measured.
	guess = 10 * time.Millisecond
	// queued bounds the waiting requests in multiples of the limit.
	queued = 64
	// interval is the time between two moves of the limit.
	interval = 100 * time.Millisecond
)

// Gate admits the requests of one service at one entry.
type Gate struct {
	patience time.Duration
	least    float64
	count    func(reason refuse.Reason)

	mu       sync.Mutex
	limit    float64
	floor    float64
	ceiling  float64
	inflight int
	queue    []*Ticket // by finish
	kinds    map[string]time.Duration
	mean     time.Duration
	stretch  float64 // time in flight over slot-time

	moved   time.Time
	used    float64 // sum of reported use in this interval
	reports int
	sheds   int
	peak    int // most in flight in this interval
}

// Option changes a setting of a Gate.
type Option func(*Gate)

// WithPatience bounds the time that a request may wait and run, whatever its
// deadline; under lasting overload the queue would otherwise grow to the
// deadline and each answer take that long.
func WithPatience(d time.Duration) Option { return func(g *Gate) { g.patience = d } }

// WithLeast sets how many requests the gate always admits. Where many entries
// share few slots, the fair share of one is less than its arrivals vary by, and
// the targets' own queues are the better place to wait.
func WithLeast(requests int) Option { return func(g *Gate) { g.least = float64(requests) } }

// WithCount sets the hook that counts refusals.
func WithCount(count func(reason refuse.Reason)) Option { return func(g *Gate) { g.count = count } }

// New returns a gate for the capacity that Capacity sets; until then it admits
// one request at a time.
func New(now time.Time, opts ...Option) *Gate {
	g := &Gate{
		patience: time.Second, count: func(refuse.Reason) {}, limit: 1, floor: 1, ceiling: 1,
		kinds: map[string]time.Duration{}, mean: guess, stretch: 1, moved: now,
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Capacity sets the slots in service and the number of entries that share them.
func (g *Gate) Capacity(now time.Time, slots float64, entries int) []*Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.ceiling <= 1
	g.floor = max(1, g.least, slots/float64(max(1, entries))/2)
	g.ceiling = max(1, g.least, slots)
	if first {
		g.limit = 2 * g.floor
	}
	g.limit = min(max(g.limit, g.floor), g.ceiling)
	return g.admit(now, nil)
}

// Limit returns the present limit and the requests in flight and waiting.
func (g *Gate) Limit() (limit float64, inflight, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit, g.inflight, len(g.queue)
}

// Ask decides about a request or queues it. The other tickets returned have
// been decided meanwhile. For a waiting ticket, Ticket.Verdict may change as
// soon as Ask returns.
func (g *Gate) Ask(now time.Time, t *Ticket) (Verdict, []*Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.expected = g.expected(t.Kind)
	t.finish = now.Add(g.patience)
	if t.Deadline.Before(t.finish) {
		t.finish = t.Deadline
	}
	if len(g.queue) == 0 && float64(g.inflight) < g.limit {
		if now.Add(t.expected / 2).After(t.Deadline) {
			g.refuse(t, refuse.Deadline)
		} else {
			g.start(now, t)
		}
		return t.Verdict, nil
	}
	at, _ := slices.BinarySearchFunc(g.queue, t, func(a, b *Ticket) int { return a.finish.Compare(b.finish) })
	g.queue = slices.Insert(g.queue, at, t)
	decided := g.admit(now, g.shed(now, nil))
	return t.Verdict, slices.DeleteFunc(decided, func(o *Ticket) bool { return o == t })
}

// Done ends an admitted request. Answered tells whether its slot-time counts.
func (g *Gate) Done(now time.Time, t *Ticket, answered bool) []*Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inflight--
	if answered {
		// Above its slots a target lets requests queue; that time belongs to the
		// load and not to the kind, and would make all kinds look alike.
		stretch := max(1, t.use)
		g.stretch += (stretch - g.stretch) / (1 << sampleShift)
		took := time.Duration(float64(now.Sub(t.began)) / stretch)
		old, ok := g.kinds[t.Kind]
		if !ok {
			old = took
		}
		g.kinds[t.Kind] = old + (took-old)>>sampleShift
		g.mean += (took - g.mean) >> sampleShift
	}
	return g.admit(now, nil)
}

// Leave takes a waiting request out of the queue. It reports false when the
// request has been decided already; an admitted one then still needs Done.
func (g *Gate) Leave(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := len(g.queue)
	g.queue = slices.DeleteFunc(g.queue, func(o *Ticket) bool { return o == t })
	return len(g.queue) < before
}

// Report takes in the load that a target reported in its response to a request:
// requests in flight there and its limit.
func (g *Gate) Report(t *Ticket, inflight, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	use := float64(inflight) / float64(max(1, limit))
	t.use = use
	g.used += use
	g.reports++
}

// Shed records that a target shed a request.
func (g *Gate) Shed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sheds++
}

// Tick moves the limit and refuses what can no longer end in time.
func (g *Gate) Tick(now time.Time) []*Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.moved) >= interval {
		g.move(now)
	}
	return g.admit(now, g.shed(now, nil))
}

func (g *Gate) move(now time.Time) {
	mean := g.used / float64(max(1, g.reports))
	switch {
	case mean > crowded || g.sheds > 0:
		g.limit = max(g.floor, g.limit*decrease)
	case float64(g.peak) >= busy*g.limit:
		step := g.floor * increase
		if mean < idle {
			step = max(step, g.limit*increase)
		}
		g.limit = min(g.ceiling, g.limit+step)
	}
	g.moved, g.used, g.reports, g.sheds, g.peak = now, 0, 0, 0, g.inflight
}

func (g *Gate) expected(kind string) time.Duration {
	if d, ok := g.kinds[kind]; ok {
		return d
	}
	return g.mean
}

func (g *Gate) start(now time.Time, t *Ticket) {
	t.Verdict, t.began = Admitted, now
	g.inflight++
	g.peak = max(g.peak, g.inflight)
}

func (g *Gate) refuse(t *Ticket, reason refuse.Reason) {
	t.Verdict, t.Reason = Refused, reason
	g.count(reason)
}

// admit starts waiting requests while the limit allows.
func (g *Gate) admit(now time.Time, decided []*Ticket) []*Ticket {
	for len(g.queue) > 0 && float64(g.inflight) < g.limit {
		t := g.queue[0]
		g.queue = slices.Delete(g.queue, 0, 1)
		if now.Add(t.expected).After(t.finish) {
			g.refuse(t, refuse.Deadline)
		} else {
			g.start(now, t)
		}
		decided = append(decided, t)
	}
	return decided
}

// shed refuses waiting requests until each of the others is expected to end in
// time and the queue is within its bound.
func (g *Gate) shed(now time.Time, decided []*Ticket) []*Ticket {
	work := time.Duration(0) // slot-time ahead in the queue
	for i := 0; i < len(g.queue); i++ {
		t := g.queue[i]
		wait := time.Duration(float64(work) * g.stretch / g.limit)
		full := i >= int(queued*g.limit)
		if !full && !now.Add(wait+time.Duration(float64(t.expected)*g.stretch)).After(t.finish) {
			work += t.expected
			continue
		}
		worst := i
		for j := range i {
			if g.queue[j].density() < g.queue[worst].density() {
				worst = j
			}
		}
		out := g.queue[worst]
		reason := refuse.Overload
		if worst == i && wait == 0 {
			reason = refuse.Deadline
		}
		g.refuse(out, reason)
		decided = append(decided, out)
		g.queue = slices.Delete(g.queue, worst, worst+1)
		if worst < i {
			work -= out.expected
			i-- // the present request moved up by one and is judged again
		}
		i--
	}
	return decided
}
