package route

import (
	"net/netip"
	"slices"
	"time"
)

const (
	half = 32
	unit = 1.0 / (1 << half)
	// explore is the share of picks, one in so many, that take the first
	// candidate whatever it costs. A slow target would lose every comparison
	// and give no evidence of its state.
	explore = 16
	// One repeatable request in sampleShare goes to a suspect of the same data
	// centre for the time sampled after control began to watch it. At light
	// load the comparison of candidates otherwise keeps nearly all requests
	// away, and the evidence for a decision takes many seconds.
	sampleShare = 4
	sampled     = time.Second
)

// choice is a candidate with its expected cost and use.
type choice struct {
	endpoint *Endpoint
	cost     float64
	use      float64
	weight   float64
}

// question is one search for an endpoint.
type question struct {
	ms      uint32 // now, since the epoch of the router
	draw    uint64
	typical float64 // latency of an endpoint that has none of its own
	skip    func(e *Endpoint) bool
}

// Pick chooses an endpoint, or returns nil when no target can take a request.
// Draw is uniformly random. Avoid may be nil; it is chosen only when it is the
// last resort.
func (r *Router) Pick(now time.Time, draw uint64, avoid *Endpoint) *Endpoint {
	e := r.pick(now, draw, func(e *Endpoint) bool { return e == avoid })
	if e == nil && avoid != nil && avoid.free() {
		return avoid
	}
	return e
}

// PickOutside is Pick among the endpoints whose addresses are not excluded.
func (r *Router) PickOutside(now time.Time, draw uint64, exclude []netip.AddrPort) *Endpoint {
	return r.pick(now, draw, func(e *Endpoint) bool { return slices.Contains(exclude, e.address) })
}

func (r *Router) pick(now time.Time, draw uint64, skip func(e *Endpoint) bool) *Endpoint {
	s := r.current.Load()
	q := question{
		ms: uint32(now.Sub(r.epoch).Milliseconds()), draw: draw,
		typical: float64(r.latency.Load()), skip: skip,
	}
	var best choice
	for i := range s.tiers {
		t := &s.tiers[i]
		if len(t.members) == 0 {
			continue
		}
		c := t.better(&q)
		if c.endpoint != nil && (best.endpoint == nil || c.cost < best.cost) {
			best = c
		}
		if best.enough(i) {
			break
		}
		q.draw = mix(q.draw)
	}
	return best.endpoint
}

// enough reports whether farther tiers than this one need not be considered.
func (c *choice) enough(tier int) bool {
	limit := spill
	if tier == sameRegion {
		limit = spillFar
	}
	return c.endpoint != nil && c.use < limit && c.weight*2 > 1
}

// Probe returns an endpoint in probation for a repeatable request, or nil. The
// caller decides how many requests become probes.
func (r *Router) Probe(draw uint64) *Endpoint {
	s := r.current.Load()
	if len(s.probes) == 0 {
		return nil
	}
	if e := s.probes[draw%uint64(len(s.probes))]; e.Inflight() == 0 {
		return e
	}
	return nil
}

// Sample returns a suspect that needs evidence, for a repeatable request, or
// nil. A suspect that already uses most of its slots gets no further ones.
func (r *Router) Sample(now time.Time, draw uint64) *Endpoint {
	s := r.current.Load()
	if len(s.samples) == 0 || draw%sampleShare != 0 {
		return nil
	}
	c := &s.samples[draw/sampleShare%uint64(len(s.samples))]
	load, slots := c.endpoint.load(uint32(now.Sub(r.epoch).Milliseconds()), c.slots)
	if !now.Before(c.until) || !c.endpoint.free() || load+1 > spill*slots {
		return nil
	}
	return c.endpoint
}

// better draws two members and returns the cheaper one that has a connection
// left. When neither will do, it scans the tier once.
func (t *tier) better(q *question) choice {
	a := t.draw(float64(uint32(q.draw)) * unit)
	if mix(q.draw)%explore == 0 {
		if first := t.cheaper(choice{}, a, q); first.endpoint != nil {
			return first
		}
	}
	b := t.draw(float64(q.draw>>half) * unit)
	if a == b && len(t.members) > 1 {
		b = t.draw(float64(uint32(mix(q.draw))) * unit)
	}
	best := t.cheaper(choice{}, a, q)
	if a != b {
		best = t.cheaper(best, b, q)
	}
	if best.endpoint != nil {
		return best
	}
	for i := range t.members {
		best = t.cheaper(best, &t.members[i], q)
	}
	return best
}

func (t *tier) cheaper(best choice, m *member, q *question) choice {
	e := m.endpoint
	if !e.free() || q.skip(e) {
		return best
	}
	load, slots := e.load(q.ms, m.slots)
	use := (load + 1) / slots
	latency := float64(e.latency.Load())
	if latency == 0 {
		latency = q.typical + float64(t.base)
	}
	// Up to its slots a target runs requests side by side; beyond them each
	// further request waits for a whole service time per slot.
	cost := latency * (1 + use)
	if use > 1 {
		cost *= use
	}
	if best.endpoint == nil || cost < best.cost {
		return choice{endpoint: e, cost: cost, use: use, weight: m.weight}
	}
	return best
}

func (e *Endpoint) free() bool { return e.inflight.Load() < e.limit.Load() }

// mix is the finalizer of SplitMix64; it derives an independent draw.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
