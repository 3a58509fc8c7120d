package retry

import (
	"sync/atomic"
	"time"
)

const (
	// unit is one token; tokens are kept in thousandths.
	unit = 1000
	// refill is the time in which the reserve gains one token.
	refill = time.Second
	// saved bounds the tokens, so that a quiet hour does not pay for a storm.
	saved = 100 * unit
	// most is the number of attempts per request, the first one included.
	most = 3
	// hedgeAt is the percentile after which a hedge is sent.
	hedgeAt = 0.95
	// pace is the relative step of the percentile estimate per sample at the
	// rare side; it settles within about a hundred samples to some 10%.
	pace = 0.05
	// hedgeLeast keeps hedges from chasing noise below the network's latency.
	hedgeLeast = 2 * time.Millisecond
)

// Budget bounds the further attempts of one service.
type Budget struct {
	share   int64 // thousandths of a token per request
	reserve int64
	count   func(reason Reason, verdict Verdict)
	epoch   time.Time
	window  *window // in place of the tokens, nil: tokens

	busy     atomic.Bool
	tokens   atomic.Int64
	refilled atomic.Int64 // time of the last refill since the epoch
	quantile atomic.Int64 // estimate of the 95th percentile in nanoseconds
}

// Option changes a setting of a Budget.
type Option func(*Budget)

// WithShare sets the further attempts per request.
func WithShare(share float64) Option { return func(b *Budget) { b.share = int64(share * unit) } }

// WithReserve sets the tokens that refill with time.
func WithReserve(tokens int) Option { return func(b *Budget) { b.reserve = int64(tokens) * unit } }

// WithWindow bounds the further attempts in any span of time, over all entries,
// to a share of the requests plus a slack. It replaces share and reserve.
func WithWindow(span time.Duration, share, slack float64) Option {
	return func(b *Budget) { b.window = newWindow(span, share, slack) }
}

// WithCount sets the hook that counts wanted attempts.
func WithCount(count func(reason Reason, verdict Verdict)) Option {
	return func(b *Budget) { b.count = count }
}

// New returns a budget that holds its reserve.
func New(now time.Time, opts ...Option) *Budget {
	b := &Budget{share: unit / 10, reserve: 5 * unit, count: func(Reason, Verdict) {}, epoch: now}
	for _, opt := range opts {
		opt(b)
	}
	b.tokens.Store(b.reserve)
	return b
}

// Busy tells whether requests wait for admission. Hedges would then take the
// slots of requests that have not run at all.
func (b *Budget) Busy(waiting bool) { b.busy.Store(waiting) }

// Divide sets the number of entries that share the slack of a window.
func (b *Budget) Divide(entries int) {
	if b.window != nil {
		b.window.divide(entries)
	}
}

// RequestAt is Request for a budget with a window.
func (b *Budget) RequestAt(now time.Time) {
	if b.window != nil {
		b.window.request(now.Sub(b.epoch))
		return
	}
	b.Request()
}

// Request adds the share of one request.
func (b *Budget) Request() {
	if b.tokens.Add(b.share) > saved {
		b.tokens.Store(saved)
	}
}

// Allow reports whether a further attempt may be made now, and takes its token.
// Attempts is the number already made, left the time to the deadline.
func (b *Budget) Allow(now time.Time, reason Reason, attempts int, left time.Duration) bool {
	v := b.verdict(now, reason, attempts, left)
	b.count(reason, v)
	return v == Allowed
}

func (b *Budget) verdict(now time.Time, reason Reason, attempts int, left time.Duration) Verdict {
	switch {
	case reason == Full, reason == Hedging && b.busy.Load():
		return Useless
	case attempts >= most:
		return Enough
	case left <= 0 || left < time.Duration(b.quantile.Load())/4:
		return Late
	}
	if b.window != nil {
		if !b.window.allow(now.Sub(b.epoch)) {
			return Exhausted
		}
		return Allowed
	}
	b.refill(now)
	for {
		have := b.tokens.Load()
		if have < unit {
			return Exhausted
		}
		if b.tokens.CompareAndSwap(have, have-unit) {
			return Allowed
		}
	}
}

// refill adds what the reserve has gained with time.
func (b *Budget) refill(now time.Time) {
	at, last := int64(now.Sub(b.epoch)), b.refilled.Load()
	gained := (at - last) * unit / int64(refill)
	if gained <= 0 || !b.refilled.CompareAndSwap(last, at) {
		return
	}
	if have := b.tokens.Load(); have < b.reserve {
		b.tokens.Add(min(gained, b.reserve-have))
	}
}

// Observe takes the latency of an answered attempt, or the age of one given up,
// into the percentile. Without the losers of hedges the estimate would lack the
// slow attempts, fall, and hedge more and more until the budget is gone.
func (b *Budget) Observe(latency time.Duration) {
	// A lost update under contention costs one sample of an estimate.
	q := b.quantile.Load()
	switch {
	case q == 0:
		q = 2 * int64(latency)
	case int64(latency) > q:
		q += max(1, int64(pace*hedgeAt*float64(q)))
	default:
		q -= int64(pace * (1 - hedgeAt) * float64(q))
	}
	b.quantile.Store(q)
}

// Hedge returns the delay after which a second attempt is worth its cost, and
// false while it is unknown.
func (b *Budget) Hedge() (time.Duration, bool) {
	q := time.Duration(b.quantile.Load())
	return max(q, hedgeLeast), q > 0
}
