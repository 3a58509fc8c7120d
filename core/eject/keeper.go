package eject

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

// LeaseTable holds the leases of one entry. It is not safe for concurrent use.
type LeaseTable struct {
	index    uint64
	services map[string]*serviceLeases
	budget   func(now time.Time, floor Floor, members []Member) float64
}

// serviceLeases is the state of one service on an entry.
type serviceLeases struct {
	floor   Floor
	members map[netip.AddrPort]*knownTarget
	leases  []Ejection
	watched []netip.AddrPort
	ejected []Ejection
}

// knownTarget is a target with the time at which its state last changed.
type knownTarget struct {
	Target
	changedAt time.Time
}

// LeaseTableOption changes a setting of a LeaseTable.
type LeaseTableOption func(*LeaseTable)

// WithLocalBudget replaces the computation of the budget that the entry checks
// its leases against.
func WithLocalBudget(budget func(now time.Time, floor Floor, members []Member) float64) LeaseTableOption {
	return func(l *LeaseTable) { l.budget = budget }
}

// NewLeaseTable returns a table without leases, the state of an entry that has
// just started.
func NewLeaseTable(opts ...LeaseTableOption) *LeaseTable {
	l := &LeaseTable{services: map[string]*serviceLeases{}, budget: Budget}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetFloor sets the floor of a service.
func (l *LeaseTable) SetFloor(name string, floor Floor) { l.service(name).floor = floor }

// RemoveService removes a service with its leases and targets.
func (l *LeaseTable) RemoveService(name string) { delete(l.services, name) }

func (l *LeaseTable) service(name string) *serviceLeases {
	s := l.services[name]
	if s == nil {
		s = &serviceLeases{members: map[netip.AddrPort]*knownTarget{}}
		l.services[name] = s
	}
	return s
}

// UpdateTarget records what the entry knows of a target. Records of an older
// incarnation are ignored.
func (l *LeaseTable) UpdateTarget(now time.Time, t Target) {
	s := l.service(t.Service)
	old := s.members[t.Address]
	switch {
	case old == nil:
		s.members[t.Address] = &knownTarget{Target: t, changedAt: now}
	case t.Start.Before(old.Start):
	case t.State != old.State || t.Start.After(old.Start):
		*old = knownTarget{Target: t, changedAt: now}
	default:
		old.Target = t
	}
}

// SetOrders replaces the leases and the watch list. A message with a lower index
// than the last one is ignored.
func (l *LeaseTable) SetOrders(now time.Time, o wire.Orders) {
	if o.Index < l.index {
		return
	}
	l.index = o.Index
	for _, s := range l.services {
		s.leases, s.watched = s.leases[:0], s.watched[:0]
	}
	for _, w := range o.Watch {
		s := l.service(w.Service)
		s.watched = append(s.watched, w.Target)
	}
	for _, g := range o.Grants {
		s := l.service(g.Service)
		s.leases = append(s.leases, Ejection{
			Target: g.Target, Start: g.Start, Until: now.Add(min(g.Remaining, LeaseDuration)), Score: g.Score,
			Probe: slices.Contains(s.watched, g.Target),
		})
	}
}

// Step drops expired leases and checks the floor against the targets that the
// entry knows. If the floor is not met, targets return to service, the one with
// the lowest score first.
func (l *LeaseTable) Step(now time.Time) {
	for _, s := range l.services {
		s.ejected = s.ejected[:0]
		for _, lease := range s.leases {
			m := s.members[lease.Target]
			if now.Before(lease.Until) && m != nil && m.State == Ready && m.Start.Equal(lease.Start) {
				s.ejected = append(s.ejected, lease)
			}
		}
		slices.SortStableFunc(s.ejected, func(a, b Ejection) int { return cmp.Compare(b.Score, a.Score) })
		for len(s.ejected) > 0 && l.budget(now, s.floor, s.budgetMembers(now)) < 0 {
			s.ejected = s.ejected[:len(s.ejected)-1]
		}
	}
}

// budgetMembers returns the targets of the service for the budget, and drops
// those that have been gone for goneRetention.
func (s *serviceLeases) budgetMembers(now time.Time) []Member {
	out := make([]Member, 0, len(s.members))
	for address, m := range s.members {
		if m.State == Gone && now.Sub(m.changedAt) >= goneRetention {
			delete(s.members, address)
			continue
		}
		isEjected := slices.ContainsFunc(s.ejected, func(o Ejection) bool { return o.Target == address })
		out = append(out, Member{Address: address, Slots: m.Slots, State: m.State, Changed: m.changedAt, Ejected: isEjected})
	}
	return out
}

// Ejected returns the targets of a service that are out of service as of the last
// Step. The slice is valid until the next Step.
func (l *LeaseTable) Ejected(service string) []Ejection {
	if s := l.services[service]; s != nil {
		return s.ejected
	}
	return nil
}

// Watched returns the targets of a service whose evidence is to be reported.
func (l *LeaseTable) Watched(service string) []netip.AddrPort {
	if s := l.services[service]; s != nil {
		return s.watched
	}
	return nil
}
