package eject

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/health"
)

const (
	// evidenceDecay is the time constant of the decay of evidence, which begins
	// after staleAfter without new evidence. A decay at all times would outweigh
	// the weak evidence that 5% of errors give.
	evidenceDecay = 10 * time.Second
	staleAfter    = time.Second
	// suspectTimeout is how long a target stays suspect without new evidence.
	suspectTimeout = 5 * time.Second
	// minSuspectTime is how long a suspect is watched before it may be cleared.
	minSuspectTime = time.Second
	// clearScore is the score below which a suspect is cleared.
	clearScore = 1.0
	// commonCauseShare is the share of unhealthy targets above which a shared
	// dependency is the likely cause, and commonCauseMinTargets the number of
	// ready targets from which this rule applies.
	commonCauseShare      = 0.5
	commonCauseMinTargets = 3
	// proposalTimeout is the time after which a proposal without an outcome
	// counts as lost.
	proposalTimeout = 2 * time.Second

	// The sequential test of a target in probation ends at these sums: 5
	// corresponds to an error probability of 0.7% on either side, -2 to 43
	// requests without a failure.
	probeFailBound           = 5.0
	probeExceedancePassBound = -5.0
	probeFailurePassBound    = -2.0
	// probationTimeout ends a probation that got too few repeatable requests.
	probationTimeout = 30 * time.Second

	// The hold-down of an ejection starts at the value of the policy. It doubles,
	// up to maxHoldDown, after a failed probation and for a target that is ejected
	// again within holdDownReset of its return.
	holdDownFast    = 5 * time.Second
	holdDownCareful = 10 * time.Second
	maxHoldDown     = 5 * time.Minute
	holdDownReset   = 10 * time.Minute
)

// actionHandlers implement the actions that the life cycle chart names.
var actionHandlers = map[string]func(l *Leader, now time.Time, s *service, r *record){
	"watch": func(l *Leader, _ time.Time, _ *service, r *record) {
		r.watched, r.evidence, l.changed = true, pooledEvidence{}, true
	},
	"unwatch": func(l *Leader, _ time.Time, _ *service, r *record) {
		r.watched, l.changed = false, true
	},
	"grant": func(_ *Leader, now time.Time, s *service, r *record) {
		r.granted, s.dirty = true, true
		r.score = max(r.score, r.evidence.score())
		if r.holdDown > 0 && now.Sub(r.returnedAt) < holdDownReset {
			r.holdDown = min(2*r.holdDown, maxHoldDown)
		} else {
			r.holdDown = baseHoldDown(s.policy)
		}
	},
	"hold": func(_ *Leader, _ time.Time, _ *service, r *record) { r.holdDown = min(2*r.holdDown, maxHoldDown) },
	"release": func(l *Leader, now time.Time, s *service, r *record) {
		r.granted, r.applied, r.score, r.returnedAt = false, false, 0, now
		s.dirty, l.changed = true, true
	},
}

// baseHoldDown returns the hold-down of a first ejection.
func baseHoldDown(p health.Policy) time.Duration {
	if p == health.Fast {
		return holdDownFast
	}
	return holdDownCareful
}

// fire applies an event to the life cycle of a target. The chart is checked to
// handle every event in every state, so an error is a programming error.
func (l *Leader) fire(now time.Time, s *service, r *record, event string) {
	before := r.machine.State()
	actions, err := r.machine.Fire(event)
	if err != nil {
		panic(err)
	}
	if r.machine.State() == before {
		return
	}
	r.enteredAt = now
	l.onEvent(event, r.Target, r.evidence.score())
	for _, a := range actions {
		actionHandlers[a](l, now, s, r)
	}
}

// Step advances the life cycle of every target according to the time and the
// evidence, and returns the sets of grants to propose.
func (l *Leader) Step(now time.Time) []GrantSet {
	var out []GrantSet
	elapsed := now.Sub(l.lastStep)
	l.lastStep = now
	for _, s := range l.services {
		for _, r := range slices.Clone(s.order) {
			if now.Sub(r.evidence.last) >= staleAfter {
				r.evidence.decay(elapsed)
			}
			l.advance(now, s, r)
		}
		l.withdrawGrants(now, s)
		l.ejectSuspects(now, s)
		if set, ok := s.propose(now); ok {
			out = append(out, set)
		}
	}
	slices.SortFunc(out, func(a, b GrantSet) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (l *Leader) advance(now time.Time, s *service, r *record) {
	age := now.Sub(r.enteredAt)
	switch r.machine.State() {
	case "suspect":
		p := &r.evidence
		expired := now.Sub(p.last) >= suspectTimeout
		if age >= minSuspectTime && (expired || p.score() < clearScore) {
			l.fire(now, s, r, "cleared")
		}
	case "ejected":
		if age >= r.holdDown {
			l.fire(now, s, r, "elapsed")
		}
	case "probation":
		if event := r.evidence.probationResult(age); event != "" {
			l.fire(now, s, r, event)
		}
	case "gone":
		if now.Sub(r.changedAt) >= goneRetention {
			delete(s.records, r.Address)
			s.order = slices.DeleteFunc(s.order, func(o *record) bool { return o == r })
		}
	}
}

// probationResult returns the event that ends a probation, empty while it lasts.
func (p *pooledEvidence) probationResult(age time.Duration) string {
	switch {
	case p.probeExceedance >= probeFailBound || p.probeFailure >= probeFailBound:
		return "failed"
	case p.probeExceedance <= probeExceedancePassBound && p.probeFailure <= probeFailurePassBound:
		return "passed"
	case age < probationTimeout:
		return ""
	case p.probeExceedance > 0 || p.probeFailure > 0:
		return "failed"
	}
	return "passed"
}

// withdrawGrants returns targets to service, the one with the lowest score first,
// until the granted set is within the budget.
func (l *Leader) withdrawGrants(now time.Time, s *service) {
	for {
		var lowest *record
		members := make([]Member, 0, len(s.order))
		for _, r := range s.order {
			m := r.member(now)
			m.Ejected = r.granted
			members = append(members, m)
			if r.granted && (lowest == nil || r.score < lowest.score) {
				lowest = r
			}
		}
		if lowest == nil || l.budget(now, s.floor, members) >= 0 {
			return
		}
		l.fire(now, s, lowest, "withdrawn")
	}
}

// ejectSuspects ejects suspects, the one with the highest score first, as far as
// the budget allows.
func (l *Leader) ejectSuspects(now time.Time, s *service) {
	var candidates []*record
	ready, unhealthy := 0, 0
	members := make([]Member, 0, len(s.order))
	for _, r := range s.order {
		members = append(members, r.member(now))
		if r.State != Ready || r.granted {
			continue
		}
		ready++
		// Entries that see a common fault stop reporting. Targets that are
		// cleared for that reason still count as unhealthy, and stale evidence
		// ejects no target.
		if r.evidence.score() >= s.policy.Threshold()/2 {
			unhealthy++
		}
		fresh := now.Sub(r.evidence.last) < staleAfter
		if r.inState("suspect") && fresh && r.evidence.score() >= s.policy.Threshold() && !r.evidence.contradicted(now) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 || now.Sub(l.startedAt) < l.takeoverDelay {
		return
	}
	if ready >= commonCauseMinTargets && float64(unhealthy) > commonCauseShare*float64(ready) {
		return
	}
	slices.SortStableFunc(candidates, func(a, b *record) int { return cmp.Compare(b.evidence.score(), a.evidence.score()) })
	remaining := l.budget(now, s.floor, members)
	for _, r := range candidates {
		// An earlier lease of this target may not have expired yet; the budget
		// then already counts its slots as ejected.
		need := float64(r.Slots)
		if now.Before(r.leasedUntil) {
			need = 0
		}
		if need <= remaining {
			remaining -= need
			l.fire(now, s, r, "convicted")
		}
	}
}
