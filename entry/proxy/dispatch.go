package proxy

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/refuse"
)

var errNoTarget = errors.New("no target available")

// dispatch sends the request to targets until one responds and returns that
// attempt.
func (c *call) dispatch(ctx context.Context) (*attempt, error) {
	if err := c.mayStart(); err != nil {
		return nil, err
	}
	if !c.atMostOnce && !c.streaming {
		return newRace(ctx, c).run()
	}
	var tried []netip.AddrPort
	cause := errNoTarget
	for number := 0; ; number++ {
		target, ok := c.proxy.hooks.Pick(c.request, tried, c.proxy.hooks.Now())
		if !ok {
			c.noTargetLeft = true
			return nil, cause
		}
		a := c.attempt(ctx, target, number)
		err := a.do()
		if err == nil {
			return a, nil
		}
		c.recordFailure(a, err)
		cause = err
		if ctx.Err() != nil || !c.shouldRetry(err, number) {
			return nil, cause
		}
		tried = append(tried, target.Address)
	}
}

// recordFailure notes whether a failed attempt may have run the request.
func (c *call) recordFailure(a *attempt, err error) {
	var shed *shedError
	var relay *relayError
	switch {
	case errors.As(err, &shed):
	case errors.As(err, &relay) && relay.run == refuse.NotRun && !relay.declined:
	case !isDeclined(err) && !c.proxy.rules.Unsent(err):
		c.mayHaveRun.Store(true)
	default:
		c.unsent++
		c.passedOn = c.passedOn && !a.info.Target.Relay
		if c.onUnsent != nil {
			c.onUnsent()
		}
	}
}

// recordAbandoned notes that pending attempts were cancelled; a target may have
// run them.
func (c *call) recordAbandoned(attempts int) {
	if attempts > 0 {
		c.mayHaveRun.Store(true)
	}
}

// shouldRetry reports whether to retry after a failed attempt, and if so takes
// the retry out of the budget. A request whose caller has left continues at its
// target but is not sent to another one.
func (c *call) shouldRetry(err error, number int) bool {
	if c.proxy.rules.CallerGone(c.r.Context()) {
		return false
	}
	reason, ok := c.retryReason(err)
	return ok && c.mayAttempt(number+1) && c.takeRetryBudget(reason)
}

// mayAttempt reports whether the limit on attempts allows another one after this
// number of previous ones. A kind that sets its own limit counts only the
// attempts that may have reached a target.
func (c *call) mayAttempt(previous int) bool {
	limit := c.request.Kind.MaxAttempts
	switch {
	case c.passedOn, c.relayed && previous-c.unsent >= c.attemptsLeft:
		return false
	case limit == 0:
		return previous <= defaultRetries
	case previous > maxRetries:
		return false
	}
	return previous-c.unsent < limit
}

// quarantineError means that a request must not be sent to a target because it
// crashed several ones.
type quarantineError struct{ left time.Duration }

// Error returns how long the quarantine lasts.
func (e *quarantineError) Error() string {
	return "the request crashed several targets and is quarantined for " + e.left.Round(time.Second).String()
}

// quarantine returns a *quarantineError if the request must not be sent to a
// target now.
func (c *call) quarantine() error {
	if left, held := c.proxy.hooks.Quarantined(c.request, c.proxy.hooks.Now()); held {
		return &quarantineError{left: left}
	}
	return nil
}

// stoppingError means that the instance stops too soon for another attempt.
type stoppingError struct{}

// Error returns the reason.
func (*stoppingError) Error() string { return "the instance stops too soon for another attempt" }

// lastAttempt is the time before the end of a shutdown from which no attempt begins,
// since most would be cut off.
const lastAttempt = time.Second

// mayStart returns an error if no attempt may begin now.
func (c *call) mayStart() error {
	if left, stopping := c.proxy.hooks.StopsIn(c.proxy.hooks.Now()); stopping && left < lastAttempt {
		return &stoppingError{}
	}
	if err := c.checkAccess(); err != nil {
		return err
	}
	return c.quarantine()
}

func (c *call) takeRetryBudget(reason Reason) bool {
	if c.mayStart() != nil {
		return false
	}
	if !c.proxy.hooks.Retry(c.request, reason) {
		return false
	}
	c.proxy.hooks.Retried(reason)
	return true
}

func (c *call) retryReason(err error) (Reason, bool) {
	var shed *shedError
	var bodyErr *pool.RequestBodyError
	var malformed *pool.RequestError
	var access *accessError
	var refused *refuse.Error
	resend := !c.streaming || !c.upload.handed.Load()
	switch {
	case errors.As(err, &bodyErr), errors.As(err, &malformed), errors.Is(err, errStaleClaim),
		errors.As(err, &access), errors.As(err, &refused):
		return "", false
	case c.proxy.rules.Unsent(err):
		return RetryConnect, resend
	case isDeclined(err):
		return RetryRelay, resend
	case errors.As(err, &shed):
		return RetryShed, resend && c.proxy.rules.RetryAfterShed(c.request.Kind) && !shed.serviceFull
	}
	return RetryFailed, resend && !c.atMostOnce
}

// dispatchRefusal converts the failure of the last attempt to a refusal. The run
// field takes all attempts into account.
func (c *call) dispatchRefusal(ctx context.Context, err error) error {
	run := refuse.NotRun
	if c.mayHaveRun.Load() {
		run = refuse.Unknown
	}
	out := &refuse.Error{Run: run, Err: err}
	var shed *shedError
	var bodyErr *pool.RequestBodyError
	var malformed *pool.RequestError
	var dial *pool.DialError
	var quarantined *quarantineError
	var relay *relayError
	var stopping *stoppingError
	var access *accessError
	var refused *refuse.Error
	switch {
	case errors.As(err, &access) && run == refuse.NotRun:
		return access.refusal()
	case errors.As(err, &refused) && run == refuse.NotRun: // by Admission.Send
		return refused
	case errors.As(err, &access), errors.As(err, &refused):
		out.Reason = refuse.Broken // the status of any other refusal would promise that the request has not run
	case errors.As(err, &stopping):
		out.Reason, out.RetryAfter = refuse.Draining, retryElsewhere
	case errors.As(err, &quarantined):
		out.Reason, out.RetryAfter = refuse.Quarantined, quarantined.left
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out.Reason = refuse.Deadline
	case ctx.Err() != nil:
		return errCallerGone
	case errors.Is(err, errNoTarget):
		out.Reason, out.RetryAfter = c.proxy.hooks.Unavailable(c.request, c.proxy.hooks.Now())
	case errors.As(err, &relay):
		out.Reason, out.RetryAfter = relay.reason, relay.retryAfter
		if run == refuse.NotRun {
			out.Run = relay.run
		}
	case errors.As(err, &shed):
		out.Reason, out.RetryAfter = refuse.Shed, retryShed
		if wait, ok := c.proxy.hooks.RoomAfter(c.request, c.proxy.hooks.Now()); ok {
			out.RetryAfter = wait
		}
		if !c.noTargetLeft {
			break
		}
		if reason, wait := c.proxy.hooks.Unavailable(c.request, c.proxy.hooks.Now()); reason == refuse.Paused {
			out.Reason, out.RetryAfter = reason, wait
		}
	case errors.Is(err, errUploadStalled):
		out.Reason, out.Detail = refuse.Deadline, errUploadStalled.Error()
	case errors.Is(err, errDigestMismatch):
		out.Reason = refuse.BadDigest
	case errors.As(err, &bodyErr), errors.As(err, &malformed):
		out.Reason, out.Detail = refuse.BadRequest, "the request broke off or is malformed"
	case errors.As(err, &dial), c.proxy.rules.Unsent(err):
		out.Reason, out.RetryAfter = refuse.Connect, retryElsewhere
	default:
		out.Reason = refuse.Broken
	}
	return out
}
