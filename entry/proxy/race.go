package proxy

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
)

// maxParallel is the maximum number of attempts of one request: the first one,
// the retries, a hedge and one on a new connection.
const maxParallel = 1 + maxRetries + 2

// race sends a repeatable request to targets, with retries, a hedge and a probe,
// and returns the first successful attempt.
type race struct {
	call           *call
	ctx            context.Context
	results        chan result
	informationals chan informational

	mu      sync.Mutex
	decided bool

	pending    []*attempt
	tried      []netip.AddrPort
	started    int      // number of attempts started
	nonRetries int      // hedges and probes, which do not count as retries
	fallback   *attempt // complete response with a 5xx status, used if no attempt succeeds
	silent     *attempt // waits on a reused connection while probe uses a new one
	probe      *attempt
}

type result struct {
	attempt *attempt
	err     error
}

// informational is a 1xx response.
type informational struct {
	status int
	header http.Header
}

func newRace(ctx context.Context, c *call) *race {
	return &race{call: c, ctx: ctx, results: make(chan result, maxParallel), informationals: make(chan informational, maxParallel)}
}

func (r *race) run() (*attempt, error) {
	c := r.call
	hooks := &c.proxy.hooks
	if !r.startNext() {
		return nil, errNoTarget
	}
	hedgeTimer, stopHedgeTimer := startTimer(c.request.Kind.Hedge, func() (time.Duration, bool) {
		return hooks.HedgeDelay(c.request.Service, c.request.Kind)
	})
	defer stopHedgeTimer()
	probeTimer, stopProbeTimer := startTimer(true, func() (time.Duration, bool) {
		return hooks.ProbeDelay(c.request.Service, c.request.Kind)
	})
	defer stopProbeTimer()
	defer r.cancelLosers()
	for {
		select {
		case n := <-r.informationals:
			c.forwardInformational(n.status, n.header)
		case <-hedgeTimer:
			hedgeTimer = nil
			r.hedge()
		case <-probeTimer:
			probeTimer = nil
			r.probeSilent()
		case result := <-r.results:
			r.forwardQueued() // an attempt queues its 1xx responses before its result
			r.remove(result.attempt)
			if result.err == nil && r.retryFaulty(result.attempt) {
				continue
			}
			if result.err == nil {
				r.closeSilent(result.attempt)
				return result.attempt, nil
			}
			c.recordFailure(result.attempt, result.err)
			if result.attempt == r.probe && c.proxy.rules.Unsent(result.err) {
				r.nonRetries-- // counted as unsent
			}
			if r.ctx.Err() != nil || !r.retry(result.err) && len(r.pending) == 0 {
				if r.fallback != nil {
					return r.fallback, nil
				}
				// A target may run an attempt that is cancelled before its result is
				// known.
				c.recordAbandoned(len(r.pending))
				return nil, result.err
			}
		}
	}
}

// startTimer returns the channel and stop function of a timer for the duration
// that after returns, or a nil channel if no timer is wanted.
func startTimer(wanted bool, after func() (time.Duration, bool)) (<-chan time.Time, func() bool) {
	if wanted {
		if d, ok := after(); ok {
			t := time.NewTimer(d)
			return t.C, t.Stop
		}
	}
	return nil, func() bool { return true }
}

// startNext starts an attempt at a target that was not tried yet.
func (r *race) startNext() bool {
	hooks := &r.call.proxy.hooks
	target, ok := hooks.Pick(r.call.request, r.tried, hooks.Now())
	if !ok {
		return false
	}
	r.start(target, false)
	return true
}

func (r *race) start(target Target, newConnection bool) *attempt {
	a := r.call.attempt(r.ctx, target, r.started)
	a.newConnection = newConnection
	a.onInformational = r.queueInformational
	r.started++
	r.tried = append(r.tried, target.Address)
	r.pending = append(r.pending, a)
	go func() { r.deliver(a, a.doContained()) }()
	return a
}

// queueInformational hands a 1xx response to run. It drops the response if the
// queue is full.
func (r *race) queueInformational(status int, header http.Header) {
	select {
	case r.informationals <- informational{status, header}:
	default: // a 1xx response is only a hint
	}
}

// forwardQueued forwards the 1xx responses in the queue to the caller.
func (r *race) forwardQueued() {
	for {
		select {
		case n := <-r.informationals:
			r.call.forwardInformational(n.status, n.header)
		default:
			return
		}
	}
}

// deliver hands a result to run, or drops a response that arrives after the race
// is decided.
func (r *race) deliver(a *attempt, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.decided {
		r.results <- result{a, err}
		return
	}
	if err == nil {
		a.drop()
	}
}

// cancelLosers ends the race: it cancels the pending attempts and drops their
// responses.
func (r *race) cancelLosers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decided = true
	for _, a := range r.pending {
		a.abandon(Cancelled)
	}
	for {
		select {
		case late := <-r.results:
			if late.err == nil {
				late.attempt.drop()
			}
		default:
			return
		}
	}
}

func (r *race) remove(a *attempt) {
	for i, other := range r.pending {
		if other == a {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			return
		}
	}
}

// retryFaulty reports whether another attempt, pending or started here, may
// replace a complete 5xx response. The response is kept as the fallback.
func (r *race) retryFaulty(a *attempt) bool {
	if !a.faulty() || !a.prefetchComplete || r.ctx.Err() != nil {
		return false
	}
	if len(r.pending) == 0 && !r.startExtra(RetryFaulty) {
		return false
	}
	a.end(Faulty, errServerError)
	r.fallback = a
	return true
}

// retry starts another attempt after a failed one, and reports whether it did.
// The budget is not charged if no target is left.
func (r *race) retry(err error) bool {
	reason, ok := r.call.retryReason(err)
	return ok && r.startExtra(reason)
}

// startExtra starts an attempt at another target if there is one and the budget
// allows it, and reports whether it did.
func (r *race) startExtra(reason Reason) bool {
	hooks := &r.call.proxy.hooks
	if !r.call.mayAttempt(r.started - r.nonRetries) {
		return false
	}
	target, ok := hooks.Pick(r.call.request, r.tried, hooks.Now())
	r.call.noTargetLeft = !ok
	if !ok || !r.call.takeRetryBudget(reason) {
		return false
	}
	if r.call.request.Kind.MaxAttempts == 0 && (reason == RetryHedge || reason == RetrySilent) {
		r.nonRetries++
	}
	r.start(target, false)
	return true
}

// hedge sends the request to a second target if exactly one attempt is pending.
func (r *race) hedge() {
	if len(r.pending) == 1 {
		r.startExtra(RetryHedge)
	}
}

// probeSilent sends a request again that got no response on a reused connection:
// to the same target, on a new connection. Another entry would send it to further
// targets.
func (r *race) probeSilent() {
	hooks := &r.call.proxy.hooks
	for _, a := range r.pending {
		if a.reused.Load() && !a.info.Target.Relay && hooks.MayResend(a.info.Target, hooks.Now()) && r.call.takeRetryBudget(RetrySilent) {
			r.nonRetries++ // not a retry: it goes to the same target
			r.silent, r.probe = a, r.start(a.info.Target, true)
			return
		}
	}
}

// closeSilent closes the old connections of a target if the probe was successful:
// they are silent, while the target itself is healthy.
func (r *race) closeSilent(a *attempt) {
	if r.probe == nil || a != r.probe {
		return
	}
	for _, other := range r.pending {
		if other == r.silent {
			other.abandon(Silenced)
			closed := 1 + r.call.proxy.pool.CloseIdleBefore(a.info.Target.Address, a.info.Start)
			r.call.proxy.hooks.Silent(a.info.Target, closed)
		}
	}
}

// forwardInformational forwards a 1xx response to the caller.
func (c *call) forwardInformational(status int, header http.Header) {
	h := c.w.Header()
	for name, values := range header {
		h[name] = values
	}
	removeHopHeaders(h)
	c.w.WriteHeader(status)
	clear(h)
}

// errNoControl is the error of the default Claim and Close hooks, which have no
// control to send to.
var errNoControl = &refuse.Error{Reason: refuse.NoQuorum, Run: refuse.NotRun, Detail: "no control replica is linked"}
