package route

import (
	"sort"
	"time"
)

// member is one endpoint in a tier of a snapshot.
type member struct {
	endpoint *Endpoint
	weight   float64 // health, slow start
	slots    float64
}

// tier holds the members at one distance.
type tier struct {
	members    []member
	cumulative []float64     // running sum of weight times slots
	whole      float64       // sum of slots: what the tier would carry with all weights at 1
	base       time.Duration // assumed latency of members without a sample
}

func (t *tier) add(m member) {
	sum := m.weight * m.slots
	if n := len(t.cumulative); n > 0 {
		sum += t.cumulative[n-1]
	}
	t.members = append(t.members, m)
	t.cumulative = append(t.cumulative, sum)
	t.whole += m.slots
}

// draw returns the member at a fraction of the total weight.
func (t *tier) draw(fraction float64) *member {
	n := len(t.cumulative)
	at := fraction * t.cumulative[n-1]
	i := sort.Search(n, func(i int) bool { return t.cumulative[i] > at })
	return &t.members[min(i, n-1)]
}

// snapshot is immutable once published.
type snapshot struct {
	tiers   [tiers]tier
	probes  []*Endpoint
	samples []sample
	peers   int // instances of the region that choose among the targets
}

// sample is a suspect that gets a share of the repeatable requests for a while.
type sample struct {
	endpoint *Endpoint
	slots    float64
	until    time.Time
}
