package route

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// Costs of an endpoint, in multiples of the typical latency of the service.
const (
	// costFailedOnce is the cost of a failed request that must not be repeated,
	// costRetry that of one that may be, which costs another attempt.
	costFailedOnce = 30
	costRetry      = 6
	// costOtherDataCentre is the cost of another data centre of the region,
	// costOtherRegion that of another region, whose links are slow and billed by
	// volume, as long as the latency or the volume of the request is unknown. For a
	// request with a large body both are multiplied by largeBodyFactor, about the
	// ratio of the volumes, so that it leaves its region only when the targets there
	// are full.
	costOtherDataCentre = 1.5
	costOtherRegion     = 6.0
	largeBodyFactor     = 6
	// temperature is the cost difference at which one of two endpoints is chosen
	// e times as often as the other. If the lowest cost always won, entries with
	// the same information would all choose the same endpoint.
	temperature = 0.4
	// maxCostGap is the distance from the lowest cost beyond which an endpoint is
	// not chosen.
	maxCostGap = 6 * temperature
	// The latency estimate of a single endpoint is imprecise, so its ratio to the
	// typical latency is clamped to these bounds.
	minLatencyRatio = 0.5
	maxLatencyRatio = 2
)

// Request holds the properties of a request that affect the choice of its
// target.
type Request struct {
	NonRepeatable bool    // the request must not be repeated
	LargeBody     bool    // the request has a large body
	Bytes         float64 // volume of the request and its response, see Volume; 0: unknown
	Exclude       []netip.AddrPort
}

// PickByCost chooses among all endpoints by expected cost, which combines the
// latency at the current load, the distance and the cost of a failure. It suits
// services to which an entry sends only a few requests a second, spread over
// more targets than that; Pick suits many requests to few targets. It returns
// nil when no target can take a request. draw is a uniformly random number.
func (r *Router) PickByCost(now time.Time, draw uint64, req Request) *Endpoint {
	s := r.current.Load()
	q := r.costQuery(s, now, req)
	least := [tierCount]float64{}
	var stats regionStats
	var fresh freshStats
	for i := range s.tiers {
		least[i] = math.Inf(1)
		for j := range s.tiers[i].members {
			m := &s.tiers[i].members[j]
			least[i] = min(least[i], m.expectedCost(&q, i))
			if i != otherRegion {
				draw = splitMix64(draw)
				stats.add(m.endpoint, now, draw)
				fresh.add(m, now, draw)
			}
		}
	}
	if len(req.Exclude) == 0 {
		r.requestInterval.record(now.Sub(r.epoch))
		draw = splitMix64(draw)
		if stats.testTarget != nil && uniform(draw) < r.testShare(s, stats, req.NonRepeatable) {
			return stats.testTarget
		}
		if r.hasIdle != nil && fresh.count > 0 && uniform(splitMix64(^draw)) < fresh.share(s, float64(r.requestInterval.mean.Load())) {
			return fresh.chosen
		}
	}
	chosen := s.sample(&q, &least, draw)
	if stats.needsSpread() || r.refusedLately(now) {
		return chosen.endpoint
	}
	return r.preferIdle(s, &q, chosen, splitMix64(^draw))
}

// costQuery holds what the costs of all endpoints have in common.
type costQuery struct {
	now            time.Time
	nowMs          uint32 // now since the epoch of the router
	typicalLatency float64
	nearRoundTrip  float64 // to targets of the same data centre
	nearUse        float64 // of the targets of the same data centre
	req            Request
}

func (r *Router) costQuery(s *snapshot, now time.Time, req Request) costQuery {
	q := costQuery{
		now: now, nowMs: uint32(now.Sub(r.epoch).Milliseconds()), typicalLatency: float64(r.latency.Load()),
		nearRoundTrip: float64(assumedLatencies[sameDataCentre]), req: req,
	}
	if near := s.tiers[sameDataCentre].members; len(near) > 0 {
		q.nearRoundTrip = near[0].endpoint.roundTrip(sameDataCentre)
		q.nearUse = near[0].endpoint.place.assumedUse(q.nowMs, 0)
	}
	return q
}

// choice is an endpoint with its tier and its cost.
type choice struct {
	endpoint  *Endpoint
	tierIndex int
	cost      float64
}

// sample draws one endpoint by cost, given the least cost of each tier.
func (s *snapshot) sample(q *costQuery, least *[tierCount]float64, draw uint64) choice {
	lowest := min(least[sameDataCentre], least[sameRegion], least[otherRegion])
	var best choice
	bestScore := math.Inf(1)
	for i := range s.tiers {
		surcharge := q.surcharge(least[i] - lowest)
		for j := range s.tiers[i].members {
			m := &s.tiers[i].members[j]
			cost := m.expectedCost(q, i) + surcharge
			if math.IsInf(cost, 1) || cost > lowest+maxCostGap {
				continue
			}
			// Taking the minimum after adding Gumbel noise samples an endpoint with a
			// probability proportional to exp(-cost/temperature).
			draw = splitMix64(draw)
			if noisyCost := cost - temperature*gumbel(draw); noisyCost < bestScore {
				best, bestScore = choice{m.endpoint, i, cost - surcharge}, noisyCost
			}
		}
	}
	return best
}

// uniform maps a draw to the open interval (0, 1).
func uniform(draw uint64) float64 { return (float64(draw>>11) + 0.5) / (1 << 53) }

// gumbel maps a draw to the standard Gumbel distribution.
func gumbel(draw uint64) float64 { return -math.Log(-math.Log(uniform(draw))) }

// terms are the parts of an expected cost, in multiples of the typical latency.
type terms struct {
	busy float64 // latency at the present load
	far  float64 // distance
	risk float64 // failure
}

func (t terms) sum() float64 { return t.busy + t.far + t.risk }

// expectedCost returns the expected cost of the endpoint in the given tier. It
// is infinite if the endpoint cannot take the request.
func (m *member) expectedCost(q *costQuery, tierIndex int) float64 {
	if e := m.endpoint; !e.available(q.now) || slices.Contains(q.req.Exclude, e.address) {
		return math.Inf(1)
	}
	return m.costTerms(q, tierIndex).sum()
}

// costTerms returns the terms of the expected cost of an endpoint that can take the
// request.
func (m *member) costTerms(q *costQuery, tierIndex int) (out terms) {
	e := m.endpoint
	load, slots := e.expectedLoad(q, m.slots)
	utilization := (load + 1) / slots
	out.busy = e.latencyRatio(q.typicalLatency) * (1 + utilization) * max(1, utilization) / m.weight
	out.far = e.distanceCost(q.typicalLatency, q.nearRoundTrip, tierIndex, &q.req)
	if e.suspicion != nil {
		failureCost := float64(costRetry)
		if q.req.NonRepeatable {
			failureCost = costFailedOnce
		}
		out.risk = failureCost * e.suspicion.Risk(q.now)
	}
	return out
}

// latencyRatio returns the latency of the endpoint in multiples of the typical
// one, or 1 if either is unknown.
func (e *Endpoint) latencyRatio(typicalLatency float64) float64 {
	ownLatency := float64(e.latency.Load())
	if ownLatency == 0 || typicalLatency == 0 {
		return 1
	}
	return min(maxLatencyRatio, max(minLatencyRatio, ownLatency/typicalLatency))
}
