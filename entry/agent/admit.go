package agent

import (
	"context"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/bucket"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	// A refusal within tokenWaitShare of the latency goal costs the caller nothing. A
	// question takes up to two round trips between regions.
	tokenWaitShare = 1.0 / 8
	minTokenWait   = 100 * time.Millisecond
	maxTokenWait   = 300 * time.Millisecond
	// silentWaitShare is the share of the latency goal for which a request waits while
	// control elects a leader, which takes one to two seconds: many requests are then
	// answered in time that would be refused.
	silentWaitShare = 0.6
	// minTokenRetry keeps callers from coming back before a question could be answered.
	minTokenRetry = 20 * time.Millisecond
)

// Results of requests of workspaces with a limit, the values of an attribute of a
// counter.
const (
	tokenTaken    = "taken"
	tokenPromised = "promised"
	tokenEmpty    = "empty"
	tokenUnknown  = "unknown"
)

// usesShares reports whether the rate of a workspace is split into equal shares.
func (a *Agent) usesShares() bool { return a.registry == nil || a.tokens.unsupported() }

// hasOwnRate reports whether this entry takes the request out of the rate of its
// workspace. The entry that passed a request on has taken it out already.
func hasOwnRate(r proxy.Request) bool { return r.RelayedFrom == "" && r.Workspace != "" }

// checkRate refuses a request before it waits for admission, if its workspace is known
// to have no rate left.
func (a *Agent) checkRate(r proxy.Request) error {
	if !hasOwnRate(r) {
		return nil
	}
	if a.usesShares() {
		return a.checkShare(r)
	}
	if result, empty := a.tokens.peek(r.Workspace, r.Kind.Priority, tokenWait(r)); empty {
		return a.tokenRefusal(result)
	}
	return nil
}

func (a *Agent) checkShare(r proxy.Request) error {
	if a.rates.allow(r.Workspace) {
		return nil
	}
	return &refuse.Error{Reason: refuse.Rate, Run: refuse.NotRun, RetryAfter: overloadRetryAfter}
}

func tokenWait(r proxy.Request) time.Duration {
	if r.Kind.LatencyGoal == 0 {
		return maxTokenWait
	}
	return min(maxTokenWait, max(minTokenWait, time.Duration(tokenWaitShare*float64(r.Kind.LatencyGoal))))
}

// silentWait returns how long a request waits while control does not answer.
func silentWait(r proxy.Request, now time.Time) time.Duration {
	left := min(r.Kind.LatencyGoal, r.Deadline.Sub(now))
	return max(tokenWait(r), time.Duration(silentWaitShare*float64(left)))
}

func (a *Agent) tokenRefusal(r bucket.Result) error {
	if r.Outcome == bucket.Empty {
		a.hooks.CountToken(tokenEmpty)
		return &refuse.Error{Reason: refuse.Rate, Run: refuse.NotRun, RetryAfter: max(r.Retry, minTokenRetry)}
	}
	a.hooks.CountToken(tokenUnknown)
	return &refuse.Error{Reason: refuse.Unmetered, Run: refuse.NotRun, RetryAfter: max(r.Retry, minTokenRetry)}
}

// withToken adds a token of the workspace to the admission of a request, or ends the
// admission if there is none.
func (a *Agent) withToken(ctx context.Context, r proxy.Request, admitted proxy.Admission) (proxy.Admission, error) {
	if !hasOwnRate(r) || a.usesShares() {
		return admitted, nil
	}
	result := a.tokens.take(ctx, r.Workspace, r.Kind.Priority, tokenWait(r), silentWait(r, time.Now()))
	if err := a.tokenError(ctx, r, result); err != nil {
		admitted.Release(false)
		return proxy.Admission{}, err
	}
	if result.Token.IsZero() {
		return admitted, nil
	}
	kind := tokenTaken
	if result.Token.Promised() {
		kind = tokenPromised
	}
	a.hooks.CountToken(kind)
	held := &heldToken{agent: a, token: result.Token}
	release := admitted.Release
	admitted.Token, admitted.Send = held, held.send
	admitted.Release = func(answered bool) {
		held.end()
		release(answered)
	}
	return admitted, nil
}

// tokenError returns the refusal of a request that got no token, or nil.
func (a *Agent) tokenError(ctx context.Context, r proxy.Request, result bucket.Result) error {
	switch {
	case result.Outcome == bucket.Taken:
		return nil
	case ctx.Err() != nil:
		return &refuse.Error{Reason: refuse.Deadline, Run: refuse.NotRun, Err: ctx.Err()}
	case a.tokens.unsupported():
		return a.checkShare(r)
	}
	return a.tokenRefusal(result)
}

// heldToken is the token of a request.
type heldToken struct {
	agent *Agent

	mu    sync.Mutex
	token bucket.Token
	sends int  // attempts that may have run the request
	done  bool // there is no token to return
}

// send records that an attempt is being sent. The token may have expired meanwhile, for
// example while the request waited for its claim.
func (h *heldToken) send() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sends == 0 {
		r := h.agent.tokens.renew(h.token)
		if r.Outcome != bucket.Taken {
			h.done = true
			return h.agent.tokenRefusal(r)
		}
		h.token = r.Token
	}
	h.sends++
	return nil
}

// endSend records an attempt whose target declared that it did not run the request.
func endSend(at proxy.Attempt, o proxy.Outcome) {
	h, ok := at.Request.Admission.Token.(*heldToken)
	if !ok || o.Class != proxy.Refused && o.Class != proxy.Misdirected && o.Class != proxy.Declined {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sends--
}

// end returns the token if the request cannot have run.
func (h *heldToken) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sends == 0 && !h.done {
		h.agent.tokens.giveBack(h.token)
	}
	h.done = true
}
