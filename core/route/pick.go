package route

import (
	"net/netip"
	"slices"
	"time"
)

const (
	halfBits     = 32
	uniformScale = 1.0 / (1 << halfBits)
	// One pick in exploreEvery takes the first candidate whatever its cost.
	// Otherwise a slow target would lose every comparison, and nothing would show
	// that it has recovered.
	exploreEvery = 16
	// One repeatable request in sampleEvery goes to a suspect of the same data
	// centre, for sampleDuration after control began to watch it. At light load
	// the comparison of candidates would otherwise keep nearly all requests away
	// from it, and collecting the evidence for a decision would take many seconds.
	sampleEvery    = 4
	sampleDuration = time.Second
)

// candidate is an endpoint with its expected cost and utilization.
type candidate struct {
	endpoint    *Endpoint
	cost        float64
	utilization float64
	weight      float64
}

// query holds the parameters of one pick.
type query struct {
	now            time.Time
	nowMs          uint32 // now since the epoch of the router
	draw           uint64
	typicalLatency float64   // average over all endpoints, for those without a sample
	avoid          *Endpoint // may be nil
	exclude        []netip.AddrPort
}

func (q *query) excludes(e *Endpoint) bool {
	return e == q.avoid || slices.Contains(q.exclude, e.address)
}

// Pick chooses an endpoint by power of two choices. It returns nil when no
// target can take a request. draw is a uniformly random number. The endpoint
// avoid, which may be nil, is returned only if no other one is available.
func (r *Router) Pick(now time.Time, draw uint64, avoid *Endpoint) *Endpoint {
	e := r.pick(now, draw, avoid, nil)
	if e == nil && avoid != nil && avoid.available(now) {
		return avoid
	}
	return e
}

// PickExcluding is like Pick, but never returns an endpoint with an excluded
// address.
func (r *Router) PickExcluding(now time.Time, draw uint64, exclude []netip.AddrPort) *Endpoint {
	return r.pick(now, draw, nil, exclude)
}

func (r *Router) pick(now time.Time, draw uint64, avoid *Endpoint, exclude []netip.AddrPort) *Endpoint {
	s := r.current.Load()
	q := query{
		now: now, nowMs: uint32(now.Sub(r.epoch).Milliseconds()), draw: draw,
		typicalLatency: float64(r.latency.Load()), avoid: avoid, exclude: exclude,
	}
	var best candidate
	for i := range s.tiers {
		t := &s.tiers[i]
		if len(t.members) == 0 {
			continue
		}
		c := t.pickOfTwo(&q)
		if c.endpoint != nil && (best.endpoint == nil || c.cost < best.cost) {
			best = c
		}
		if best.sufficient(i) {
			break
		}
		q.draw = splitMix64(q.draw)
	}
	return best.endpoint
}

// sufficient reports whether the tiers beyond tierIndex need not be considered.
func (c *candidate) sufficient(tierIndex int) bool {
	limit := spillUse
	if tierIndex == sameRegion {
		limit = spillUseOtherRegion
	}
	return c.endpoint != nil && c.utilization < limit && c.weight*2 > 1
}

// PickProbation returns a random endpoint in probation, or nil if there is none
// or the chosen one has an attempt in flight or is at its limit. It is meant for
// repeatable requests; the caller limits how often it is used.
func (r *Router) PickProbation(now time.Time, draw uint64) *Endpoint {
	s := r.current.Load()
	if len(s.probes) == 0 {
		return nil
	}
	if e := s.probes[draw%uint64(len(s.probes))]; e.Inflight() == 0 && e.withinQuota(now) {
		return e
	}
	return nil
}

// PickSuspect returns a suspect that needs evidence, or nil for most draws. It
// is meant for repeatable requests. A suspect that already uses most of its
// slots gets no additional ones.
func (r *Router) PickSuspect(now time.Time, draw uint64) *Endpoint {
	s := r.current.Load()
	if len(s.suspects) == 0 || draw%sampleEvery != 0 {
		return nil
	}
	c := &s.suspects[draw/sampleEvery%uint64(len(s.suspects))]
	load, slots := c.endpoint.estimateLoad(uint32(now.Sub(r.epoch).Milliseconds()), c.slots)
	if !now.Before(c.until) || !c.endpoint.available(now) || load+1 > spillUse*slots {
		return nil
	}
	return c.endpoint
}

// pickOfTwo draws two members and returns the one with the lower cost that has
// a free connection. If neither is available, it scans the whole tier.
func (t *tier) pickOfTwo(q *query) candidate {
	a := t.memberAt(float64(uint32(q.draw)) * uniformScale)
	if splitMix64(q.draw)%exploreEvery == 0 {
		if explored := t.lowerCost(candidate{}, a, q); explored.endpoint != nil {
			return explored
		}
	}
	b := t.memberAt(float64(q.draw>>halfBits) * uniformScale)
	if a == b && len(t.members) > 1 {
		b = t.memberAt(float64(uint32(splitMix64(q.draw))) * uniformScale)
	}
	best := t.lowerCost(candidate{}, a, q)
	if a != b {
		best = t.lowerCost(best, b, q)
	}
	if best.endpoint != nil {
		return best
	}
	for i := range t.members {
		best = t.lowerCost(best, &t.members[i], q)
	}
	return best
}

func (t *tier) lowerCost(best candidate, m *member, q *query) candidate {
	e := m.endpoint
	if !e.available(q.now) || q.excludes(e) {
		return best
	}
	load, slots := e.estimateLoad(q.nowMs, m.slots)
	utilization := (load + 1) / slots
	latency := float64(e.latency.Load())
	if latency == 0 {
		latency = q.typicalLatency + float64(t.assumedLatency)
	}
	// A target runs as many requests concurrently as it has slots. Beyond that,
	// each additional request waits for a whole service time per slot.
	cost := latency * (1 + utilization)
	if utilization > 1 {
		cost *= utilization
	}
	if best.endpoint == nil || cost < best.cost {
		return candidate{endpoint: e, cost: cost, utilization: utilization, weight: m.weight}
	}
	return best
}

// available reports whether the endpoint can take a request: there is a free
// connection, and a limit of the target allows it.
func (e *Endpoint) available(now time.Time) bool {
	return e.inflight.Load() < e.connectionLimit.Load() && e.withinQuota(now)
}

func (e *Endpoint) withinQuota(now time.Time) bool { return e.quota == nil || e.quota.Available(now) }

// splitMix64 is one step of the SplitMix64 generator. It derives an independent
// draw from x.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
