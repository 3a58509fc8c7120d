package trial

import (
	"time"

	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/retry"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	requestBytes  = 512
	responseBytes = 2048
	maxAttempts   = 3
)

type request struct {
	generation  uint32
	entry       int
	kind        int
	arrivedAt   time.Duration
	sizeNoise   float64 // the request's part of the service time, standard normal
	attempts    int
	inFlight    []int32
	firstTarget int // -1 before the first attempt
	ticket      *limit.Ticket
}

type attempt struct {
	generation uint32
	request    int32
	entry      int
	kind       int
	sizeNoise  float64
	target     int
	stage      attemptStage
	sentAt     time.Duration
	targetLoad int
	failed     bool
	shed       bool
	probe      bool
	abandoned  bool // the request has ended and a cancellation is on its way
	call       health.Call
	endpoint   *route.Endpoint
}

// attemptOutcome is how an attempt ended as seen by its entry.
type attemptOutcome int

const (
	outcomeAnswered attemptOutcome = iota
	outcomeFailed
	outcomeShed
	outcomeCancelled
)

// entry is one instance. Its function fields are set by the naive or the real
// variant.
type entry struct {
	simulation     *simulation
	id             int
	region, centre int

	admit          func(id int32)                           // admits a request now, or queues it
	pick           func(r *request) (index int, probe bool) // chooses a target, -1: none
	attemptStarted func(a *attempt)
	attemptEnded   func(a *attempt, outcome attemptOutcome)
	allowRetry     func(r *request, reason retry.Reason) bool
	hedgeDelay     func(r *request) (time.Duration, bool)
	requestEnded   func(r *request, ok bool)
	tick           func()
	isEjected      func(index int) bool
	ordersReceived func(o wire.Orders)
}

func (sim *simulation) startRequest() {
	draw, kind := sim.arrivalRand.Float64(), 0
	for kind < len(sim.scenario.Kinds)-1 && draw >= sim.scenario.Kinds[kind].Share {
		draw -= sim.scenario.Kinds[kind].Share
		kind++
	}
	entryIndex := sim.arrivalRand.IntN(len(sim.entries))
	var id int32
	if n := len(sim.freeRequests); n > 0 {
		id = sim.freeRequests[n-1]
		sim.freeRequests = sim.freeRequests[:n-1]
	} else {
		id = int32(len(sim.requests))
		sim.requests = append(sim.requests, request{})
	}
	r := &sim.requests[id]
	*r = request{generation: r.generation + 1, entry: entryIndex, kind: kind, arrivedAt: sim.now, sizeNoise: sim.arrivalRand.NormFloat64(), inFlight: r.inFlight[:0], firstTarget: -1}
	sim.metrics.recordOffered(sim, r)
	sim.events.push(event{at: int64(sim.now + sim.scenario.Kinds[kind].Timeout), kind: requestTimeout, id: id, generation: r.generation})
	sim.entries[entryIndex].admit(id)
}

// startAttempt sends an attempt of an admitted request and reports whether a
// target was available.
func (sim *simulation) startAttempt(id int32) bool {
	r := &sim.requests[id]
	e := sim.entries[r.entry]
	targetIndex, probe := e.pick(r)
	if targetIndex < 0 {
		return false
	}
	var attemptID int32
	if n := len(sim.freeAttempts); n > 0 {
		attemptID = sim.freeAttempts[n-1]
		sim.freeAttempts = sim.freeAttempts[:n-1]
	} else {
		attemptID = int32(len(sim.attempts))
		sim.attempts = append(sim.attempts, attempt{})
	}
	a := &sim.attempts[attemptID]
	*a = attempt{generation: a.generation + 1, request: id, entry: r.entry, kind: r.kind, sizeNoise: r.sizeNoise, target: targetIndex, sentAt: sim.now, probe: probe}
	r.attempts++
	r.inFlight = append(r.inFlight, attemptID)
	if r.firstTarget < 0 {
		r.firstTarget = targetIndex
	}
	sim.metrics.recordSent(sim, r, a)
	e.attemptStarted(a)
	sim.events.push(event{at: int64(sim.now + sim.requestDelay(a)), kind: attemptDelivery, id: attemptID, generation: a.generation})
	if r.attempts == 1 && sim.scenario.Kinds[r.kind].Repeat {
		if d, ok := e.hedgeDelay(r); ok {
			sim.events.push(event{at: int64(sim.now + d), kind: hedgeTimer, id: id, generation: r.generation})
		}
	}
	return true
}

// handleResponse handles a response that arrives at the entry: it ends the
// request or retries it.
func (sim *simulation) handleResponse(attemptID int32) {
	a := &sim.attempts[attemptID]
	if a.abandoned {
		return
	}
	id := a.request
	r := &sim.requests[id]
	e := sim.entries[a.entry]
	outcome, reason := outcomeAnswered, retry.TargetFailed
	switch {
	case a.shed:
		outcome, reason = outcomeShed, retry.Shed
	case a.failed:
		outcome = outcomeFailed
	}
	e.attemptEnded(a, outcome)
	sim.removeInFlight(r, attemptID)
	sim.releaseAttempt(attemptID)
	if outcome == outcomeAnswered {
		sim.endRequest(id, true)
		return
	}
	if len(r.inFlight) > 0 {
		return
	}
	repeatable := sim.scenario.Kinds[r.kind].Repeat || outcome == outcomeShed
	if repeatable && e.allowRetry(r, reason) {
		sim.metrics.recordRetry(sim)
		if sim.startAttempt(id) {
			return
		}
	}
	sim.endRequest(id, false)
}

func (sim *simulation) removeInFlight(r *request, attemptID int32) {
	for i, other := range r.inFlight {
		if other == attemptID {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			return
		}
	}
}

func (sim *simulation) releaseAttempt(attemptID int32) {
	sim.attempts[attemptID].generation++
	sim.freeAttempts = append(sim.freeAttempts, attemptID)
}

// startHedge sends a second attempt when the first is late.
func (sim *simulation) startHedge(id int32) {
	r := &sim.requests[id]
	if len(r.inFlight) != 1 || r.attempts != 1 {
		return
	}
	if sim.entries[r.entry].allowRetry(r, retry.Hedging) {
		sim.metrics.recordRetry(sim)
		sim.startAttempt(id)
	}
}

// expireRequest ends a request at its deadline.
func (sim *simulation) expireRequest(id int32) { sim.endRequest(id, false) }

// endRequest ends a request and cancels its attempts.
func (sim *simulation) endRequest(id int32, ok bool) {
	r := &sim.requests[id]
	e := sim.entries[r.entry]
	for _, attemptID := range r.inFlight {
		a := &sim.attempts[attemptID]
		e.attemptEnded(a, outcomeCancelled)
		a.abandoned = true
		sim.events.push(event{at: int64(sim.now + sim.requestDelay(a)), kind: cancelDelivery, id: attemptID, generation: a.generation})
	}
	r.inFlight = r.inFlight[:0]
	sim.metrics.recordFinished(sim, r, ok)
	// The request has to be invalid before requestEnded lets the gate admit
	// others in its place.
	ended := *r
	r.generation++
	r.ticket = nil
	e.requestEnded(&ended, ok)
	sim.freeRequests = append(sim.freeRequests, id)
}
