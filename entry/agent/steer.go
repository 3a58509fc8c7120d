package agent

import (
	"maps"
	"math"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/eject"
	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/value"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// frozenAfter is the pause of the control goroutine from which orders that
	// wait in buffers may be older than their leases allow; it is the delay of
	// messages that the leader reckons with.
	frozenAfter = eject.Delay
	// rampEvery is the time between updates while a target starts slowly.
	rampEvery = time.Second
	// idleEvery is the time between updates of a service without traffic.
	idleEvery = 10 * time.Second
	// weightStep is the relative change of a weight that is worth an update;
	// an update of each service at each tick would cost more than it steers.
	weightStep = 0.05
	gateEvery  = 100 * time.Millisecond
)

// orders takes what control wants of the entry.
func (a *Agent) orders(now time.Time, c *link.Conn, o wire.Orders) {
	if a.thaw(now) || c.Ended() || o.Index < a.orderIndex {
		return
	}
	a.orderIndex = o.Index
	a.keeper.Orders(now, o)
	for _, l := range a.lanes {
		l.follow(now, a.keeper.Watched(l.service.Name))
	}
	if next := value.NewSet(o.Drains...); !maps.Equal(next, a.drains) {
		a.drains = next
		a.tellKeeper(now)
		a.dirtyAll()
	}
	if on := a.drains.Has(a.settings.Instance); on != a.draining {
		a.draining = on
		a.hooks.Drain(on)
		a.publish(now)
	}
}

// thaw ends the links to control after a pause of this process. A lease counts
// from its arrival, so orders that were sent before the pause must not be taken
// for new ones; control sends the present ones on the next links.
func (a *Agent) thaw(now time.Time) bool {
	frozen := !a.ticked.IsZero() && now.Sub(a.ticked) > frozenAfter
	if frozen {
		a.log.WithField("pause", now.Sub(a.ticked).String()).Warn("instance was paused")
		for _, c := range *a.kept.Load() {
			c.Close("instance was paused")
		}
	}
	return frozen
}

// follow takes the watch list of a service.
func (l *lane) follow(now time.Time, watched []netip.AddrPort) {
	l.monitor.Watch(watched)
	next := make(map[netip.AddrPort]time.Time, len(watched))
	for _, address := range watched {
		since, ok := l.watched[address]
		if !ok {
			since, l.dirty = now, true
		}
		next[address] = since
	}
	l.dirty = l.dirty || len(next) != len(l.watched)
	l.watched = next
}

func (a *Agent) dirtyAll() {
	for _, l := range a.lanes {
		l.dirty = true
	}
}

// steer moves the evidence, the leases and what follows from them.
func (a *Agent) steer(now time.Time) {
	a.keeper.Step(now)
	if a.peersDirty {
		a.peersDirty = false
		a.peers = a.listPeers()
		a.dirtyAll()
		if text := a.update.Text(); text != nil {
			a.rates.set(text, a.entries())
		}
	}
	for _, l := range a.lanes {
		ticked := l.due(now)
		if ticked {
			l.ticked = now
			l.monitor.Tick(now)
			a.sendEvidence(now, l)
		}
		if l.overdue(now) || l.leasesMoved(a) || ticked && l.weightsMoved() {
			a.updateLane(now, l)
		}
		if now.Sub(l.moved) >= gateEvery {
			l.moved = now
			wake(l.gate.Tick(now))
		}
	}
}

// due reports whether the monitor has anything to count. At the target size an
// entry sends less than one request a second to most services, and a tick of
// all targets of all services would cost more than control may use of a core.
func (l *lane) due(now time.Time) bool {
	return l.active.Swap(false) || l.open.Load() > 0 || now.Sub(l.ticked) >= idleEvery
}

// overdue reports whether the router needs its targets again although neither
// leases nor weights have moved.
func (l *lane) overdue(now time.Time) bool {
	age := now.Sub(l.updated)
	return l.dirty || age >= idleEvery || l.ramping && age >= rampEvery
}

// leasesMoved reports whether the router's snapshot differs from the leases.
func (l *lane) leasesMoved(a *Agent) bool {
	out := a.keeper.Out(l.service.Name)
	if len(out) != len(l.out) {
		return true
	}
	for _, standing := range out {
		if probe, ok := l.out[standing.Target]; !ok || probe != standing.Probe {
			return true
		}
	}
	return false
}

// weightsMoved reports whether the router's snapshot differs from the weights
// by more than it should.
func (l *lane) weightsMoved() bool {
	for address, t := range l.targets {
		if before := l.weights[address]; math.Abs(t.health.Weight()-before) > weightStep*before {
			return true
		}
	}
	return false
}

func (a *Agent) sendEvidence(now time.Time, l *lane) {
	rows := l.monitor.Evidence(now)
	if len(rows) == 0 {
		return
	}
	e := wire.Evidence{
		Instance: a.settings.Instance, Region: a.settings.Region, DataCentre: a.settings.DataCentre, Sightings: rows,
	}
	for _, c := range *a.kept.Load() {
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
