package proxy

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/stall"
	"github.com/galenalock/galenalock/core/update"
	"github.com/galenalock/galenalock/core/wire"
)

// Reason is the reason of a retry, a hedge or a probe, as counted in the metrics.
type Reason string

// Reasons of further attempts.
const (
	RetryConnect Reason = "connect" // no connection to the previous target
	RetryFailed  Reason = "failed"  // the previous attempt failed
	RetryShed    Reason = "shed"    // the previous target shed the request
	RetryHedge   Reason = "hedge"   // the previous attempt is slow
	RetrySilent  Reason = "silent"  // a reused connection does not respond
	RetryFaulty  Reason = "faulty"  // the previous target answered with a 5xx status
	RetryRelay   Reason = "relay"   // the previous entry declined to pass the request on
)

// Reasons returns all reasons of further attempts.
func Reasons() []Reason {
	return []Reason{RetryConnect, RetryFailed, RetryShed, RetryHedge, RetrySilent, RetryFaulty, RetryRelay}
}

// Hooks connect the data path to the rest of the entry. The functions are called
// from traffic goroutines and must not block, except for those that take a
// context.
type Hooks struct {
	// View returns the current snapshot. Required.
	View func() *View
	// Pick selects a target that is not in exclude; false means that there is
	// none. Required.
	Pick func(r Request, exclude []netip.AddrPort, now time.Time) (Target, bool)

	// Quarantined returns the time until a request that crashes targets may be sent
	// to one again, and false if it may be sent now.
	Quarantined func(r Request, now time.Time) (time.Duration, bool)
	// MayResend reports whether a target may get a request again on another
	// connection.
	MayResend func(target Target, now time.Time) bool
	// Unavailable is called if there is no target. It returns the reason, and the
	// time after which there may be one.
	Unavailable func(r Request, now time.Time) (refuse.Reason, time.Duration)
	// RoomAfter returns the time after which a request that targets shed may find
	// room, and false if this is unknown.
	RoomAfter func(r Request, now time.Time) (time.Duration, bool)
	// PathLost reports whether this entry reaches no target, so that requests are
	// passed on to other entries or refused.
	PathLost func() bool

	// Await is called for a request that arrives before there is a usable view.
	// It may wait for the first configuration.
	Await func(ctx context.Context)

	// Stale reports whether the instance knows that its configuration has been out of
	// date for too long to serve requests by it.
	Stale func() bool

	// Freshness tells for which decisions about keys the current view is recent enough.
	// By default every view counts as the newest.
	Freshness func() update.Freshness

	// Begin is called before each attempt is sent, End once with its outcome. Sent is
	// called in between when the body of a streamed attempt has arrived as a whole.
	Begin func(Attempt)
	Sent  func(Attempt)
	End   func(Attempt, Outcome)

	// LacksRoom reports whether requests wait for room at the targets of a service, or are
	// refused for lack of it.
	LacksRoom func(r Request) bool
	// Forward waits until the body of a request may be forwarded while it arrives. giveUp
	// ends it. The error is that of the context.
	Forward func(ctx context.Context, r Request, giveUp func()) (*stall.Transfer, error)

	// Admit waits for permission to run the request. Its error should be a
	// *refuse.Error with Run set to refuse.NotRun.
	Admit func(ctx context.Context, r Request) (Admission, error)
	// StopsIn returns the time until the instance stops at the latest, and false if it
	// is not shutting down.
	StopsIn func(now time.Time) (time.Duration, bool)
	// Enter registers a request in flight and returns the function that
	// unregisters it. If ok is false, the request is refused because the instance
	// is shutting down.
	Enter func(r Request) (leave func(), ok bool)

	// Claim and Close send claims and their outcomes to control. Without Claim,
	// keyed requests that must not be repeated are refused with reason noquorum.
	Claim func(ctx context.Context, c wire.Claim) (wire.Claimed, error)
	Close func(ctx context.Context, c wire.Close) (wire.Claimed, error)

	// Retry takes one further attempt out of the retry budget of the service, and
	// reports whether the budget allows it.
	Retry func(r Request, reason Reason) bool
	// HedgeDelay returns the delay after which a pending request of a hedged kind
	// is sent to a second target; false disables hedging.
	HedgeDelay func(service *spec.Service, kind *spec.Kind) (time.Duration, bool)
	// ProbeDelay returns the delay after which a request without a response on a
	// reused connection is sent to the same target on a new connection; false
	// disables this.
	ProbeDelay func(service *spec.Service, kind *spec.Kind) (time.Duration, bool)
	// Silent reports that old connections of a target did not respond, and how
	// many were closed.
	Silent func(target Target, closed int)

	// Finished is called once for each request, when it ends.
	Finished func(Summary)
	// Answered is called for each response, proxied or recorded, that was sent
	// completely, Refused for each refusal, Retried for each further attempt and
	// Claimed for each answer to a claim.
	Answered func(r Request, status int, duration time.Duration)
	Refused  func(reason refuse.Reason)
	Retried  func(reason Reason)
	Claimed  func(state wire.ClaimState)

	// Now and Random replace the clock and the source of random numbers.
	Now    func() time.Time
	Random func() uint64
}

const (
	defaultProbeDelay = time.Second
	defaultRetries    = 2 // of one request, even if the budget allows more
	maxRetries        = 4 // of one request of a kind that sets its own number of attempts
)

// withDefaults returns the hooks with a default for every nil field except View
// and Pick.
func (h Hooks) withDefaults() Hooks {
	if h.Await == nil {
		h.Await = func(context.Context) {}
	}
	if h.Quarantined == nil {
		h.Quarantined = func(Request, time.Time) (time.Duration, bool) { return 0, false }
	}
	if h.MayResend == nil {
		h.MayResend = func(Target, time.Time) bool { return true }
	}
	if h.Unavailable == nil {
		h.Unavailable = func(Request, time.Time) (refuse.Reason, time.Duration) { return refuse.NoTarget, retryAfter }
	}
	if h.RoomAfter == nil {
		h.RoomAfter = func(Request, time.Time) (time.Duration, bool) { return 0, false }
	}
	if h.PathLost == nil {
		h.PathLost = func() bool { return false }
	}
	if h.Stale == nil {
		h.Stale = func() bool { return false }
	}
	if h.Freshness == nil {
		h.Freshness = func() update.Freshness { return update.Newest }
	}
	if h.Begin == nil {
		h.Begin = func(Attempt) {}
	}
	if h.Sent == nil {
		h.Sent = func(Attempt) {}
	}
	if h.LacksRoom == nil {
		h.LacksRoom = func(Request) bool { return false }
	}
	if h.Forward == nil {
		h.Forward = func(context.Context, Request, func()) (*stall.Transfer, error) { return nil, nil } //nolint:nilnil // nil is in no table
	}
	if h.End == nil {
		h.End = func(Attempt, Outcome) {}
	}
	if h.Admit == nil {
		h.Admit = func(context.Context, Request) (Admission, error) { return Admission{}, nil }
	}
	if h.StopsIn == nil {
		h.StopsIn = func(time.Time) (time.Duration, bool) { return 0, false }
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
	// Without a budget there are no retries, so that they cannot amplify an
	// overload.
	if h.Retry == nil {
		h.Retry = func(Request, Reason) bool { return false }
	}
	if h.HedgeDelay == nil {
		h.HedgeDelay = func(*spec.Service, *spec.Kind) (time.Duration, bool) { return 0, false }
	}
	if h.ProbeDelay == nil {
		h.ProbeDelay = func(*spec.Service, *spec.Kind) (time.Duration, bool) { return defaultProbeDelay, true }
	}
	if h.Silent == nil {
		h.Silent = func(Target, int) {}
	}
	if h.Finished == nil {
		h.Finished = func(Summary) {}
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
