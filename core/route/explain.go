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
// would pass over. It changes nothing.
func (r *Router) Explain(now time.Time, req Request) []Candidate {
	s := r.current.Load()
	nowMs := uint32(now.Sub(r.epoch).Milliseconds())
	typicalLatency := float64(r.latency.Load())
	var out []Candidate
	least, total := math.Inf(1), 0.0
	for i := range s.tiers {
		for j := range s.tiers[i].members {
			m := &s.tiers[i].members[j]
			c := Candidate{Address: m.endpoint.address}
			c.Load, c.Slots = m.endpoint.estimateLoad(nowMs, m.slots)
			if cost := m.expectedCost(now, nowMs, typicalLatency, i, &req); math.IsInf(cost, 1) {
				c.Reason = m.endpoint.unavailability(now)
			} else {
				c.Cost = cost
				c.Risk = m.riskCost(now, &req)
				utilization := (c.Load + 1) / c.Slots
				c.Busy = m.endpoint.latencyRatio(typicalLatency) * (1 + utilization) * max(1, utilization) / m.weight
				c.Far = cost - c.Risk - c.Busy
				least = min(least, cost)
			}
			out = append(out, c)
		}
	}
	for i := range out {
		c := &out[i]
		switch {
		case c.Reason != "":
		case c.Cost > least+maxCostGap:
			c.Reason = reasonCost
		default:
			c.Share = math.Exp((least - c.Cost) / temperature)
			total += c.Share
		}
	}
	for i := range out {
		out[i].Share /= max(total, math.SmallestNonzeroFloat64)
	}
	return out
}

// riskCost returns the part of expectedCost that stands for a failure.
func (m *member) riskCost(now time.Time, req *Request) float64 {
	if m.endpoint.suspicion == nil {
		return 0
	}
	cost := float64(costRetry)
	if req.NonRepeatable {
		cost = costFailedOnce
	}
	return cost * m.endpoint.suspicion.Risk(now)
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
