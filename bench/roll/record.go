package roll

import (
	"slices"
	"sync"
	"time"
)

// Bounds on a change of the configuration.
const (
	// ApplyBound is the time from the answer to a change until it must be in force on
	// every entry that is in touch.
	ApplyBound = 2500 * time.Millisecond
	// ContactBound is how long an entry must have run, and the control group must have
	// been left alone, for ApplyBound to hold.
	ContactBound = 4 * time.Second
	// OuterBound is added to ApplyBound while the control group is disturbed.
	OuterBound = 6 * time.Second
)

// life is one incarnation of an entry.
type life struct {
	name    string
	started time.Time
	ended   time.Time // zero while it runs
	applied []applied
}

// applied is a revision that was in force from a time on.
type applied struct {
	revision uint64
	at       time.Time
}

// Record holds what was observed of a fleet. It is safe for concurrent use.
type Record struct {
	mu           sync.Mutex
	lives        []*life
	accepted     []applied
	disturbances []time.Time // of the control group
}

// Late is a change that was not in force on an entry in time.
type Late struct {
	Entry    string
	Revision uint64
	Delay    time.Duration // until it was in force, or until the end of the record
	Applied  bool
}

// Start begins an incarnation of an entry. The result records a revision that is in
// force on it, and end its end.
func (r *Record) Start(name string, now time.Time) (inForce func(at time.Time, revision uint64), end func(at time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &life{name: name, started: now}
	r.lives = append(r.lives, l)
	inForce = func(at time.Time, revision uint64) {
		r.mu.Lock()
		defer r.mu.Unlock()
		l.applied = append(l.applied, applied{revision, at})
	}
	return inForce, func(at time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		l.ended = at
	}
}

// Accept records that a change was accepted as a revision.
func (r *Record) Accept(at time.Time, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = append(r.accepted, applied{revision, at})
}

// Disturb records that a process of the control group was stopped or started.
func (r *Record) Disturb(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances = append(r.disturbances, at)
}

// Check returns the changes that were late, and the delays of all that count,
// ascending. now is the end of the record.
func (r *Record) Check(now time.Time) (late []Late, delays []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, change := range r.accepted {
		bound := ApplyBound
		if r.isDisturbed(change.at) {
			bound += OuterBound
		}
		for _, l := range r.lives {
			ran := change.at.Sub(l.started) >= ContactBound
			if !ran || change.at.Add(bound).After(now) || !l.ended.IsZero() && l.ended.Before(change.at.Add(bound)) {
				continue
			}
			delay, ok := l.delay(change, now)
			delays = append(delays, delay)
			if delay > bound {
				late = append(late, Late{Entry: l.name, Revision: change.revision, Delay: delay, Applied: ok})
			}
		}
	}
	slices.Sort(delays)
	return late, delays
}

// isDisturbed reports whether the control group was disturbed close to a change.
func (r *Record) isDisturbed(at time.Time) bool {
	return slices.ContainsFunc(r.disturbances, func(d time.Time) bool {
		return d.After(at.Add(-ContactBound)) && d.Before(at.Add(ApplyBound))
	})
}

// delay returns how long after its acceptance a change, or a later one, was in force.
func (l *life) delay(change applied, now time.Time) (time.Duration, bool) {
	for _, a := range l.applied {
		if a.revision >= change.revision {
			return max(0, a.at.Sub(change.at)), true
		}
	}
	return now.Sub(change.at), false
}
