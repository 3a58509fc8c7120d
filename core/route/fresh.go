package route

import "time"

const (
	// freshDuration is how long a target counts as new at an entry that has not used it.
	// New targets must get requests within 4 s.
	freshDuration = 5 * time.Second
	// freshDelay is the mean time until the entries of a region send a request to a new
	// target, beside those that choose it by its cost.
	freshDelay = 700 * time.Millisecond
	// coldDelay is the age from which a target gets them although it is still slow.
	coldDelay  = 2 * time.Second
	coldWeight = 0.5
	// freshDials is the age up to which a new target is dialled whenever it is chosen by
	// its cost. Later, so many entries are connected to it that it gets more than its part.
	freshDials = 2500 * time.Millisecond
	// maxFreshShare bounds the share of the requests that go to new targets for this reason.
	maxFreshShare = 0.25
)

// fresh reports whether the target is new and this entry has not used it.
func (e *Endpoint) fresh(now time.Time) bool {
	return !e.freshUntil.IsZero() && now.Before(e.freshUntil) && !e.used.Load()
}

// mayDial reports whether the target is so new that it is dialled when it is chosen.
func (e *Endpoint) mayDial(now time.Time) bool {
	return e.fresh(now) && e.freshUntil.Sub(now) > freshDuration-freshDials
}

// freshStats counts the new targets of the entry's region and selects one of them.
type freshStats struct {
	count  int
	chosen *Endpoint
}

// add counts an endpoint if it is new and can take a request.
func (f *freshStats) add(m *member, now time.Time, draw uint64) {
	e := m.endpoint
	if !e.fresh(now) || !e.available(now) || m.weight < coldWeight && e.freshUntil.Sub(now) > freshDuration-coldDelay {
		return
	}
	if e.suspicion != nil {
		if _, _, avoided := e.suspicion.Avoided(now); avoided {
			return
		}
	}
	f.count++
	if f.chosen == nil || draw%uint64(f.count) == 0 {
		f.chosen = e
	}
}

// share returns the share of this entry's requests that should go to new targets, so
// that the entries of the region together use each of them soon.
func (f *freshStats) share(s *snapshot, meanInterval float64) float64 {
	return min(maxFreshShare, float64(f.count)*meanInterval/(float64(s.regionPeers)*float64(freshDelay)))
}
