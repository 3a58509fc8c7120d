package mesh

import (
	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/wire"
)

// Announce delivers the announcement of a target to a node.
func (m *Mesh) Announce(n *Node, renew wire.Renew) error {
	var err error
	m.stepRoster(n, func() []roster.Action {
		var actions []roster.Action
		actions, err = n.Roster.Announce(m.now, renew)
		return actions
	})
	return err
}

// stepRoster calls the roster of a node and carries out the resulting actions.
func (m *Mesh) stepRoster(n *Node, call func() []roster.Action) {
	var actions []roster.Action
	m.measure(n, func() { actions = call() })
	for _, a := range actions {
		switch a.Type {
		case roster.Publish:
			m.Step(n, func() []gossip.Action { return n.Core.Put(m.now, a.Record) })
		case roster.Forward, roster.Ask:
			m.forward(n, a)
		}
	}
}

// forward sends a renewal to another node outside the links of the overlay. For
// an Ask action it also sends the answer back.
func (m *Mesh) forward(n *Node, a roster.Action) {
	m.sendRenewal(n, m.byName[a.To], a.Renew, func(to *Node) {
		if a.Type == roster.Forward {
			m.stepRoster(to, func() []roster.Action { return to.Roster.Renew(m.now, a.Renew) })
			return
		}
		answer := to.Roster.NewestRenewal(a.Renew)
		m.sendRenewal(to, n, answer, func(n *Node) {
			m.stepRoster(n, func() []roster.Action { return n.Roster.HandleAnswer(m.now, answer) })
		})
	})
}

// sendRenewal sends a renewal, which may be lost, and calls arrive when it is
// delivered.
func (m *Mesh) sendRenewal(from, to *Node, renew wire.Renew, arrive func(to *Node)) {
	from.Traffic.Messages++
	from.Traffic.Bytes += renewalSize(renew)
	if to == nil || m.cuts[pair{from.Name, to.Name}] || m.rand.Float64() < m.Faults.Loss {
		return
	}
	incarnation := to.incarnation
	m.schedule(m.delay(), func() {
		if to.Up && to.incarnation == incarnation {
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
