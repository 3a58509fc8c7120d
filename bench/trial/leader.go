package trial

import (
	"time"

	"github.com/galenalock/galenalock/core/eject"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// commit is the time of a quorum across regions.
	commit = 20 * time.Millisecond
	// leaderRegion and leaderCentre are the place of the leading replica.
	leaderRegion, leaderCentre = 0, 0
)

// leader is the leading control replica; the log is a delay.
type leader struct {
	world *world
	core  *eject.Leader
	index uint64
}

func newLeader(w *world) (*leader, error) {
	l := &leader{world: w}
	// It has led long enough to eject: its quiet time is over.
	core, err := eject.New(w.wall().Add(-time.Minute), 0, eject.WithEventHook(func(event string, t eject.Target, _ float64) {
		if event == "convicted" {
			w.measure.eject(w, int(t.Address.Addr().As4()[2])<<8|int(t.Address.Addr().As4()[3]))
		}
	}))
	if err != nil {
		return nil, err
	}
	l.core = core
	core.SetService(service, w.floor(), w.scene.Policy)
	for i := range w.targets {
		core.UpdateTarget(w.wall(), eject.Target{Service: service, Address: address(i), Start: epoch, Slots: w.targets[i].slots, State: eject.Ready})
	}
	w.after(tickEvery, l.step)
	return l, nil
}

func (l *leader) step() {
	w := l.world
	for _, set := range l.core.Step(w.wall()) {
		w.after(commit, func() {
			l.index++
			l.core.ProposalApplied(l.index, set.Service)
			l.publish()
		})
	}
	l.publish()
	w.after(tickEvery, l.step)
}

// publish sends the orders to all entries when they have changed.
func (l *leader) publish() {
	w := l.world
	if !l.core.OrdersChanged() {
		return
	}
	orders := l.core.Orders(w.wall())
	size := encoded(orders)
	for _, e := range w.entries {
		w.measure.control(w, size, e.region != leaderRegion)
		w.after(w.oneWay(leaderRegion, leaderCentre, e.region, e.centre), func() { e.obey(orders) })
	}
}

func (l *leader) evidence(e *entry, ev wire.Evidence) {
	w := l.world
	w.measure.control(w, encoded(ev), e.region != leaderRegion)
	w.after(w.oneWay(e.region, e.centre, leaderRegion, leaderCentre), func() { l.core.AddEvidence(w.wall(), ev) })
}

func encoded(v any) int64 {
	data, err := wire.Encode(v)
	if err != nil {
		panic(err)
	}
	return int64(len(data))
}
