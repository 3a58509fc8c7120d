package eject

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/health"
)

const (
	// forgive is the time in which evidence fades after stale without any new.
	// A fade at all times outweighs the weak evidence of 5% errors.
	forgive = 10 * time.Second
	stale   = time.Second
	// quiet is how long a suspect without any new evidence stays on the list.
	quiet = 5 * time.Second
	// atLeast is how long a suspect is watched before it is cleared.
	atLeast = time.Second
	// doubt is the score below which a suspect is cleared.
	doubt = 1.0
	// commonShare is the share of suspects above which a dependency is the
	// likely cause, and commonLeast the targets from which it is judged.
	commonShare = 0.5
	commonLeast = 3
	// stuck is when a proposal without an outcome counts as lost.
	stuck = 2 * time.Second

	// The test of a target in probation ends at these sums: 5 corresponds to
	// an error of 0.7% on either side, -2 to 43 requests without a failure.
	probeBad     = 5.0
	probeGood    = -5.0
	probeWorking = -2.0
	// probeLimit ends a probation in which too few repeatable requests came.
	probeLimit = 30 * time.Second

	// The hold-down starts at the base of the policy and doubles for a target
	// that is ejected again within the memory.
	holdFast    = 5 * time.Second
	holdCareful = 10 * time.Second
	holdMost    = 5 * time.Minute
	holdMemory  = 10 * time.Minute
)

// deeds are the actions that the life cycle names.
var deeds = map[string]func(l *Leader, now time.Time, s *service, r *record){
	"watch": func(l *Leader, _ time.Time, _ *service, r *record) {
		r.watched, r.pool, l.changed = true, pool{}, true
	},
	"unwatch": func(l *Leader, _ time.Time, _ *service, r *record) {
		r.watched, l.changed = false, true
	},
	"grant": func(_ *Leader, now time.Time, s *service, r *record) {
		r.granted, s.dirty = true, true
		r.score = max(r.score, r.pool.score())
		if r.hold > 0 && now.Sub(r.cleared) < holdMemory {
			r.hold = min(2*r.hold, holdMost)
		} else {
			r.hold = base(s.policy)
		}
	},
	"hold": func(_ *Leader, _ time.Time, _ *service, r *record) { r.hold = min(2*r.hold, holdMost) },
	"release": func(l *Leader, now time.Time, s *service, r *record) {
		r.granted, r.applied, r.score, r.cleared = false, false, 0, now
		s.dirty, l.changed = true, true
	},
}

func base(p health.Policy) time.Duration {
	if p == health.Fast {
		return holdFast
	}
	return holdCareful
}

// fire applies an event of the life cycle. The chart is checked to handle
// every event in every state, so an error is a fault of the program.
func (l *Leader) fire(now time.Time, s *service, r *record, event string) {
	before := r.machine.State()
	actions, err := r.machine.Fire(event)
	if err != nil {
		panic(err)
	}
	if r.machine.State() == before {
		return
	}
	r.entered = now
	l.note(event, r.Target, r.pool.score())
	for _, a := range actions {
		deeds[a](l, now, s, r)
	}
}

// Step moves every life cycle by the time and the evidence, and returns the
// sets to propose.
func (l *Leader) Step(now time.Time) []Set {
	var out []Set
	elapsed := now.Sub(l.stepped)
	l.stepped = now
	for _, s := range l.services {
		for _, r := range slices.Clone(s.order) {
			if now.Sub(r.pool.last) >= stale {
				r.pool.fade(elapsed)
			}
			l.advance(now, s, r)
		}
		l.withdraw(now, s)
		l.convict(now, s)
		if set, ok := s.propose(now); ok {
			out = append(out, set)
		}
	}
	slices.SortFunc(out, func(a, b Set) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (l *Leader) advance(now time.Time, s *service, r *record) {
	age := now.Sub(r.entered)
	switch r.machine.State() {
	case "suspect":
		p := &r.pool
		silent := now.Sub(p.last) >= quiet
		if age >= atLeast && (silent || p.score() < doubt) {
			l.fire(now, s, r, "cleared")
		}
	case "ejected":
		if age >= r.hold {
			l.fire(now, s, r, "elapsed")
		}
	case "probation":
		if event := r.pool.verdict(age); event != "" {
			l.fire(now, s, r, event)
		}
	case "gone":
		if now.Sub(r.changed) >= remember {
			delete(s.records, r.Address)
			s.order = slices.DeleteFunc(s.order, func(o *record) bool { return o == r })
		}
	}
}

// verdict returns the event that ends a probation, or nothing yet.
func (p *pool) verdict(age time.Duration) string {
	switch {
	case p.probeSlow >= probeBad || p.probeFailed >= probeBad:
		return "failed"
	case p.probeSlow <= probeGood && p.probeFailed <= probeWorking:
		return "passed"
	case age < probeLimit:
		return ""
	case p.probeSlow > 0 || p.probeFailed > 0:
		return "failed"
	}
	return "passed"
}

// withdraw returns targets, the least unhealthy first, until the set fits.
func (l *Leader) withdraw(now time.Time, s *service) {
	for {
		var least *record
		members := make([]Member, 0, len(s.order))
		for _, r := range s.order {
			m := r.member(now)
			m.Ejected = r.granted
			members = append(members, m)
			if r.granted && (least == nil || r.score < least.score) {
				least = r
			}
		}
		if least == nil || l.budget(now, s.floor, members) >= 0 {
			return
		}
		l.fire(now, s, least, "withdrawn")
	}
}

// convict ejects suspects, the most unhealthy first, as far as the budget goes.
func (l *Leader) convict(now time.Time, s *service) {
	var ripe []*record
	ready, bad := 0, 0
	members := make([]Member, 0, len(s.order))
	for _, r := range s.order {
		members = append(members, r.member(now))
		if r.State != Ready || r.granted {
			continue
		}
		ready++
		// Entries that see a common fault stop to report. Targets that are
		// cleared for that still count as bad, and old evidence convicts none.
		if r.pool.score() >= s.policy.Threshold()/2 {
			bad++
		}
		fresh := now.Sub(r.pool.last) < stale
		if r.is("suspect") && fresh && r.pool.score() >= s.policy.Threshold() && !r.pool.contradicted(now) {
			ripe = append(ripe, r)
		}
	}
	if len(ripe) == 0 || now.Sub(l.since) < l.silence {
		return
	}
	if ready >= commonLeast && float64(bad) > commonShare*float64(ready) {
		return
	}
	slices.SortStableFunc(ripe, func(a, b *record) int { return cmp.Compare(b.pool.score(), a.pool.score()) })
	left := l.budget(now, s.floor, members)
	for _, r := range ripe {
		// The target's own lease of before may not have expired yet; its slots
		// are then already part of what is ejected.
		need := float64(r.Slots)
		if now.Before(r.until) {
			need = 0
		}
		if need <= left {
			left -= need
			l.fire(now, s, r, "convicted")
		}
	}
}
