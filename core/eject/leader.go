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
var life string

const (
	// Lease is the life of a grant, counted by an entry from its arrival.
	Lease = 10 * time.Second
	// Renewal is the interval at which a grant is renewed.
	Renewal = 3 * time.Second
	// Delay bounds the age of a message: a link that is silent for 3 s closes.
	Delay = 3 * time.Second
	// silence is how long a new leader ejects nothing: the longest time that a
	// lease of its predecessor stays in force. The replicated list of leases
	// cannot shorten it. Leases leave the list by the times that proposers
	// stamp into commands, so a fast clock drops them while entries still hold
	// them, and a replica may take over before it has applied all commands of
	// its predecessor. With a list that is exact and current the floor held.
	silence = Lease + Delay
)

// Leader decides ejections. It is not safe for concurrent use.
type Leader struct {
	life     *chart.Chart
	since    time.Time
	stepped  time.Time
	index    uint64
	changed  bool
	services map[string]*service
	budget   func(now time.Time, floor Floor, members []Member) float64
	silence  time.Duration
	note     func(event string, target Target, score float64)
}

// Option changes a setting of a Leader.
type Option func(*Leader)

// WithBudget replaces the computation of the budget.
func WithBudget(budget func(now time.Time, floor Floor, members []Member) float64) Option {
	return func(l *Leader) { l.budget = budget }
}

// WithSilence replaces the time in which a new leader ejects nothing.
func WithSilence(d time.Duration) Option { return func(l *Leader) { l.silence = d } }

// WithNote sets a hook for each event of a life cycle, for metrics and logs.
func WithNote(note func(event string, target Target, score float64)) Option {
	return func(l *Leader) { l.note = note }
}

// Life returns the checked life cycle of a target.
func Life() (*chart.Chart, error) {
	return chart.Parse(life, slices.Sorted(maps.Keys(deeds))...)
}

// New returns a leader that took over now, at an index of the replicated log.
func New(now time.Time, index uint64, opts ...Option) (*Leader, error) {
	c, err := Life()
	if err != nil {
		return nil, err
	}
	l := &Leader{
		life: c, since: now, stepped: now, index: index, services: map[string]*service{}, budget: Budget, silence: silence,
		note: func(string, Target, float64) {},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l, nil
}

// Service sets the floor and the policy of a service.
func (l *Leader) Service(name string, floor Floor, policy health.Policy) {
	s := l.services[name]
	if s == nil {
		s = &service{name: name, records: map[netip.AddrPort]*record{}}
		l.services[name] = s
	}
	s.floor, s.policy = floor, policy
}

// Drop forgets a service.
func (l *Leader) Drop(name string) {
	delete(l.services, name)
	l.changed = true
}

// Target records what is known of a target.
func (l *Leader) Target(now time.Time, t Target) {
	s := l.services[t.Service]
	if s == nil {
		return
	}
	r := s.records[t.Address]
	if r == nil || t.Start.After(r.Start) {
		r = l.admit(now, s, t)
	} else if t.Start.Before(r.Start) {
		return
	}
	r.Slots = t.Slots
	if r.State != t.State {
		r.State, r.changed = t.State, now
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

// admit adds a record for a new incarnation. The leases on the old incarnation
// name its start and do not apply to the new one.
func (l *Leader) admit(now time.Time, s *service, t Target) *record {
	if old := s.records[t.Address]; old != nil {
		s.dirty = s.dirty || old.granted
		l.changed = l.changed || old.watched
		s.order = slices.DeleteFunc(s.order, func(o *record) bool { return o == old })
	}
	r := &record{Target: t, machine: l.life.Machine(), changed: now, entered: now}
	s.records[t.Address] = r
	s.order = append(s.order, r)
	return r
}

// Restore takes over the replicated set of a service.
func (l *Leader) Restore(now time.Time, set Set) {
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

// Evidence pools the evidence of an entry.
func (l *Leader) Evidence(now time.Time, e wire.Evidence) {
	for _, row := range e.Sightings {
		s := l.services[row.Service]
		if s == nil {
			continue
		}
		r := s.records[row.Target]
		if r == nil || !r.Start.Equal(row.Start) || r.is("ejected") {
			continue
		}
		l.fire(now, s, r, "suspected")
		r.pool.add(now, s.policy, e.Region, row)
	}
}

// Applied records that a proposed set is in the replicated log.
func (l *Leader) Applied(index uint64, name string) {
	l.index = max(l.index, index)
	l.changed = true
	if s := l.services[name]; s != nil {
		s.apply()
	}
}

// Lost records that the outcome of a proposal is unknown or that it failed. The
// set is proposed again.
func (l *Leader) Lost(name string) {
	if s := l.services[name]; s != nil {
		s.pending, s.dirty = false, true
	}
}

// Changed reports whether Orders differs from what it last returned.
func (l *Leader) Changed() bool { return l.changed }

// Orders returns what all entries are to do now. A grant is listed for what is
// left of its lease since the proposal that carried it.
func (l *Leader) Orders(now time.Time) wire.Orders {
	l.changed = false
	o := wire.Orders{Index: l.index}
	for _, name := range slices.Sorted(maps.Keys(l.services)) {
		s := l.services[name]
		for _, r := range s.order {
			if r.watched {
				o.Watch = append(o.Watch, wire.Watched{Service: name, Target: r.Address})
			}
			left := r.leased.Add(Lease).Sub(now)
			if r.granted && r.applied && left > 0 {
				o.Grants = append(o.Grants, wire.Grant{Service: name, Target: r.Address, Start: r.Start, Left: left, Score: r.score})
			}
		}
	}
	return o
}

// State returns the state of a target in its life cycle, empty when unknown.
func (l *Leader) State(service string, target netip.AddrPort) string {
	if s := l.services[service]; s != nil {
		if r := s.records[target]; r != nil {
			return r.machine.State()
		}
	}
	return ""
}
