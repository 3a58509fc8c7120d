package route

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// The costs of a choice, in multiples of the typical latency of the service.
const (
	// lossOnce is the cost of a failure of a request that cannot be repeated,
	// lossAgain that of one that can, which costs a further attempt.
	lossOnce  = 30
	lossAgain = 6
	// costRegion is the cost of another data centre of the region, costFar that
	// of another region, whose links are slow and billed by volume. For a bulky
	// request both are higher by the factor, about the ratio of the volumes, so
	// that it leaves its region only when the near targets are full.
	costRegion = 1.5
	costFar    = 6
	bulky      = 6
	// temperature is the difference of cost at which one of two endpoints is
	// chosen e times as often as the other. Entries that know the same would all
	// choose the same endpoint if the least cost decided.
	temperature = 0.4
	// margin is the difference of cost beyond which an endpoint is not chosen.
	margin = 6 * temperature
	// Latencies of single endpoints are rough; they count within these bounds.
	leastSpeed = 0.5
	mostSpeed  = 2
)

// Wish is what matters of a request for the choice of its target.
type Wish struct {
	Once    bool // the request must not be repeated
	Bulky   bool // its body is large
	Exclude []netip.AddrPort
}

// Choose chooses among all endpoints by their expected cost: latency at their
// load, distance and the loss if they fail. It is made for services of which an
// entry sends a few requests a second, spread over more targets than that; Pick
// is the choice for many requests to few targets. It returns nil when no target
// can take a request. Draw is uniformly random.
func (r *Router) Choose(now time.Time, draw uint64, w Wish) *Endpoint {
	s := r.current.Load()
	ms := uint32(now.Sub(r.epoch).Milliseconds())
	typical := float64(r.latency.Load())
	least := math.Inf(1)
	var near census
	for i := range s.tiers {
		for j := range s.tiers[i].members {
			m := &s.tiers[i].members[j]
			least = min(least, m.expected(now, ms, typical, i, &w))
			if i != elsewhere {
				draw = mix(draw)
				near.add(m.endpoint, now, draw)
			}
		}
	}
	if len(w.Exclude) == 0 {
		r.pace.note(now.Sub(r.epoch))
		draw = mix(draw)
		if near.test != nil && fraction(draw) < r.tests(s, near) {
			return near.test
		}
	}
	var best *Endpoint
	score := math.Inf(1)
	for i := range s.tiers {
		for j := range s.tiers[i].members {
			m := &s.tiers[i].members[j]
			cost := m.expected(now, ms, typical, i, &w)
			if math.IsInf(cost, 1) || cost > least+margin {
				continue
			}
			// The least of costs with Gumbel noise is a draw by exp(-cost).
			draw = mix(draw)
			if noisy := cost - temperature*gumbel(draw); noisy < score {
				best, score = m.endpoint, noisy
			}
		}
	}
	return best
}

// fraction maps a draw to the open interval from 0 to 1.
func fraction(draw uint64) float64 { return (float64(draw>>11) + 0.5) / (1 << 53) }

// gumbel maps a draw to the standard Gumbel distribution.
func gumbel(draw uint64) float64 { return -math.Log(-math.Log(fraction(draw))) }

// expected is the expected cost of an endpoint at a distance, infinite for one
// that cannot take the request.
func (m *member) expected(now time.Time, ms uint32, typical float64, distance int, w *Wish) float64 {
	e := m.endpoint
	if !e.free() || slices.Contains(w.Exclude, e.address) {
		return math.Inf(1)
	}
	load, slots := e.load(ms, m.slots)
	use := (load + 1) / slots
	cost := e.speed(typical) * (1 + use) * max(1, use) / m.weight
	factor := 1.0
	if w.Bulky {
		factor = bulky
	}
	switch distance {
	case sameRegion:
		cost += costRegion * factor
	case elsewhere:
		cost += costFar * factor
	}
	if e.suspicion != nil {
		loss := float64(lossAgain)
		if w.Once {
			loss = lossOnce
		}
		cost += loss * e.suspicion.Risk(now)
	}
	return cost
}

// speed is the latency of an endpoint in multiples of the typical one.
func (e *Endpoint) speed(typical float64) float64 {
	own := float64(e.latency.Load())
	if own == 0 || typical == 0 {
		return 1
	}
	return min(mostSpeed, max(leastSpeed, own/typical))
}
