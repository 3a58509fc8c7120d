package susp

import (
	"math"
	"sync"
	"time"
)

const (
	// base is the probability of the failing state of a target of which nothing
	// is known.
	base = 0.04
	// silentBase is the same for a target that control does not hear any more.
	silentBase = 0.2
	// Memory is the time over which the probability returns to the base. Phases
	// of failures last some seconds.
	Memory = 6 * time.Second
	// least and most bound the probability, so that a change of state is noticed
	// after a few signs.
	least = 0.002
	most  = 0.995
	// doubtful is the probability from which an answer is worth telling.
	doubtful = 0.1
)

// Target is the filter of one incarnation of a target. The zero value knows
// nothing.
type Target struct {
	mu     sync.Mutex
	excess float64 // of the probability over the base, as of at
	at     time.Time
	silent bool
}

// See notes a sign that this entry has seen, and returns the probability of the
// failing state before and after it.
func (t *Target) See(now time.Time, s Sign) (before, after float64) {
	if !s.known() {
		p := t.Probability(now)
		return p, p
	}
	return t.update(now, ratio[s])
}

// Hear notes a sign that another entry saw some time ago.
func (t *Target) Hear(now time.Time, s Sign, age time.Duration) (before, after float64) {
	if !s.known() || age < 0 {
		p := t.Probability(now)
		return p, p
	}
	return t.update(now, math.Pow(heard[s], decay(age)))
}

// Silence notes whether control still hears the target.
func (t *Target) Silence(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

// Probability returns how likely the target is in a phase of failures.
func (t *Target) Probability(now time.Time) float64 { return t.After(now, 1) }

// After is Probability for a caller that forgets faster by a factor.
func (t *Target) After(now time.Time, factor float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.probability(t.at.Add(time.Duration(factor * float64(now.Sub(t.at)))))
}

// probability needs the lock.
func (t *Target) probability(now time.Time) float64 {
	rest := base
	if t.silent {
		rest = silentBase
	}
	return min(most, max(least, rest+t.excess*decay(now.Sub(t.at))))
}

func (t *Target) update(now time.Time, ratio float64) (before, after float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.probability(now)
	odds := before / (1 - before) * ratio
	after = min(most, max(least, odds/(1+odds)))
	t.excess = after - base
	if t.silent {
		t.excess = after - silentBase
	}
	t.at = now
	return before, after
}

// decay is what is left of an excess after some time. A clock that is set back
// leaves all of it.
func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(Memory))
}
