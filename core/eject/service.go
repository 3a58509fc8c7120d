package eject

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/wire"
)

// service is the state that the leader keeps of a service.
type service struct {
	name       string
	floor      Floor
	policy     health.Policy
	records    map[netip.AddrPort]*record
	order      []*record
	proposedAt time.Time
	pending    bool      // a proposal has not been applied yet
	dirty      bool      // the set differs from the last proposal
	proposal   []*record // the set of the last proposal
}

// propose returns the set of grants to propose when it has changed or when its
// leases are due for renewal.
func (s *service) propose(now time.Time) (GrantSet, bool) {
	if s.pending && now.Sub(s.proposedAt) < proposalTimeout {
		return GrantSet{}, false
	}
	var ejected []*record
	for _, r := range s.order {
		if r.granted {
			ejected = append(ejected, r)
		}
	}
	if !s.dirty && !s.pending && (len(ejected) == 0 || now.Sub(s.proposedAt) < RenewalInterval) {
		return GrantSet{}, false
	}
	set := GrantSet{Service: s.name}
	for _, r := range ejected {
		r.leasedUntil = now.Add(LeaseDuration + MaxMessageDelay)
		set.Grants = append(set.Grants, wire.Grant{Service: s.name, Target: r.Address, Start: r.Start, Remaining: LeaseDuration, Score: r.score})
	}
	s.proposal, s.proposedAt, s.pending, s.dirty = ejected, now, true, false
	return set, true
}

// apply marks the set of the last proposal as applied.
func (s *service) apply() {
	s.pending = false
	for _, r := range s.proposal {
		if r.granted {
			r.applied, r.leasedAt = true, s.proposedAt
		}
	}
}
