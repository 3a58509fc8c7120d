package trial

import (
	"time"

	"github.com/galenalock/galenalock/core/retry"
)

const (
	// naiveSlowThreshold is the latency above which an answer counts as bad.
	naiveSlowThreshold = 250 * time.Millisecond
	// naiveFailureLimit is the number of bad answers in a row that eject a
	// target.
	naiveFailureLimit = 5
	// naiveEjectionTime is how long a target stays ejected.
	naiveEjectionTime = 30 * time.Second
)

// naiveVariant does round robin with a fixed ejection threshold and retries on
// failure.
type naiveVariant struct {
	next         int
	failures     []int
	ejectedUntil []time.Duration
}

func attachNaive(e *entry) {
	sim := e.simulation
	n := &naiveVariant{next: e.id, failures: make([]int, len(sim.targets)), ejectedUntil: make([]time.Duration, len(sim.targets))}
	e.admit = func(id int32) {
		if !sim.startAttempt(id) {
			sim.endRequest(id, false)
		}
	}
	e.pick = func(*request) (int, bool) {
		for range sim.targets {
			n.next = (n.next + 1) % len(sim.targets)
			if n.ejectedUntil[n.next] <= sim.now {
				return n.next, false
			}
		}
		return -1, false
	}
	e.attemptStarted = func(*attempt) {}
	e.attemptEnded = func(a *attempt, outcome attemptOutcome) {
		switch {
		case outcome == outcomeAnswered && sim.now-a.sentAt <= naiveSlowThreshold:
			n.failures[a.target] = 0
			return
		case outcome == outcomeCancelled && sim.now-a.sentAt <= naiveSlowThreshold:
			return
		}
		n.failures[a.target]++
		if n.failures[a.target] >= naiveFailureLimit {
			n.failures[a.target] = 0
			n.ejectedUntil[a.target] = sim.now + naiveEjectionTime
			sim.metrics.recordEjection(sim, a.target)
		}
	}
	e.allowRetry = func(r *request, _ retry.Reason) bool { return r.attempts < maxAttempts }
	e.hedgeDelay = func(*request) (time.Duration, bool) { return 0, false }
	e.requestEnded = func(*request, bool) {}
	e.tick = func() {}
	e.isEjected = func(t int) bool { return n.ejectedUntil[t] > sim.now }
}
