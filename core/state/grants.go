package state

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Lease keeps one target out of service. A target with a lease that is not
// current counts as ejected until the lease expires, because an entry may still
// act on it.
type Lease struct {
	Service string    `cbor:"service"`
	Target  Target    `cbor:"target"`
	Expires time.Time `cbor:"expires"`
	Current bool      `cbor:"current"` // in the newest set of the service
}

type leaseKey struct {
	service string
	address netip.AddrPort
	start   int64
}

type grants struct {
	leases map[leaseKey]Lease
	sets   map[string]uint64 // number of the newest set of each service
	next   time.Time         // earliest expiry, or the zero time

	// Caches shared by views, nil after a change. Most commands are claims,
	// which do not invalidate them.
	cachedLeases []Lease
	cachedSets   map[string]uint64
}

func newGrants() grants {
	return grants{leases: map[leaseKey]Lease{}, sets: map[string]uint64{}}
}

func (g *grants) expire(now time.Time) {
	if g.next.IsZero() || g.next.After(now) {
		return
	}
	for key, lease := range g.leases {
		if !lease.Expires.After(now) {
			delete(g.leases, key)
		}
	}
	g.refresh()
}

// refresh drops the caches and recomputes the next expiry. It must be called
// after every change.
func (g *grants) refresh() {
	g.cachedLeases, g.cachedSets = nil, nil
	g.next = time.Time{}
	for _, lease := range g.leases {
		if g.next.IsZero() || lease.Expires.Before(g.next) {
			g.next = lease.Expires
		}
	}
}

func (g *grants) grant(c *Grant, now time.Time) *Granted {
	if c.Set != g.sets[c.Service] {
		return &Granted{Set: g.sets[c.Service]}
	}
	if len(g.leases)+len(c.Targets) > MaxLeases {
		return &Granted{Set: g.sets[c.Service]}
	}
	for key, lease := range g.leases {
		if key.service == c.Service {
			lease.Current = false
			g.leases[key] = lease
		}
	}
	expires := now.Add(min(max(c.Lease, minLease), maxLease))
	for _, t := range c.Targets {
		key := leaseKey{service: c.Service, address: t.Address, start: t.Start.UnixNano()}
		g.leases[key] = Lease{Service: c.Service, Target: t, Expires: later(expires, g.leases[key].Expires), Current: true}
	}
	return g.incrementSet(c.Service)
}

func (g *grants) withdraw(c *Withdraw) *Granted {
	for key, lease := range g.leases {
		if key.service == c.Service && slices.Contains(c.Targets, key.address) {
			lease.Current = false
			g.leases[key] = lease
		}
	}
	return g.incrementSet(c.Service)
}

func (g *grants) incrementSet(service string) *Granted {
	g.sets[service]++
	g.refresh()
	return &Granted{Applied: true, Set: g.sets[service]}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setNumbers returns the number of the newest set of each service; callers must
// not change the map.
func (g *grants) setNumbers() map[string]uint64 {
	if g.cachedSets == nil {
		g.cachedSets = maps.Clone(g.sets)
	}
	return g.cachedSets
}

// list returns the leases sorted by service, address and start; callers must
// not change the slice.
func (g *grants) list() []Lease {
	if g.cachedLeases != nil {
		return g.cachedLeases
	}
	out := make([]Lease, 0, len(g.leases))
	for _, lease := range g.leases {
		out = append(out, lease)
	}
	slices.SortFunc(out, func(a, b Lease) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), a.Target.Address.Compare(b.Target.Address), a.Target.Start.Compare(b.Target.Start))
	})
	g.cachedLeases = out
	return out
}
