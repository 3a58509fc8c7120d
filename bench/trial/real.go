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

const service = "tables"

const (
	// probeEvery is the time between two probes of one entry.
	probeEvery = 500 * time.Millisecond
	// published is the change of a weight that is worth a new snapshot.
	published = 0.02
)

// real wires the cores as an entry does.
type real struct {
	entry   *entry
	router  *route.Router
	monitor *health.Monitor
	keeper  *eject.LeaseTable
	budget  *retry.Budget
	gate    *limit.Gate

	handles []*health.Target
	places  []route.Target
	index   map[netip.AddrPort]int
	updated time.Duration
	probed  time.Duration
	tickets map[*limit.Ticket]int32
}

func newReal(e *entry) {
	w := e.world
	now := w.wall()
	here := route.Location{Instance: fmt.Sprint("e", e.id), Region: regionName(e.region), DataCentre: centreName(e.centre)}
	r := &real{
		entry: e, router: route.New(now, here, route.WithTrafficCounter(func(_ string, sent, received int64) {
			w.measure.crossed(w, sent+received)
		})),
		monitor: health.New(now, service, here.Region), keeper: eject.NewLeaseTable(),
		budget: retry.New(now), gate: limit.New(now, limit.WithMaxDuration(w.scene.Kinds[0].Timeout)),
		index: map[netip.AddrPort]int{}, tickets: map[*limit.Ticket]int32{},
	}
	r.keeper.SetFloor(service, w.floor())
	for i := range w.targets {
		t := &w.targets[i]
		r.handles = append(r.handles, r.monitor.Target(now, address(i), epoch, regionName(t.region), centreName(t.centre)))
		r.places = append(r.places, route.Target{
			Address: address(i), Start: epoch, Region: regionName(t.region), DataCentre: centreName(t.centre),
			Slots: t.slots, Connections: 400, ReadySince: epoch.Add(-time.Hour), Weight: 1,
		})
		r.index[address(i)] = i
		r.keeper.UpdateTarget(now, eject.Target{Service: service, Address: address(i), Start: epoch, Slots: t.slots, State: eject.Ready})
	}
	r.update(now)
	e.ask, e.pick, e.began, e.ended = r.ask, r.pick, r.began, r.ended
	e.again, e.delay, e.done, e.tick, e.holds = r.again, r.delay, r.done, r.tick, r.holds
	e.obey = r.orders
}

func (r *real) ask(id int32) {
	w := r.entry.world
	q := &w.requests[id]
	kind := &w.scene.Kinds[q.kind]
	r.budget.AddRequest()
	q.ticket = &limit.Ticket{Kind: kind.Name, Weight: kind.Weight, Deadline: epoch.Add(q.born + kind.Timeout)}
	r.tickets[q.ticket] = id
	verdict, decided := r.gate.Acquire(w.wall(), q.ticket)
	if verdict != limit.Waiting {
		decided = append(decided, q.ticket)
	}
	r.decide(decided)
}

// decide carries out the verdicts of the gate.
func (r *real) decide(tickets []*limit.Ticket) {
	w := r.entry.world
	for _, t := range tickets {
		id, ok := r.tickets[t]
		if !ok {
			continue
		}
		if t.Decision != limit.Admitted || !w.dispatch(id) {
			w.end(id, false)
		}
	}
}

func (r *real) pick(q *request) (int, bool) {
	w := r.entry.world
	kind := &w.scene.Kinds[q.kind]
	if q.attempts == 0 && kind.Repeat && w.now-r.probed >= probeEvery {
		if e := r.router.PickProbation(w.choice.Uint64()); e != nil {
			r.probed = w.now
			return r.index[e.Address()], true
		}
	}
	if q.attempts == 0 && kind.Repeat {
		if e := r.router.PickSuspect(w.wall(), w.choice.Uint64()); e != nil {
			return r.index[e.Address()], false
		}
	}
	var avoid *route.Endpoint
	if q.tried >= 0 {
		avoid = r.router.Endpoint(address(q.tried))
	}
	e := r.router.Pick(w.wall(), w.choice.Uint64(), avoid)
	if e == nil {
		return -1, false
	}
	return r.index[e.Address()], false
}

func (r *real) began(a *attempt) {
	a.endpoint = r.router.Endpoint(address(a.target))
	a.endpoint.Begin()
	a.call = r.handles[a.target].Start(r.entry.world.wall())
}

func (r *real) ended(a *attempt, how ending) {
	w := r.entry.world
	now := w.wall()
	took := w.now - a.sent
	switch how {
	case answered:
		a.call.Finish(now, health.OK)
		a.endpoint.End(took)
		r.budget.ObserveLatency(took)
		a.endpoint.RecordBytes(requestBytes, responseBytes)
	case broken:
		a.call.Finish(now, health.Failed)
		a.endpoint.End(0)
		a.endpoint.RecordBytes(requestBytes, responseBytes)
	case shed:
		a.call.Finish(now, health.Cancelled)
		a.endpoint.End(0)
		r.gate.RecordShed()
	case abandoned:
		a.call.Finish(now, health.Cancelled)
		a.endpoint.End(0)
		a.endpoint.RecordBytes(requestBytes, 0)
		r.budget.ObserveLatency(took)
		return
	}
	a.endpoint.RecordLoad(now, a.load, w.scene.Slots)
	r.handles[a.target].RecordLoad(now, a.load, w.scene.Slots)
	if q := &w.requests[a.request]; q.ticket != nil {
		r.gate.RecordLoad(q.ticket, a.load, w.scene.Slots)
	}
}

func (r *real) again(q *request, reason retry.Reason) bool {
	w := r.entry.world
	left := q.born + w.scene.Kinds[q.kind].Timeout - w.now
	return r.budget.Allow(w.wall(), reason, q.attempts, left)
}

func (r *real) delay(*request) (time.Duration, bool) { return r.budget.HedgeDelay() }

func (r *real) done(q *request, ok bool) {
	if q.ticket == nil {
		return
	}
	delete(r.tickets, q.ticket)
	switch q.ticket.Decision {
	case limit.Waiting:
		r.gate.Cancel(q.ticket)
	case limit.Admitted:
		r.decide(r.gate.Release(r.entry.world.wall(), q.ticket, ok))
	case limit.Refused:
	}
}

func (r *real) holds(target int) bool {
	for _, o := range r.keeper.Ejected(service) {
		if o.Target == address(target) {
			return true
		}
	}
	return false
}

// tick is one turn of the control goroutine.
func (r *real) tick() {
	w := r.entry.world
	now := w.wall()
	r.monitor.Tick(now)
	if rows := r.monitor.Evidence(now); rows != nil {
		r.entry.world.leader.evidence(r.entry, wire.Evidence{
			Instance: fmt.Sprint("e", r.entry.id), Region: regionName(r.entry.region),
			DataCentre: centreName(r.entry.centre), Targets: append([]wire.TargetEvidence(nil), rows...),
		})
	}
	r.keeper.Step(now)
	if r.refresh(now) || w.now-r.updated >= time.Second {
		r.update(now)
	}
	r.decide(r.gate.Tick(now))
	_, _, waiting := r.gate.Limit()
	r.budget.SetBusy(waiting > 0)
}

// orders is the arrival of orders from the leader.
func (r *real) orders(o wire.Orders) {
	now := r.entry.world.wall()
	r.keeper.SetOrders(now, o)
	r.monitor.SetWatched(r.keeper.Watched(service))
	r.keeper.Step(now)
	if r.refresh(now) {
		r.update(now)
	}
}

// refresh takes weights and leases over and reports whether they changed.
func (r *real) refresh(now time.Time) bool {
	changed := false
	out := r.keeper.Ejected(service)
	for i := range r.places {
		p := &r.places[i]
		held, probe := false, false
		for _, o := range out {
			if o.Target == p.Address {
				held, probe = true, o.Probe
			}
		}
		if p.OutOfService && !held {
			p.ReadySince = now
		}
		switch watched := slices.Contains(r.keeper.Watched(service), p.Address); {
		case !watched:
			p.SuspectSince = time.Time{}
		case p.SuspectSince.IsZero():
			p.SuspectSince, changed = now, true
		}
		weight := r.handles[i].Weight()
		if p.OutOfService != held || p.InProbation != probe || math.Abs(p.Weight-weight) >= published {
			p.OutOfService, p.InProbation, p.Weight = held, probe, weight
			changed = true
		}
	}
	return changed
}

func (r *real) update(now time.Time) {
	w := r.entry.world
	r.updated = w.now
	var peers []route.Peer
	slots := 0.0
	for _, e := range w.entries {
		peers = append(peers, route.Peer{Instance: fmt.Sprint("e", e.id), Region: regionName(e.region)})
	}
	for i := range r.places {
		if !r.places[i].OutOfService {
			slots += float64(r.places[i].Slots)
		}
	}
	r.router.Update(now, r.places, peers)
	r.decide(r.gate.SetCapacity(now, slots, len(w.entries)))
}
