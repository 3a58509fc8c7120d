package trial

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/eject"
	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/retry"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/wire"
)

const serviceName = "tables"

const (
	// probeInterval is the shortest time between two probes of one entry.
	probeInterval = 500 * time.Millisecond
	// minWeightChange is the least change of a weight that updates the router.
	minWeightChange = 0.02
)

// realVariant connects the decision cores as an entry does.
type realVariant struct {
	entry   *entry
	router  *route.Router
	monitor *health.Monitor
	leases  *eject.LeaseTable
	budget  *retry.Budget
	gate    *limit.Gate

	healthTargets []*health.Target
	routeTargets  []route.Target
	targetIndex   map[netip.AddrPort]int
	lastUpdate    time.Duration
	lastProbe     time.Duration
	requestIDs    map[*limit.Ticket]int32
}

func attachReal(e *entry) {
	sim := e.simulation
	now := sim.wallTime()
	location := route.Location{Instance: fmt.Sprint("e", e.id), Region: regionName(e.region), DataCentre: centreName(e.centre)}
	r := &realVariant{
		entry: e, router: route.New(now, location, route.WithTrafficCounter(func(_ string, sent, received int64) {
			sim.metrics.recordInterRegion(sim, sent+received)
		})),
		monitor: health.New(now, serviceName, location.Region), leases: eject.NewLeaseTable(),
		budget: retry.New(now), gate: limit.New(now, limit.WithMaxDuration(sim.scenario.Kinds[0].Timeout)),
		targetIndex: map[netip.AddrPort]int{}, requestIDs: map[*limit.Ticket]int32{},
	}
	r.leases.SetFloor(serviceName, sim.floor())
	for i := range sim.targets {
		t := &sim.targets[i]
		r.healthTargets = append(r.healthTargets, r.monitor.Target(now, targetAddress(i), epoch, regionName(t.region), centreName(t.centre)))
		r.routeTargets = append(r.routeTargets, route.Target{
			Address: targetAddress(i), Start: epoch, Region: regionName(t.region), DataCentre: centreName(t.centre),
			Slots: t.slots, Connections: 400, ReadySince: epoch.Add(-time.Hour), Weight: 1,
		})
		r.targetIndex[targetAddress(i)] = i
		r.leases.UpdateTarget(now, eject.Target{Service: serviceName, Address: targetAddress(i), Start: epoch, Slots: t.slots, State: eject.Ready})
	}
	r.updateRouter(now)
	e.admit, e.pick, e.attemptStarted, e.attemptEnded = r.admit, r.pick, r.attemptStarted, r.attemptEnded
	e.allowRetry, e.hedgeDelay, e.requestEnded, e.tick, e.isEjected = r.allowRetry, r.hedgeDelay, r.requestEnded, r.tick, r.isEjected
	e.ordersReceived = r.applyOrders
}

func (r *realVariant) admit(id int32) {
	sim := r.entry.simulation
	q := &sim.requests[id]
	kind := &sim.scenario.Kinds[q.kind]
	r.budget.AddRequest()
	q.ticket = &limit.Ticket{Kind: kind.Name, Weight: kind.Weight, Deadline: epoch.Add(q.arrivedAt + kind.Timeout)}
	r.requestIDs[q.ticket] = id
	verdict, decided := r.gate.Acquire(sim.wallTime(), q.ticket)
	if verdict != limit.Waiting {
		decided = append(decided, q.ticket)
	}
	r.applyVerdicts(decided)
}

// applyVerdicts starts the requests that the gate admitted and ends those that
// it refused.
func (r *realVariant) applyVerdicts(tickets []*limit.Ticket) {
	sim := r.entry.simulation
	for _, t := range tickets {
		id, ok := r.requestIDs[t]
		if !ok {
			continue
		}
		if t.Decision != limit.Admitted || !sim.startAttempt(id) {
			sim.endRequest(id, false)
		}
	}
}

func (r *realVariant) pick(q *request) (int, bool) {
	sim := r.entry.simulation
	kind := &sim.scenario.Kinds[q.kind]
	if q.attempts == 0 && kind.Repeat && sim.now-r.lastProbe >= probeInterval {
		if e := r.router.PickProbation(sim.wallTime(), sim.decisionRand.Uint64()); e != nil {
			r.lastProbe = sim.now
			return r.targetIndex[e.Address()], true
		}
	}
	if q.attempts == 0 && kind.Repeat {
		if e := r.router.PickSuspect(sim.wallTime(), sim.decisionRand.Uint64()); e != nil {
			return r.targetIndex[e.Address()], false
		}
	}
	var previous *route.Endpoint
	if q.firstTarget >= 0 {
		previous = r.router.Endpoint(targetAddress(q.firstTarget))
	}
	e := r.router.Pick(sim.wallTime(), sim.decisionRand.Uint64(), previous)
	if e == nil {
		return -1, false
	}
	return r.targetIndex[e.Address()], false
}

func (r *realVariant) attemptStarted(a *attempt) {
	a.endpoint = r.router.Endpoint(targetAddress(a.target))
	a.endpoint.Begin()
	a.call = r.healthTargets[a.target].Start(r.entry.simulation.wallTime())
}

func (r *realVariant) attemptEnded(a *attempt, outcome attemptOutcome) {
	sim := r.entry.simulation
	now := sim.wallTime()
	latency := sim.now - a.sentAt
	switch outcome {
	case outcomeAnswered:
		a.call.Finish(now, health.OK)
		a.endpoint.End(latency)
		r.budget.ObserveLatency(latency)
		a.endpoint.RecordBytes(requestBytes, responseBytes)
	case outcomeFailed:
		a.call.Finish(now, health.Failed)
		a.endpoint.End(0)
		a.endpoint.RecordBytes(requestBytes, responseBytes)
	case outcomeShed:
		a.call.Finish(now, health.Cancelled)
		a.endpoint.End(0)
		r.gate.RecordShed()
	case outcomeCancelled:
		a.call.Finish(now, health.Cancelled)
		a.endpoint.End(0)
		a.endpoint.RecordBytes(requestBytes, 0)
		r.budget.ObserveLatency(latency)
		return
	}
	a.endpoint.RecordLoad(now, a.targetLoad, sim.scenario.Slots)
	r.healthTargets[a.target].RecordLoad(now, a.targetLoad, sim.scenario.Slots)
	if q := &sim.requests[a.request]; q.ticket != nil {
		r.gate.RecordLoad(q.ticket, a.targetLoad, sim.scenario.Slots)
	}
}

func (r *realVariant) allowRetry(q *request, reason retry.Reason) bool {
	sim := r.entry.simulation
	remaining := q.arrivedAt + sim.scenario.Kinds[q.kind].Timeout - sim.now
	return r.budget.Allow(sim.wallTime(), reason, q.attempts, remaining)
}

func (r *realVariant) hedgeDelay(*request) (time.Duration, bool) { return r.budget.HedgeDelay() }

func (r *realVariant) requestEnded(q *request, ok bool) {
	if q.ticket == nil {
		return
	}
	delete(r.requestIDs, q.ticket)
	switch q.ticket.Decision {
	case limit.Waiting:
		r.gate.Cancel(q.ticket)
	case limit.Admitted:
		r.applyVerdicts(r.gate.Release(r.entry.simulation.wallTime(), q.ticket, ok))
	case limit.Refused:
	}
}

func (r *realVariant) isEjected(index int) bool {
	for _, o := range r.leases.Ejected(serviceName) {
		if o.Target == targetAddress(index) {
			return true
		}
	}
	return false
}

// tick is one iteration of an entry's control loop.
func (r *realVariant) tick() {
	sim := r.entry.simulation
	now := sim.wallTime()
	r.monitor.Tick(now)
	if sightings := r.monitor.Evidence(now); sightings != nil {
		r.entry.simulation.leader.sendEvidence(r.entry, wire.Evidence{
			Instance: fmt.Sprint("e", r.entry.id), Region: regionName(r.entry.region),
			DataCentre: centreName(r.entry.centre), Targets: append([]wire.TargetEvidence(nil), sightings...),
		})
	}
	r.leases.Step(now)
	if r.refreshTargets(now) || sim.now-r.lastUpdate >= time.Second {
		r.updateRouter(now)
	}
	r.applyVerdicts(r.gate.Tick(now))
	_, _, waiting := r.gate.Limit()
	r.budget.SetBusy(waiting > 0)
}

// applyOrders handles orders from the leader.
func (r *realVariant) applyOrders(o wire.Orders) {
	now := r.entry.simulation.wallTime()
	r.leases.SetOrders(now, o)
	r.monitor.SetWatched(r.leases.Watched(serviceName))
	r.leases.Step(now)
	if r.refreshTargets(now) {
		r.updateRouter(now)
	}
}

// refreshTargets copies weights, ejections and suspicions to the targets of the
// router and reports whether any of them changed.
func (r *realVariant) refreshTargets(now time.Time) bool {
	changed := false
	ejections := r.leases.Ejected(serviceName)
	for i := range r.routeTargets {
		p := &r.routeTargets[i]
		ejected, inProbation := false, false
		for _, o := range ejections {
			if o.Target == p.Address {
				ejected, inProbation = true, o.Probe
			}
		}
		if p.OutOfService && !ejected {
			p.ReadySince = now
		}
		switch watched := slices.Contains(r.leases.Watched(serviceName), p.Address); {
		case !watched:
			p.SuspectSince = time.Time{}
		case p.SuspectSince.IsZero():
			p.SuspectSince, changed = now, true
		}
		weight := r.healthTargets[i].Weight()
		if p.OutOfService != ejected || p.InProbation != inProbation || math.Abs(p.Weight-weight) >= minWeightChange {
			p.OutOfService, p.InProbation, p.Weight = ejected, inProbation, weight
			changed = true
		}
	}
	return changed
}

func (r *realVariant) updateRouter(now time.Time) {
	sim := r.entry.simulation
	r.lastUpdate = sim.now
	var peers []route.Peer
	slots := 0.0
	for _, e := range sim.entries {
		peers = append(peers, route.Peer{Instance: fmt.Sprint("e", e.id), Region: regionName(e.region)})
	}
	for i := range r.routeTargets {
		if !r.routeTargets[i].OutOfService {
			slots += float64(r.routeTargets[i].Slots)
		}
	}
	r.router.Update(now, r.routeTargets, peers)
	r.applyVerdicts(r.gate.SetCapacity(now, slots, len(sim.entries)))
}
