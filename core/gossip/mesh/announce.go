package mesh

import (
	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/wire"
)

// Announce hands a target's announcement to a node.
func (m *Mesh) Announce(n *Node, renew wire.Renew) error {
	var err error
	m.register(n, func() []roster.Action {
		var actions []roster.Action
		actions, err = n.Roster.Announce(m.now, renew)
		return actions
	})
	return err
}

// register calls a roster and carries out its actions.
func (m *Mesh) register(n *Node, call func() []roster.Action) {
	var actions []roster.Action
	m.measure(n, func() { actions = call() })
	for _, a := range actions {
		switch a.Do {
		case roster.Publish:
			m.Step(n, func() []gossip.Action { return n.Core.Put(m.now, a.Record) })
		case roster.Forward:
			m.forward(n, a)
		}
	}
}

// forward carries a renewal to another node outside of the overlay's links.
func (m *Mesh) forward(n *Node, a roster.Action) {
	n.Traffic.Messages++
	n.Traffic.Bytes += renewalSize(a.Renew)
	to := m.byName[a.To]
	if to == nil || m.cuts[pair{n.Name, a.To}] || m.rand.Float64() < m.Faults.Loss {
		return
	}
	life := to.life
	m.at(m.delay(), func() {
		if to.Up && to.life == life {
			m.register(to, func() []roster.Action { return to.Roster.Renew(m.now, n.Name, a.Renew) })
		}
	})
}

func renewalSize(renew wire.Renew) int {
	body, err := wire.Encode(renew)
	if err != nil {
		panic(err) // a struct of strings, numbers and a time always encodes
	}
	frame, err := wire.Encode(wire.Message{Kind: wire.KindRenew, Body: body})
	if err != nil {
		panic(err)
	}
	return len(frame)
}
