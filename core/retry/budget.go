package retry

import (
	"sync/atomic"
	"time"
)

const (
	// tokenUnit is one token; tokens are counted in thousandths.
	tokenUnit = 1000
	// refillInterval is the time in which the reserve gains one token.
	refillInterval = time.Second
	// maxTokens bounds the tokens, so that a long period without failures does
	// not allow a burst of retries.
	maxTokens = 100 * tokenUnit
	// maxAttempts bounds the attempts per request, including the first one.
	maxAttempts = 3
	// hedgePercentile is the latency percentile after which a hedge is sent.
	hedgePercentile = 0.95
	// percentileStep is the relative step of the percentile estimate per sample. The
	// estimate converges within about a hundred samples to an error of some 10%.
	percentileStep = 0.05
	// minHedgeDelay prevents hedges caused by variation below the latency of the
	// network.
	minHedgeDelay = 2 * time.Millisecond
)

// Budget bounds the extra attempts (retries and hedges) of one service. All
// methods are safe for concurrent use.
type Budget struct {
	ratio      int64 // thousandths of a token per request
	reserve    int64
	onDecision func(reason Reason, decision Decision)
	epoch      time.Time
	window     *window // replaces the tokens unless nil

	requestsWaiting atomic.Bool
	tokens          atomic.Int64
	lastRefill      atomic.Int64 // time of the last refill since the epoch
	percentile      atomic.Int64 // estimate of the 95th percentile in nanoseconds
}

// Option configures a Budget.
type Option func(*Budget)

// WithRatio sets the number of extra attempts per request.
func WithRatio(ratio float64) Option { return func(b *Budget) { b.ratio = int64(ratio * tokenUnit) } }

// WithReserve sets the number of tokens up to which the budget refills with
// time.
func WithReserve(tokens int) Option { return func(b *Budget) { b.reserve = int64(tokens) * tokenUnit } }

// WithWindow bounds the extra attempts of all entries in any period of length
// span to a share of the requests plus a slack. It replaces ratio and reserve.
func WithWindow(span time.Duration, share, slack float64) Option {
	return func(b *Budget) { b.window = newWindow(span, share, slack) }
}

// WithRounding sets what is added to the limit of a window before it is rounded
// down, in [0, 1). Entries with evenly distributed values use the limits of all of
// them on average, also if the limit of each entry is less than one attempt. It
// must follow WithWindow.
func WithRounding(offset float64) Option {
	return func(b *Budget) { b.window.rounding = offset }
}

// WithDecisionHook sets the function that is called for every decision of Allow.
func WithDecisionHook(count func(reason Reason, decision Decision)) Option {
	return func(b *Budget) { b.onDecision = count }
}

// New returns a budget with a full reserve.
func New(now time.Time, opts ...Option) *Budget {
	b := &Budget{ratio: tokenUnit / 10, reserve: 5 * tokenUnit, onDecision: func(Reason, Decision) {}, epoch: now}
	for _, opt := range opts {
		opt(b)
	}
	b.tokens.Store(b.reserve)
	return b
}

// SetBusy sets whether requests wait for admission. While they do, no hedges are
// allowed, because these would take the slots of requests that have not run yet.
func (b *Budget) SetBusy(waiting bool) { b.requestsWaiting.Store(waiting) }

// SetEntries sets the number of entries that share the slack of a window.
func (b *Budget) SetEntries(entries int) {
	if b.window != nil {
		b.window.setEntries(entries)
	}
}

// AddRequestAt is like AddRequest, but also works with a window.
func (b *Budget) AddRequestAt(now time.Time) {
	if b.window != nil {
		b.window.addRequest(now.Sub(b.epoch))
		return
	}
	b.AddRequest()
}

// AddRequest adds the tokens of one request. It has no effect on a window.
func (b *Budget) AddRequest() {
	if b.tokens.Add(b.ratio) > maxTokens {
		b.tokens.Store(maxTokens)
	}
}

// Allow reports whether another attempt may be made now, and if so takes its
// token. attempts is the number of attempts already made, left the time until
// the deadline.
func (b *Budget) Allow(now time.Time, reason Reason, attempts int, left time.Duration) bool {
	return b.AllowReserved(now, reason, attempts, left, 0)
}

// AllowReserved is like Allow, but leaves a part of a window to others: the reserve is
// the number of extra attempts per request that more urgent requests need. It has no
// effect without a window.
func (b *Budget) AllowReserved(now time.Time, reason Reason, attempts int, left time.Duration, reserve float64) bool {
	d := b.decide(now, reason, attempts, left, reserve)
	b.onDecision(reason, d)
	return d == Allowed
}

func (b *Budget) decide(now time.Time, reason Reason, attempts int, left time.Duration, reserve float64) Decision {
	switch {
	case reason == ServiceFull, reason == Hedging && b.requestsWaiting.Load():
		return AddsLoad
	case attempts >= maxAttempts:
		return AttemptLimit
	case left <= 0 || left < time.Duration(b.percentile.Load())/4:
		return PastDeadline
	}
	if b.window != nil {
		if !b.window.allow(now.Sub(b.epoch), reserve) {
			return Exhausted
		}
		return Allowed
	}
	b.refill(now)
	for {
		available := b.tokens.Load()
		if available < tokenUnit {
			return Exhausted
		}
		if b.tokens.CompareAndSwap(available, available-tokenUnit) {
			return Allowed
		}
	}
}

// refill adds the tokens gained since the last refill, up to the reserve.
func (b *Budget) refill(now time.Time) {
	elapsed, previous := int64(now.Sub(b.epoch)), b.lastRefill.Load()
	gained := (elapsed - previous) * tokenUnit / int64(refillInterval)
	if gained <= 0 || !b.lastRefill.CompareAndSwap(previous, elapsed) {
		return
	}
	if available := b.tokens.Load(); available < b.reserve {
		b.tokens.Add(min(gained, b.reserve-available))
	}
}

// ObserveLatency updates the percentile with the latency of an answered attempt
// or the age of an abandoned one. Without the losers of hedges, the estimate
// would miss the slow attempts and decrease, and the number of hedges would grow
// until the budget is used up.
func (b *Budget) ObserveLatency(latency time.Duration) {
	// A concurrent update may be lost, which costs one sample.
	p := b.percentile.Load()
	switch {
	case p == 0:
		p = 2 * int64(latency)
	case int64(latency) > p:
		p += max(1, int64(percentileStep*hedgePercentile*float64(p)))
	default:
		p -= int64(percentileStep * (1 - hedgePercentile) * float64(p))
	}
	b.percentile.Store(p)
}

// HedgeDelay returns the delay after which a hedge is worth its cost, and false
// as long as no latency is known.
func (b *Budget) HedgeDelay() (time.Duration, bool) {
	p := time.Duration(b.percentile.Load())
	return max(p, minHedgeDelay), p > 0
}
