package eject

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

// Keeper holds the leases of one entry. It is not safe for concurrent use.
type Keeper struct {
	index    uint64
	services map[string]*kept
	budget   func(now time.Time, floor Floor, members []Member) float64
}

type kept struct {
	floor   Floor
	members map[netip.AddrPort]*known
	leases  []Standing
	watch   []netip.AddrPort
	out     []Standing
}

type known struct {
	Target
	changed time.Time
}

// KeeperOption changes a setting of a Keeper.
type KeeperOption func(*Keeper)

// WithRecheck replaces the computation of the budget by which leases are
// checked again.
func WithRecheck(budget func(now time.Time, floor Floor, members []Member) float64) KeeperOption {
	return func(k *Keeper) { k.budget = budget }
}

// NewKeeper returns a keeper without leases, as an entry starts.
func NewKeeper(opts ...KeeperOption) *Keeper {
	k := &Keeper{services: map[string]*kept{}, budget: Budget}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Service sets the floor of a service.
func (k *Keeper) Service(name string, floor Floor) { k.service(name).floor = floor }

// Drop forgets a service.
func (k *Keeper) Drop(name string) { delete(k.services, name) }

func (k *Keeper) service(name string) *kept {
	s := k.services[name]
	if s == nil {
		s = &kept{members: map[netip.AddrPort]*known{}}
		k.services[name] = s
	}
	return s
}

// Target records what the entry knows of a target.
func (k *Keeper) Target(now time.Time, t Target) {
	s := k.service(t.Service)
	old := s.members[t.Address]
	switch {
	case old == nil:
		s.members[t.Address] = &known{Target: t, changed: now}
	case t.Start.Before(old.Start):
	case t.State != old.State || t.Start.After(old.Start):
		*old = known{Target: t, changed: now}
	default:
		old.Target = t
	}
}

// Orders replaces the leases and the watch list. Orders of a lower index than
// the last are ignored.
func (k *Keeper) Orders(now time.Time, o wire.Orders) {
	if o.Index < k.index {
		return
	}
	k.index = o.Index
	for _, s := range k.services {
		s.leases, s.watch = s.leases[:0], s.watch[:0]
	}
	for _, w := range o.Watch {
		s := k.service(w.Service)
		s.watch = append(s.watch, w.Target)
	}
	for _, g := range o.Grants {
		s := k.service(g.Service)
		s.leases = append(s.leases, Standing{
			Target: g.Target, Start: g.Start, Until: now.Add(min(g.Left, Lease)), Score: g.Score,
			Probe: slices.Contains(s.watch, g.Target),
		})
	}
}

// Step drops expired leases and checks the floor against the targets that the
// entry knows; the least unhealthy return first.
func (k *Keeper) Step(now time.Time) {
	for _, s := range k.services {
		s.out = s.out[:0]
		for _, lease := range s.leases {
			m := s.members[lease.Target]
			if now.Before(lease.Until) && m != nil && m.State == Ready && m.Start.Equal(lease.Start) {
				s.out = append(s.out, lease)
			}
		}
		slices.SortStableFunc(s.out, func(a, b Standing) int { return cmp.Compare(b.Score, a.Score) })
		for len(s.out) > 0 && k.budget(now, s.floor, s.budgeted(now)) < 0 {
			s.out = s.out[:len(s.out)-1]
		}
	}
}

func (s *kept) budgeted(now time.Time) []Member {
	out := make([]Member, 0, len(s.members))
	for address, m := range s.members {
		if m.State == Gone && now.Sub(m.changed) >= remember {
			delete(s.members, address)
			continue
		}
		held := slices.ContainsFunc(s.out, func(o Standing) bool { return o.Target == address })
		out = append(out, Member{Address: address, Slots: m.Slots, State: m.State, Changed: m.changed, Ejected: held})
	}
	return out
}

// Out returns the targets of a service that are held out, as of the last Step.
// The slice is valid until the next one.
func (k *Keeper) Out(service string) []Standing {
	if s := k.services[service]; s != nil {
		return s.out
	}
	return nil
}

// Watched returns the targets of a service to report about.
func (k *Keeper) Watched(service string) []netip.AddrPort {
	if s := k.services[service]; s != nil {
		return s.watch
	}
	return nil
}
