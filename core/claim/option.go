package claim

import "time"

const (
	// defaultDispatchWindow keeps an entry that was frozen after it sent a claim
	// from dispatching the request when others already regard the claim as stale.
	defaultDispatchWindow = 2 * time.Second
	// recordMargin is the time in which the record of an outcome can reach control
	// after the deadline of the request. If the claim expired earlier, its outcome
	// would become unknown.
	recordMargin = 10 * time.Second

	minPollDelay      = 50 * time.Millisecond
	maxPollDelay      = time.Second
	minRetryDelay     = 100 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
	refusalRetryAfter = time.Second
)

// Option configures a Core.
type Option func(*Core)

// WithDispatchWindow sets how long after the first unanswered claim message the
// request may be dispatched.
func WithDispatchWindow(d time.Duration) Option { return func(c *Core) { c.dispatchWindow = d } }
