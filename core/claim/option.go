package claim

import "time"

const (
	// An entry that was frozen after it sent a claim must not dispatch long
	// after others have come to regard the claim as stale.
	defaultWindow = 2 * time.Second
	// Time for the record of a response to reach control after the deadline of
	// the request; a claim that expires earlier would become unknown.
	recordTime = 10 * time.Second

	firstPoll  = 50 * time.Millisecond
	lastPoll   = time.Second
	firstRetry = 100 * time.Millisecond
	lastRetry  = 5 * time.Second
	retryAfter = time.Second
)

// Option changes a core.
type Option func(*Core)

// WithWindow sets how long after its claim a request may be dispatched.
func WithWindow(d time.Duration) Option { return func(c *Core) { c.window = d } }
