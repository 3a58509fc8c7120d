package eject

import (
	"math"
	"time"

	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// boundInterval is the time over which the change of a sum is bounded: a
	// pause of a target delays many requests at once, which is one event and not
	// many. The bound holds in both directions; with only the increase bounded,
	// the sum of a target that was 3 times slower drifted down and the target was
	// never detected.
	boundInterval = 100 * time.Millisecond
	// minIntervalsFast and minIntervalsCareful are the least numbers of intervals
	// that a sum needs to reach the threshold; a pause shorter than that cannot
	// eject a target.
	minIntervalsFast    = 4
	minIntervalsCareful = 8

	// healthyFailureRate and faultyFailureRate are the shares of failed requests
	// that the test of failures compares. The test of exceedances compares 0.1
	// with 0.6 and cannot detect 5% of errors.
	healthyFailureRate = 0.005
	faultyFailureRate  = 0.05

	// comparisonWindow is the time constant of the counts by which the views of
	// the regions are compared.
	comparisonWindow = 3 * time.Second
	// minExpectedBad is the number of bad observations that must be expected of a
	// region before its view can contradict the others. It contradicts them when
	// it has seen less than contradictionShare of the expected ones.
	minExpectedBad     = 8
	contradictionShare = 0.4
)

var (
	failureLogRatio = math.Log(faultyFailureRate / healthyFailureRate)
	successLogRatio = math.Log((1 - faultyFailureRate) / (1 - healthyFailureRate))
)

// boundedSum is a cumulative sum whose change per interval is bounded.
type boundedSum struct {
	value          float64
	intervalStart  time.Time
	intervalChange float64
}

func (s *boundedSum) add(now time.Time, score, limit float64) {
	if now.Sub(s.intervalStart) >= boundInterval {
		s.intervalStart, s.intervalChange = now, 0
	}
	score = max(-limit-s.intervalChange, min(score, limit-s.intervalChange))
	s.intervalChange += score
	s.value = max(0, s.value+score)
}

// regionView is what the entries of one region have seen of a target, as counts
// that decay.
type regionView struct {
	updatedAt        time.Time
	all, bad, failed float64 // bad ones are slow or failed
}

func (v *regionView) decay(now time.Time) {
	f := math.Exp(-float64(now.Sub(v.updatedAt)) / float64(comparisonWindow))
	v.updatedAt, v.all, v.bad, v.failed = now, v.all*f, v.bad*f, v.failed*f
}

// pooledEvidence is the combined evidence of all entries about one target.
type pooledEvidence struct {
	exceedanceSum boundedSum
	failureSum    boundedSum
	views         map[string]*regionView
	last          time.Time
	rows          int

	// The sequential test of a target in probation has no bound at zero.
	probes          int
	probeExceedance float64
	probeFailure    float64
}

func (p *pooledEvidence) add(now time.Time, policy health.Policy, region string, row wire.TargetEvidence) {
	all := row.Good + row.Slow + row.Failed
	failing := float64(row.Failed)*failureLogRatio + float64(all-row.Failed)*successLogRatio
	limit := policy.Threshold() / minIntervalsCareful
	if policy == health.Fast {
		limit = policy.Threshold() / minIntervalsFast
	}
	p.exceedanceSum.add(now, row.Score, limit)
	p.failureSum.add(now, failing, limit)
	p.probes += all
	p.probeExceedance += row.Score
	p.probeFailure += failing
	p.last = now
	p.rows++
	if p.views == nil {
		p.views = map[string]*regionView{}
	}
	v := p.views[region]
	if v == nil {
		v = &regionView{updatedAt: now}
		p.views[region] = v
	}
	v.decay(now)
	v.all += float64(all)
	v.bad += float64(row.Slow + row.Failed)
	v.failed += float64(row.Failed)
}

// score is the larger of the two sums.
func (p *pooledEvidence) score() float64 { return max(p.exceedanceSum.value, p.failureSum.value) }

// contradicted reports whether a region that sends enough requests to the target
// sees too few of the bad observations expected from the other regions, so that a
// link and not the target is the likely cause.
func (p *pooledEvidence) contradicted(now time.Time) bool {
	failing := p.failureSum.value > p.exceedanceSum.value
	var all, bad float64
	count := func(v *regionView) float64 {
		if failing {
			return v.failed
		}
		return v.bad
	}
	for _, v := range p.views {
		v.decay(now)
		all, bad = all+v.all, bad+count(v)
	}
	for _, v := range p.views {
		others := all - v.all
		if others < 1 {
			continue
		}
		expected := v.all * (bad - count(v)) / others
		if expected >= minExpectedBad && count(v) < contradictionShare*expected {
			return true
		}
	}
	return false
}

// decay reduces evidence that has not been confirmed lately.
func (p *pooledEvidence) decay(elapsed time.Duration) {
	f := math.Exp(-float64(elapsed) / float64(evidenceDecay))
	p.exceedanceSum.value *= f
	p.failureSum.value *= f
}
