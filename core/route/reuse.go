package route

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// similarCost is how much more than the chosen endpoint another one may cost that is
	// taken because it has an idle connection.
	similarCost = 0.7
	// dialShare is the share of the requests for which a connection is opened although
	// an endpoint of similar cost has an idle one. Otherwise an entry would use the same
	// few targets for ever, and know nothing of the load of the others.
	dialShare = 0.06
	// maxDialCredit and minDialCredit bound the dials that are saved up, and those that
	// were inevitable and count against later ones.
	maxDialCredit = 3
	minDialCredit = -3

	milli = 1000
)

// WithIdleConnections sets the function that reports whether there is an idle connection
// to a target which a request may use. It is called from traffic goroutines.
func WithIdleConnections(has func(target netip.AddrPort, nonRepeatable bool) bool) Option {
	return func(r *Router) { r.hasIdle = has }
}

// dialCredit limits the dials that are not necessary to a share of the requests.
type dialCredit struct{ credit atomic.Int64 } // in thousandths of a dial

// earn adds the share of one request. A concurrent update may be lost.
func (d *dialCredit) earn() {
	d.credit.Store(min(d.credit.Load()+dialShare*milli, maxDialCredit*milli))
}

// spend takes one dial.
func (d *dialCredit) spend() {
	d.credit.Store(max(d.credit.Load()-milli, minDialCredit*milli))
}

func (d *dialCredit) allows() bool { return d.credit.Load() >= milli }

// preferIdle returns an endpoint of the same tier with an idle connection and a cost
// similar to that of the chosen one, if that one has none.
func (r *Router) preferIdle(s *snapshot, q *costQuery, chosen choice, draw uint64) *Endpoint {
	if r.hasIdle == nil || chosen.endpoint == nil {
		return chosen.endpoint
	}
	r.dials.earn()
	if r.hasIdle(chosen.endpoint.address, q.req.NonRepeatable) {
		return chosen.endpoint
	}
	best := chosen.endpoint
	if !r.dials.allows() && !best.mayDial(q.now) {
		bestScore := math.Inf(1)
		members := s.tiers[chosen.tierIndex].members
		for j := range members {
			m := &members[j]
			cost := m.expectedCost(q, chosen.tierIndex)
			if cost > chosen.cost+similarCost || !r.hasIdle(m.endpoint.address, q.req.NonRepeatable) {
				continue
			}
			draw = splitMix64(draw)
			if noisyCost := cost - temperature*gumbel(draw); noisyCost < bestScore {
				best, bestScore = m.endpoint, noisyCost
			}
		}
	}
	if best == chosen.endpoint {
		r.dials.spend()
	}
	return best
}

// needsSpread reports whether so many targets are avoided that the others must not go
// without requests for the sake of a connection.
func (stats *regionStats) needsSpread() bool { return float64(stats.avoided) > stats.allowed() }

// RecordRefusal records that a target refused a request. For floorWindow the targets
// must then get requests evenly.
func (r *Router) RecordRefusal(now time.Time) { r.lastRefusal.Store(int64(now.Sub(r.epoch))) }

func (r *Router) refusedLately(now time.Time) bool {
	last := r.lastRefusal.Load()
	return last != 0 && now.Sub(r.epoch)-time.Duration(last) < floorWindow
}
