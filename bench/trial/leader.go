package trial

import (
	"time"

	"github.com/galenalock/galenalock/core/eject"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// commitDelay is the time to commit a command on a quorum across regions.
	commitDelay = 20 * time.Millisecond
	// leaderRegion and leaderCentre locate the leading replica.
	leaderRegion, leaderCentre = 0, 0
)

// leader is the leading control replica. Its replicated log is modelled as a
// delay.
type leader struct {
	simulation *simulation
	ejector    *eject.Leader
	index      uint64
}

func newLeader(sim *simulation) (*leader, error) {
	l := &leader{simulation: sim}
	// A new leader does not eject at first; a minute covers that quiet time.
	core, err := eject.New(sim.wallTime().Add(-time.Minute), 0, eject.WithEventHook(func(eventName string, t eject.Target, _ float64) {
		if eventName == "convicted" {
			sim.metrics.recordEjection(sim, int(t.Address.Addr().As4()[2])<<8|int(t.Address.Addr().As4()[3]))
		}
	}))
	if err != nil {
		return nil, err
	}
	l.ejector = core
	core.SetService(serviceName, sim.floor(), sim.scenario.Policy)
	for i := range sim.targets {
		core.UpdateTarget(sim.wallTime(), eject.Target{Service: serviceName, Address: targetAddress(i), Start: epoch, Slots: sim.targets[i].slots, State: eject.Ready})
	}
	sim.schedule(tickInterval, l.step)
	return l, nil
}

func (l *leader) step() {
	sim := l.simulation
	for _, set := range l.ejector.Step(sim.wallTime()) {
		sim.schedule(commitDelay, func() {
			l.index++
			l.ejector.ProposalApplied(l.index, set.Service)
			l.publishOrders()
		})
	}
	l.publishOrders()
	sim.schedule(tickInterval, l.step)
}

// publishOrders sends the orders to all entries if they have changed.
func (l *leader) publishOrders() {
	sim := l.simulation
	if !l.ejector.OrdersChanged() {
		return
	}
	orders := l.ejector.Orders(sim.wallTime())
	size := encodedSize(orders)
	for _, e := range sim.entries {
		sim.metrics.recordControl(sim, size, e.region != leaderRegion)
		sim.schedule(sim.oneWayDelay(leaderRegion, leaderCentre, e.region, e.centre), func() { e.ordersReceived(orders) })
	}
}

func (l *leader) sendEvidence(e *entry, ev wire.Evidence) {
	sim := l.simulation
	sim.metrics.recordControl(sim, encodedSize(ev), e.region != leaderRegion)
	sim.schedule(sim.oneWayDelay(e.region, e.centre, leaderRegion, leaderCentre), func() { l.ejector.AddEvidence(sim.wallTime(), ev) })
}

func encodedSize(v any) int64 {
	data, err := wire.Encode(v)
	if err != nil {
		panic(err)
	}
	return int64(len(data))
}
