package agent

import (
	"math"
	"time"

	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/room"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// slowStartInterval is the time between updates of a service while one of its
	// targets is in slow start.
	slowStartInterval = time.Second
	// idleInterval is the time between updates of a service without traffic.
	idleInterval = 10 * time.Second
	// minWeightChange is the relative change of a weight that triggers an update.
	// Updating every service on every tick would cost too much processor time.
	minWeightChange = 0.05
	gateInterval    = 100 * time.Millisecond
)

// tickUpstreams advances the leases, and the health monitors, routers and gates of
// all services.
func (a *Agent) tickUpstreams(now time.Time) {
	a.leaseTable.Step(now)
	if a.peersDirty {
		a.peersDirty = false
		a.peers = a.listPeers()
		for _, u := range a.upstreams {
			u.budget.SetEntries(a.entryCount())
		}
		a.markAllDirty()
		if text := a.update.Text(); text != nil {
			a.rates.setLimits(text, a.entryCount())
		}
	}
	for _, u := range a.upstreams {
		ticked := a.registry == nil && u.monitorDue(now)
		if ticked {
			u.lastMonitorTick = now
			u.monitor.Tick(now)
			a.sendEvidence(now, u)
		}
		a.tickLimits(now, u)
		if u.updateDue(now) || u.leasesChanged(a) || ticked && u.weightsChanged() {
			a.updateUpstream(now, u)
		}
		if now.Sub(u.lastGateTick) >= gateInterval {
			u.lastGateTick = now
			deliverDecisions(u.gate.Tick(now))
			_, _, waiting := u.gate.Limit()
			e := u.gate.Room(now)
			u.budget.SetBusy(waiting > 0 || a.settings.Pace && room.Limits(&e, waiting))
			a.tickOverloadLog(now, u, e, waiting)
			lacks := waiting > 0 || u.transfers.Waiting() > 0 || e.Sheds() || room.Limits(&e, waiting)
			if lacks || u.lacksRoom.Load() {
				u.lacksRoom.Store(lacks)
				a.relieve(now, u)
			}
		}
	}
}

// relieve gives up bodies that stand still, since other requests lack their room.
func (a *Agent) relieve(now time.Time, u *upstream) {
	if n := u.transfers.Relieve(now); n > 0 {
		a.log.WithField("service", u.service.Name).WithField("bodies", n).Info("bodies that stand still given up")
	}
}

// monitorDue reports whether the health monitor needs a tick. At the fleet size
// that the system is designed for, an entry sends less than one request a second
// to most services, and ticking all targets of all services would exceed the
// processor time that the control state may use.
func (u *upstream) monitorDue(now time.Time) bool {
	return u.active.Swap(false) || u.pending.Load() > 0 || now.Sub(u.lastMonitorTick) >= idleInterval
}

// updateDue reports whether the router needs an update although neither leases nor
// weights have changed.
func (u *upstream) updateDue(now time.Time) bool {
	age := now.Sub(u.lastUpdate)
	return u.dirty || age >= idleInterval || u.slowStarting && age >= slowStartInterval
}

// leasesChanged reports whether the leases have changed since the last update of
// the router.
func (u *upstream) leasesChanged(a *Agent) bool {
	leases := a.leaseTable.Ejected(u.service.Name)
	if len(leases) != len(u.ejected) {
		return true
	}
	for _, lease := range leases {
		if probe, ok := u.ejected[lease.Target]; !ok || probe != lease.Probe {
			return true
		}
	}
	return false
}

// weightsChanged reports whether a weight has changed by more than minWeightChange
// since the last update of the router.
func (u *upstream) weightsChanged() bool {
	for address, t := range u.targets {
		if before := u.weights[address]; math.Abs(t.health.Weight()-before) > minWeightChange*before {
			return true
		}
	}
	return false
}

func (a *Agent) sendEvidence(now time.Time, u *upstream) {
	rows := u.monitor.Evidence(now)
	if len(rows) == 0 || a.path.tracker.InDoubt() {
		return
	}
	e := wire.Evidence{
		Instance: a.settings.Instance, Region: a.settings.Region, DataCentre: a.settings.DataCentre, Targets: rows,
	}
	for _, c := range *a.controlLinks.Load() {
		// One replica is enough, since followers forward evidence to the leader.
		if c.Send(wire.KindEvidence, e) == nil {
			return
		}
	}
}

// deliverDecisions wakes the goroutines that wait on the tickets.
func deliverDecisions(tickets []*limit.Ticket) {
	for _, t := range tickets {
		t.Wake <- t.Decision
	}
}
