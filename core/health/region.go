package health

import (
	"math"
	"time"
)

const (
	// The link to a region counts as faulty when the median latency of its targets
	// exceeds linkLatencyFactor times the baseline and exceeds the baseline by
	// linkLatencyExtra, in linkFaultSeconds consecutive seconds of at least
	// minLinkSamples latencies each.
	linkLatencyFactor = 2
	linkLatencyExtra  = 5 * time.Millisecond
	linkFaultSeconds  = 2
	minLinkSamples    = 20
	// linkFailureShare is the share of failures in a region from which its link
	// counts as faulty, if the share in the other regions is below a third of it.
	linkFailureShare = 0.3
	// faultyLinkWeight is the local weight of targets behind a faulty link.
	faultyLinkWeight = 0.1
	// baselineShare is the weight of one second in the baseline.
	baselineShare = 0.05
)

// region holds the targets of one region, which are all at the same distance.
type region struct {
	name       string
	targets    []*Target
	increments map[*Target]tally
	all        float64
	bad        float64
	failed     float64

	lastSecond    histogram     // latencies of the last second
	baseline      time.Duration // median latency without a fault
	faultySeconds int
	weightFactor  float64
}

// collect reads the counters of the targets and updates the recent counts.
func (r *region) collect(now time.Time, recentDecay float64) {
	if r.increments == nil {
		r.increments = map[*Target]tally{}
	}
	clear(r.increments)
	r.all, r.bad, r.failed = 0, 0, 0
	for _, t := range r.targets {
		t.countPending(now)
		s, current := &t.state, t.readCounts()
		increment := current.minus(s.lastCounts)
		s.lastCounts = current
		r.increments[t] = increment
		s.recentAll = s.recentAll*recentDecay + float64(increment.all())
		s.recentBad = s.recentBad*recentDecay + float64(increment.bad())
		s.recentFailed = s.recentFailed*recentDecay + float64(increment.failed)
		if s.sum < suspectSum {
			r.all += s.recentAll
			r.bad += s.recentBad
			r.failed += s.recentFailed
		}
	}
}

// peerExceedance returns the recent exceedance rate of those peers of a target that
// are not suspect.
func (r *region) peerExceedance(t *Target) float64 {
	all, bad := r.all, r.bad
	if t.state.sum < suspectSum {
		all, bad = all-t.state.recentAll, bad-t.state.recentBad
	}
	return (bad + priorObservations*healthyRate) / (all + priorObservations)
}

// peerFailureRate returns the recent failure rate of those peers of a target that
// are not suspect.
func (r *region) peerFailureRate(t *Target) float64 {
	all, failed := r.all, r.failed
	if t.state.sum < suspectSum {
		all, failed = all-t.state.recentAll, failed-t.state.recentFailed
	}
	return max(0, failed) / (max(0, all) + priorObservations)
}

// refresh computes the percentiles and updates the state of the links.
func (m *Monitor) refresh(now time.Time) {
	keep := float32(math.Exp(-float64(now.Sub(m.lastRefresh)) / float64(percentileWindow)))
	m.lastRefresh = now
	var service histogram
	pools := make([]histogram, len(m.regionList))
	var latencies histogram
	for i, r := range m.regionList {
		r.lastSecond = histogram{}
		for _, t := range r.targets {
			t.newLatencies(&latencies)
			r.lastSecond.add(&latencies, 1)
			t.state.history.scale(keep)
			// A suspect would raise the bound that it is measured against. When
			// most targets look unhealthy, the change is common to them and the
			// bound follows it.
			if t.state.sum < suspectSum || m.commonCause {
				t.state.history.add(&latencies, 1)
			}
			pools[i].add(&t.state.history, 1)
		}
		service.add(&pools[i], 1)
	}
	for i, r := range m.regionList {
		m.updateLink(r)
		for _, t := range r.targets {
			m.setLatencyBound(t, len(r.targets), &pools[i], &service)
		}
	}
}

// setLatencyBound sets the percentile of the peers that the latencies of a target
// are compared with.
func (m *Monitor) setLatencyBound(t *Target, members int, pool, service *histogram) {
	own := &t.state.history
	pool.add(own, -1)
	defer pool.add(own, 1)
	if members > minPeers && pool.total >= minSamples {
		t.latencyBound.Store(int64(pool.quantile(1 - healthyRate)))
		return
	}
	service.add(own, -1)
	defer service.add(own, 1)
	if service.total >= minSamples && len(m.targetList) > minPeers {
		t.latencyBound.Store(servicePercentileFactor * int64(service.quantile(1-healthyRate)))
	}
}

// updateLink updates the state of the link to a region, from the median latency
// compared with its baseline and from the failures compared with other regions.
func (m *Monitor) updateLink(r *region) {
	if r.name == m.localRegion {
		return
	}
	faulty := m.linkHasFailures(r)
	if r.lastSecond.total >= minLinkSamples {
		median := r.lastSecond.quantile(0.5)
		if r.baseline == 0 {
			r.baseline = median
		}
		faulty = faulty || median > linkLatencyFactor*r.baseline && median > r.baseline+linkLatencyExtra
		if !faulty {
			r.baseline += time.Duration(baselineShare * float64(median-r.baseline))
		}
	}
	switch {
	case faulty:
		r.faultySeconds = min(r.faultySeconds+1, 2*linkFaultSeconds)
	case r.faultySeconds > 0:
		r.faultySeconds--
	}
	if r.faultySeconds >= linkFaultSeconds {
		r.weightFactor = faultyLinkWeight
	} else if r.faultySeconds == 0 {
		r.weightFactor = 1
	}
}

// linkHasFailures reports whether the failures in a region are so much more
// frequent than in other regions that its link is the likely cause.
func (m *Monitor) linkHasFailures(r *region) bool {
	var all, failed, otherAll, otherFailed float64
	for _, t := range m.targetList {
		if t.Region == r.name {
			all, failed = all+t.state.recentAll, failed+t.state.recentFailed
		} else {
			otherAll, otherFailed = otherAll+t.state.recentAll, otherFailed+t.state.recentFailed
		}
	}
	if all < minObservations || failed < linkFailureShare*all || len(r.targets) <= minPeers {
		return false
	}
	return otherAll >= minObservations && otherFailed < linkFailureShare/3*otherAll
}

// FaultyRegions returns the regions whose link from this entry counts as faulty.
func (m *Monitor) FaultyRegions() []string {
	var out []string
	for _, r := range m.regionList {
		if r.weightFactor < 1 {
			out = append(out, r.name)
		}
	}
	return out
}
