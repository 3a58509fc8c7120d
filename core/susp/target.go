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
	// evident is the ratio from which a sign counts as a failure.
	evident = 20
	// FirstHold is how long a target is avoided after one failure, which may be
	// one of the few of a sound target. A test after that costs one request and
	// brings a sound target back into use. The time doubles with each failed test
	// up to LastHold; phases of failures last about as long.
	FirstHold = 4 * time.Second
	// LastHold is the longest time of avoidance.
	LastHold = 12 * time.Second
	// apart is the time between two failures that count as two; those of requests
	// that were sent at the same moment are one discovery.
	apart = 500 * time.Millisecond
	// probing is the risk of a target whose time of avoidance is over. It is a
	// little above that of a sound one, so that few requests make the test.
	probing = 0.06
	// held is the least risk of a target that is avoided.
	held = 0.3
)

// Target is the filter of one incarnation of a target. The zero value knows
// nothing.
type Target struct {
	// Patience is a factor from 1 on by which this entry avoids the target for
	// longer than others do, 0: none. Entries with different ones do not all test
	// a target at the same moment.
	Patience float64

	mu     sync.Mutex
	excess float64 // of the probability over the base, as of at
	at     time.Time
	silent bool
	streak int       // failures in a row
	failed time.Time // the last of them
}

// See notes a sign that this entry has seen, and returns the probability of the
// failing state before and after it.
func (t *Target) See(now time.Time, s Sign) (before, after float64) {
	if !s.known() {
		p := t.Probability(now)
		return p, p
	}
	return t.update(now, now, ratio[s])
}

// Hear notes a sign that another entry saw some time ago.
func (t *Target) Hear(now time.Time, s Sign, age time.Duration) (before, after float64) {
	if !s.known() || age < 0 {
		p := t.Probability(now)
		return p, p
	}
	return t.update(now, now.Add(-age), math.Pow(heard[s], decay(age)))
}

// Silence notes whether control still hears the target.
func (t *Target) Silence(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

// Probability returns how likely the target is in a phase of failures.
func (t *Target) Probability(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.probability(now)
}

// Risk is the probability as it should count in a choice: that of a target which
// was avoided for long enough is low, so that it is tested.
func (t *Target) Risk(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.probability(now)
	if t.avoided(now) {
		return max(p, held)
	}
	return min(p, probing)
}

// Avoided reports whether the target is avoided, and for how long it has not
// been seen to fail.
func (t *Target) Avoided(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.failed), t.avoided(now)
}

// avoided needs the lock.
func (t *Target) avoided(now time.Time) bool {
	return t.streak > 0 && now.Sub(t.failed) < time.Duration(max(1, t.Patience)*float64(t.hold()))
}

// hold is how long the target is avoided after its last failure; it needs the
// lock.
func (t *Target) hold() time.Duration {
	hold := FirstHold
	for range t.streak - 1 {
		hold = min(2*hold, LastHold)
	}
	return hold
}

// probability needs the lock.
func (t *Target) probability(now time.Time) float64 {
	rest := base
	if t.silent {
		rest = silentBase
	}
	return min(most, max(least, rest+t.excess*decay(now.Sub(t.at))))
}

// update moves the probability by a sign that was seen at a time.
func (t *Target) update(now, seen time.Time, ratio float64) (before, after float64) {
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
	switch {
	case ratio >= evident && seen.Sub(t.failed) >= apart:
		t.streak++
		t.failed = seen
	case ratio < 1 && seen.After(t.failed) && after < doubtful:
		t.streak /= 2 // a failing target answers now and then
	}
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
