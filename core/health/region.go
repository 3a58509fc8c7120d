package health

import (
	"math"
	"time"
)

const (
	// A region's link counts as faulty when the median of its targets is this
	// many times its usual value and this much longer, in consecutive seconds.
	linkFactor  = 2
	linkExtra   = 5 * time.Millisecond
	linkSeconds = 2
	linkSamples = 20
	// linkFailing is the share of failures in a region that means a faulty link
	// when the other regions show less than a third of it.
	linkFailing = 0.3
	// linkWeight is the local weight of targets behind a faulty link.
	linkWeight = 0.1
	// usualShare is the weight of one second in the usual median.
	usualShare = 0.05
)

// region is the set of targets at one distance.
type region struct {
	name    string
	targets []*Target
	step    map[*Target]tally
	all     float64
	bad     float64
	failed  float64

	second  histogram     // latencies of the last second
	usual   time.Duration // usual median
	strikes int
	factor  float64
}

// collect reads the counters of the region's targets.
func (r *region) collect(now time.Time, fade float64) {
	if r.step == nil {
		r.step = map[*Target]tally{}
	}
	clear(r.step)
	r.all, r.bad, r.failed = 0, 0, 0
	for _, t := range r.targets {
		t.sweep(now)
		s, seen := &t.state, t.read()
		step := seen.minus(s.seen)
		s.seen = seen
		r.step[t] = step
		s.recentAll = s.recentAll*fade + float64(step.all())
		s.recentBad = s.recentBad*fade + float64(step.bad())
		s.recentFailed = s.recentFailed*fade + float64(step.failed)
		if s.sum < suspicion {
			r.all += s.recentAll
			r.bad += s.recentBad
			r.failed += s.recentFailed
		}
	}
}

// rate is the recent exceedance rate of a target's peers that are not suspect.
func (r *region) rate(t *Target) float64 {
	all, bad := r.all, r.bad
	if t.state.sum < suspicion {
		all, bad = all-t.state.recentAll, bad-t.state.recentBad
	}
	return (bad + prior*healthyRate) / (all + prior)
}

// failing is the recent failure rate of a target's peers.
func (r *region) failing(t *Target) float64 {
	all, failed := r.all, r.failed
	if t.state.sum < suspicion {
		all, failed = all-t.state.recentAll, failed-t.state.recentFailed
	}
	return max(0, failed) / (max(0, all) + prior)
}

// refresh takes the percentiles and judges the links.
func (m *Monitor) refresh(now time.Time) {
	keep := float32(math.Exp(-float64(now.Sub(m.refreshed)) / float64(memory)))
	m.refreshed = now
	var service histogram
	pools := make([]histogram, len(m.order))
	var part histogram
	for i, r := range m.order {
		r.second = histogram{}
		for _, t := range r.targets {
			t.fresh(&part)
			r.second.add(&part, 1)
			t.state.history.scale(keep)
			// A suspect would move the bound that it is measured against. When
			// most look suspect the change is common and the bound follows it.
			if t.state.sum < suspicion || m.blind {
				t.state.history.add(&part, 1)
			}
			pools[i].add(&t.state.history, 1)
		}
		service.add(&pools[i], 1)
	}
	for i, r := range m.order {
		m.judgeLink(r)
		for _, t := range r.targets {
			m.bound(t, len(r.targets), &pools[i], &service)
		}
	}
}

// bound sets the percentile that a target is measured against.
func (m *Monitor) bound(t *Target, members int, pool, service *histogram) {
	own := &t.state.history
	pool.add(own, -1)
	defer pool.add(own, 1)
	if members > enoughPeers && pool.total >= enoughSamples {
		t.threshold.Store(int64(pool.quantile(1 - healthyRate)))
		return
	}
	service.add(own, -1)
	defer service.add(own, 1)
	if service.total >= enoughSamples && len(m.list) > enoughPeers {
		t.threshold.Store(coarse * int64(service.quantile(1-healthyRate)))
	}
}

// judgeLink compares a region with its usual latency and with the failures in
// the other regions.
func (m *Monitor) judgeLink(r *region) {
	if r.name == m.here {
		return
	}
	faulty := m.linkFailing(r)
	if r.second.total >= linkSamples {
		median := r.second.quantile(0.5)
		if r.usual == 0 {
			r.usual = median
		}
		faulty = faulty || median > linkFactor*r.usual && median > r.usual+linkExtra
		if !faulty {
			r.usual += time.Duration(usualShare * float64(median-r.usual))
		}
	}
	switch {
	case faulty:
		r.strikes = min(r.strikes+1, 2*linkSeconds)
	case r.strikes > 0:
		r.strikes--
	}
	if r.strikes >= linkSeconds {
		r.factor = linkWeight
	} else if r.strikes == 0 {
		r.factor = 1
	}
}

func (m *Monitor) linkFailing(r *region) bool {
	var all, failed, otherAll, otherFailed float64
	for _, t := range m.list {
		if t.Region == r.name {
			all, failed = all+t.state.recentAll, failed+t.state.recentFailed
		} else {
			otherAll, otherFailed = otherAll+t.state.recentAll, otherFailed+t.state.recentFailed
		}
	}
	if all < enoughSeen || failed < linkFailing*all || len(r.targets) <= enoughPeers {
		return false
	}
	return otherAll >= enoughSeen && otherFailed < linkFailing/3*otherAll
}

// Faulty returns the regions whose link from here counts as faulty.
func (m *Monitor) Faulty() []string {
	var out []string
	for _, r := range m.order {
		if r.factor < 1 {
			out = append(out, r.name)
		}
	}
	return out
}
