package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
)

// Core tracks the attempts of one incarnation of an entry.
type Core struct {
	owner          string
	incarnation    time.Time
	dispatchWindow time.Duration
	lastNumber     uint64
	attempts       map[uint64]*attempt
}

// New returns a Core for one incarnation of an entry. Two incarnations must not
// have the same owner and time, because control could not tell them apart.
func New(owner string, incarnation time.Time, opts ...Option) *Core {
	c := &Core{owner: owner, incarnation: incarnation, dispatchWindow: defaultDispatchWindow, attempts: map[uint64]*attempt{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Open starts an attempt and returns its number and the action that sends the
// claim to control.
func (c *Core) Open(now time.Time, service, key string, fingerprint uint64, deadline time.Time) (uint64, Action) {
	c.lastNumber++
	a := &attempt{
		claim: wire.Claim{
			Service: service, Key: key, Fingerprint: fingerprint,
			Owner: c.owner, Incarnation: c.incarnation, Attempt: c.lastNumber,
			Expires: max(deadline.Sub(now), 0) + c.dispatchWindow + recordMargin,
		},
		openedAt: now, firstSent: now, deadline: deadline,
	}
	a.claimExpires = now.Add(a.claim.Expires)
	c.attempts[c.lastNumber] = a
	return c.lastNumber, Action{Type: SendClaim, Claim: a.claim}
}

// ClaimSent records that the claim is sent to control now.
func (c *Core) ClaimSent(now time.Time, number uint64) {
	a := c.attempts[number]
	if a != nil && a.phase == waiting {
		a.phase, a.firstSent = claiming, now
		a.claimExpires = now.Add(a.claim.Expires)
	}
}

// HandleResponse handles the response of control to a claim.
func (c *Core) HandleResponse(now time.Time, number uint64, response wire.Claimed) Action {
	a := c.attempts[number]
	if a == nil || a.phase != claiming {
		return newRefusal(refuse.NoQuorum, refuse.NotRun, refusalRetryAfter)
	}
	switch response.State {
	case wire.ClaimGranted:
		a.phase = granted
		return Action{Type: Dispatch}
	case wire.ClaimRunning:
		a.phase, a.contended = waiting, true
		delay := backoff(minPollDelay, maxPollDelay, a.polls)
		a.polls++
		if !now.Add(delay).Before(a.deadline) {
			delete(c.attempts, number)
			return newRefusal(refuse.Running, refuse.Unknown, refusalRetryAfter)
		}
		return Action{Type: SendClaim, Delay: delay, Claim: a.claim}
	}
	delete(c.attempts, number)
	switch response.State {
	case wire.ClaimDone:
		if response.Answer != nil {
			return Action{Type: Reply, Answer: response.Answer}
		}
		return newRefusal(refuse.Expired, refuse.Ran, 0)
	case wire.ClaimMismatch:
		return newRefusal(refuse.Mismatch, refuse.NotRun, 0)
	case wire.ClaimExpired:
		return newRefusal(refuse.Expired, refuse.Ran, 0)
	}
	// Never dispatch if the state is unknown or was added by a later version.
	return newRefusal(refuse.Lost, refuse.Unknown, 0)
}

// HandleNoResponse handles a claim message that may or may not have reached
// control. The same claim is sent again while the request can still be
// dispatched.
func (c *Core) HandleNoResponse(now time.Time, number uint64) Action {
	a := c.attempts[number]
	if a == nil || a.phase != claiming {
		return newRefusal(refuse.NoQuorum, refuse.NotRun, refusalRetryAfter)
	}
	delay := backoff(minPollDelay, maxPollDelay, a.polls)
	a.polls++
	at := now.Add(delay)
	if at.Sub(a.firstSent) <= c.dispatchWindow && at.Before(a.deadline) {
		return Action{Type: SendClaim, Delay: delay, Claim: a.claim}
	}
	c.startRecording(a, wire.OutcomeReleased, nil)
	if a.contended {
		return newRefusal(refuse.NoQuorum, refuse.Unknown, refusalRetryAfter)
	}
	return newRefusal(refuse.NoQuorum, refuse.NotRun, refusalRetryAfter)
}

// Dispatch reports whether the request may be sent now, and if so marks it as
// dispatched. The caller calls it directly before it sends the first byte. After
// the dispatch window or the deadline of the request the result is false, and
// the caller has to release the claim.
func (c *Core) Dispatch(now time.Time, number uint64) bool {
	a := c.attempts[number]
	if a == nil || a.phase != granted {
		return false
	}
	if now.Sub(a.firstSent) > c.dispatchWindow || !now.Before(a.deadline) {
		return false
	}
	a.phase, a.wasDispatched = dispatched, true
	return true
}

// UndoDispatch records that the connection failed before any byte of the request
// was sent, so that another target may be tried.
func (c *Core) UndoDispatch(number uint64) {
	if a := c.attempts[number]; a != nil && a.phase == dispatched {
		a.phase, a.wasDispatched = granted, false
	}
}

// Finish ends a granted attempt and returns the record to be sent to control. It
// returns false if the attempt does not exist or has an outcome already.
func (c *Core) Finish(number uint64, outcome wire.Outcome, answer *wire.Answer) (wire.Close, bool) {
	a := c.attempts[number]
	if a == nil || a.phase == recording {
		return wire.Close{}, false
	}
	c.startRecording(a, outcome, answer)
	return a.record, true
}

// Abandon ends an attempt that was not dispatched. It returns the record that
// releases the claim, and true if control may have granted the claim.
func (c *Core) Abandon(number uint64) (wire.Close, bool) {
	a := c.attempts[number]
	switch {
	case a == nil:
		return wire.Close{}, false
	case a.phase == waiting:
		delete(c.attempts, number)
		return wire.Close{}, false
	case a.phase == dispatched:
		return wire.Close{}, false
	case a.phase != recording:
		c.startRecording(a, wire.OutcomeReleased, nil)
	}
	return a.record, true
}

// Discard removes an attempt whose claim was never sent by this process.
func (c *Core) Discard(number uint64) { delete(c.attempts, number) }

func (c *Core) startRecording(a *attempt, outcome wire.Outcome, answer *wire.Answer) {
	a.phase = recording
	a.record = wire.Close{
		Service: a.claim.Service, Key: a.claim.Key, Owner: c.owner, Incarnation: c.incarnation,
		Attempt: a.claim.Attempt, Outcome: outcome, Answer: answer,
	}
}

// RecordConfirmed removes an attempt whose outcome control has recorded.
func (c *Core) RecordConfirmed(number uint64) { delete(c.attempts, number) }

// RecordFailed handles a record that may not have reached control. It returns
// the delay after which to send the record again, and whether to do so. A
// release is dropped once the claim has expired, because control then treats the
// outcome as unknown. Other outcomes are repeated until they are recorded.
func (c *Core) RecordFailed(now time.Time, number uint64) (time.Duration, bool) {
	a := c.attempts[number]
	if a == nil {
		return 0, false
	}
	if a.record.Outcome == wire.OutcomeReleased && now.After(a.claimExpires) {
		delete(c.attempts, number)
		return 0, false
	}
	delay := backoff(minRetryDelay, maxRetryDelay, a.retries)
	a.retries++
	return delay, true
}

// Unfinished returns the attempts whose outcome is not recorded, oldest first.
func (c *Core) Unfinished() []Attempt {
	out := make([]Attempt, 0, len(c.attempts))
	for number, a := range c.attempts {
		out = append(out, Attempt{
			Number: number, Service: a.claim.Service, Key: a.claim.Key,
			Dispatched: a.wasDispatched, Outcome: a.record.Outcome, Since: a.openedAt,
		})
	}
	slices.SortFunc(out, func(a, b Attempt) int { return cmp.Compare(a.Number, b.Number) })
	return out
}
