package susp

import (
	"math"
	"sync"
	"time"
)

const (
	// baseProbability is the probability of the failing state of a target of
	// which nothing is known.
	baseProbability = 0.04
	// silentBaseProbability is the same for a target that control no longer
	// receives messages from.
	silentBaseProbability = 0.2
	// DecayTime is the time constant with which the probability returns to its
	// base. Phases of failures last some seconds.
	DecayTime = 6 * time.Second
	// minProbability and maxProbability bound the probability, so that a few
	// observations suffice to detect a change of state.
	minProbability = 0.002
	maxProbability = 0.995
	// suspectProbability is the probability from which a target is a suspect, so
	// that an answer from it is worth sending to other entries.
	suspectProbability = 0.1
	// avoidProbability is the probability from which broken connections of other
	// entries together count as a failure.
	avoidProbability = 0.5
	// brokenGap is the least time between two of them that count as two. A fault of
	// the network breaks many connections at one moment.
	brokenGap = 150 * time.Millisecond
	// failureRatio is the likelihood ratio from which an observation counts as a
	// failure.
	failureRatio = 20
	// MinHold is how long a target is avoided after one failure, which may be one
	// of the few of a healthy target. A test after that costs one request and
	// brings a healthy target back into use. The time doubles with each failed
	// test up to MaxHold; phases of failures last about as long.
	MinHold = 4 * time.Second
	// MaxHold is the longest time for which a target is avoided.
	MaxHold = 12 * time.Second
	// minFailureGap is the least time between two failures that count as two.
	// Failures of requests that were sent at the same moment count as one.
	minFailureGap = 500 * time.Millisecond
	// probeRisk bounds the risk of a target that is no longer avoided. It is a
	// little above the risk of a healthy one, so that few requests test the target.
	probeRisk = 0.06
	// minAvoidedRisk is the lowest risk of a target that is avoided.
	minAvoidedRisk = 0.3
	// failedOnceRisk bounds the risk of a target that is avoided for one failure, which
	// most often is one of the few of a healthy target. It is used when the others of
	// the region are under load, before those of other regions.
	failedOnceRisk = 0.15
	// failedOnceProbability is a little above the probability after one failure of a
	// target without observations.
	failedOnceProbability = 0.8
)

// Target is the filter for one incarnation of a target. The zero value is a target
// without observations.
type Target struct {
	// HoldFactor multiplies the time for which this entry avoids the target;
	// values below 1 count as 1. With different factors, the entries do not all
	// test a target at the same moment.
	HoldFactor float64

	mu          sync.Mutex
	excess      float64 // probability above its base at updatedAt
	updatedAt   time.Time
	silent      bool
	streak      int       // consecutive failures
	lastFailure time.Time // time of the last failure
	lastBroken  time.Time // time of the last broken connection of another entry that counted
	lastUse     time.Time // time of the last observation
}

// Observe takes an observation of this entry and returns the probability of the
// failing state before and after it.
func (t *Target) Observe(now time.Time, o Observation) (before, after float64) {
	if !o.valid() {
		p := t.Probability(now)
		return p, p
	}
	return t.update(now, now, ownRatio[o])
}

// ObserveAnswer is Observe for the answer to a request that was sent some time ago. It
// does not show that the target has recovered from a failure after that time.
func (t *Target) ObserveAnswer(now, sent time.Time) (before, after float64) {
	return t.update(now, sent, ownRatio[Answered])
}

// ObserveRemote takes an observation that another entry made some time ago, and
// returns the probability of the failing state before and after it. For an answer, age
// is the time since its request was sent.
func (t *Target) ObserveRemote(now time.Time, o Observation, age time.Duration) (before, after float64) {
	if !o.valid() || age < 0 {
		p := t.Probability(now)
		return p, p
	}
	seen := now.Add(-age)
	before, after = t.update(now, seen, math.Pow(remoteRatio[o], decay(age)))
	if o == Broken {
		t.countBroken(seen, after)
	}
	return before, after
}

// countBroken counts a broken connection of another entry. The target is avoided
// if it is not the first one and the probability is high enough. Overdue answers
// do not count: under load many targets are slow, and the others would get more.
func (t *Target) countBroken(seen time.Time, probability float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gap := seen.Sub(t.lastBroken)
	if gap < brokenGap {
		return
	}
	t.lastBroken = seen
	if gap < DecayTime && probability >= avoidProbability && seen.Sub(t.lastFailure) >= minFailureGap {
		t.streak++
		t.lastFailure = seen
	}
}

// Forgive forgets all observations.
func (t *Target) Forgive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.excess, t.streak = 0, 0
}

// SetSilent sets whether control no longer receives messages from the target.
func (t *Target) SetSilent(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

// Probability returns the probability that the target is in a phase of failures.
func (t *Target) Probability(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.probability(now)
}

// Risk returns the probability to use for the choice of a target. It is low for a
// target that was avoided for long enough, so that a request tests it, and lower for
// one that failed once than for others that are avoided.
func (t *Target) Risk(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.probability(now)
	switch {
	case !t.avoided(now):
		return min(p, probeRisk)
	case t.failedOnce(p):
		return min(p, failedOnceRisk)
	}
	return max(p, minAvoidedRisk)
}

// failedOnce reports whether the target is avoided for a single failure, given the
// probability of the failing state. The caller holds t.mu.
func (t *Target) failedOnce(probability float64) bool {
	reported := t.lastFailure.Equal(t.lastBroken) // by several other entries
	return t.streak == 1 && probability < failedOnceProbability && !reported
}

// Avoided reports whether the target is avoided. It also returns the time since
// its last failure, and since the last observation of any kind, which shows that
// an entry has sent it a request.
func (t *Target) Avoided(now time.Time) (sinceFailure, sinceUse time.Duration, avoided bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.lastFailure), now.Sub(t.lastUse), t.avoided(now)
}

// avoided reports whether the target is avoided. The caller holds t.mu.
func (t *Target) avoided(now time.Time) bool {
	return t.streak > 0 && now.Sub(t.lastFailure) < time.Duration(max(1, t.HoldFactor)*float64(t.holdTime()))
}

// holdTime returns how long the target is avoided after its last failure. The
// caller holds t.mu.
func (t *Target) holdTime() time.Duration {
	hold := MinHold
	for range t.streak - 1 {
		hold = min(2*hold, MaxHold)
	}
	return hold
}

// probability returns the probability of the failing state. The caller holds t.mu.
func (t *Target) probability(now time.Time) float64 {
	prior := baseProbability
	if t.silent {
		prior = silentBaseProbability
	}
	return min(maxProbability, max(minProbability, prior+t.excess*decay(now.Sub(t.updatedAt))))
}

// update applies the likelihood ratio of an observation made at the time seen, and
// returns the probability before and after it. Favourable ones from before the last
// failure are ignored.
func (t *Target) update(now, seen time.Time, likelihoodRatio float64) (before, after float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.probability(now)
	if likelihoodRatio < 1 && seen.Before(t.lastFailure) {
		return before, before
	}
	odds := before / (1 - before) * likelihoodRatio
	after = min(maxProbability, max(minProbability, odds/(1+odds)))
	t.excess = after - baseProbability
	if t.silent {
		t.excess = after - silentBaseProbability
	}
	t.updatedAt = now
	if seen.After(t.lastUse) {
		t.lastUse = seen
	}
	switch {
	case likelihoodRatio >= failureRatio && seen.Sub(t.lastFailure) >= minFailureGap:
		t.streak++
		t.lastFailure = seen
	case likelihoodRatio < 1 && seen.After(t.lastFailure) && after < suspectProbability:
		t.streak /= 2 // halved only, since a failing target answers some requests
	}
	return before, after
}

// decay returns the share of an excess that remains after some time. A clock that
// is set back leaves all of it.
func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(DecayTime))
}
