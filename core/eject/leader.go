package eject

import (
	_ "embed" // life.chart
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/chart"
	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/wire"
)

//go:embed life.chart
var lifeCycleChart string

const (
	// LeaseDuration is how long a grant is in force on an entry, from its arrival.
	LeaseDuration = 10 * time.Second
	// RenewalInterval is the interval at which a grant is renewed.
	RenewalInterval = 3 * time.Second
	// MaxMessageDelay bounds the age of a message on arrival: a link that is
	// silent for 3 s closes.
	MaxMessageDelay = 3 * time.Second
	// takeoverDelay is how long a new leader ejects nothing: the longest time
	// that a lease of its predecessor stays in force. The replicated list of
	// leases cannot shorten it, although the floor held with a list that was
	// exact and current. Leases leave the list by the timestamps that proposers
	// put into commands, so a proposer with a fast clock removes them while
	// entries still hold them, and a replica may take over before it has applied
	// all commands of its predecessor.
	takeoverDelay = LeaseDuration + MaxMessageDelay
)

// Leader decides ejections. It is not safe for concurrent use.
type Leader struct {
	lifeCycle     *chart.Chart
	startedAt     time.Time
	lastStep      time.Time
	index         uint64
	changed       bool
	services      map[string]*service
	budget        func(now time.Time, floor Floor, members []Member) float64
	takeoverDelay time.Duration
	onEvent       func(event string, target Target, score float64)
}

// Option changes a setting of a Leader.
type Option func(*Leader)

// WithBudget replaces the computation of the budget of a service.
func WithBudget(budget func(now time.Time, floor Floor, members []Member) float64) Option {
	return func(l *Leader) { l.budget = budget }
}

// WithTakeoverDelay replaces the time for which a new leader ejects nothing.
func WithTakeoverDelay(d time.Duration) Option { return func(l *Leader) { l.takeoverDelay = d } }

// WithEventHook sets a hook that is called for each event that changes the state
// of a target, for metrics and logs.
func WithEventHook(hook func(event string, target Target, score float64)) Option {
	return func(l *Leader) { l.onEvent = hook }
}

// LifeCycle returns the life cycle chart of a target after its checks.
func LifeCycle() (*chart.Chart, error) {
	return chart.Parse(lifeCycleChart, slices.Sorted(maps.Keys(actionHandlers))...)
}

// New returns a leader that takes over now, at an index of the replicated log.
func New(now time.Time, index uint64, opts ...Option) (*Leader, error) {
	c, err := LifeCycle()
	if err != nil {
		return nil, err
	}
	l := &Leader{
		lifeCycle: c, startedAt: now, lastStep: now, index: index, services: map[string]*service{}, budget: Budget, takeoverDelay: takeoverDelay,
		onEvent: func(string, Target, float64) {},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l, nil
}

// SetService sets the floor and the policy of a service.
func (l *Leader) SetService(name string, floor Floor, policy health.Policy) {
	s := l.services[name]
	if s == nil {
		s = &service{name: name, records: map[netip.AddrPort]*record{}}
		l.services[name] = s
	}
	s.floor, s.policy = floor, policy
}

// RemoveService removes a service with its targets.
func (l *Leader) RemoveService(name string) {
	delete(l.services, name)
	l.changed = true
}

// UpdateTarget records what is known of a target. Records of an older incarnation
// are ignored.
func (l *Leader) UpdateTarget(now time.Time, t Target) {
	s := l.services[t.Service]
	if s == nil {
		return
	}
	r := s.records[t.Address]
	if r == nil || t.Start.After(r.Start) {
		r = l.addRecord(now, s, t)
	} else if t.Start.Before(r.Start) {
		return
	}
	r.Slots = t.Slots
	if r.State != t.State {
		r.State, r.changedAt = t.State, now
	}
	switch t.State {
	case Ready:
		l.fire(now, s, r, "warmed")
		l.fire(now, s, r, "resumed")
	case Draining:
		l.fire(now, s, r, "drain")
	case Gone:
		l.fire(now, s, r, "leave")
	case Cold:
	}
}

// addRecord adds a record for a new incarnation. Leases on an older incarnation
// carry its start time and do not apply to the new one.
func (l *Leader) addRecord(now time.Time, s *service, t Target) *record {
	if old := s.records[t.Address]; old != nil {
		s.dirty = s.dirty || old.granted
		l.changed = l.changed || old.watched
		s.order = slices.DeleteFunc(s.order, func(o *record) bool { return o == old })
	}
	r := &record{Target: t, machine: l.lifeCycle.NewMachine(), changedAt: now, enteredAt: now}
	s.records[t.Address] = r
	s.order = append(s.order, r)
	return r
}

// Restore takes over the replicated set of a service.
func (l *Leader) Restore(now time.Time, set GrantSet) {
	s := l.services[set.Service]
	if s == nil {
		return
	}
	for _, g := range set.Grants {
		r := s.records[g.Target]
		if r == nil || !r.Start.Equal(g.Start) || r.granted {
			continue
		}
		r.score = g.Score
		for _, event := range []string{"suspected", "convicted"} {
			l.fire(now, s, r, event)
		}
	}
}

// AddEvidence adds the evidence of an entry to that of the other entries.
func (l *Leader) AddEvidence(now time.Time, e wire.Evidence) {
	for _, row := range e.Targets {
		s := l.services[row.Service]
		if s == nil {
			continue
		}
		r := s.records[row.Target]
		if r == nil || !r.Start.Equal(row.Start) || r.inState("ejected") {
			continue
		}
		l.fire(now, s, r, "suspected")
		r.evidence.add(now, s.policy, e.Region, row)
	}
}

// ProposalApplied records that the proposed set of a service has been applied at
// an index of the replicated log.
func (l *Leader) ProposalApplied(index uint64, name string) {
	l.index = max(l.index, index)
	l.changed = true
	if s := l.services[name]; s != nil {
		s.apply()
	}
}

// ProposalFailed records that a proposal failed or that its outcome is unknown.
// The set is proposed again.
func (l *Leader) ProposalFailed(name string) {
	if s := l.services[name]; s != nil {
		s.pending, s.dirty = false, true
	}
}

// OrdersChanged reports whether Orders may return something else than last time.
func (l *Leader) OrdersChanged() bool { return l.changed }

// Orders returns the current watch list and grants for all entries. Each grant
// carries what remains of its lease, counted from its proposal.
func (l *Leader) Orders(now time.Time) wire.Orders {
	l.changed = false
	o := wire.Orders{Index: l.index}
	for _, name := range slices.Sorted(maps.Keys(l.services)) {
		s := l.services[name]
		for _, r := range s.order {
			if r.watched {
				o.Watch = append(o.Watch, wire.Watched{Service: name, Target: r.Address})
			}
			remaining := r.leasedAt.Add(LeaseDuration).Sub(now)
			if r.granted && r.applied && remaining > 0 {
				o.Grants = append(o.Grants, wire.Grant{Service: name, Target: r.Address, Start: r.Start, Remaining: remaining, Score: r.score})
			}
		}
	}
	return o
}

// State returns the life cycle state of a target, empty for an unknown target.
func (l *Leader) State(service string, target netip.AddrPort) string {
	if s := l.services[service]; s != nil {
		if r := s.records[target]; r != nil {
			return r.machine.State()
		}
	}
	return ""
}
