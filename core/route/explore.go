package route

import (
	"sync/atomic"
	"time"
)

const (
	// floorWindow is the time over which the floor of a service is checked, and
	// after which a target that failed by itself counts as healthy again. It
	// follows the rule FLOOR of the platform.
	floorWindow = 2 * time.Second
	// avoidedShare is the share of the healthy targets of a region that may go
	// without requests, and minAvoided the number that always may. The floor
	// allows 0.3 of the service; the difference covers targets that get no request
	// by chance, and checks that count only targets without running requests.
	// Testing the last avoided target of a small region costs more requests than
	// it is worth.
	avoidedShare = 0.04
	minAvoided   = 1.4
	// testDelay is the mean time until an idle target is tested in a large region,
	// fewTestDelay in a smaller one. There, the share of the targets that get requests
	// depends on chance more than on tests. A region is large from manyTargets on, and
	// from manyTargetsRepeatable for requests that may be repeated, which a test costs
	// an attempt but not the answer.
	testDelay             = 250 * time.Millisecond
	fewTestDelay          = time.Second
	manyTargets           = 30
	manyTargetsRepeatable = 16
	// maxTestShare bounds the share of the requests that test avoided targets.
	maxTestShare = 0.25
	// testBias is the weight of the failure probability in the choice of the
	// target to test: a difference of 1/testBias makes a test e times less likely.
	testBias = 10
	// intervalShift sets the weight of one interval in the moving average, 1/2^3.
	intervalShift = 3
)

// requestInterval is a moving average of the time between requests of this
// entry.
type requestInterval struct {
	last atomic.Int64 // nanoseconds since the epoch of the router
	mean atomic.Int64 // nanoseconds, 0 if unknown
}

// record adds a request. A concurrent update may be lost, which costs one
// sample.
func (p *requestInterval) record(sinceEpoch time.Duration) {
	last := p.last.Swap(int64(sinceEpoch))
	if last == 0 || int64(sinceEpoch) <= last {
		return
	}
	interval, mean := int64(sinceEpoch)-last, p.mean.Load()
	if mean == 0 {
		p.mean.Store(interval)
		return
	}
	p.mean.Store(max(1, mean+(interval-mean)>>intervalShift))
}

// regionStats counts the targets of the entry's region that are in its subset,
// and selects one avoided target that a request could test.
type regionStats struct {
	healthy    int // without a failure in the window
	idle       int // of these, avoided and without a request in the window
	avoided    int // all avoided ones
	testTarget *Endpoint
	testScore  float64 // lowest score so far
}

// add counts an endpoint and considers it for a test, unless it wants no requests.
func (stats *regionStats) add(e *Endpoint, now time.Time, draw uint64) {
	if e.quota != nil {
		if _, closed := e.quota.Closed(now); closed {
			return
		}
	}
	if e.suspicion == nil {
		stats.healthy++
		return
	}
	sinceFailure, sinceUse, avoided := e.suspicion.Avoided(now)
	if avoided {
		stats.avoided++
	}
	if avoided && sinceFailure < floorWindow {
		return
	}
	stats.healthy++
	if !avoided || sinceUse < floorWindow {
		return
	}
	stats.idle++
	if !e.available(now) {
		return
	}
	// Targets with a low failure probability are preferred.
	score := testBias*e.suspicion.Probability(now) - gumbel(draw)
	if stats.testTarget == nil || score < stats.testScore {
		stats.testTarget, stats.testScore = e, score
	}
}

// allowed returns how many healthy targets may go without requests.
func (stats *regionStats) allowed() float64 {
	return max(minAvoided, avoidedShare*float64(stats.healthy))
}

// testShare returns the share of this entry's requests that should test avoided
// targets. The entries of the region together then test each idle target within
// the delay on average, except those that may stay idle.
func (r *Router) testShare(s *snapshot, stats regionStats, nonRepeatable bool) float64 {
	allowed := stats.allowed()
	meanInterval := float64(r.requestInterval.mean.Load())
	if float64(stats.idle) <= allowed || meanInterval == 0 {
		return 0
	}
	delay, many := testDelay, manyTargetsRepeatable
	if nonRepeatable {
		many = manyTargets
	}
	if s.regionTargets < many {
		delay = fewTestDelay
	}
	// Only the entries with the target in their subset can test it.
	testers := float64(s.regionPeers) * s.subsetShare()
	requests := testers * float64(delay) / meanInterval
	return min(maxTestShare, (float64(stats.idle)-allowed)/requests)
}
