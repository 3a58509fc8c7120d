package fleet

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/state"
)

// leaseKey identifies one grant of a lease. A renewal has a different expiry and
// therefore a different key.
type leaseKey struct {
	service string
	target  netip.AddrPort
	start   int64
	expires int64
}

// observedLease records when this replica first observed a lease and its remaining
// time then, by the clock of the replicated state.
type observedLease struct {
	seenAt  time.Time
	initial time.Duration
}

// remaining returns an upper bound of the remaining time of a lease that does not
// compare the clocks of two instances. A partitioned replica whose clock is behind
// would otherwise send the same lease forever.
func (s observedLease) remaining(now time.Time) time.Duration { return s.initial - now.Sub(s.seenAt) }

func leaseKeyOf(l state.Lease) leaseKey {
	return leaseKey{
		service: l.Service, target: l.Target.Address,
		start: l.Target.Start.UnixNano(), expires: l.Expires.UnixNano(),
	}
}

// observeLeases records new leases of the view and removes those that are gone.
func (f *Fleet) observeLeases() {
	v := f.View()
	next := make(map[leaseKey]observedLease, len(v.Leases))
	for _, l := range v.Leases {
		key := leaseKeyOf(l)
		seen, ok := f.observedLeases[key]
		if !ok {
			seen = observedLease{seenAt: f.Clock(), initial: l.Expires.Sub(v.Time)}
		}
		next[key] = seen
	}
	f.observedLeases = next
}
