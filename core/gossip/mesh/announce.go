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
		case roster.Forward, roster.Ask:
			m.forward(n, a)
		}
	}
}

// forward carries a renewal to another node outside of the overlay's links, and
// the answer to a question back.
func (m *Mesh) forward(n *Node, a roster.Action) {
	m.carry(n, m.byName[a.To], a.Renew, func(to *Node) {
		if a.Do == roster.Forward {
			m.register(to, func() []roster.Action { return to.Roster.Renew(m.now, a.Renew) })
			return
		}
		answer := to.Roster.Asked(a.Renew)
		m.carry(to, n, answer, func(n *Node) {
			m.register(n, func() []roster.Action { return n.Roster.Answered(m.now, answer) })
		})
	})
}

// carry sends one message that may be lost.
func (m *Mesh) carry(from, to *Node, renew wire.Renew, arrive func(to *Node)) {
	from.Traffic.Messages++
	from.Traffic.Bytes += renewalSize(renew)
	if to == nil || m.cuts[pair{from.Name, to.Name}] || m.rand.Float64() < m.Faults.Loss {
		return
	}
	life := to.life
	m.at(m.delay(), func() {
		if to.Up && to.life == life {
			arrive(to)
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
