package proxy

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
)

// maxParallel bounds the attempts of one request: the first, the retries, a
// hedge and one on a new connection.
const maxParallel = 1 + maxRetries + 2

// race carries a request that may be repeated to one of several targets.
type race struct {
	call    *call
	ctx     context.Context
	results chan result
	notices chan notice

	mu      sync.Mutex
	decided bool

	pending []*attempt
	tried   []netip.AddrPort
	number  int
	hedges  int      // attempts beside the retries
	failed  *attempt // answered that it failed; the answer if nothing better comes
	silent  *attempt // waits on an old connection while probe uses a new one
	probe   *attempt
}

type result struct {
	attempt *attempt
	err     error
}

// notice is a 1xx response.
type notice struct {
	status int
	header http.Header
}

func newRace(ctx context.Context, c *call) *race {
	return &race{call: c, ctx: ctx, results: make(chan result, maxParallel), notices: make(chan notice, maxParallel)}
}

func (r *race) run() (*attempt, error) {
	c := r.call
	hooks := &c.proxy.hooks
	if !r.next() {
		return nil, errNoTarget
	}
	hedge, stopHedge := timer(c.request.Kind.Hedge, func() (time.Duration, bool) {
		return hooks.Hedge(c.request.Service, c.request.Kind)
	})
	defer stopHedge()
	patience, stopPatience := timer(true, func() (time.Duration, bool) {
		return hooks.Patience(c.request.Service, c.request.Kind)
	})
	defer stopPatience()
	defer r.decide()
	for {
		select {
		case n := <-r.notices:
			c.inform(n.status, n.header)
		case <-hedge:
			hedge = nil
			r.hedge()
		case <-patience:
			patience = nil
			r.doubt()
		case result := <-r.results:
			r.remove(result.attempt)
			if result.err == nil && r.replace(result.attempt) {
				continue
			}
			if result.err == nil {
				r.won(result.attempt)
				return result.attempt, nil
			}
			c.blame(result.err)
			if r.ctx.Err() != nil || !r.retry(result.err) && len(r.pending) == 0 {
				if r.failed != nil {
					return r.failed, nil
				}
				// An attempt that is cancelled before its result is known may run.
				c.pend(len(r.pending))
				return nil, result.err
			}
		}
	}
}

// timer returns a channel that fires after the time that after returns.
func timer(wanted bool, after func() (time.Duration, bool)) (<-chan time.Time, func() bool) {
	if wanted {
		if d, ok := after(); ok {
			t := time.NewTimer(d)
			return t.C, t.Stop
		}
	}
	return nil, func() bool { return true }
}

// next starts an attempt at a target that was not tried.
func (r *race) next() bool {
	hooks := &r.call.proxy.hooks
	target, ok := hooks.Pick(r.call.request, r.tried, hooks.Now())
	if !ok {
		return false
	}
	r.start(target, false)
	return true
}

func (r *race) start(target Target, fresh bool) *attempt {
	a := r.call.attempt(r.ctx, target, r.number)
	a.fresh = fresh
	a.informed = r.notify
	r.number++
	r.tried = append(r.tried, target.Address)
	r.pending = append(r.pending, a)
	go func() { r.deliver(a, a.do()) }()
	return a
}

func (r *race) notify(status int, header http.Header) {
	select {
	case r.notices <- notice{status, header}:
	default: // hints, not part of the response
	}
}

// deliver passes a result on, or drops a response that came too late.
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

// decide cancels the attempts that did not win.
func (r *race) decide() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decided = true
	for _, a := range r.pending {
		a.give(Cancelled)
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

// replace reports whether another attempt may give a better answer than this
// one, with which the target tells that it failed. The answer is kept.
func (r *race) replace(a *attempt) bool {
	if !a.faulty() || !a.whole || r.ctx.Err() != nil {
		return false
	}
	if len(r.pending) == 0 && !r.extra(RetryFaulty) {
		return false
	}
	a.end(Faulty, errFaulty)
	r.failed = a
	return true
}

// retry starts a further attempt after a failed one. A target that could not
// be tried because none is left costs nothing of the budget.
func (r *race) retry(err error) bool {
	reason, ok := r.call.reason(err)
	return ok && r.extra(reason)
}

// extra starts an attempt at another target if there is one and the budget
// allows it.
func (r *race) extra(reason Reason) bool {
	hooks := &r.call.proxy.hooks
	if !r.call.spare(reason, r.number-r.hedges) {
		return false
	}
	target, ok := hooks.Pick(r.call.request, r.tried, hooks.Now())
	if !ok || !r.call.spend(reason) {
		return false
	}
	if r.call.request.Kind.Attempts == 0 && (reason == RetryHedge || reason == RetrySilent) {
		r.hedges++
	}
	r.start(target, false)
	return true
}

// hedge sends the request to a second target while the first is pending.
func (r *race) hedge() {
	if len(r.pending) == 1 {
		r.extra(RetryHedge)
	}
}

// doubt sends a request whose response is missing on an old connection to the
// same target on a new connection.
func (r *race) doubt() {
	for _, a := range r.pending {
		if a.reused.Load() && r.call.spend(RetrySilent) {
			r.hedges++ // goes to the same target
			r.silent, r.probe = a, r.start(a.info.Target, true)
			return
		}
	}
}

// won draws the conclusion when the new connection answered first: the old
// connections of the target are silent, the target is not at fault.
func (r *race) won(a *attempt) {
	if r.probe == nil || a != r.probe {
		return
	}
	for _, other := range r.pending {
		if other == r.silent {
			other.give(Silenced)
			closed := 1 + r.call.proxy.pool.Drop(a.info.Target.Address, a.info.Start)
			r.call.proxy.hooks.Silent(a.info.Target, closed)
		}
	}
}

// inform passes a 1xx response on to the caller.
func (c *call) inform(status int, header http.Header) {
	h := c.w.Header()
	for name, values := range header {
		h[name] = values
	}
	removeHop(h)
	c.w.WriteHeader(status)
	clear(h)
}

// errNoControl is a claim that cannot be sent anywhere.
var errNoControl = &refuse.Error{Reason: refuse.NoQuorum, Run: refuse.NotRun, Detail: "no control replica is linked"}
