package agent

import (
	"math"
	"time"

	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// rampEvery is the time between updates while a target starts slowly.
	rampEvery = time.Second
	// idleEvery is the time between updates of a service without traffic.
	idleEvery = 10 * time.Second
	// weightStep is the relative change of a weight that is worth an update;
	// an update of each service at each tick would cost more than it is worth.
	weightStep = 0.05
	gateEvery  = 100 * time.Millisecond
)

// tickUpstreams moves the evidence, the leases and what follows from them.
func (a *Agent) tickUpstreams(now time.Time) {
	a.keeper.Step(now)
	if a.peersDirty {
		a.peersDirty = false
		a.peers = a.listPeers()
		for _, u := range a.upstreams {
			u.budget.Divide(a.entries())
		}
		a.dirtyAll()
		if text := a.update.Text(); text != nil {
			a.rates.set(text, a.entries())
		}
	}
	for _, u := range a.upstreams {
		ticked := u.due(now)
		if ticked && a.registry == nil {
			u.ticked = now
			u.monitor.Tick(now)
			a.sendEvidence(now, u)
		}
		if u.overdue(now) || u.leasesMoved(a) || ticked && u.weightsMoved() {
			a.updateUpstream(now, u)
		}
		if now.Sub(u.moved) >= gateEvery {
			u.moved = now
			wake(u.gate.Tick(now))
		}
	}
}

// due reports whether the monitor has anything to count. At the target size an
// entry sends less than one request a second to most services, and a tick of
// all targets of all services would cost more than control may use of a core.
func (u *upstream) due(now time.Time) bool {
	return u.active.Swap(false) || u.open.Load() > 0 || now.Sub(u.ticked) >= idleEvery
}

// overdue reports whether the router needs its targets again although neither
// leases nor weights have moved.
func (u *upstream) overdue(now time.Time) bool {
	age := now.Sub(u.updated)
	return u.dirty || age >= idleEvery || u.ramping && age >= rampEvery
}

// leasesMoved reports whether the router's snapshot differs from the leases.
func (u *upstream) leasesMoved(a *Agent) bool {
	out := a.keeper.Out(u.service.Name)
	if len(out) != len(u.out) {
		return true
	}
	for _, standing := range out {
		if probe, ok := u.out[standing.Target]; !ok || probe != standing.Probe {
			return true
		}
	}
	return false
}

// weightsMoved reports whether the router's snapshot differs from the weights
// by more than it should.
func (u *upstream) weightsMoved() bool {
	for address, t := range u.targets {
		if before := u.weights[address]; math.Abs(t.health.Weight()-before) > weightStep*before {
			return true
		}
	}
	return false
}

func (a *Agent) sendEvidence(now time.Time, u *upstream) {
	rows := u.monitor.Evidence(now)
	if len(rows) == 0 {
		return
	}
	e := wire.Evidence{
		Instance: a.settings.Instance, Region: a.settings.Region, DataCentre: a.settings.DataCentre, Sightings: rows,
	}
	for _, c := range *a.control.Load() {
		// A replica that does not lead passes evidence on, so one is enough.
		if c.Send(wire.KindEvidence, e) == nil {
			return
		}
	}
}

// wake tells the goroutines of tickets what was decided.
func wake(tickets []*limit.Ticket) {
	for _, t := range tickets {
		t.Wake <- t.Verdict
	}
}
