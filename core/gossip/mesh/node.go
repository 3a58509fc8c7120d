package mesh

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/wire"
)

// Node is one instance of the fleet.
type Node struct {
	Name    string
	Address netip.AddrPort
	Place   gossip.Instance
	Core    *gossip.Core
	Roster  *roster.Roster
	Up      bool
	Traffic Traffic
	Busy    time.Duration // processor time spent in the core, see WithClock

	life int // number of the incarnation; events of earlier ones are dropped
}

// Traffic counts what a node has sent.
type Traffic struct {
	Messages int
	Bytes    int // encoded messages with the envelope of package wire
}

// boot gives the node a new core.
func (m *Mesh) boot(n *Node) {
	n.life++
	n.Up = true
	opts := []gossip.Option{
		gossip.WithSelf(n.Name, m.now, n.Place),
		gossip.WithSeeds(m.seeds...),
		gossip.WithRand(rand.New(rand.NewPCG(m.rand.Uint64(), m.rand.Uint64()))),
	}
	n.Core = gossip.New(append(opts, m.core...)...)
	n.Roster = roster.New(append([]roster.Option{roster.WithSelf(n.Name)}, m.roster...)...)
	m.Step(n, func() []gossip.Action { return n.Core.SetState(m.now, gossip.StateReady) })
	m.tick(n, n.life, time.Duration(m.rand.Int64N(int64(Interval))))
}

// tick steps a node at every interval.
func (m *Mesh) tick(n *Node, life int, after time.Duration) {
	m.at(after, func() {
		if n.life != life || !n.Up {
			return
		}
		m.Step(n, func() []gossip.Action { return n.Core.Tick(m.now) })
		m.register(n, func() []roster.Action { return n.Roster.Tick(m.now) })
		m.tick(n, life, Interval)
	})
}

// size returns the encoded size of a message. Floods share one message, so the
// last size is kept.
func (m *Mesh) size(message *gossip.Message) int {
	if message == m.lastMessage {
		return m.lastSize
	}
	body, err := message.Encode()
	if err != nil {
		panic(err) // a message that does not encode is a fault of the core
	}
	frame, err := wire.Encode(wire.Message{Kind: wire.KindGossip, Body: body})
	if err != nil {
		panic(err)
	}
	m.lastMessage, m.lastSize = message, len(frame)
	return len(frame)
}
