package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
)

// Core keeps the attempts of one incarnation of an entry.
type Core struct {
	owner       string
	incarnation time.Time
	window      time.Duration
	last        uint64
	attempts    map[uint64]*attempt
}

// New returns a core for one incarnation of an entry. Two incarnations must
// not have the same owner and time, since control could not tell them apart.
func New(owner string, incarnation time.Time, opts ...Option) *Core {
	c := &Core{owner: owner, incarnation: incarnation, window: defaultWindow, attempts: map[uint64]*attempt{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Open begins an attempt and returns its number and the first question to
// control.
func (c *Core) Open(now time.Time, service, key string, fingerprint uint64, deadline time.Time) (uint64, Action) {
	c.last++
	a := &attempt{
		claim: wire.Claim{
			Service: service, Key: key, Fingerprint: fingerprint,
			Owner: c.owner, Incarnation: c.incarnation, Attempt: c.last,
			Expires: max(deadline.Sub(now), 0) + c.window + recordTime,
		},
		opened: now, asked: now, deadline: deadline,
	}
	a.expires = now.Add(a.claim.Expires)
	c.attempts[c.last] = a
	return c.last, Action{Do: Ask, Claim: a.claim}
}

// Asked notes that the question is sent now.
func (c *Core) Asked(now time.Time, number uint64) {
	a := c.attempts[number]
	if a != nil && a.phase == waiting {
		a.phase, a.asked = asking, now
		a.expires = now.Add(a.claim.Expires)
	}
}

// Answered handles control's answer to the question.
func (c *Core) Answered(now time.Time, number uint64, answer wire.Claimed) Action {
	a := c.attempts[number]
	if a == nil || a.phase != asking {
		return refused(refuse.NoQuorum, refuse.NotRun, retryAfter)
	}
	switch answer.State {
	case wire.ClaimGranted:
		a.phase = granted
		return Action{Do: Dispatch}
	case wire.ClaimRunning:
		a.phase, a.contended = waiting, true
		delay := again(firstPoll, lastPoll, a.polls)
		a.polls++
		if !now.Add(delay).Before(a.deadline) {
			delete(c.attempts, number)
			return refused(refuse.Running, refuse.Unknown, retryAfter)
		}
		return Action{Do: Ask, After: delay, Claim: a.claim}
	}
	delete(c.attempts, number)
	switch answer.State {
	case wire.ClaimDone:
		if answer.Answer != nil {
			return Action{Do: Reply, Answer: answer.Answer}
		}
		return refused(refuse.Expired, refuse.Ran, 0)
	case wire.ClaimMismatch:
		return refused(refuse.Mismatch, refuse.NotRun, 0)
	case wire.ClaimExpired:
		return refused(refuse.Expired, refuse.Ran, 0)
	}
	// Unknown, or a state of a later version: never dispatched.
	return refused(refuse.Lost, refuse.Unknown, 0)
}

// Unanswered handles a question that may or may not have reached control. The
// same question is asked again while the request could still be dispatched.
func (c *Core) Unanswered(now time.Time, number uint64) Action {
	a := c.attempts[number]
	if a == nil || a.phase != asking {
		return refused(refuse.NoQuorum, refuse.NotRun, retryAfter)
	}
	delay := again(firstPoll, lastPoll, a.polls)
	a.polls++
	at := now.Add(delay)
	if at.Sub(a.asked) <= c.window && at.Before(a.deadline) {
		return Action{Do: Ask, After: delay, Claim: a.claim}
	}
	c.end(a, wire.OutcomeReleased, nil)
	if a.contended {
		return refused(refuse.NoQuorum, refuse.Unknown, retryAfter)
	}
	return refused(refuse.NoQuorum, refuse.NotRun, retryAfter)
}

// Dispatch reports whether the request may be sent now; it is asked right
// before the first byte. After the window the claim is released instead.
func (c *Core) Dispatch(now time.Time, number uint64) bool {
	a := c.attempts[number]
	if a == nil || a.phase != granted {
		return false
	}
	if now.Sub(a.asked) > c.window || !now.Before(a.deadline) {
		return false
	}
	a.phase, a.sent = dispatched, true
	return true
}

// Undo notes that the connection failed before a byte of the request was
// sent, so that another target may be tried.
func (c *Core) Undo(number uint64) {
	if a := c.attempts[number]; a != nil && a.phase == dispatched {
		a.phase, a.sent = granted, false
	}
}

// Finish ends a granted attempt and returns what is to be recorded.
func (c *Core) Finish(number uint64, outcome wire.Outcome, answer *wire.Answer) (wire.Close, bool) {
	a := c.attempts[number]
	if a == nil || a.phase == recording {
		return wire.Close{}, false
	}
	c.end(a, outcome, answer)
	return a.close, true
}

// Leave ends an attempt that was not dispatched. The result is recorded when
// control may have granted the claim.
func (c *Core) Leave(number uint64) (wire.Close, bool) {
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
		c.end(a, wire.OutcomeReleased, nil)
	}
	return a.close, true
}

// Forget ends an attempt whose question never left this process.
func (c *Core) Forget(number uint64) { delete(c.attempts, number) }

func (c *Core) end(a *attempt, outcome wire.Outcome, answer *wire.Answer) {
	a.phase = recording
	a.close = wire.Close{
		Service: a.claim.Service, Key: a.claim.Key, Owner: c.owner, Incarnation: c.incarnation,
		Attempt: a.claim.Attempt, Outcome: outcome, Answer: answer,
	}
}

// Recorded notes that control has the outcome.
func (c *Core) Recorded(number uint64) { delete(c.attempts, number) }

// Unrecorded handles a record that may not have reached control and returns
// when to send it again. A release is given up once the claim has expired,
// because control then regards it as unknown; other outcomes are repeated
// until they are recorded.
func (c *Core) Unrecorded(now time.Time, number uint64) (time.Duration, bool) {
	a := c.attempts[number]
	if a == nil {
		return 0, false
	}
	if a.close.Outcome == wire.OutcomeReleased && now.After(a.expires) {
		delete(c.attempts, number)
		return 0, false
	}
	delay := again(firstRetry, lastRetry, a.retries)
	a.retries++
	return delay, true
}

// Unfinished lists the attempts that are not recorded, the oldest first.
func (c *Core) Unfinished() []Attempt {
	out := make([]Attempt, 0, len(c.attempts))
	for number, a := range c.attempts {
		out = append(out, Attempt{
			Number: number, Service: a.claim.Service, Key: a.claim.Key,
			Dispatched: a.sent, Outcome: a.close.Outcome, Since: a.opened,
		})
	}
	slices.SortFunc(out, func(a, b Attempt) int { return cmp.Compare(a.Number, b.Number) })
	return out
}
