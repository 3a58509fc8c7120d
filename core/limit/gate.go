package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/room"
)

const (
	// decreaseFactor is applied to the limit after an interval with overload.
	decreaseFactor = 0.9
	// increaseShare is the step by which the limit grows. It is a share of the lower
	// bound, so that entries with a small share of the slots take small steps, or
	// of the limit itself while the targets report a utilization below lowUse.
	increaseShare = 0.1
	lowUse        = 0.5
	// overloadUse is the mean reported utilization above which the targets are
	// overloaded. With a bound of 1, single intervals exceeded it at 85% of the
	// capacity, and requests waited at the gate while slots were free.
	overloadUse = 1.5
	// growthShare is the share of the limit that must be in use for it to grow.
	growthShare = 0.8
	// sampleShift sets the weight of one sample in the moving averages, 1/2^6.
	sampleShift = 6
	// defaultSlotTime is the initial mean slot-time, which applies to kinds without
	// samples.
	defaultSlotTime = 10 * time.Millisecond
	// queueFactor bounds the waiting requests in multiples of the limit.
	queueFactor = 64
	// adjustInterval is the minimum time between two adjustments of the limit.
	adjustInterval = 100 * time.Millisecond
)

// Gate limits the concurrent requests of one service at one entry. Its methods
// are safe for concurrent use.
type Gate struct {
	maxDuration time.Duration
	minLimit    float64
	onRefusal   func(reason refuse.Reason)
	onEvent     func(event Event)
	pacing      bool

	mu            sync.Mutex
	limit         float64
	lowerBound    float64
	upperBound    float64
	inflight      int
	queue         []*Ticket // in the order of Ticket.compare
	room          room.Estimator
	pacer         *room.Pacer
	lastProbe     time.Time // of a tier of which nothing was known
	probeCredit   float64   // such requests that may be sent, at most one
	slotTimes     map[string]time.Duration
	meanSlotTime  time.Duration
	latencyFactor float64 // time in flight over slot-time

	lastAdjusted time.Time
	reportedUse  float64 // sum of the utilizations reported in this interval
	reports      int
	sheds        int
	peakInflight int // maximum in flight in this interval
}

// Option configures a Gate.
type Option func(*Gate)

// WithMaxDuration bounds the time that a request may wait and run, even if its
// deadline is later. Otherwise, under lasting overload, the queue would grow
// until every answer took as long as the deadline allows.
func WithMaxDuration(d time.Duration) Option { return func(g *Gate) { g.maxDuration = d } }

// WithMinLimit sets a lower bound of the limit. Where many entries share few
// slots, the fair share of one entry is smaller than the variation of its
// arrivals, and requests should rather wait in the queues of the targets.
func WithMinLimit(requests int) Option { return func(g *Gate) { g.minLimit = float64(requests) } }

// WithRefusalHook sets the function that is called for every refusal.
func WithRefusalHook(f func(reason refuse.Reason)) Option { return func(g *Gate) { g.onRefusal = f } }

// WithEventHook sets the function that is called for what the gate does because the
// targets queue requests.
func WithEventHook(f func(event Event)) Option { return func(g *Gate) { g.onEvent = f } }

// WithoutPacing returns to a gate that limits only the requests in flight.
func WithoutPacing() Option { return func(g *Gate) { g.pacing = false } }

// New returns a gate that admits one request at a time until SetCapacity is
// called.
func New(now time.Time, opts ...Option) *Gate {
	g := &Gate{
		maxDuration: time.Second, onRefusal: func(refuse.Reason) {}, onEvent: func(Event) {}, pacing: true,
		pacer: room.NewPacer(now), probeCredit: 1, limit: 1, lowerBound: 1, upperBound: 1,
		slotTimes: map[string]time.Duration{}, meanSlotTime: defaultSlotTime, latencyFactor: 1, lastAdjusted: now,
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// SetCapacity sets the number of slots in service and the number of entries that
// share them. It returns the tickets that were decided.
func (g *Gate) SetCapacity(now time.Time, slots float64, entries int) []*Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.upperBound <= 1
	g.lowerBound = max(1, g.minLimit, slots/float64(max(1, entries))/2)
	g.upperBound = max(1, g.minLimit, slots)
	if first {
		g.limit = 2 * g.lowerBound
	}
	g.limit = min(max(g.limit, g.lowerBound), g.upperBound)
	return g.admitWaiting(now, nil)
}

// Limit returns the current limit and the number of requests in flight and
// waiting.
func (g *Gate) Limit() (limit float64, inflight, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit, g.inflight, len(g.queue)
}

// Acquire admits, refuses or queues a request. It also returns the other tickets
// that were decided. If the request waits, Ticket.Decision may change as soon as
// Acquire returns.
func (g *Gate) Acquire(now time.Time, t *Ticket) (Decision, []*Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.slotTime = g.expectedSlotTime(t.Kind)
	t.latestEnd = now.Add(g.maxDuration)
	if t.Deadline.Before(t.latestEnd) {
		t.latestEnd = t.Deadline
	}
	var e room.Estimate
	if g.pacing {
		e = g.room.At(now)
		g.pacer.Arrive(now, &e, t.Rank)
		if room.Limits(&e, g.held()) {
			return g.acquirePaced(now, &e, t)
		}
	}
	if len(g.queue) == 0 && float64(g.inflight) < g.limit {
		if now.Add(t.slotTime / 2).After(t.Deadline) {
			g.refuse(now, t, refuse.Deadline)
		} else {
			if g.pacing {
				g.pacer.Take(now, &e, t.Rank, 0)
			}
			g.startRequest(now, t)
		}
		return t.Decision, nil
	}
	g.enqueue(t)
	decided := g.admitWaiting(now, g.shedWaiting(now, nil))
	return t.Decision, without(decided, t)
}

func (g *Gate) enqueue(t *Ticket) {
	// A request is placed behind those that it equals.
	index, _ := slices.BinarySearchFunc(g.queue, t, func(a, b *Ticket) int { return cmp.Or(a.compare(b), -1) })
	g.queue = slices.Insert(g.queue, index, t)
}

// Release ends an admitted request and returns the tickets that were decided.
// The duration is used as a slot-time sample only if the request was answered.
func (g *Gate) Release(now time.Time, t *Ticket, answered bool) []*Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inflight--
	if answered {
		if g.pacing {
			e := g.room.At(now)
			g.pacer.Answer(now, &e)
		}
		// A target with more requests than slots queues them. That time depends on
		// the load and not on the kind, and would make all kinds look alike.
		latencyFactor := max(1, t.targetUse)
		g.latencyFactor += (latencyFactor - g.latencyFactor) / (1 << sampleShift)
		g.room.RecordAnswer(now, now.Sub(t.admittedAt), t.targetUse)
		sample := time.Duration(float64(now.Sub(t.admittedAt)) / latencyFactor)
		previous, ok := g.slotTimes[t.Kind]
		if !ok {
			previous = sample
		}
		g.slotTimes[t.Kind] = previous + (sample-previous)>>sampleShift
		g.meanSlotTime += (sample - g.meanSlotTime) >> sampleShift
	}
	return g.admitWaiting(now, nil)
}

// Cancel removes a waiting request from the queue. It reports false if the
// request has already been decided; an admitted one then still needs Release.
func (g *Gate) Cancel(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := len(g.queue)
	g.queue = slices.DeleteFunc(g.queue, func(o *Ticket) bool { return o == t })
	return len(g.queue) < before
}

// RecordLoad records the load that a target reported in its response to a
// request: its requests in flight and its limit.
func (g *Gate) RecordLoad(t *Ticket, inflight, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	targetUse := float64(inflight) / float64(max(1, limit))
	t.targetUse = targetUse
	g.reportedUse += targetUse
	g.reports++
}

// RecordShed records that a target shed a request.
func (g *Gate) RecordShed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sheds++
}

// Tick adjusts the limit, refuses waiting requests that can no longer end in
// time and returns the tickets that were decided.
func (g *Gate) Tick(now time.Time) []*Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastAdjusted) >= adjustInterval {
		g.adjust(now)
	}
	return g.admitWaiting(now, g.shedWaiting(now, g.refuseHeld(now)))
}

func (g *Gate) adjust(now time.Time) {
	meanUse := g.reportedUse / float64(max(1, g.reports))
	switch {
	case meanUse > overloadUse || g.sheds > 0:
		g.limit = max(g.lowerBound, g.limit*decreaseFactor)
	case float64(g.peakInflight) >= growthShare*g.limit:
		step := g.lowerBound * increaseShare
		if meanUse < lowUse {
			step = max(step, g.limit*increaseShare)
		}
		g.limit = min(g.upperBound, g.limit+step)
	}
	g.lastAdjusted, g.reportedUse, g.reports, g.sheds, g.peakInflight = now, 0, 0, 0, g.inflight
}

func (g *Gate) expectedSlotTime(kind string) time.Duration {
	if d, ok := g.slotTimes[kind]; ok {
		return d
	}
	return g.meanSlotTime
}

func (g *Gate) startRequest(now time.Time, t *Ticket) {
	if t.held {
		g.onEvent(Released)
	}
	t.Decision, t.admittedAt = Admitted, now
	g.inflight++
	g.peakInflight = max(g.peakInflight, g.inflight)
}

func (g *Gate) refuse(now time.Time, t *Ticket, reason refuse.Reason) {
	t.Decision, t.Reason = Refused, reason
	if e := g.room.At(now); g.pacing && e.Known() {
		t.RetryAfter = g.pacer.RetryAfter(now, &e, t.Rank, g.ahead(t.Rank))
	}
	g.onRefusal(reason)
}

// admitWaiting starts waiting requests as long as the limit allows. It refuses
// those that can no longer end in time.
func (g *Gate) admitWaiting(now time.Time, decided []*Ticket) []*Ticket {
	if len(g.queue) == 0 {
		return decided
	}
	e := g.room.At(now)
	for i := 0; i < len(g.queue) && float64(g.inflight) < g.limit; {
		t := g.queue[i]
		if g.pacing && !g.pacer.Take(now, &e, t.Rank, g.held()) {
			i = g.nextRank(i)
			continue
		}
		g.queue = slices.Delete(g.queue, i, i+1)
		switch {
		case t.held && now.Add(t.expectedTime(&e)).After(t.Deadline):
			g.turnAway(now, t)
		case now.Add(t.slotTime).After(t.latestEnd):
			g.refuse(now, t, refuse.Deadline)
		default:
			g.startRequest(now, t)
		}
		decided = append(decided, t)
	}
	return decided
}

// shedWaiting refuses waiting requests until all others are expected to end in
// time and the queue is within its bound.
func (g *Gate) shedWaiting(now time.Time, decided []*Ticket) []*Ticket {
	queuedTime := time.Duration(0) // slot-time ahead in the queue
	for i := 0; i < len(g.queue); i++ {
		t := g.queue[i]
		wait := time.Duration(float64(queuedTime) * g.latencyFactor / g.limit)
		overBound := i >= int(queueFactor*g.limit)
		if !overBound && !now.Add(wait+time.Duration(float64(t.slotTime)*g.latencyFactor)).After(t.latestEnd) {
			queuedTime += t.slotTime
			continue
		}
		lowest := i
		for j := range i {
			if g.queue[j].queueRank == t.queueRank && g.queue[j].density() < g.queue[lowest].density() {
				lowest = j
			}
		}
		victim := g.queue[lowest]
		reason := refuse.Overload
		if lowest == i && wait == 0 {
			reason = refuse.Deadline
		}
		g.refuse(now, victim, reason)
		decided = append(decided, victim)
		g.queue = slices.Delete(g.queue, lowest, lowest+1)
		if lowest < i {
			queuedTime -= victim.slotTime
			i-- // the current request moved up by one and is checked again
		}
		i--
	}
	return decided
}
