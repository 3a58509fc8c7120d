package route

import (
	"math"
	"net/netip"
	"time"
)

// Candidate is an endpoint with the terms of its cost, in multiples of the typical latency.
type Candidate struct {
	Address netip.AddrPort
	Load    float64 // requests in flight, as estimated
	Slots   float64
	Busy    float64 // cost of the latency at this load
	Far     float64 // cost of the distance
	Risk    float64 // cost of a failure
	Cost    float64 // sum of the terms; 0 for an endpoint that cannot take the request
	Share   float64 // of the requests that this endpoint would get, without tests of others
	Reason  string  // why it gets none, empty otherwise
}

// Reasons why an endpoint gets no request.
const (
	reasonConnections = "this entry has as many connections to it as it may"
	reasonQuota       = "the target accepts no more requests a second"
	reasonExcluded    = "already tried"
	reasonCost        = "costs too much more than the cheapest"
)

// Explain returns the endpoints among which PickByCost would choose now, and those that it
// would pass over. It changes nothing. The shares leave out that an endpoint with an open
// connection may be preferred to one of similar cost.
func (r *Router) Explain(now time.Time, req Request) []Candidate {
	s := r.current.Load()
	q := r.costQuery(s, now, req)
	var least [tierCount]float64
	for i := range s.tiers {
		least[i] = math.Inf(1)
		for j := range s.tiers[i].members {
			least[i] = min(least[i], s.tiers[i].members[j].expectedCost(&q, i))
		}
	}
	lowest, total := min(least[sameDataCentre], least[sameRegion], least[otherRegion]), 0.0
	var out []Candidate
	for i := range s.tiers {
		for j := range s.tiers[i].members {
			m := &s.tiers[i].members[j]
			c := Candidate{Address: m.endpoint.address}
			c.Load, c.Slots = m.endpoint.expectedLoad(&q, m.slots)
			if math.IsInf(m.expectedCost(&q, i), 1) {
				c.Reason = m.endpoint.unavailability(now)
				out = append(out, c)
				continue
			}
			t := m.costTerms(&q, i)
			c.Busy, c.Far, c.Risk = t.busy, t.far+q.surcharge(least[i]-lowest), t.risk
			c.Cost = c.Busy + c.Far + c.Risk
			if c.Cost > lowest+maxCostGap {
				c.Reason = reasonCost
			} else {
				c.Share = math.Exp((lowest - c.Cost) / temperature)
				total += c.Share
			}
			out = append(out, c)
		}
	}
	for i := range out {
		out[i].Share /= max(total, math.SmallestNonzeroFloat64)
	}
	return out
}

// unavailability returns why the endpoint cannot take a request.
func (e *Endpoint) unavailability(now time.Time) string {
	switch {
	case e.inflight.Load() >= e.connectionLimit.Load():
		return reasonConnections
	case !e.withinQuota(now):
		return reasonQuota
	}
	return reasonExcluded
}
