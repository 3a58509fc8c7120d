package susp

import (
	"math"
	"sync"
	"time"
)

const (
	// HalfLife is the time in which a score halves. A phase of failures of a
	// target lasts a second or several.
	HalfLife = 1500 * time.Millisecond
	// bound is the score from which a target is suspect: one sign keeps it out
	// for one half-life, two for two, four for three.
	bound = 0.5
	// most bounds the score, and with it the absence after the last sign.
	most = 8
	// silentBound is the bound for a target that control does not hear any more.
	silentBound = 0.1
)

// Target is the suspicion of one incarnation of a target.
type Target struct {
	mu     sync.Mutex
	score  float64 // as of at
	at     time.Time
	silent bool
}

// See notes a sign that this entry has seen and returns the score.
func (t *Target) See(now time.Time, s Sign) float64 {
	if s >= signs {
		return t.Score(now)
	}
	return t.add(now, weight[s])
}

// Hear notes a sign that another entry saw some time ago.
func (t *Target) Hear(now time.Time, s Sign, age time.Duration) float64 {
	if s >= signs || age < 0 {
		return t.Score(now)
	}
	return t.add(now, heard[s]*decay(age))
}

// Silence notes whether control still hears the target.
func (t *Target) Silence(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

func (t *Target) add(now time.Time, score float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.score = min(most, t.now(now)+score)
	if now.After(t.at) {
		t.at = now
	}
	return t.score
}

// now returns the score at a time; the lock is held.
func (t *Target) now(now time.Time) float64 { return t.score * decay(now.Sub(t.at)) }

// Score returns the score at a time.
func (t *Target) Score(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now(now)
}

// Suspect reports whether other targets should be preferred.
func (t *Target) Suspect(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := bound
	if t.silent {
		limit = silentBound
	}
	return t.now(now) >= limit
}

func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(HalfLife))
}
