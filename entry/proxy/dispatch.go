package proxy

import (
	"context"
	"errors"
	"net/netip"

	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/refuse"
)

var errNoTarget = errors.New("no target")

// dispatch returns the attempt that has a response for the caller.
func (c *call) dispatch(ctx context.Context) (*attempt, error) {
	if !c.once && !c.streams {
		return newRace(ctx, c).run()
	}
	var tried []netip.AddrPort
	cause := errNoTarget
	for number := 0; ; number++ {
		target, ok := c.proxy.hooks.Pick(c.request, tried, c.proxy.hooks.Now())
		if !ok {
			return nil, cause
		}
		a := c.attempt(ctx, target, number)
		err := a.do()
		if err == nil {
			return a, nil
		}
		c.blame(err)
		cause = err
		if ctx.Err() != nil || !c.again(err, number) {
			return nil, cause
		}
		tried = append(tried, target.Address)
	}
}

// blame remembers whether a failed attempt may have run the request.
func (c *call) blame(err error) {
	var shed *shedError
	switch {
	case errors.As(err, &shed):
	case !c.proxy.rules.Unsent(err):
		c.touched.Store(true)
	default:
		c.unsent++
		if c.undo != nil {
			c.undo()
		}
	}
}

// pend remembers that attempts were given up while they were pending.
func (c *call) pend(attempts int) {
	if attempts > 0 {
		c.touched.Store(true)
	}
}

// again decides about a further attempt after a failed one and takes it out
// of the budget. A request whose caller has left goes on at its target, but not
// to another one.
func (c *call) again(err error, number int) bool {
	if c.proxy.rules.Gone(c.r.Context()) {
		return false
	}
	reason, ok := c.reason(err)
	return ok && c.spare(reason, number+1) && c.spend(reason)
}

// spare reports whether a request of which so many attempts were made may have a
// further one. A kind with a number of attempts of its own counts only those
// that may have reached a target.
func (c *call) spare(reason Reason, made int) bool {
	limit := c.request.Kind.Attempts
	switch {
	case limit == 0:
		return made <= defaultRetries
	case made > maxRetries:
		return false
	case reason == RetryConnect:
		return true
	}
	return made-c.unsent < limit
}

func (c *call) spend(reason Reason) bool {
	if !c.proxy.hooks.Retry(c.request, reason) {
		return false
	}
	c.proxy.hooks.Retried(reason)
	return true
}

func (c *call) reason(err error) (Reason, bool) {
	var shed *shedError
	var source *pool.SourceError
	var malformed *pool.RequestError
	resend := !c.streams || !c.upload.started.Load()
	switch {
	case errors.As(err, &source), errors.As(err, &malformed), errors.Is(err, errLate):
		return "", false
	case c.proxy.rules.Unsent(err):
		return RetryConnect, resend
	case errors.As(err, &shed):
		return RetryShed, resend && c.proxy.rules.Reshed(c.request.Kind) && !shed.full
	}
	return RetryFailed, resend && !c.once
}

// refusal turns the failure of the last attempt into what the caller is told.
func (c *call) refusal(ctx context.Context, err error) error {
	run := refuse.NotRun
	if c.touched.Load() {
		run = refuse.Unknown
	}
	out := &refuse.Error{Run: run, Err: err}
	var shed *shedError
	var source *pool.SourceError
	var malformed *pool.RequestError
	var dial *pool.DialError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out.Reason = refuse.Deadline
	case ctx.Err() != nil:
		return errGone
	case errors.Is(err, errNoTarget):
		out.Reason, out.Retry = refuse.NoTarget, retryAfter
	case errors.As(err, &shed):
		out.Reason, out.Retry = refuse.Shed, retryShed
	case errors.Is(err, errDigest):
		out.Reason = refuse.BadDigest
	case errors.As(err, &source), errors.As(err, &malformed):
		out.Reason, out.Detail = refuse.BadRequest, "the request broke off or is malformed"
	case errors.As(err, &dial), c.proxy.rules.Unsent(err):
		out.Reason, out.Retry = refuse.Connect, retryElsewhere
	default:
		out.Reason = refuse.Broken
	}
	return out
}
