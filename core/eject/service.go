package eject

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/wire"
)

// service is a service as the leader sees it.
type service struct {
	name     string
	floor    Floor
	policy   health.Policy
	records  map[netip.AddrPort]*record
	order    []*record
	proposed time.Time
	pending  bool      // a proposal has not been applied yet
	dirty    bool      // the set differs from the last proposal
	sent     []*record // the set of the last proposal
}

// propose returns the set when it has changed or its leases need a renewal.
func (s *service) propose(now time.Time) (Set, bool) {
	if s.pending && now.Sub(s.proposed) < stuck {
		return Set{}, false
	}
	var sent []*record
	for _, r := range s.order {
		if r.granted {
			sent = append(sent, r)
		}
	}
	if !s.dirty && !s.pending && (len(sent) == 0 || now.Sub(s.proposed) < Renewal) {
		return Set{}, false
	}
	set := Set{Service: s.name}
	for _, r := range sent {
		r.until = now.Add(Lease + Delay)
		set.Grants = append(set.Grants, wire.Grant{Service: s.name, Target: r.Address, Start: r.Start, Left: Lease, Score: r.score})
	}
	s.sent, s.proposed, s.pending, s.dirty = sent, now, true, false
	return set, true
}

// apply marks the set of the last proposal as applied.
func (s *service) apply() {
	s.pending = false
	for _, r := range s.sent {
		if r.granted {
			r.applied, r.leased = true, s.proposed
		}
	}
}
