package route

import (
	"sort"
	"time"
)

// member is one endpoint in a tier of a snapshot.
type member struct {
	endpoint *Endpoint
	weight   float64 // from the target's health and slow start
	slots    float64
}

// tier holds the available targets at one distance.
type tier struct {
	members        []member
	cumulative     []float64     // prefix sums of weight times slots
	totalSlots     float64       // sum of slots: the capacity of the tier if all weights were 1
	assumedLatency time.Duration // of members without a latency sample
}

func (t *tier) add(m member) {
	sum := m.weight * m.slots
	if n := len(t.cumulative); n > 0 {
		sum += t.cumulative[n-1]
	}
	t.members = append(t.members, m)
	t.cumulative = append(t.cumulative, sum)
	t.totalSlots += m.slots
}

// memberAt returns the member at the given fraction of the cumulative weight.
func (t *tier) memberAt(fraction float64) *member {
	n := len(t.cumulative)
	at := fraction * t.cumulative[n-1]
	i := sort.Search(n, func(i int) bool { return t.cumulative[i] > at })
	return &t.members[min(i, n-1)]
}

// snapshot holds the targets to choose from. It is immutable once published.
type snapshot struct {
	tiers       [tierCount]tier
	probes      []*Endpoint
	suspects    []suspect
	regionPeers int // instances of the region, including this one
	// regionTargets is the number of targets of the region that are in service, in
	// the subset of this instance or not.
	regionTargets int
}

// subsetShare returns the share of the region's targets that are in the subset of
// this instance.
func (s *snapshot) subsetShare() float64 {
	subset := len(s.tiers[sameDataCentre].members) + len(s.tiers[sameRegion].members)
	return float64(subset) / float64(max(1, s.regionTargets))
}

// suspect is a target that gets a fixed share of the repeatable requests until
// the given time.
type suspect struct {
	endpoint *Endpoint
	slots    float64
	until    time.Time
}
