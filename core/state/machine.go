package state

import (
	"fmt"
	"time"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/wire"
)

// Machine is the replicated state machine. It is not safe for concurrent use;
// a View of it is.
type Machine struct {
	index uint64
	now   time.Time

	texts    texts
	answered changes
	claims   claims
	grants   grants
	drains   map[string]time.Time
	enrol    *enrol.Table

	drained []Drained // sorted by name, shared by views

	dedup func(change string) bool
	lock  func(service, key string) bool
	view  *View
}

// Option configures a Machine.
type Option func(*Machine)

// WithDedup sets which change identifiers are looked up among the answered
// submissions. Tests disable the lookup to show which fault it prevents.
func WithDedup(f func(change string) bool) Option { return func(m *Machine) { m.dedup = f } }

// WithLock sets which keys an earlier claim locks for others. Tests disable the
// lock to show which fault it prevents.
func WithLock(f func(service, key string) bool) Option { return func(m *Machine) { m.lock = f } }

// New returns an empty machine.
func New(opts ...Option) *Machine {
	m := &Machine{
		dedup: func(string) bool { return true },
		lock:  func(string, string) bool { return true },
	}
	for _, opt := range opts {
		opt(m)
	}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.index, m.now, m.view = 0, time.Time{}, nil
	m.texts = texts{}
	m.answered = changes{table: map[string]change{}}
	m.claims = newClaims()
	m.grants = newGrants()
	m.drains = map[string]time.Time{}
	m.enrol = enrol.New()
	m.drained = nil
}

// Apply executes one command and returns the encoded Result. A malformed
// command changes only the index.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	m.index = index
	m.view = nil
	var c Command
	if err := wire.Decode(command, &c); err != nil {
		return encode(Result{Fault: err.Error()})
	}
	if reason := c.check(); reason != "" {
		return encode(Result{Fault: reason})
	}
	if c.Time.After(m.now) {
		m.now = c.Time
	}
	m.claims.expire(m.now)
	m.grants.expire(m.now)
	return encode(m.apply(&c))
}

func (m *Machine) apply(c *Command) Result {
	switch {
	case c.Submit != nil:
		return Result{Submitted: m.submit(c.Submit)}
	case c.Claim != nil:
		return Result{Claimed: m.claims.claim(c.Claim, m.now, m.lock(c.Claim.Service, c.Claim.Key))}
	case c.Close != nil:
		return Result{Claimed: m.claims.close(c.Close, m.now)}
	case c.Grant != nil:
		return Result{Granted: m.grants.grant(c.Grant, m.now)}
	case c.Withdraw != nil:
		return Result{Granted: m.grants.withdraw(c.Withdraw)}
	case c.Drain != nil:
		return m.drain(c.Drain)
	case c.Announce != nil:
		return Result{Effect: m.enrol.Announce(m.index, m.now, *c.Announce)}
	case c.Silence != nil:
		m.enrol.MarkSilent(m.index, c.Silence.Targets)
	}
	return Result{}
}

func (m *Machine) drain(d *Drain) Result {
	_, drained := m.drains[d.Name]
	switch {
	case !d.On:
		delete(m.drains, d.Name)
	case !drained && len(m.drains) >= MaxDrains:
		return Result{Fault: fmt.Sprintf("%d drains are the limit", MaxDrains)}
	case !drained:
		m.drains[d.Name] = m.now
	}
	m.rebuildDrained()
	return Result{}
}

// NextExpiry returns the time at which something expires next, or the zero
// time.
func (m *Machine) NextExpiry() time.Time {
	next := m.claims.expiries.next()
	if lease := m.grants.next; !lease.IsZero() && (next.IsZero() || lease.Before(next)) {
		next = lease
	}
	return next
}

func encode(v any) []byte {
	data, err := wire.Encode(v)
	if err != nil {
		// Only a time out of range could fail to encode, and check has
		// validated every time in a result.
		panic(err)
	}
	return data
}
