package fleet

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/state"
)

// leaseKey names one granting of a lease. A renewal has another expiry.
type leaseKey struct {
	service string
	target  netip.AddrPort
	start   int64
	expires int64
}

// leaseSeen is when this replica first saw a lease, and what was left of it by
// the time of the replicated state.
type leaseSeen struct {
	at   time.Time
	rest time.Duration
}

// left bounds what is left of a lease without comparing the clocks of two
// instances. By its own clock alone, a replica that is cut off and whose clock
// is behind would hand out the same lease for ever.
func (s leaseSeen) left(now time.Time) time.Duration { return s.rest - now.Sub(s.at) }

func keyOf(l state.Lease) leaseKey {
	return leaseKey{
		service: l.Service, target: l.Target.Address,
		start: l.Target.Start.UnixNano(), expires: l.Expires.UnixNano(),
	}
}

// see notes the leases of the view.
func (f *Fleet) see() {
	v := f.View()
	next := make(map[leaseKey]leaseSeen, len(v.Leases))
	for _, l := range v.Leases {
		key := keyOf(l)
		seen, ok := f.leases[key]
		if !ok {
			seen = leaseSeen{at: f.Clock(), rest: l.Expires.Sub(v.Time)}
		}
		next[key] = seen
	}
	f.leases = next
}
