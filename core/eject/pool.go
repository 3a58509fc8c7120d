package eject

import (
	"math"
	"time"

	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// interval is the time over which the move of a sum is bounded: a pause of
	// a target delays many requests at once, which is one event and not many.
	// The bound holds in both directions; with gains bounded alone, a target
	// that is 3 times slower drifted down and was never found.
	interval = 100 * time.Millisecond
	// fastIntervals and carefulIntervals are the least intervals to a decision;
	// a pause shorter than that cannot eject a target.
	fastIntervals    = 4
	carefulIntervals = 8

	// quietRate and failingRate are the failure shares that the second test
	// compares. The first test, with 0.1 against 0.6, cannot see 5% of errors.
	quietRate   = 0.005
	failingRate = 0.05

	// window is the time over which the views of the regions are compared.
	window = 3 * time.Second
	// expected is the number of bad observations that a region must lack
	// before its view contradicts the others, and contradiction the share of
	// the expected ones below which it does.
	expected      = 8
	contradiction = 0.4
)

var (
	failedRatio  = math.Log(failingRate / quietRate)
	workingRatio = math.Log((1 - failingRate) / (1 - quietRate))
)

// sum is a cumulative sum whose move per interval is bounded.
type sum struct {
	value float64
	began time.Time
	moved float64
}

func (s *sum) add(now time.Time, score, most float64) {
	if now.Sub(s.began) >= interval {
		s.began, s.moved = now, 0
	}
	score = max(-most-s.moved, min(score, most-s.moved))
	s.moved += score
	s.value = max(0, s.value+score)
}

// side is what one region sees of a target, decayed.
type side struct {
	at               time.Time
	all, bad, failed float64
}

func (s *side) fade(now time.Time) {
	f := math.Exp(-float64(now.Sub(s.at)) / float64(window))
	s.at, s.all, s.bad, s.failed = now, s.all*f, s.bad*f, s.failed*f
}

// pool is the evidence of all entries about one target.
type pool struct {
	slow    sum
	failing sum
	sides   map[string]*side
	last    time.Time
	rows    int

	// The sequential test of a target in probation has no bound at zero.
	probes      int
	probeSlow   float64
	probeFailed float64
}

func (p *pool) add(now time.Time, policy health.Policy, region string, row wire.Sighted) {
	all := row.Good + row.Slow + row.Failed
	failing := float64(row.Failed)*failedRatio + float64(all-row.Failed)*workingRatio
	most := policy.Threshold() / carefulIntervals
	if policy == health.Fast {
		most = policy.Threshold() / fastIntervals
	}
	p.slow.add(now, row.Score, most)
	p.failing.add(now, failing, most)
	p.probes += all
	p.probeSlow += row.Score
	p.probeFailed += failing
	p.last = now
	p.rows++
	if p.sides == nil {
		p.sides = map[string]*side{}
	}
	s := p.sides[region]
	if s == nil {
		s = &side{at: now}
		p.sides[region] = s
	}
	s.fade(now)
	s.all += float64(all)
	s.bad += float64(row.Slow + row.Failed)
	s.failed += float64(row.Failed)
}

// score is the larger of the two sums.
func (p *pool) score() float64 { return max(p.slow.value, p.failing.value) }

// contradicted reports whether a region that sees enough of the target sees
// nothing wrong, so that a link and not the target is the likely cause.
func (p *pool) contradicted(now time.Time) bool {
	failing := p.failing.value > p.slow.value
	var all, bad float64
	count := func(s *side) float64 {
		if failing {
			return s.failed
		}
		return s.bad
	}
	for _, s := range p.sides {
		s.fade(now)
		all, bad = all+s.all, bad+count(s)
	}
	for _, s := range p.sides {
		others := all - s.all
		if others < 1 {
			continue
		}
		due := s.all * (bad - count(s)) / others
		if due >= expected && count(s) < contradiction*due {
			return true
		}
	}
	return false
}

// fade lets unconfirmed evidence fade.
func (p *pool) fade(elapsed time.Duration) {
	f := math.Exp(-float64(elapsed) / float64(forgive))
	p.slow.value *= f
	p.failing.value *= f
}
