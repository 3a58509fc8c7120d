package proxy

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/wire"
)

// Reason names in one word why a further attempt was made.
type Reason string

// The reasons of further attempts.
const (
	RetryConnect Reason = "connect" // no connection to the previous target
	RetryFailed  Reason = "failed"  // the previous attempt failed
	RetryShed    Reason = "shed"    // the previous target shed the request
	RetryHedge   Reason = "hedge"   // the previous attempt takes long
	RetrySilent  Reason = "silent"  // an old connection does not respond
	RetryFaulty  Reason = "faulty"  // the previous target answered that it failed
)

// Reasons returns every reason of a further attempt.
func Reasons() []Reason {
	return []Reason{RetryConnect, RetryFailed, RetryShed, RetryHedge, RetrySilent, RetryFaulty}
}

// Hooks connect the data path to the rest of the entry. The functions are
// called from traffic goroutines and must not block, but for Admit, Claim and
// Close, which take a context.
type Hooks struct {
	// View returns the current snapshot. Required.
	View func() *View
	// Pick selects a target outside exclude. Required.
	Pick func(r Request, exclude []netip.AddrPort, now time.Time) (Target, bool)

	// Await is called for a request that finds no configuration. It may wait for
	// the first one.
	Await func(ctx context.Context)

	// Begin is told of each attempt before it is sent, End of its outcome.
	Begin func(Attempt)
	End   func(Attempt, Outcome)

	// Admit waits for the right to run the request. Its error should be a
	// *refuse.Error with run "no".
	Admit func(ctx context.Context, r Request) (Admission, error)
	// Enter registers a request in flight and returns what ends it; false
	// refuses the request because the instance is shutting down.
	Enter func(r Request) (leave func(), ok bool)

	// Claim and Close carry claims to control. Without Claim, keyed requests
	// that must not be repeated are refused with reason noquorum.
	Claim func(ctx context.Context, c wire.Claim) (wire.Claimed, error)
	Close func(ctx context.Context, c wire.Close) (wire.Claimed, error)

	// Retry takes one further attempt out of the budget of the service.
	Retry func(r Request, reason Reason) bool
	// Hedge returns after which time a pending request of a hedged kind is
	// sent to a second target.
	Hedge func(service *spec.Service, kind *spec.Kind) (time.Duration, bool)
	// Patience returns how long a response may be missing on an old
	// connection before a new one to the same target is tried.
	Patience func(service *spec.Service, kind *spec.Kind) (time.Duration, bool)
	// Silent is told that closed old connections of a target were silent.
	Silent func(target Target, closed int)

	// Finished is told once of each request how it ended.
	Finished func(Finish)
	// Answered is told of each response that was passed on completely, also of
	// recorded ones; Refused, Retried and Claimed count.
	Answered func(r Request, status int, duration time.Duration)
	Refused  func(reason refuse.Reason)
	Retried  func(reason Reason)
	Claimed  func(state wire.ClaimState)

	// Now and Random replace the clock and the source of identifiers.
	Now    func() time.Time
	Random func() uint64
}

const (
	defaultPatience = time.Second
	defaultRetries  = 2 // further attempts of one request, also a bound when the budget is large
	maxRetries      = 4 // the same for a kind with a number of attempts of its own
)

// withDefaults returns the hooks with every nil field replaced.
func (h Hooks) withDefaults() Hooks {
	if h.Await == nil {
		h.Await = func(context.Context) {}
	}
	if h.Begin == nil {
		h.Begin = func(Attempt) {}
	}
	if h.End == nil {
		h.End = func(Attempt, Outcome) {}
	}
	if h.Admit == nil {
		h.Admit = func(context.Context, Request) (Admission, error) { return Admission{}, nil }
	}
	if h.Enter == nil {
		h.Enter = func(Request) (func(), bool) { return func() {}, true }
	}
	if h.Claim == nil {
		h.Claim = func(context.Context, wire.Claim) (wire.Claimed, error) { return wire.Claimed{}, errNoControl }
	}
	if h.Close == nil {
		h.Close = func(context.Context, wire.Close) (wire.Claimed, error) { return wire.Claimed{}, errNoControl }
	}
	// Without a budget nothing is retried, so that an incident is not amplified.
	if h.Retry == nil {
		h.Retry = func(Request, Reason) bool { return false }
	}
	if h.Hedge == nil {
		h.Hedge = func(*spec.Service, *spec.Kind) (time.Duration, bool) { return 0, false }
	}
	if h.Patience == nil {
		h.Patience = func(*spec.Service, *spec.Kind) (time.Duration, bool) { return defaultPatience, true }
	}
	if h.Silent == nil {
		h.Silent = func(Target, int) {}
	}
	if h.Finished == nil {
		h.Finished = func(Finish) {}
	}
	if h.Answered == nil {
		h.Answered = func(Request, int, time.Duration) {}
	}
	if h.Refused == nil {
		h.Refused = func(refuse.Reason) {}
	}
	if h.Retried == nil {
		h.Retried = func(Reason) {}
	}
	if h.Claimed == nil {
		h.Claimed = func(wire.ClaimState) {}
	}
	if h.Now == nil {
		h.Now = time.Now
	}
	if h.Random == nil {
		h.Random = rand.Uint64
	}
	return h
}
